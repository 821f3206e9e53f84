/// The log of one shard in the store, as its (future) owner writes it.
///
///     shard_log log{shard, self, segment_bytes, store_retry};
///     log.inspect(ctx);               // reads the head: head_read
///     log.take(ctx);                  // writes the head with epoch + 1, reads
///                                     // the segments, fences: log_opened
///     taken = log.append(queue, ctx); // then batch_durable or log_lost
///
/// One operation is in flight at a time. Every write is a compare-and-swap;
/// when its answer is lost, or it fails, the value is read back. A write that
/// is found not to have taken effect may still do so later, so the same bytes
/// are written again until they stand or another write has won.
///
/// A segment that is absent may not have been created yet, or it may have been
/// deleted by a newer owner, and then its creation conflicts with nothing. So
/// the head is read after each creation: the segment counts only if the head
/// has not changed hands by then.
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

/// The head names this owner; `take` or `close` follows.
struct head_read {
    base::instance_id owner_; ///< 0: none.
    std::uint64_t epoch_{0};
};
/// Records of one segment, in order. A segment may be loaded again with more
/// records behind those that were there.
struct segment_loaded {
    std::vector<log_record> records_;
};
/// The log is fenced and open for `append`.
struct log_opened {
    std::uint64_t epoch_{0};
};
/// The records of the last `append` are durable.
struct batch_durable {};
struct floor_raised {};
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
                               floor_raised,
                               log_released,
                               log_lost,
                               store_blocked>;

class shard_log {
public:
    shard_log(shard_number shard,
              base::instance_id self,
              std::size_t segment_bytes,
              base::milliseconds store_retry);

    /// Reads the head. Only when closed.
    void inspect(context& ctx);
    /// Takes the shard over from what `head_read` told.
    void take(context& ctx);
    /// Forgets the shard; an operation in flight has no further effect here.
    void close();
    /// Starts a write of the first records of the queue and returns how many
    /// it holds; 0 if the segment had to be sealed first. Only when idle.
    std::size_t append(std::span<const log_record> queue, context& ctx);
    /// Deletes the leading segments whose keys were all issued before
    /// `cutoff`, after raising the floor. False if there are none.
    bool raise_floor(base::wall_time cutoff, context& ctx);
    /// Hands the shard over: the head names no owner.
    void release(context& ctx);

    std::vector<log_event> handle(const store::result& result, context& ctx);
    void handle_time(context& ctx);

    [[nodiscard]] std::optional<base::time_point> next_wakeup() const {
        return retry_at_;
    }
    [[nodiscard]] bool is_closed() const { return step_ == step::closed; }
    /// Open, and no operation is in flight.
    [[nodiscard]] bool is_idle() const { return step_ == step::idle; }
    /// Open, and owned as far as this entry knows.
    [[nodiscard]] bool is_open() const;
    /// True when the open segment is sealed and the next one does not exist.
    [[nodiscard]] bool is_sealed() const { return next_segment_.has_value(); }
    [[nodiscard]] std::uint64_t epoch() const { return head_.epoch_; }
    [[nodiscard]] base::wall_time floor() const { return head_.floor_; }

private:
    enum class step : std::uint8_t {
        closed,
        reading_head,
        head_known,
        writing_head,
        reading_segment,
        fencing,
        idle,
        appending,
        sealing,
        raising,
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
    void note_issue(const log_record& record);

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
    /// The write in flight stands; goes on with what it was for.
    void settle_write(store::revision revision, events& out, context& ctx);
    void on_head_written(store::revision revision);
    void on_segment_written(store::revision revision);
    void lose(events& out);

    shard_number shard_;
    base::instance_id self_;
    std::size_t segment_bytes_;
    base::milliseconds store_retry_;

    step step_{step::closed};
    store::token operation_; ///< In flight; results of others are late.
    store::token garbage_list_;
    std::optional<base::time_point> retry_at_;
    bool reading_back_{false};
    bool checking_head_{false};
    store::revision created_revision_{0}; ///< While `checking_head_`.
    pending_write pending_;

    log_head head_;
    store::revision head_revision_{0};
    log_head next_head_; ///< What the write in flight makes the head.

    segment_number number_{0}; ///< The open segment.
    std::string content_;
    store::revision revision_{0};
    base::wall_time last_issue_{};
    std::optional<segment_number> next_segment_; ///< Sealed towards this one.
    std::vector<sealed_segment> sealed_;
    std::uint64_t batch_{0};
};

} // namespace pimentoferry::once::internal

#endif
