/// The log of one shard in the store, as written by its owner or the entry that
/// takes it over.
///
///     shard_log log{shard, self, segment_bytes, store_retry_interval};
///     log.read_head(ctx);             // head_read
///     log.take_over(ctx);             // writes the head with epoch + 1, reads
///                                     // the segments, fences: log_opened
///     taken = log.append(queue, ctx); // then batch_durable or log_lost
///
/// One operation is in flight at a time. Every write is a compare-and-swap;
/// when it fails or its response is lost, the value is read back. A write that
/// has not taken effect by then may still do so later, so the same bytes are
/// written again until they are stored or another write has succeeded.
///
/// An absent segment either was not created yet or was deleted by a newer
/// owner; in the latter case creating it again causes no conflict. Therefore
/// the head is read after each creation, and the segment is valid only if the
/// head has not changed.
#ifndef PIMENTOFERRY_ONCE_SHARD_LOG_HPP
#define PIMENTOFERRY_ONCE_SHARD_LOG_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/once/context.hpp"
#include "pimentoferry/once/log_format.hpp"
#include "pimentoferry/store/operations.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace pimentoferry::once::internal {

/// The owner and epoch in the head; call `take_over` or `close` next.
struct head_read {
    base::instance_id owner_; ///< 0: none.
    std::uint64_t epoch_{0};
};
/// Records of one segment, in order. A segment may be loaded again with further
/// records appended.
struct segment_loaded {
    std::vector<log_record> records_;
};
/// The log is fenced and open for `append`.
struct log_opened {
    std::uint64_t epoch_{0};
};
/// The records of the last `append` are durable.
struct batch_durable {};
struct low_watermark_raised {};
struct log_released {
    std::uint64_t epoch_{0};
};
/// Another entry owns the shard, or its log cannot be read. The log is
/// closed.
struct log_lost {};
/// The outcome of a write is not known and the store does not answer.
struct store_blocked {};

using log_event = std::variant<head_read,
                               segment_loaded,
                               log_opened,
                               batch_durable,
                               low_watermark_raised,
                               log_released,
                               log_lost,
                               store_blocked>;

class shard_log {
public:
    shard_log(shard_number shard,
              base::instance_id self,
              std::size_t segment_bytes,
              base::milliseconds store_retry_interval);

    /// Reads the head. Only when closed.
    void read_head(context& ctx);
    /// Takes the shard over at the head that the last `head_read` returned.
    void take_over(context& ctx);
    /// Discards all state; the result of an operation in flight is ignored.
    void close();
    /// Starts a write of the first records of the queue and returns their
    /// number; 0 if the segment has to be sealed first. Only when idle.
    std::size_t append(std::span<const log_record> queue, context& ctx);
    /// Raises the low watermark past the leading sealed segments whose keys
    /// were all issued before `cutoff`, then deletes these segments. Returns
    /// false if there are none.
    bool raise_low_watermark(base::wall_time cutoff, context& ctx);
    /// Releases the shard: writes a head without an owner.
    void release(context& ctx);

    std::vector<log_event> handle(const store::result& result, context& ctx);
    void handle_time(context& ctx);

    [[nodiscard]] std::optional<base::time_point> next_wakeup() const {
        return retry_at_;
    }
    [[nodiscard]] bool is_closed() const { return step_ == step::closed; }
    /// Open, and no operation is in flight.
    [[nodiscard]] bool is_idle() const { return step_ == step::idle; }
    /// Fenced, and not known to be taken over by another entry.
    [[nodiscard]] bool is_open() const;
    /// True when the last segment is sealed and its successor is not created.
    [[nodiscard]] bool is_sealed() const { return next_segment_.has_value(); }
    [[nodiscard]] std::uint64_t epoch() const { return head_.epoch_; }
    [[nodiscard]] base::wall_time low_watermark() const {
        return head_.low_watermark_;
    }

private:
    enum class step : std::uint8_t {
        closed,
        reading_head,
        head_loaded,
        writing_head,
        reading_segment,
        fencing,
        idle,
        appending,
        sealing,
        raising_low_watermark,
        releasing,
    };

    /// A write whose outcome is not known yet.
    struct pending_write {
        store::put put_;
        int tries_{0}; ///< 0: no write is pending.
    };

    struct sealed_segment {
        segment_number number_{0};
        store::revision revision_{0};
        base::wall_time last_issue_{};
    };

    using events = std::vector<log_event>;

    [[nodiscard]] bool is_writing() const { return pending_.tries_ > 0; }

    void send(store::request request, context& ctx);
    void write(step next, store::put put, context& ctx);
    void write_again(context& ctx);
    void read_back(context& ctx);
    void retry_later(context& ctx);
    void read_segment(segment_number number, context& ctx);
    void fence(context& ctx);
    void list_garbage(context& ctx);
    void erase_garbage(const store::listed& listed, context& ctx);
    void erase_sealed(context& ctx);
    void update_last_issue(const log_record& record);

    void on_read(const store::outcome& outcome, events& out, context& ctx);
    void on_head(const store::outcome& outcome, events& out);
    void on_segment(const store::outcome& outcome, events& out, context& ctx);
    void on_segment_found(const store::found& found, events& out, context& ctx);
    void on_write(const store::outcome& outcome, events& out, context& ctx);
    void on_read_back(const store::outcome& outcome, events& out, context& ctx);
    void on_not_written(events& out, context& ctx);
    void on_superseded(events& out, context& ctx);
    void on_written(store::revision revision, events& out, context& ctx);
    void check_head(context& ctx);
    void
    on_head_checked(const store::outcome& outcome, events& out, context& ctx);
    /// Completes the step whose write has taken effect.
    void complete_write(store::revision revision, events& out, context& ctx);
    void on_head_written(store::revision revision);
    void on_segment_written(store::revision revision);
    void close_as_lost(events& out);

    shard_number shard_;
    base::instance_id self_;
    std::size_t segment_bytes_;
    base::milliseconds store_retry_interval_;

    step step_{step::closed};
    /// In flight; results with other tokens are stale.
    store::token operation_;
    store::token garbage_list_;
    std::optional<base::time_point> retry_at_;
    bool reading_back_{false};
    bool checking_head_{false};
    store::revision created_revision_{0}; ///< While `checking_head_`.
    pending_write pending_;

    log_head head_;
    store::revision head_revision_{0};
    log_head next_head_; ///< The head that the write in flight stores.

    segment_number number_{0}; ///< The open segment.
    std::string content_;
    store::revision revision_{0};
    base::wall_time last_issue_{};
    /// Successor of the sealed segment, until it is created.
    std::optional<segment_number> next_segment_;
    std::vector<sealed_segment> sealed_;
    std::uint64_t batch_{0};
};

} // namespace pimentoferry::once::internal

#endif
