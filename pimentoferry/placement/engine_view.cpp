#include "pimentoferry/placement/engine_view.hpp"

#include <algorithm>
#include <chrono>

namespace pimentoferry::placement {

namespace {

// The learnt step time is a mean over a stream; single steps may take longer.
constexpr double step_margin = 1.03;
// Free KV blocks of an engine whose memory size is not known yet.
constexpr std::uint32_t unknown_free_kv_blocks = 1U << 20U;
constexpr double tokens_per_block = 1'000;

double ms_between(base::time_point from, base::time_point to) {
    return std::chrono::duration<double, std::milli>(to - from).count();
}

std::uint32_t saturating_sub(std::uint32_t a, std::uint32_t b) {
    return a > b ? a - b : 0;
}

} // namespace

engine_view::engine_view(const engine_description& description,
                         std::size_t prefix_limit,
                         base::milliseconds interval_target)
    : description_{description}, interval_target_{interval_target},
      prefixes_{prefix_limit} {
    update_batch_cap();
}

void engine_view::set_interval_target(base::milliseconds target) {
    interval_target_ = target;
    update_batch_cap();
}

void engine_view::update_description(const engine_description& description) {
    description_ = description;
    present_ = true;
    update_batch_cap();
}

void engine_view::report(const load_report& r,
                         std::uint32_t unknown,
                         std::size_t listed,
                         base::time_point now) {
    const base::time_point measured_at = now - r.age_;
    if (measured_at < reported_) {
        return;
    }
    if (down_ && measured_at <= crashed_) {
        return;
    }
    reported_ = measured_at;
    down_ = false;
    draining_ = r.draining_;
    if (r.slots_ > 0) {
        description_.slots_ = r.slots_;
    }
    if (r.kv_blocks_ > 0) {
        description_.kv_blocks_ = r.kv_blocks_;
    }
    update_batch_cap();
    unaccounted_.slots_ = unknown;
    const std::uint32_t used = saturating_sub(r.kv_blocks_, r.free_kv_blocks_);
    const auto all = std::max<std::size_t>(listed, 1);
    unaccounted_.kv_blocks_ = static_cast<std::uint32_t>(
        static_cast<std::uint64_t>(used) * unknown / all);
}

void engine_view::crash(base::time_point now) {
    down_ = true;
    crashed_ = now;
    end_decoding(now);
    decoding_ = 0;
    held_ = {};
    unaccounted_ = {};
    announced_ = 0;
    suspects_ = 0;
    prefills_ = 0;
    expected_prefill_ms_ = 0;
    prefixes_.clear();
}

void engine_view::update_batch_cap() {
    const auto time_ms =
        static_cast<double>(interval_target_.count()) / step_margin;
    const double cap = step_.largest_load_under(time_ms);
    const auto whole = static_cast<std::uint32_t>(std::min(cap, 1e6));
    batch_cap_ = std::min(std::max(whole, 1U), description_.slots_);
}

std::uint32_t engine_view::usable_slots() const {
    const std::uint32_t cap = batch_cap_;
    if (!rebuilding_) {
        return cap;
    }
    const std::uint32_t old_slots = announced_ + unaccounted_.slots_;
    return old_slots + saturating_sub(cap, old_slots) / 2;
}

std::uint32_t engine_view::free_slots() const {
    return saturating_sub(usable_slots(), used_slots());
}

std::uint32_t engine_view::free_kv_blocks() const {
    if (description_.kv_blocks_ == 0) {
        return unknown_free_kv_blocks;
    }
    return saturating_sub(description_.kv_blocks_,
                          held_.kv_blocks_ + unaccounted_.kv_blocks_);
}

bool engine_view::has_memory(std::uint32_t kv_blocks) const {
    return description_.kv_blocks_ == 0 || description_.kv_blocks_ >= kv_blocks;
}

void engine_view::hold(std::uint32_t kv_blocks) {
    ++held_.slots_;
    held_.kv_blocks_ += kv_blocks;
}

void engine_view::release(std::uint32_t kv_blocks) {
    held_.slots_ = saturating_sub(held_.slots_, 1);
    held_.kv_blocks_ = saturating_sub(held_.kv_blocks_, kv_blocks);
}

void engine_view::remove_announced() {
    announced_ = saturating_sub(announced_, 1);
}

void engine_view::release_suspect() {
    suspects_ = saturating_sub(suspects_, 1);
}

void engine_view::start_prefill(double expected_ms, base::time_point now) {
    if (prefills_ == 0) {
        prefill_began_ = now;
    }
    ++prefills_;
    expected_prefill_ms_ += expected_ms;
}

void engine_view::end_prefill(double expected_ms, base::time_point now) {
    prefills_ = saturating_sub(prefills_, 1);
    expected_prefill_ms_ = std::max(0.0, expected_prefill_ms_ - expected_ms);
    prefill_began_ = now;
}

double engine_view::backlog_ms(base::time_point now) const {
    if (prefills_ == 0) {
        return 0;
    }
    // The running prefill may exceed its expected time, but the prefills queued
    // behind it have not started.
    const double behind = expected_prefill_ms_ * (prefills_ - 1) / prefills_;
    return std::max(behind,
                    expected_prefill_ms_ - ms_between(prefill_began_, now));
}

double engine_view::prefill_ms(std::uint32_t tokens) const {
    return prefill_.predict(tokens / tokens_per_block);
}

void engine_view::observe_prefill(std::uint32_t tokens, double time_ms) {
    prefill_.observe(tokens / tokens_per_block, time_ms);
}

void engine_view::start_decoding(base::time_point now) {
    batch_integral_ = batch_integral(now);
    integral_until_ = now;
    ++decoding_;
}

void engine_view::end_decoding(base::time_point now) {
    batch_integral_ = batch_integral(now);
    integral_until_ = now;
    decoding_ = saturating_sub(decoding_, 1);
}

double engine_view::batch_integral(base::time_point now) const {
    return batch_integral_ + decoding_ * ms_between(integral_until_, now);
}

double engine_view::step_ms() const {
    return step_.predict(std::max<std::uint32_t>(used_slots(), 1));
}

void engine_view::observe_step(double mean_batch, double time_ms) {
    step_.observe(mean_batch, time_ms);
    update_batch_cap();
}

} // namespace pimentoferry::placement
