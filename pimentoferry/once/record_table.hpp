/// The records of one shard in memory, about 100 B each without results.
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

/// The states in -ing wait for their record to become durable.
enum class record_state : std::uint8_t {
    claiming,
    claimed,
    storing,
    known,
    losing,
    lost,
    abandoning,
    abandoned,
};

struct record {
    base::attempt_id attempt_;
    /// Stays when the attempt is abandoned: another body never runs.
    std::uint64_t body_hash_{0};
    std::unique_ptr<stored_result> result_; ///< In `storing` and `known`.
    record_state state_{record_state::claiming};
};

class record_table {
public:
    /// Takes over what the log holds. Applying a segment again, with more
    /// records behind those that were there, leads to the same state.
    void apply(const log_record& durable);

    [[nodiscard]] record* find(const key_id& key);
    /// Adds the claim, or replaces an abandoned one.
    record& claim_key(const claim& from);
    void store_result(record& into, const stored_result& result);
    /// Forgets the records of keys issued before the floor.
    void drop_below(base::wall_time floor);

    [[nodiscard]] std::size_t size() const { return records_.size(); }
    /// Bytes of all results that are held.
    [[nodiscard]] std::size_t result_bytes() const { return result_bytes_; }

private:
    /// The parts of a key are hashes already.
    struct key_hash {
        std::size_t operator()(const key_id& key) const noexcept {
            return key.low_;
        }
    };

    void drop_result(record& from);

    std::unordered_map<key_id, record, key_hash> records_;
    std::size_t result_bytes_{0};
};

/// What a result counts towards the limits.
std::size_t size_of(const stored_result& result);

} // namespace pimentoferry::once::internal

#endif
