#include "standins/engine.hpp"

#include "pimentoferry/base/ids.hpp"
#include "standins/crash.hpp"
#include "standins/expected_answer.hpp"

#include <algorithm>

namespace pimentoferry::standins {

net::awaitable<void> engine::prefill(exchange& call) {
    const auto body = call.body_json();
    if (!co_await accepts(call, "prefill", body)) {
        co_return;
    }
    auto created = make_attempt(body);
    created->kv_blocks_ = kv_blocks_for(created->prompt_tokens_);
    if (!co_await admit(call, created)) {
        co_return;
    }
    if (!co_await run_prefill(created)) {
        co_await refuse_released(call, created);
        co_return;
    }
    const auto hold = std::clamp<std::int64_t>(
        number_or(body, "hold_ms", settings_.max_hold_ms_), 0,
        settings_.max_hold_ms_);
    created->stage_ = attempt_stage::prefilled;
    created->holds_slot_ = false;
    created->handle_ = instance_ + "-" + base::to_hex(++next_handle_);
    created->release_at_ = steady::now() + milliseconds{hold};
    json answer{json::object{{"handle", json{created->handle_}},
                             {"prompt_tokens", json{created->prompt_tokens_}},
                             {"cached_tokens", json{created->cached_tokens_}},
                             {"pieces", json{created->kv_blocks_}}}};
    co_await call.reply(200, std::move(answer));
}

bool engine::may_start_prefill(const attempt_ptr& state) const {
    if (computing_ >= settings_.prefills_at_once_) {
        return false;
    }
    // Selects the oldest of the attempts with the highest priority.
    const auto next =
        std::ranges::max_element(queue_, {}, [](const attempt_ptr& waiting) {
            return waiting->priority_;
        });
    return next != queue_.end() && *next == state;
}

void engine::wake_waiting_prefills() {
    std::ranges::for_each(
        queue_, [](const attempt_ptr& waiting) { waiting->wake_.cancel(); });
}

// Waits in the queue, then runs the prefill. Returns false when the attempt
// was released.
net::awaitable<bool> engine::run_prefill(attempt_ptr state) {
    queue_.push_back(state);
    while (!state->released_ && !may_start_prefill(state)) {
        co_await wait_until(state->wake_, time_point::max());
    }
    std::erase(queue_, state);
    if (state->released_) {
        wake_waiting_prefills();
        co_return false;
    }
    crash_if_contains(state->prompt_, settings_.crash_on_);
    const auto hashes = prefix_hashes(state->prompt_);
    const auto cached = cache_.match(hashes) * tokens_per_block;
    state->cached_tokens_ = static_cast<std::uint32_t>(cached);
    state->stage_ = attempt_stage::prefilling;
    const auto uncached = state->prompt_tokens_ - state->cached_tokens_;
    const auto cost = settings_.prefill_per_token_us_ * uncached;
    const auto deadline =
        steady::now() + microseconds{settings_.prefill_base_us_ +
                                     static_cast<std::int64_t>(cost)};
    ++computing_;
    while (!state->released_ && steady::now() < deadline) {
        co_await wait_until(state->wake_, deadline);
    }
    --computing_;
    wake_waiting_prefills();
    if (state->released_) {
        co_return false;
    }
    ++counters_.prefills_;
    counters_.prefill_tokens_ += uncached;
    counters_.cached_tokens_ += state->cached_tokens_;
    cache_.add(hashes, free_kv_blocks(), steady::now());
    co_return true;
}

} // namespace pimentoferry::standins
