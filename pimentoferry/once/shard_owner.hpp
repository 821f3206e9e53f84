/// The owner of one shard: decides claims and keeps their records durable.
///
///     shard_owner owner{shard, self, settings};
///     owner.read_head(ctx);  // then take_over() on head_read: `shard_set`
///     owner.receive(claim{...}, ctx);
///     owner.pump(ctx);       // after each event: starts the next write
///
/// The verdict `run` is returned only for a claim that is durable in the log.
/// Every other verdict may be based on the records in memory, even at an owner
/// that was replaced and has not detected it yet, because what the log held at
/// any time stays true.
#ifndef PIMENTOFERRY_ONCE_SHARD_OWNER_HPP
#define PIMENTOFERRY_ONCE_SHARD_OWNER_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/once/context.hpp"
#include "pimentoferry/once/events.hpp"
#include "pimentoferry/once/messages.hpp"
#include "pimentoferry/once/record_table.hpp"
#include "pimentoferry/once/shard_log.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_set>
#include <vector>

namespace pimentoferry::once::internal {

/// Minimum time between updates of the low watermark, each of which iterates
/// over all records.
inline constexpr std::chrono::seconds low_watermark_interval{30};

class shard_owner {
public:
    shard_owner(shard_number shard,
                base::instance_id self,
                const settings& limits);

    void read_head(context& ctx);
    void take_over(context& ctx);
    /// Closes the shard without a write to the store. Pending claims receive
    /// `not_owner`.
    void step_down(context& ctx);
    /// Accepts no new claims, and releases the shard when no write is pending.
    void drain() { draining_ = true; }

    void receive(const to_owner& message, context& ctx);
    /// Handles a result of the store and returns the resulting log events, of
    /// which those about ownership are left to `shard_set`.
    std::vector<log_event> handle(const store::result& result, context& ctx);
    void handle_time(context& ctx);
    void pump(context& ctx);
    void set_window(base::milliseconds window) { limits_.window_ = window; }

    [[nodiscard]] std::optional<base::time_point> next_wakeup() const;
    [[nodiscard]] bool is_open() const { return log_.is_open(); }
    [[nodiscard]] bool is_closed() const { return log_.is_closed(); }
    [[nodiscard]] std::uint64_t epoch() const { return log_.epoch(); }
    [[nodiscard]] std::size_t record_count() const { return table_.size(); }

private:
    void clear();
    void on_claim(const claim& request, context& ctx);
    void on_repeated_claim(const claim& request,
                           const record& existing,
                           context& ctx);
    void on_competing_claim(const claim& request,
                            const record& existing,
                            context& ctx);
    void on_competing_claim_in_progress(const claim& request,
                                        const record& existing,
                                        context& ctx);
    void admit(const claim& request, bool is_new, context& ctx);
    void on_result(const report_result& report, context& ctx);
    void on_lost(const report_lost& report, context& ctx);
    void on_abandon(const abandon& request, context& ctx);
    void on_unmatched_abandon(const abandon& request);
    /// The record that the report refers to; null if the attempt does not hold
    /// the key's record, or the key was issued before the low watermark (the
    /// report is then confirmed).
    record* find_reported_record(const log_record& report, context& ctx);

    void on_event(const log_event& event, context& ctx);
    void on_loaded(const segment_loaded& loaded);
    void on_durable(context& ctx);
    void on_record_durable(const log_record& durable, context& ctx);
    void on_blocked(context& ctx);

    void answer(const claim& request, verdict decision, context& ctx);
    void answer_pending_claims(verdict decision, context& ctx);
    void start_write(context& ctx);
    [[nodiscard]] base::time_point next_write() const;

    settings limits_;
    shard_log log_;
    record_table table_;
    std::vector<log_record> queue_; ///< Not written yet.
    std::vector<log_record> batch_; ///< Records of the write in flight.
    /// Attempts without a record whose abandons are in `queue_` or `batch_`.
    std::unordered_set<base::attempt_id> unmatched_abandons_;
    std::size_t pending_claims_{0}; ///< In `queue_` and `batch_`.
    std::optional<base::time_point> last_write_;
    std::optional<base::time_point> next_low_watermark_update_;
    bool blocked_{false};
    bool draining_{false};
};

} // namespace pimentoferry::once::internal

#endif
