/// A simple cell owner for the invariant tests.
///
/// It places requests by the records of its own grants and by a view of the
/// engines that the world supplies. It places at most one suspect on an engine
/// and queues requests that it cannot place.
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

/// Answers, each with the entry instance that started the attempt.
using owner_answers =
    std::vector<std::pair<base::instance_id, placement::to_entry>>;

class fake_owner {
public:
    owner_answers handle(const placement::to_owner& message,
                         const std::vector<engine_view>& engines,
                         base::time_point now,
                         std::mt19937_64& random);

    /// Grants queued requests and refuses those that waited too long.
    owner_answers serve_queue(const std::vector<engine_view>& engines,
                              base::time_point now,
                              std::mt19937_64& random);

    /// Drops the attempts of an entry that crashed or is considered crashed.
    void remove_instance(base::instance_id instance);

    bool has_queue() const { return !queue_.empty(); }

    /// Suspects are queued until `time`: a new owner must first receive the
    /// announcements of those that already run.
    void admit_suspects_from(base::time_point time) {
        admit_suspects_from_ = time;
    }

private:
    struct record {
        base::upstream_name prefill_;
        base::upstream_name decode_;
        bool suspect_{false};
    };
    struct queued_request {
        placement::placement_request request_;
        base::time_point queued_at_;
    };

    bool try_grant(const placement::placement_request& request,
                   const std::vector<engine_view>& engines,
                   base::time_point now,
                   std::mt19937_64& random,
                   owner_answers& answers);
    std::vector<base::upstream_name>
    available_engines(const std::vector<engine_view>& engines,
                      bool decode,
                      bool suspect) const;
    void remove(base::attempt_id attempt);
    void bind_decode(base::attempt_id attempt,
                     const std::vector<engine_view>& engines,
                     std::mt19937_64& random,
                     const base::upstream_name& lost_engine,
                     owner_answers& answers);

    std::map<base::attempt_id, record> records_;
    std::deque<queued_request> queue_;
    base::time_point admit_suspects_from_;
};

} // namespace pimentoferry::requests::fuzz

#endif
