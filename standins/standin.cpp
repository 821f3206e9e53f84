#include "standins/standin.hpp"

#include "standins/engine.hpp"
#include "standins/http_server.hpp"
#include "standins/instance_list.hpp"
#include "standins/plain_service.hpp"
#include "standins/platform_replica.hpp"
#include "standins/platform_store.hpp"
#include "standins/store_server.hpp"
#include "standins/weight_store.hpp"

#include <charconv>
#include <memory>
#include <optional>

namespace pimentoferry::standins {
namespace {

constexpr const char* default_listen = "127.0.0.1:0";

std::optional<started> parse_listen(const std::string& text) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    started address{text.substr(0, colon), 0};
    const auto* end = text.data() + text.size();
    const auto parsed =
        std::from_chars(text.data() + colon + 1, end, address.port_);
    if (parsed.ec != std::errc{} || parsed.ptr != end) {
        return std::nullopt;
    }
    return address;
}

// The handler shares ownership of the role, which lives as long as its
// connections.
template <class Role>
handler handler_of(std::shared_ptr<Role> role) {
    return [role](exchange& call) { return role->handle(call); };
}

std::optional<handler> make_handler(net::io_context& context,
                                    const json& description) {
    const auto role = text_or(description, "standin", "");
    if (role == "engine") {
        auto created = std::make_shared<engine>(context, description);
        created->start();
        return handler_of(std::move(created));
    }
    if (role == "service") {
        return handler_of(std::make_shared<plain_service>(description));
    }
    if (role == "store") {
        return handler_of(std::make_shared<store_server>(description));
    }
    if (role == "instances") {
        return handler_of(std::make_shared<instance_list>(description));
    }
    if (role == "weights") {
        return handler_of(std::make_shared<weight_store>(description));
    }
    if (role == "platform-store") {
        return handler_of(std::make_shared<platform_store>(description));
    }
    if (role == "platform-replica") {
        return handler_of(std::make_shared<platform_replica>(description));
    }
    return std::nullopt;
}

} // namespace

start_result start_standin(net::io_context& context, const json& description) {
    auto address = parse_listen(text_or(description, "listen", default_listen));
    if (!address) {
        return bad_description{"listen must be ip:port"};
    }
    auto answer = make_handler(context, description);
    if (!answer) {
        return bad_description{
            "standin must be engine, service, store, instances, weights, "
            "platform-store or platform-replica"};
    }
    try {
        address->port_ =
            listen(context, address->ip_, address->port_, std::move(*answer));
    } catch (const boost::system::system_error& failure) {
        return bad_description{failure.what()};
    }
    return *address;
}

running_standin::running_standin(const std::string& description)
    : context_(std::make_unique<net::io_context>(1)) {
    const auto result =
        start_standin(*context_, parse_json(description).value_or(json{}));
    if (const auto* address = std::get_if<started>(&result)) {
        port_ = address->port_;
        thread_ = std::thread{[this] { context_->run(); }};
    }
}

running_standin::~running_standin() {
    stop();
}

void running_standin::stop() {
    if (thread_.joinable()) {
        context_->stop();
        thread_.join();
    }
    // Closes the listening socket and all connections.
    context_.reset();
}

} // namespace pimentoferry::standins
