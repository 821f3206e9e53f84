#include "pimentoferry/admin/admin_server.hpp"

#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/regex.h>

#include <algorithm>
#include <array>
#include <istream>
#include <string_view>
#include <thread>

namespace pimentoferry::admin {

namespace {

constexpr int status_too_large = 413;

std::string_view status_text(int status) {
    switch (status) {
    case 200:
        return "OK";
    case 202:
        return "Accepted";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 405:
        return "Method Not Allowed";
    case 409:
        return "Conflict";
    case status_too_large:
        return "Payload Too Large";
    case 422:
        return "Unprocessable Entity";
    case 503:
        return "Service Unavailable";
    default:
        return "Status";
    }
}

std::string bearer_token(const cxxtools::http::Request& request) {
    constexpr std::string_view scheme = "Bearer ";
    const char* header = request.getHeader("Authorization");
    if (header == nullptr) {
        return {};
    }
    const std::string_view value{header};
    return value.starts_with(scheme) ? std::string{value.substr(scheme.size())}
                                     : std::string{};
}

void write_response(const admin_answer& answer,
                    std::ostream& out,
                    cxxtools::http::Reply& reply) {
    reply.httpReturn(static_cast<unsigned>(answer.status_),
                     std::string{status_text(answer.status_)});
    reply.setHeader("Content-Type", answer.content_type_.c_str());
    out << answer.body_;
}

class responder : public cxxtools::http::Responder {
public:
    responder(cxxtools::http::Service& service,
              const admin_server::handler& handle)
        : Responder{service}, handle_{handle} {}

    void beginRequest(cxxtools::net::TcpSocket& /*socket*/,
                      std::istream& /*in*/,
                      cxxtools::http::Request& /*request*/) override {
        body_.clear();
        too_large_ = false;
    }

    // Reads all bytes that have arrived, because the server waits for the
    // socket before it calls this function again. Bytes beyond the limit are
    // discarded, so that the connection stays synchronized and the client
    // receives a response.
    std::size_t readBody(std::istream& in) override {
        std::array<char, 4096> chunk{};
        std::size_t total = 0;
        while (in.rdbuf()->in_avail() > 0) {
            const auto count = static_cast<std::size_t>(in.rdbuf()->sgetn(
                chunk.data(), std::min<std::streamsize>(in.rdbuf()->in_avail(),
                                                        chunk.size())));
            append({chunk.data(), count});
            total += count;
        }
        return total;
    }

    void reply(std::ostream& out,
               cxxtools::http::Request& request,
               cxxtools::http::Reply& reply) override {
        if (too_large_) {
            write_response({status_too_large, "application/json",
                            R"({"code":"body_too_large"})"},
                           out, reply);
            return;
        }
        write_response(
            handle_({request.method(), request.url(), request.qparams(),
                     std::move(body_), bearer_token(request)}),
            out, reply);
    }

private:
    void append(std::string_view chunk) {
        too_large_ = too_large_ || body_.size() + chunk.size() > max_body_bytes;
        if (!too_large_) {
            body_.append(chunk);
        }
    }

    const admin_server::handler& handle_;
    std::string body_;
    bool too_large_{false};
};

class service : public cxxtools::http::Service {
public:
    explicit service(admin_server::handler handle)
        : handle_{std::move(handle)} {}

protected:
    cxxtools::http::Responder*
    createResponder(const cxxtools::http::Request& /*request*/) override {
        // cxxtools holds responders by raw pointer and passes each to
        // releaseResponder().
        return new responder{*this, handle_};
    }

    void releaseResponder(cxxtools::http::Responder* released) override {
        delete released;
    }

private:
    admin_server::handler handle_;
};

} // namespace

namespace internal {

struct server_state {
    explicit server_state(admin_server::handler handle)
        : service_{std::move(handle)} {}

    cxxtools::EventLoop loop_;
    service service_;
    std::unique_ptr<cxxtools::http::Server> server_;
    std::thread thread_;
};

} // namespace internal

admin_server::admin_server(std::unique_ptr<internal::server_state> state)
    : state_{std::move(state)} {}

admin_server::~admin_server() {
    state_->loop_.exit();
    state_->thread_.join();
    state_->server_.reset();
}

std::variant<std::unique_ptr<admin_server>, listen_failed>
admin_server::open(const admin_server_options& options, handler handle) {
    auto state = std::make_unique<internal::server_state>(std::move(handle));
    try {
        state->server_ = std::make_unique<cxxtools::http::Server>(
            state->loop_, options.listen_.ip_, options.listen_.port_);
        state->server_->addService(cxxtools::Regex{".*"}, state->service_);
    } catch (const std::exception& error) {
        return listen_failed{options.listen_, error.what()};
    }
    state->thread_ = std::thread{[loop = &state->loop_] { loop->run(); }};
    return std::unique_ptr<admin_server>{new admin_server{std::move(state)}};
}

} // namespace pimentoferry::admin
