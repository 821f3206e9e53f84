/// The cell owner's view of one engine.
///
/// Combines the owner's own accounting, which is exact for the attempts that it
/// granted, with the engine's delayed load reports, which also list attempts
/// unknown to the owner.
///
///     engine_view engine{description, prefix_limit, interval_target};
///     if (engine.serving() && engine.free_slots() > 0) {
///         engine.hold(kv_blocks);
///     }
#ifndef PIMENTOFERRY_PLACEMENT_ENGINE_VIEW_HPP
#define PIMENTOFERRY_PLACEMENT_ENGINE_VIEW_HPP

#include "pimentoferry/base/time.hpp"
#include "pimentoferry/placement/events.hpp"
#include "pimentoferry/placement/latency_model.hpp"
#include "pimentoferry/placement/prefix_index.hpp"

#include <cstddef>
#include <cstdint>

namespace pimentoferry::placement {

/// Slots and KV blocks of an engine or of a pool.
struct engine_resources {
    std::uint32_t slots_{0};
    std::uint32_t kv_blocks_{0};
};

class engine_view {
public:
    engine_view(const engine_description& description,
                std::size_t prefix_limit,
                base::milliseconds interval_target);

    /// Applies a changed description; the accounting stays.
    void update_description(const engine_description& description);
    /// Marks the engine as removed from the engine set: it gets no new work.
    void remove() { present_ = false; }
    [[nodiscard]] bool present() const { return present_; }

    /// Applies a report unless a newer one was applied. `unknown` of its
    /// `listed` attempts are unknown to the owner. A report that was taken
    /// after a crash marks the engine as up again.
    void report(const load_report& r,
                std::uint32_t unknown,
                std::size_t listed,
                base::time_point now);
    [[nodiscard]] base::time_point reported() const { return reported_; }

    /// The engine process crashed: resets all accounting.
    void crash(base::time_point now);
    [[nodiscard]] bool down() const { return down_; }

    /// The engine refused work that should have fitted: one more slot counts as
    /// used until the next report.
    void record_refusal() { ++unaccounted_.slots_; }

    [[nodiscard]] const base::upstream_name& name() const {
        return description_.engine_;
    }
    [[nodiscard]] const engine_description& description() const {
        return description_;
    }
    [[nodiscard]] bool is(engine_role role) const {
        return description_.role_ == role;
    }
    /// Whether it may receive new work.
    [[nodiscard]] bool serving() const {
        return present_ && !down_ && !draining_ && !description_.leaving_;
    }

    /// Slots that may be used while a step meets the token interval target.
    [[nodiscard]] std::uint32_t batch_cap() const { return batch_cap_; }
    void set_interval_target(base::milliseconds target);
    [[nodiscard]] std::uint32_t free_slots() const;
    [[nodiscard]] std::uint32_t free_kv_blocks() const;
    /// Whether the blocks fit into the memory of the idle engine.
    [[nodiscard]] bool has_memory(std::uint32_t kv_blocks) const;
    /// Slots in use, by the owner's accounting and by the last report.
    [[nodiscard]] std::uint32_t used_slots() const {
        return held_.slots_ + unaccounted_.slots_;
    }
    [[nodiscard]] engine_resources held() const { return held_; }

    void hold(std::uint32_t kv_blocks);
    void release(std::uint32_t kv_blocks);
    /// Counts an attempt of before the takeover; see `set_rebuilding`.
    void add_announced() { ++announced_; }
    void remove_announced();
    /// While set, only half of the slots that were free at the takeover may be
    /// used.
    void set_rebuilding(bool on) { rebuilding_ = on; }

    void hold_suspect() { ++suspects_; }
    void release_suspect();
    [[nodiscard]] bool has_suspect() const { return suspects_ > 0; }

    // Prefills.
    void start_prefill(double expected_ms, base::time_point now);
    /// `expected_ms` must be the value passed at the start.
    void end_prefill(double expected_ms, base::time_point now);
    [[nodiscard]] std::uint32_t prefills() const { return prefills_; }
    /// Predicted time until all its prefills end.
    [[nodiscard]] double backlog_ms(base::time_point now) const;
    /// When the running prefill started.
    [[nodiscard]] base::time_point prefill_began() const {
        return prefill_began_;
    }
    [[nodiscard]] double prefill_ms(std::uint32_t tokens) const;
    void observe_prefill(std::uint32_t tokens, double time_ms);
    [[nodiscard]] prefix_index& prefixes() { return prefixes_; }
    [[nodiscard]] const prefix_index& prefixes() const { return prefixes_; }

    // Decoding.
    void start_decoding(base::time_point now);
    void end_decoding(base::time_point now);
    [[nodiscard]] std::uint32_t decoding() const { return decoding_; }
    /// Integral over time of the number of decoding requests, in request ms.
    /// The mean batch size during a stream is the increase of this value
    /// divided by the duration of the stream.
    [[nodiscard]] double batch_integral(base::time_point now) const;
    [[nodiscard]] double step_ms() const;
    void observe_step(double mean_batch, double time_ms);
    void start_inline_prefill(base::time_point now) { last_inline_ = now; }
    [[nodiscard]] base::time_point last_inline() const { return last_inline_; }

private:
    [[nodiscard]] std::uint32_t usable_slots() const;
    void update_batch_cap();

    engine_description description_;
    base::milliseconds interval_target_;
    std::uint32_t batch_cap_{1};
    bool present_{true};
    bool draining_{false};
    bool down_{false};
    bool rebuilding_{false};
    base::time_point crashed_;
    base::time_point reported_;
    engine_resources held_;
    engine_resources unaccounted_;
    std::uint32_t announced_{0};
    std::uint32_t suspects_{0};
    std::uint32_t prefills_{0};
    double expected_prefill_ms_{0}; ///< Of all running and queued prefills.
    base::time_point prefill_began_;
    std::uint32_t decoding_{0};
    double batch_integral_{0};
    base::time_point integral_until_;
    base::time_point last_inline_;
    linear_estimate prefill_{default_prefill_estimate()};
    linear_estimate step_{default_step_estimate()};
    prefix_index prefixes_;
};

} // namespace pimentoferry::placement

#endif
