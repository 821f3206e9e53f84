/// Simulated prefill and decode engines on virtual time for the policy
/// benchmark.
#ifndef PIMENTOFERRY_BENCH_FAKE_ENGINE_HPP
#define PIMENTOFERRY_BENCH_FAKE_ENGINE_HPP

#include "bench/event_loop.hpp"
#include "bench/workload.hpp"
#include "pimentoferry/placement/events.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace pimentoferry::bench {

/// `not_found`: the prefill result is missing, or the attempt was cancelled.
enum class engine_status : std::uint8_t { done, full, not_found, crashed };

struct prefill_result {
    engine_status status_{engine_status::done};
    std::uint32_t computed_tokens_{0};
    std::uint32_t cached_tokens_{0};
};

/// An engine in one role. Prefills one prompt at a time, in order of arrival,
/// and decodes its whole batch in steps. `loop` must outlive the engine.
class fake_engine {
public:
    using prefill_done = std::function<void(const prefill_result&)>;
    using import_done = std::function<void(engine_status)>;
    /// Called for each token; the last one with `last` set. A negative
    /// position means that the stream failed.
    using token = std::function<void(int position, bool last)>;

    fake_engine(event_loop& loop,
                const machine_settings& settings,
                placement::engine_description description,
                std::uint64_t seed);

    [[nodiscard]] const placement::engine_description& description() const {
        return description_;
    }
    void set_leaving() { description_.leaving_ = true; }

    void
    prefill(base::attempt_id id, const request_sample& s, prefill_done done);
    /// Transfers a prefill result from `source` into a decode slot. A stalled
    /// transfer never completes.
    void import(base::attempt_id id,
                fake_engine& source,
                std::uint32_t kv_blocks,
                bool stalled,
                import_done done);
    void decode(base::attempt_id id, int tokens, token on_token);
    /// Prefills and decodes on this engine.
    void decode_inline(base::attempt_id id,
                       std::uint32_t kv_blocks,
                       std::uint32_t prompt_tokens,
                       int tokens,
                       token on_token);
    void cancel(base::attempt_id id);

    void crash();
    void restart();
    [[nodiscard]] bool up() const { return up_; }

    [[nodiscard]] placement::load_report report() const;
    /// Returns the cache changes since the last call.
    std::vector<placement::cache_change> take_cache_changes();

    /// Called with the number of prefill tokens computed for an attempt, also
    /// if the prefill was interrupted.
    std::function<void(base::attempt_id, double)> on_computed_;

private:
    struct queued_prefill {
        base::attempt_id id_;
        request_sample sample_;
        prefill_done done_;
    };
    struct result {
        std::uint32_t tokens_{0};
        bool exporting_{false};
    };
    struct stream {
        int position_{0};
        int tokens_{0};
        double inline_ms_{0};
        token on_token_;
    };

    void start_next_prefill();
    void finish_prefill(std::uint32_t cached);
    void count_partial_prefill();
    std::uint32_t cached_blocks(const request_sample& s) const;
    void update_cache(const request_sample& s);
    void start_step();
    void end_step(const std::vector<base::attempt_id>& batch);
    double with_noise(double ms);
    /// Schedules a callback that is dropped if the engine crashes before.
    void after(double ms, event_loop::callback work);

    event_loop& loop_;
    machine_settings settings_;
    placement::engine_description description_;
    std::mt19937_64 random_;
    bool up_{true};
    std::uint64_t incarnation_{0};
    std::deque<queued_prefill> queue_;
    std::optional<queued_prefill> running_;
    double running_since_ms_{0};
    double running_time_ms_{0};
    double running_tokens_{0};
    std::uint64_t prefill_number_{0};
    std::map<base::attempt_id, result> results_;
    double link_free_ms_{0};
    std::map<base::attempt_id, std::uint32_t> decode_slots_; ///< KV blocks.
    std::map<base::attempt_id, stream> streams_;
    std::unordered_set<base::attempt_id> cancelled_;
    bool stepping_{false};
    std::deque<std::uint64_t> cache_order_;
    std::unordered_set<std::uint64_t> cache_;
    std::uint64_t cache_sequence_{0};
    std::vector<placement::cache_change> cache_changes_;
};

} // namespace pimentoferry::bench

#endif
