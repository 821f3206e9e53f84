/// A simple cell owner for the invariant tests.
///
/// It knows engines through the records of its own grants and a view of their
/// state that the world supplies. It keeps one suspect on an engine and
/// queues what it cannot place.
#ifndef PIMENTOFERRY_REQUESTS_FUZZ_FAKE_OWNER_HPP
#define PIMENTOFERRY_REQUESTS_FUZZ_FAKE_OWNER_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/placement/messages.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <utility>
#include <vector>

namespace pimentoferry::requests::fuzz {

struct engine_view {
    base::upstream_name name_;
    bool decode_{false};
    std::uint32_t slots_{0};
};

/// Answers, each to the entry that made the attempt.
using owner_answers =
    std::vector<std::pair<base::instance_id, placement::to_entry>>;

class fake_owner {
public:
    owner_answers handle(const placement::to_owner& message,
                         const std::vector<engine_view>& engines,
                         base::time_point now,
                         std::mt19937_64& random);

    /// Grants or refuses what waits.
    owner_answers serve_queue(const std::vector<engine_view>& engines,
                              base::time_point now,
                              std::mt19937_64& random);

    /// An entry died or was taken for dead.
    void instance_gone(base::instance_id instance);

    bool has_queue() const { return !queue_.empty(); }

    /// A new owner holds suspects back until the running ones are announced.
    void suspects_from(base::time_point time) { suspects_from_ = time; }

private:
    struct record {
        base::upstream_name prefill_;
        base::upstream_name decode_;
        bool suspect_{false};
    };
    struct waiting {
        placement::placement_request request_;
        base::time_point since_;
    };

    bool try_grant(const placement::placement_request& request,
                   const std::vector<engine_view>& engines,
                   base::time_point now,
                   std::mt19937_64& random,
                   owner_answers& answers);
    std::vector<base::upstream_name>
    usable(const std::vector<engine_view>& engines,
           bool decode,
           bool suspect) const;
    void forget(base::attempt_id attempt);
    void bind(base::attempt_id attempt,
              const std::vector<engine_view>& engines,
              std::mt19937_64& random,
              const base::upstream_name& lost,
              owner_answers& answers);

    std::map<base::attempt_id, record> records_;
    std::deque<waiting> queue_;
    base::time_point suspects_from_;
};

} // namespace pimentoferry::requests::fuzz

#endif
