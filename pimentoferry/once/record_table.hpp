/// The in-memory records of one shard, about 100 B each without results.
///
///     record_table table;
///     table.apply(log_record{claim{...}});   // as read from the log
///     if (record* found = table.find(key)) { ... }
#ifndef PIMENTOFERRY_ONCE_RECORD_TABLE_HPP
#define PIMENTOFERRY_ONCE_RECORD_TABLE_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/once/log_format.hpp"
#include "pimentoferry/once/messages.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <unordered_map>

namespace pimentoferry::once::internal {

/// In the states that end in -ing, and in `marking_lost`, a log record is not
/// yet durable.
enum class record_state : std::uint8_t {
    claiming,
    claimed,
    storing,
    stored,
    marking_lost,
    lost,
    abandoning,
    abandoned,
};

struct record {
    base::attempt_id attempt_;
    /// Kept when the attempt is abandoned, so that a claim with another body is
    /// refused.
    std::uint64_t body_hash_{0};
    std::unique_ptr<stored_result> result_; ///< Set in `storing` and `stored`.
    record_state state_{record_state::claiming};
};

class record_table {
public:
    /// Applies a durable record of the log. Applying a segment again, with
    /// further records appended, leads to the same state.
    void apply(const log_record& durable);

    [[nodiscard]] record* find(const key_id& key);
    /// Adds the claim, or replaces an abandoned one.
    record& claim_key(const claim& from);
    void store_result(record& into, const stored_result& result);
    /// Erases the records of keys issued before the low watermark.
    void erase_issued_before(base::wall_time low_watermark);

    [[nodiscard]] std::size_t size() const { return records_.size(); }
    /// Size of all results in the table.
    [[nodiscard]] std::size_t result_bytes() const { return result_bytes_; }

private:
    /// Both halves of a key are hashes already.
    struct key_hash {
        std::size_t operator()(const key_id& key) const noexcept {
            return key.low_;
        }
    };

    void drop_result(record& from);

    std::unordered_map<key_id, record, key_hash> records_;
    std::size_t result_bytes_{0};
};

/// Size of body and content type, as counted towards the limits.
std::size_t size_of(const stored_result& result);

} // namespace pimentoferry::once::internal

#endif
