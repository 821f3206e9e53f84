#include "standins/http_client.hpp"

#include "standins/asio.hpp"

#include <algorithm>
#include <cctype>
#include <limits>

namespace pimentoferry::standins {
namespace {

constexpr std::size_t read_size = 4096;
constexpr int http_version = 11;
constexpr std::uint64_t body_limit_bytes = 64'000'000;

// Runs one asynchronous operation to completion; the timeout of the stream
// ends an operation that hangs.
template <class Start>
error_code run_blocking(net::io_context& context, Start start) {
    error_code result = net::error::would_block;
    start([&result](error_code failure, auto&&...) { result = failure; });
    context.restart();
    context.run();
    return result;
}

http::request<http::string_body> make_request(const http_call& call) {
    http::request<http::string_body> request{http::string_to_verb(call.method_),
                                             call.target_, http_version};
    request.set(http::field::host, "127.0.0.1");
    request.set(http::field::content_type, "application/json");
    for (const auto& [name, value] : call.headers_) {
        request.set(name, value);
    }
    request.body() = call.body_;
    request.prepare_payload();
    return request;
}

error_code connect_and_send(net::io_context& context,
                            beast::tcp_stream& stream,
                            std::uint16_t port,
                            const http_call& call) {
    stream.expires_after(call.timeout_);
    const tcp::endpoint address{net::ip::address_v4::loopback(), port};
    auto failure = run_blocking(context, [&](auto done) {
        stream.async_connect(address, std::move(done));
    });
    if (failure) {
        return failure;
    }
    const auto request = make_request(call);
    return run_blocking(context, [&](auto done) {
        http::async_write(stream, request, std::move(done));
    });
}

std::string lower_case(std::string text) {
    std::ranges::transform(text, text.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    return text;
}

} // namespace

http_answer send_http(std::uint16_t port, const http_call& call) {
    net::io_context context;
    beast::tcp_stream stream{context};
    if (connect_and_send(context, stream, port, call)) {
        return {};
    }
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(body_limit_bytes);
    const auto failure = run_blocking(context, [&](auto done) {
        http::async_read(stream, buffer, parser, std::move(done));
    });
    if (failure) {
        return {};
    }
    http_answer answer;
    answer.status_ = parser.get().result_int();
    answer.body_ = parser.get().body();
    for (const auto& field : parser.get()) {
        answer.headers_[lower_case(std::string{field.name_string()})] =
            std::string{field.value()};
    }
    return answer;
}

http_answer http_get(std::uint16_t port, const std::string& target) {
    http_call call;
    call.target_ = target;
    return send_http(port, call);
}

http_answer http_post(std::uint16_t port,
                      const std::string& target,
                      const std::string& body) {
    http_call call;
    call.method_ = "POST";
    call.target_ = target;
    call.body_ = body;
    return send_http(port, call);
}

struct http_stream::state {
    net::io_context context_;
    beast::tcp_stream stream_{context_};
    beast::flat_buffer buffer_;
    http::response_parser<http::buffer_body> parser_;
    std::string received_;
    std::chrono::milliseconds timeout_{0};
    unsigned status_{0};
    bool failed_{false};

    // Reads the next available bytes; returns false at the end or after a
    // failure.
    bool read_some() {
        if (failed_ || status_ == 0 || parser_.is_done()) {
            return false;
        }
        std::string part(read_size, '\0');
        parser_.get().body().data = part.data();
        parser_.get().body().size = part.size();
        stream_.expires_after(timeout_);
        const auto failure = run_blocking(context_, [&](auto done) {
            http::async_read_some(stream_, buffer_, parser_, std::move(done));
        });
        part.resize(part.size() - parser_.get().body().size);
        received_ += part;
        failed_ = failure && failure != http::error::need_buffer;
        return !failed_;
    }
};

http_stream::http_stream(std::uint16_t port,
                         const std::string& target,
                         const std::string& body,
                         request_headers headers,
                         std::chrono::milliseconds timeout)
    : state_(std::make_unique<state>()) {
    const http_call call{"POST", target, body, std::move(headers), timeout};
    state_->timeout_ = timeout;
    state_->parser_.body_limit(std::numeric_limits<std::uint64_t>::max());
    if (connect_and_send(state_->context_, state_->stream_, port, call)) {
        return;
    }
    const auto failure = run_blocking(state_->context_, [&](auto done) {
        http::async_read_header(state_->stream_, state_->buffer_,
                                state_->parser_, std::move(done));
    });
    if (!failure) {
        state_->status_ = state_->parser_.get().result_int();
    }
}

http_stream::~http_stream() = default;
http_stream::http_stream(http_stream&&) noexcept = default;
http_stream& http_stream::operator=(http_stream&&) noexcept = default;

unsigned http_stream::status() const {
    return state_->status_;
}

std::optional<std::string> http_stream::next_event() {
    constexpr std::string_view separator = "\n\n";
    auto& received = state_->received_;
    auto end = received.find(separator);
    while (end == std::string::npos && state_->read_some()) {
        end = received.find(separator);
    }
    if (end == std::string::npos) {
        return std::nullopt;
    }
    auto event = received.substr(0, end);
    received.erase(0, end + separator.size());
    return event;
}

std::string http_stream::rest() {
    while (state_->read_some()) {
    }
    return std::exchange(state_->received_, {});
}

bool http_stream::ended() const {
    return state_->status_ != 0 && !state_->failed_ &&
           state_->parser_.is_done();
}

void http_stream::close() {
    error_code ignored;
    state_->stream_.socket().close(ignored);
    state_->failed_ = true;
}

} // namespace pimentoferry::standins
