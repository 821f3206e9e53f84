/// The owner of one shard: judges claims and keeps their records durable.
///
///     shard_owner owner{shard, self, settings};
///     owner.inspect(ctx);  // then take() on head_read, see `shard_set`
///     owner.receive(claim{...}, ctx);
///     owner.pump(ctx);     // after each event: starts the next write
///
/// `run` is answered only for a record that is durable in the log. Every
/// other answer may come from memory, even of an owner that was replaced
/// without knowing it: what the log once held stays true.
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

/// The floor is raised at most this often, because that walks all records.
inline constexpr std::chrono::seconds floor_interval{30};

class shard_owner {
public:
    shard_owner(shard_number shard,
                base::instance_id self,
                const settings& limits);

    void inspect(context& ctx);
    void take(context& ctx);
    /// Gives up the shard without a word in the store. Claims that wait are
    /// told `not_owner`.
    void step_down(context& ctx);
    /// Takes no new claims, and releases the shard when nothing waits.
    void drain() { draining_ = true; }

    void receive(const to_owner& message, context& ctx);
    /// Returns what concerns ownership; the rest is handled here.
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
    void on_claim(const claim& asked, context& ctx);
    void on_own_claim(const claim& asked, const record& held, context& ctx);
    void on_other_claim(const claim& asked, const record& held, context& ctx);
    void
    on_claimed_elsewhere(const claim& asked, const record& held, context& ctx);
    void admit(const claim& asked, bool is_new, context& ctx);
    void on_result(const report_result& report, context& ctx);
    void on_lost(const report_lost& report, context& ctx);
    void on_abandon(const abandon& given_up, context& ctx);
    void on_unheld_abandon(const abandon& given_up);
    /// The record a report is about, if it may still be reported on.
    record* reported(const log_record& report, context& ctx);

    void on_event(const log_event& event, context& ctx);
    void on_loaded(const segment_loaded& loaded);
    void on_durable(context& ctx);
    void on_record_durable(const log_record& durable, context& ctx);
    void on_blocked(context& ctx);

    void answer(const claim& asked, verdict told, context& ctx);
    void answer_waiting(verdict told, context& ctx);
    void start_write(context& ctx);
    [[nodiscard]] base::time_point next_write() const;

    settings limits_;
    shard_log log_;
    record_table table_;
    std::vector<log_record> queue_; ///< Not written yet.
    std::vector<log_record> batch_; ///< In the write in flight.
    /// Abandons in `queue_` and `batch_` of attempts without a record.
    std::unordered_set<base::attempt_id> unheld_;
    std::size_t waiting_claims_{0}; ///< In `queue_` and `batch_`.
    std::optional<base::time_point> last_write_;
    std::optional<base::time_point> next_floor_;
    bool blocked_{false};
    bool draining_{false};
};

} // namespace pimentoferry::once::internal

#endif
