/// What the attempts of an engine hold: slots and pieces of memory.
///
/// The held amounts are sums over the attempts in the table, so what an
/// attempt holds is freed when it leaves the table and cannot leak.
///
///     attempt_table table;
///     switch (table.admit(attempt, slots, pieces)) { ... }
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
    queued,     ///< Waits for its prefill.
    prefilling, ///< Computes.
    prefilled,  ///< The result waits to be fetched.
    importing,  ///< Pulls the KV cache.
    ready,      ///< May decode.
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
    std::int64_t pieces_{0};
    bool holds_slot_{true};

    std::string handle_;   ///< Of a finished prefill.
    int exports_{0};       ///< Running ones; they put off the eviction.
    bool exported_{false}; ///< At least once, whole.

    std::uint32_t length_{0};   ///< Of the answer, in tokens.
    std::uint32_t produced_{0}; ///< Tokens so far.
    std::uint64_t stream_{0};   ///< Number of the stream in charge.

    /// Freed at this time; none while it is in use.
    std::optional<time_point> release_at_;
    bool released_{false};
    /// Cancelled whenever a coroutine of this attempt must look again.
    net::steady_timer wake_;
    /// The connection of a running import, to break it off.
    std::weak_ptr<beast::tcp_stream> transfer_;
};

using attempt_ptr = std::shared_ptr<attempt>;

enum class admission : std::uint8_t { admitted, full, cancelled, duplicate };

class attempt_table {
public:
    admission
    admit(const attempt_ptr& added, std::int64_t slots, std::int64_t pieces);
    /// Null when the attempt holds nothing.
    attempt_ptr find(const std::string& id) const;
    attempt_ptr find_handle(const std::string& handle) const;
    /// Frees what the attempt holds and wakes its coroutines; returns it, or
    /// null when it held nothing.
    attempt_ptr release(const std::string& id);
    /// As `release`, and rejects the id from then on.
    attempt_ptr cancel(const std::string& id);
    bool is_cancelled(const std::string& id) const;
    std::vector<attempt_ptr> expired(time_point now) const;

    std::int64_t slots_held() const;
    std::int64_t pieces_held() const;
    const std::map<std::string, attempt_ptr>& all() const { return held_; }

private:
    std::map<std::string, attempt_ptr> held_;
    std::unordered_set<std::string> cancelled_;
    std::deque<std::string> cancelled_order_; ///< Oldest first.
};

} // namespace pimentoferry::standins

#endif
