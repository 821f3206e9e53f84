/// Slots and KV blocks that the attempts of an engine hold.
///
/// Usage is computed as a sum over the attempts in the table, so removing an
/// attempt frees its resources and nothing can leak.
///
///     attempt_table table;
///     switch (table.admit(attempt, slots, kv_blocks)) { ... }
///     table.release(attempt->id_);
#ifndef PIMENTOFERRY_STANDINS_ENGINE_ATTEMPTS_HPP
#define PIMENTOFERRY_STANDINS_ENGINE_ATTEMPTS_HPP

#include "standins/asio.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

namespace pimentoferry::standins {

enum class attempt_stage : std::uint8_t {
    queued,     ///< Waiting for its prefill.
    prefilling, ///< Prefill running.
    prefilled,  ///< The result is held until it is exported.
    importing,  ///< Transferring the KV cache.
    ready,      ///< Imported; decoding may begin.
    decoding,
};

const char* to_string(attempt_stage stage);

struct attempt {
    explicit attempt(const net::any_io_executor& executor) : wake_(executor) {}

    std::string id_;
    attempt_stage stage_{attempt_stage::queued};
    std::string prompt_;
    std::uint64_t prompt_hash_{0};
    std::uint32_t prompt_tokens_{0};
    std::uint32_t cached_tokens_{0};
    std::int64_t priority_{0};
    std::int64_t kv_blocks_{0};
    bool holds_slot_{true};

    std::string handle_;   ///< Handle of a finished prefill.
    int exports_{0};       ///< Running exports; they delay eviction.
    bool exported_{false}; ///< Completely exported at least once.

    std::uint32_t length_{0};   ///< Output length in tokens.
    std::uint32_t produced_{0}; ///< Output tokens so far.
    std::uint64_t stream_{0};   ///< Number of the current stream.

    /// Expiry time; empty while the attempt is in use.
    std::optional<time_point> release_at_;
    bool released_{false};
    /// Cancelled to make the coroutines of this attempt recheck its state.
    net::steady_timer wake_;
    /// Connection of a running import, kept to cancel the transfer.
    std::weak_ptr<beast::tcp_stream> transfer_;
};

using attempt_ptr = std::shared_ptr<attempt>;

enum class admission : std::uint8_t { admitted, full, cancelled, duplicate };

class attempt_table {
public:
    admission
    admit(const attempt_ptr& added, std::int64_t slots, std::int64_t kv_blocks);
    /// Returns null when the attempt is not in the table.
    attempt_ptr find(const std::string& id) const;
    attempt_ptr find_handle(const std::string& handle) const;
    /// Removes the attempt, which frees its resources, and wakes its
    /// coroutines. Returns the attempt, or null when it is not in the table.
    attempt_ptr release(const std::string& id);
    /// Like `release`, and rejects the id from then on.
    attempt_ptr cancel(const std::string& id);
    bool is_cancelled(const std::string& id) const;
    std::vector<attempt_ptr> expired(time_point now) const;

    std::int64_t slots_held() const;
    std::int64_t kv_blocks_held() const;
    const std::map<std::string, attempt_ptr>& all() const { return held_; }

private:
    std::map<std::string, attempt_ptr> held_;
    std::unordered_set<std::string> cancelled_;
    std::deque<std::string> cancelled_order_; ///< Oldest first.
};

} // namespace pimentoferry::standins

#endif
