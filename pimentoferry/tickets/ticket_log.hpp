/// The tickets at one entry: which state is in force, how it is learnt and
/// passed on, and whether the entry may take new work by it.
///
///     tickets::ticket_log log{{instance, "entry-1", policy, seed}};
///     for (auto& action : log.handle(tickets::start{}, now)) { run(action); }
///
/// A decision library: no sockets, no threads, no clock. The driver runs the
/// actions and feeds back their results. It sends `tick` at least every
/// 500 ms, and answers every store operation, with `unavailable` at the
/// latest 1 s after it was sent.
///
/// The rules are in section 6 of docs/design.md. A newly applied number is
/// pushed to 8 random peers, which pull what they lack; in addition each
/// entry compares the revision of `tickets/head` with its own about every
/// 5 s. This poll lists the key instead of reading it, because the value
/// holds up to 100 tickets.
#ifndef PIMENTOFERRY_TICKETS_TICKET_LOG_HPP
#define PIMENTOFERRY_TICKETS_TICKET_LOG_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/config/settings.hpp"
#include "pimentoferry/tickets/acceptance.hpp"
#include "pimentoferry/tickets/call_table.hpp"
#include "pimentoferry/tickets/compaction.hpp"
#include "pimentoferry/tickets/events.hpp"
#include "pimentoferry/tickets/head_reader.hpp"
#include "pimentoferry/tickets/lookup.hpp"
#include "pimentoferry/tickets/peer_pulls.hpp"
#include "pimentoferry/tickets/replica.hpp"
#include "pimentoferry/tickets/serving_gate.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace pimentoferry::tickets {

inline constexpr std::size_t push_fan_out = 8;
/// The pause between two polls is drawn evenly from this range, so that the
/// polls of the fleet spread out and none is later than 5 s.
inline constexpr base::milliseconds poll_least{4500};
inline constexpr base::milliseconds poll_most{5000};
/// After a failed poll, the next one is drawn from 0 to this: the first is
/// soon, the others spread over 2 s for the moment the store returns.
inline constexpr base::milliseconds first_retry_most{500};
inline constexpr base::milliseconds retry_most{2000};

struct log_settings {
    base::instance_id self_;
    std::string name_; ///< Of this entry, unique in the fleet.
    config::partition_policy partition_policy_{
        config::partition_policy::refuse};
    std::uint64_t seed_{0}; ///< Of the random choices; different per instance.
    /// The head is compacted at this many tickets. Tests use a small number.
    std::size_t compaction_tickets_{compaction_tickets};
};

/// How far a number has come: "in force on 9 of 9".
struct in_force {
    std::uint64_t number_{0};
    std::size_t entries_{0}; ///< Live entries that applied it, with this one.
    std::size_t live_{0};    ///< Live entries, with this one.
};

class ticket_log {
public:
    explicit ticket_log(const log_settings& settings);

    std::vector<action> handle(const event& occurred, base::time_point now);

    /// Number and state in force here; 0 and an empty state before the first.
    std::uint64_t number() const { return copy_.number(); }
    const std::shared_ptr<const config::state>& state() const {
        return copy_.state();
    }

    /// Whether new work may be taken at this moment. Unlike the last action
    /// it includes a pause that no event has reported yet.
    serving_allowed serving(base::time_point now) const {
        return gate_.evaluate(now);
    }

    /// Where a ticket is in force, by the last `peers_known`.
    in_force status(std::uint64_t number) const;
    /// The highest number that every live entry applied.
    std::uint64_t lowest_applied() const;

private:
    void on(const start& event, base::time_point now);
    void on(const tick& event, base::time_point now);
    void on(const apply& event, base::time_point now);
    void on(const history_query& event, base::time_point now);
    void on(const peer_message& event, base::time_point now);
    void on(const peer_heard& event, base::time_point now);
    void on(const peers_known& event, base::time_point now);
    void on(const clock_jump& event, base::time_point now);
    void on(const store::result& event, base::time_point now);

    void on_message(base::instance_id from,
                    const number_push& push,
                    base::time_point now);
    void on_message(base::instance_id from,
                    const ticket_pull& pull,
                    base::time_point now);
    void on_message(base::instance_id from,
                    const ticket_batch& batch,
                    base::time_point now);

    void on_poll(const call& finished,
                 const store::outcome& outcome,
                 base::time_point now);
    void on_head(const store::outcome& outcome, base::time_point now);
    void on_acceptance(const store::outcome& outcome, base::time_point now);
    void schedule_poll(bool answered, base::time_point now);
    void read_head(base::time_point now);
    void catch_up(base::time_point now);
    void note_round(std::optional<base::time_point> sent);
    void note_highest(std::uint64_t number, base::instance_id holder);
    void announce(std::uint64_t before, base::time_point now);
    void report_serving(base::time_point now);
    base::milliseconds draw(base::milliseconds least, base::milliseconds most);

    log_settings settings_;
    std::mt19937_64 random_;
    replica copy_;
    serving_gate gate_;
    call_table calls_;
    head_reader reader_;
    acceptance acceptance_;
    lookup lookup_;
    compaction compaction_;
    peer_pulls pulls_;
    std::vector<live_peer> peers_;
    std::uint64_t highest_{0}; ///< Number heard of.
    base::instance_id highest_holder_;
    base::time_point next_poll_;
    base::time_point next_catch_up_;
    int failed_polls_{0};
    std::optional<serving_allowed> reported_;
    std::vector<action> out_;
};

} // namespace pimentoferry::tickets

#endif
