#include "standins/engine.hpp"

#include "pimentoferry/base/hash.hpp"
#include "pimentoferry/base/ids.hpp"
#include "standins/expected_answer.hpp"

#include <algorithm>
#include <charconv>
#include <random>

namespace pimentoferry::standins {
namespace {

// Upper bound on the delay between the expiry and the release of an attempt.
constexpr milliseconds maintenance_interval{10};

std::string random_instance() {
    std::random_device device;
    constexpr int half_bits = 32;
    return base::to_hex((std::uint64_t{device()} << half_bits) | device());
}

json code(const char* text) {
    return json{json::object{{"code", json{text}}}};
}

} // namespace

engine::engine(net::io_context& context, const json& switches)
    : context_(context), instance_(random_instance()), batch_wake_(context) {
    apply(settings_, switches);
    cache_.set_gap(settings_.event_gap_);
    refresh_load(steady::now());
}

void engine::start() {
    net::co_spawn(context_, maintain(shared_from_this()), net::detached);
    net::co_spawn(context_, run_batch(shared_from_this()), net::detached);
    net::co_spawn(context_, execute_orders(shared_from_this()), net::detached);
}

net::awaitable<void> engine::maintain(std::shared_ptr<engine> self) {
    for (;;) {
        const auto now = steady::now();
        for (const auto& expired : self->attempts_.expired(now)) {
            self->release(expired);
        }
        self->refresh_load(now);
        co_await sleep_for(self->context_.get_executor(), maintenance_interval);
    }
}

net::awaitable<void> engine::handle(exchange& call) {
    const std::string path = call.path();
    if (path == "/control" && call.method() == "POST") {
        apply(settings_, call.body_json());
        cache_.set_gap(settings_.event_gap_);
        co_await call.reply(200, stats());
    } else if (path == "/stats") {
        co_await call.reply(200, stats());
    } else if (path == "/orders") {
        co_await call.reply(200, orders_json());
    } else {
        co_await serve_v1(call);
    }
}

net::awaitable<void> engine::serve_v1(exchange& call) {
    const std::string path = call.path();
    const std::string handle{after_prefix(path, "/v1/kv/")};
    if (path == "/v1/prefill") {
        co_await prefill(call);
    } else if (path == "/v1/import") {
        co_await import(call);
    } else if (path == "/v1/decode") {
        co_await decode(call);
    } else if (path == "/v1/cancel") {
        co_await cancel_attempts(call);
    } else if (path == "/v1/orders") {
        co_await receive_order(call);
    } else if (path == "/v1/load") {
        // GCC 12 destroys a conditional operand of co_await twice, so the
        // report is selected before the co_await.
        json report =
            settings_.load_lag_ms_ <= 0 ? load_report() : load_published_;
        co_await call.reply(200, std::move(report));
    } else if (path == "/v1/cache_events") {
        const auto text = call.query("after");
        std::uint64_t after = 0;
        std::from_chars(text.data(), text.data() + text.size(), after);
        co_await call.reply(200, cache_events(after));
    } else if (!handle.empty()) {
        co_await export_result(call, handle);
    }
}

attempt_ptr engine::make_attempt(const json& body) const {
    auto created = std::make_shared<attempt>(context_.get_executor());
    created->id_ = text_or(body, "attempt", "");
    created->prompt_ = text_or(body, "prompt", "");
    created->prompt_hash_ = base::hash_bytes(created->prompt_);
    created->prompt_tokens_ = count_tokens(created->prompt_);
    created->priority_ = number_or(body, "priority", 0);
    return created;
}

net::awaitable<void>
engine::refuse(exchange& call, unsigned status, json body) {
    co_await call.reply(status, std::move(body));
}

net::awaitable<void> engine::refuse_released(exchange& call,
                                             attempt_ptr state) {
    const bool cancelled = attempts_.is_cancelled(state->id_);
    co_await refuse(call, cancelled ? 410 : 504,
                    code(cancelled ? "cancelled" : "deadline"));
}

net::awaitable<bool> engine::admit(exchange& call, attempt_ptr added) {
    if (added->id_.empty()) {
        co_await refuse(call, 400, code("attempt_required"));
        co_return false;
    }
    const auto outcome =
        attempts_.admit(added, settings_.slots_, settings_.kv_blocks_);
    if (outcome == admission::admitted) {
        cache_.trim(free_kv_blocks(), steady::now());
        co_return true;
    }
    if (outcome == admission::full) {
        ++counters_.refused_full_;
        co_await refuse(call, 429, code("full"));
    } else if (outcome == admission::cancelled) {
        co_await refuse(call, 410, code("cancelled"));
    } else {
        co_await refuse(call, 409, code("duplicate"));
    }
    co_return false;
}

net::awaitable<bool>
engine::accepts(exchange& call, std::string role, json target) {
    const auto model = text_or(target, "model", "");
    const auto version = text_or(target, "version", "");
    const auto adapter = text_or(target, "adapter", "");
    const bool loaded =
        settings_.model_.empty() || model.empty() ||
        (model == settings_.model_ &&
         (version.empty() || version == settings_.version_) &&
         (adapter.empty() ||
          std::ranges::count(settings_.adapters_, adapter) > 0));
    if (settings_.role_ != role) {
        co_await refuse(call, 409, code("wrong_role"));
    } else if (draining_) {
        co_await refuse(call, 503, code("draining"));
    } else if (!loaded) {
        co_await refuse(call, 409, code("not_loaded"));
    } else {
        co_return true;
    }
    co_return false;
}

std::int64_t engine::free_kv_blocks() const {
    return settings_.kv_blocks_ - attempts_.kv_blocks_held();
}

void engine::release(const attempt_ptr& state) {
    if (attempts_.find(state->id_) == state) {
        attempts_.release(state->id_);
        count_release(state);
    }
}

void engine::cancel(const std::string& id) {
    ++counters_.cancelled_;
    if (const auto released = attempts_.cancel(id)) {
        count_release(released);
    }
}

void engine::count_release(const attempt_ptr& released) {
    const bool prefilled = released->stage_ == attempt_stage::prefilled ||
                           released->stage_ == attempt_stage::prefilling;
    if (prefilled && !released->exported_) {
        counters_.wasted_tokens_ +=
            released->prompt_tokens_ - released->cached_tokens_;
    }
    std::erase(queue_, released);
}

net::awaitable<void> engine::cancel_attempts(exchange& call) {
    const auto body = call.body_json();
    for (const auto& item : array_of(body, "attempts")) {
        if (const auto* id = std::get_if<std::string>(&item.value_)) {
            cancel(*id);
        }
    }
    json answer{json::object{}};
    co_await call.reply(200, std::move(answer));
}

} // namespace pimentoferry::standins
