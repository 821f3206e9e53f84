#include "standins/engine.hpp"

#include "standins/http_fetch.hpp"

#include <algorithm>
#include <array>
#include <string_view>

namespace pimentoferry::standins {
namespace {

constexpr milliseconds drain_poll_interval{5};
// Keeps a failing download from blocking the following orders forever.
constexpr std::chrono::seconds download_timeout{300};
constexpr std::array<std::string_view, 4> order_kinds{
    "load_model", "load_adapter", "load_version", "change_role"};

// Returns the name of the member that holds the value of an order, such as
// `model`.
std::string value_name(const std::string& kind) {
    return kind.substr(kind.find('_') + 1);
}

bool drains(const std::string& kind) {
    return kind != "load_adapter";
}

} // namespace

engine::order engine::accept_order(const json& body) {
    order received;
    received.fencing_ = number_or(body, "fencing", 0);
    received.kind_ = text_or(body, "order", "");
    received.value_ = text_or(body, value_name(received.kind_), "");
    const bool valid_kind = std::ranges::count(order_kinds, received.kind_) > 0;
    const bool old = received.fencing_ < highest_fencing_;
    if (!valid_kind || received.value_.empty()) {
        received.status_ = 400;
    } else if (old && settings_.checks_fencing_) {
        received.status_ = 412;
    } else {
        highest_fencing_ = std::max(highest_fencing_, received.fencing_);
        received.changed_ = would_change(received);
    }
    return received;
}

// Returns false for a repeated order, whether the first one was executed or is
// still pending.
bool engine::would_change(const order& candidate) const {
    const auto last = std::find_if(
        pending_orders_.rbegin(), pending_orders_.rend(),
        [&](const order& waiting) { return waiting.kind_ == candidate.kind_; });
    if (last != pending_orders_.rend() && candidate.kind_ != "load_adapter") {
        return last->value_ != candidate.value_;
    }
    if (candidate.kind_ == "load_model") {
        return settings_.model_ != candidate.value_;
    }
    if (candidate.kind_ == "load_version") {
        return settings_.version_ != candidate.value_;
    }
    if (candidate.kind_ == "change_role") {
        return settings_.role_ != candidate.value_;
    }
    const bool waits =
        std::ranges::any_of(pending_orders_, [&](const order& waiting) {
            return waiting.kind_ == candidate.kind_ &&
                   waiting.value_ == candidate.value_;
        });
    return !waits &&
           std::ranges::count(settings_.adapters_, candidate.value_) == 0;
}

net::awaitable<void> engine::receive_order(exchange& call) {
    const auto received = accept_order(call.body_json());
    orders_.push_back(received);
    if (received.changed_) {
        pending_orders_.push_back(received);
    }
    json answer{json::object{{"changed", json{received.changed_}},
                             {"fencing", json{highest_fencing_}}}};
    co_await call.reply(received.status_, std::move(answer));
}

void engine::execute_order(const order& accepted) {
    if (accepted.kind_ == "load_model") {
        settings_.model_ = accepted.value_;
        settings_.adapters_.clear();
    } else if (accepted.kind_ == "load_version") {
        settings_.version_ = accepted.value_;
    } else if (accepted.kind_ == "change_role") {
        settings_.role_ = accepted.value_;
    } else {
        settings_.adapters_.push_back(accepted.value_);
    }
    if (drains(accepted.kind_)) {
        // Cached KV blocks of another model or version must not be reused.
        cache_.trim(0, steady::now());
    }
}

net::awaitable<void> engine::load_weights(order accepted) {
    co_await sleep_for(context_.get_executor(),
                       milliseconds{settings_.load_ms_});
    if (settings_.weights_.empty() || accepted.kind_ == "change_role") {
        co_return;
    }
    const bool version = accepted.kind_ == "load_version";
    const auto model = version ? settings_.model_ : accepted.value_;
    const auto tag = version ? accepted.value_ : settings_.version_;
    auto target = "/v1/weights/" + model + "/" + tag;
    const auto deadline = steady::now() + download_timeout;
    unsigned status = 0;
    while (status != 200 && steady::now() < deadline) {
        auto stream =
            std::make_shared<beast::tcp_stream>(context_.get_executor());
        const auto answer =
            co_await fetch(stream, settings_.weights_, target, deadline);
        status = answer.status_;
        co_await sleep_for(context_.get_executor(), drain_poll_interval);
    }
}

net::awaitable<void> engine::execute_orders(std::shared_ptr<engine> self) {
    for (;;) {
        if (self->pending_orders_.empty()) {
            co_await sleep_for(self->context_.get_executor(),
                               drain_poll_interval);
            continue;
        }
        const auto next = self->pending_orders_.front();
        self->draining_ = drains(next.kind_);
        while (self->draining_ && !self->attempts_.all().empty()) {
            co_await sleep_for(self->context_.get_executor(),
                               drain_poll_interval);
        }
        co_await self->load_weights(next);
        self->execute_order(next);
        self->pending_orders_.pop_front();
        self->draining_ = false;
    }
}

json engine::orders_json() const {
    json::array list;
    for (const auto& received : orders_) {
        list.emplace_back(json::object{{"fencing", json{received.fencing_}},
                                       {"order", json{received.kind_}},
                                       {"value", json{received.value_}},
                                       {"status", json{received.status_}},
                                       {"changed", json{received.changed_}}});
    }
    return json{json::object{{"orders", json{std::move(list)}},
                             {"pending", json{pending_orders_.size()}}}};
}

} // namespace pimentoferry::standins
