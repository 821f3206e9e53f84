/// An engine with slots and KV blocks for the invariant tests.
///
/// It records the memory that each attempt holds and rejects cancelled
/// attempts. The world advances its work in simulated time.
#ifndef PIMENTOFERRY_REQUESTS_FUZZ_FAKE_ENGINE_HPP
#define PIMENTOFERRY_REQUESTS_FUZZ_FAKE_ENGINE_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/requests/fuzz/oracle.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace pimentoferry::requests::fuzz {

enum class allocation_kind : std::uint8_t { prefill, result, import, decode };

struct allocation {
    allocation_kind kind_{allocation_kind::prefill};
    body body_;
    std::uint32_t kv_blocks_{0};
    base::time_point expires_at_; ///< The engine frees the memory then.
    std::uint64_t stream_{0};     ///< Call id of the open stream; 0: none.
    std::uint64_t run_{0};        ///< See `token`.
    bool streamed_{false};        ///< A stream of it was opened before.
};

class fake_engine {
public:
    fake_engine(base::upstream_name name, bool decode)
        : name_(std::move(name)), decode_(decode) {}

    /// Allocates memory for the attempt; returns the failure if it is rejected.
    std::optional<engine_failure> admit(base::attempt_id attempt,
                                        const allocation& requested) {
        if (cancelled_.contains(attempt)) {
            return engine_failure::gone;
        }
        std::uint32_t used = requested.kv_blocks_;
        for (const auto& [unused, each] : allocations_) {
            used += each.kv_blocks_;
        }
        if (full_ || allocations_.size() >= slots_ || used > kv_blocks_) {
            return engine_failure::full;
        }
        allocations_[attempt] = requested;
        return std::nullopt;
    }

    void cancel(base::attempt_id attempt) {
        allocations_.erase(attempt);
        cancelled_.insert(attempt);
    }

    void crash() {
        alive_ = false;
        allocations_.clear();
        cancelled_.clear();
    }

    void restart() {
        alive_ = true;
        ++instance_;
    }

    allocation* find(base::attempt_id attempt) {
        const auto found = allocations_.find(attempt);
        return found == allocations_.end() ? nullptr : &found->second;
    }

    base::upstream_name name_;
    bool decode_{false};
    bool alive_{true};
    bool full_{false};
    bool stalled_{false}; ///< KV transfers do not progress.
    bool slow_{false};    ///< Work takes about as long as allowed.
    std::uint64_t instance_{1};
    std::uint32_t slots_{4};
    std::uint32_t kv_blocks_{16};
    std::map<base::attempt_id, allocation> allocations_;
    std::set<base::attempt_id> cancelled_;
};

} // namespace pimentoferry::requests::fuzz

#endif
