/// An engine with slots and KV blocks for the invariant tests.
///
/// It keeps what each attempt holds and rejects cancelled attempts; the world
/// drives its work in time.
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

enum class holding : std::uint8_t { prefill, result, import, decode };

struct held {
    holding kind_{holding::prefill};
    body body_;
    std::uint32_t kv_blocks_{0};
    base::time_point until_;  ///< The hold ends by itself.
    std::uint64_t stream_{0}; ///< The open stream; 0 when there is none.
    std::uint64_t run_{0};    ///< See `token`.
    bool streamed_{false};    ///< It was decoded from before.
};

class fake_engine {
public:
    fake_engine(base::upstream_name name, bool decode)
        : name_(std::move(name)), decode_(decode) {}

    /// Whether the engine takes the attempt in; nothing when it does.
    std::optional<engine_failure> admit(base::attempt_id attempt,
                                        const held& wanted) {
        if (cancelled_.contains(attempt)) {
            return engine_failure::gone;
        }
        std::uint32_t used = wanted.kv_blocks_;
        for (const auto& [unused, each] : held_) {
            used += each.kv_blocks_;
        }
        if (full_ || held_.size() >= slots_ || used > kv_blocks_) {
            return engine_failure::full;
        }
        held_[attempt] = wanted;
        return std::nullopt;
    }

    void cancel(base::attempt_id attempt) {
        held_.erase(attempt);
        cancelled_.insert(attempt);
    }

    void crash() {
        alive_ = false;
        held_.clear();
        cancelled_.clear();
    }

    void restart() {
        alive_ = true;
        ++instance_;
    }

    held* find(base::attempt_id attempt) {
        const auto found = held_.find(attempt);
        return found == held_.end() ? nullptr : &found->second;
    }

    base::upstream_name name_;
    bool decode_{false};
    bool alive_{true};
    bool full_{false};
    bool stalled_{false}; ///< Transfers do not progress.
    bool slow_{false};    ///< Work takes about as long as its limit.
    std::uint64_t instance_{1};
    std::uint32_t slots_{4};
    std::uint32_t kv_blocks_{16};
    std::map<base::attempt_id, held> held_;
    std::set<base::attempt_id> cancelled_;
};

} // namespace pimentoferry::requests::fuzz

#endif
