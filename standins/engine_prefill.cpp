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
    auto made = make_attempt(body);
    made->pieces_ = pieces_for(made->prompt_tokens_);
    if (!co_await admit(call, made)) {
        co_return;
    }
    if (!co_await compute(made)) {
        co_await refuse_released(call, made);
        co_return;
    }
    const auto hold = std::clamp<std::int64_t>(
        number_or(body, "hold_ms", settings_.max_hold_ms_), 0,
        settings_.max_hold_ms_);
    made->stage_ = attempt_stage::prefilled;
    made->holds_slot_ = false;
    made->handle_ = instance_ + "-" + base::to_hex(++next_handle_);
    made->release_at_ = steady::now() + milliseconds{hold};
    json answer{json::object{{"handle", json{made->handle_}},
                             {"prompt_tokens", json{made->prompt_tokens_}},
                             {"cached_tokens", json{made->cached_tokens_}},
                             {"pieces", json{made->pieces_}}}};
    co_await call.reply(200, std::move(answer));
}

bool engine::may_compute(const attempt_ptr& which) const {
    if (computing_ >= settings_.prefills_at_once_) {
        return false;
    }
    // The first of those with the highest priority.
    const auto next =
        std::ranges::max_element(queue_, {}, [](const attempt_ptr& waiting) {
            return waiting->priority_;
        });
    return next != queue_.end() && *next == which;
}

void engine::start_next_prefill() {
    std::ranges::for_each(
        queue_, [](const attempt_ptr& waiting) { waiting->wake_.cancel(); });
}

// Waits for its turn and computes; false when the attempt was released.
net::awaitable<bool> engine::compute(attempt_ptr which) {
    queue_.push_back(which);
    while (!which->released_ && !may_compute(which)) {
        co_await wait_until(which->wake_, time_point::max());
    }
    std::erase(queue_, which);
    if (which->released_) {
        start_next_prefill();
        co_return false;
    }
    crash_if_contains(which->prompt_, settings_.crash_on_);
    const auto hashes = prefix_hashes(which->prompt_);
    const auto cached = cache_.match(hashes) * tokens_per_piece;
    which->cached_tokens_ = static_cast<std::uint32_t>(cached);
    which->stage_ = attempt_stage::prefilling;
    const auto uncached = which->prompt_tokens_ - which->cached_tokens_;
    const auto cost = settings_.prefill_per_token_us_ * uncached;
    const auto deadline =
        steady::now() + microseconds{settings_.prefill_base_us_ +
                                     static_cast<std::int64_t>(cost)};
    ++computing_;
    while (!which->released_ && steady::now() < deadline) {
        co_await wait_until(which->wake_, deadline);
    }
    --computing_;
    start_next_prefill();
    if (which->released_) {
        co_return false;
    }
    ++counters_.prefills_;
    counters_.prefill_tokens_ += uncached;
    counters_.cached_tokens_ += which->cached_tokens_;
    cache_.add(hashes, free_pieces(), steady::now());
    co_return true;
}

} // namespace pimentoferry::standins
