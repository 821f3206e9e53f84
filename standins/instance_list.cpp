#include "standins/instance_list.hpp"

namespace pimentoferry::standins {

instance_list::instance_list(const json& switches) {
    versions_.push_back({steady::now(), json{json::array{}}});
    apply(switches, milliseconds{0});
}

void instance_list::apply(const json& switches, milliseconds lag) {
    lag_ = milliseconds{number_or(switches, "lag_ms", lag_.count())};
    mode_ = text_or(switches, "mode", mode_);
    if (const auto* instances = find_member(switches, "instances")) {
        versions_.push_back({steady::now() + lag, *instances});
    }
}

const json& instance_list::visible() {
    const auto now = steady::now();
    while (versions_.size() > 1 && versions_[1].visible_at_ <= now) {
        versions_.pop_front();
    }
    return versions_.front().instances_;
}

json instance_list::stats() const {
    return json{json::object{
        {"calls", json{calls_}},
        {"mode", json{mode_}},
        {"lag_ms", json{lag_.count()}},
        {"instances", versions_.back().instances_},
    }};
}

net::awaitable<void> instance_list::handle(exchange& call) {
    if (call.path() == "/control" && call.method() == "POST") {
        const auto switches = call.body_json();
        const auto lag = number_or(switches, "lag_ms", lag_.count());
        apply(switches, milliseconds{lag});
        co_await call.reply(200, stats());
    } else if (call.path() == "/stats") {
        co_await call.reply(200, stats());
    } else if (mode_ == "down") {
        call.close_unanswered();
    } else if (call.path() == "/v1/instances") {
        ++calls_;
        json body{json::object{{"instances", visible()}}};
        co_await call.reply(200, std::move(body));
    }
}

} // namespace pimentoferry::standins
