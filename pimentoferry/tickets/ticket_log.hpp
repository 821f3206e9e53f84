/// Replicates the tickets to one entry: which state is in force, how it is
/// fetched and propagated, and whether the entry may admit new work under it.
///
///     tickets::ticket_log log{{instance, "entry-1", policy, seed}};
///     for (auto& action : log.handle(tickets::start{}, now)) { run(action); }
///
/// This library performs no I/O, starts no threads and reads no clock. The
/// caller executes the returned actions and feeds back their results. It must
/// send `tick` at least every 500 ms, and must return a result for every store
/// operation: `unavailable` if none arrived within 1 s of sending it.
///
/// The rules are in section 6 of docs/design.md. A newly applied number is
/// pushed to 8 random peers, which pull the tickets that they are missing. In
/// addition, each entry compares the revision of `tickets/head` with its own
/// about every 5 s. This poll lists the key instead of reading it, because the
/// value holds up to 100 tickets.
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
/// The interval between two polls is drawn uniformly from this range, which
/// spreads the polls of the fleet and bounds the interval at 5 s.
inline constexpr base::milliseconds poll_interval_min{4500};
inline constexpr base::milliseconds poll_interval_max{5000};
/// After a failed poll, the delay before the next one is drawn from 0 to this
/// maximum. The first retry is early; later ones spread over 2 s, so that the
/// entries don't all poll at once when the store becomes available again.
inline constexpr base::milliseconds first_retry_max{500};
inline constexpr base::milliseconds retry_max{2000};

struct log_settings {
    base::instance_id self_;
    std::string name_; ///< Name of this entry, unique in the fleet.
    config::partition_policy partition_policy_{
        config::partition_policy::refuse};
    std::uint64_t seed_{0}; ///< Random seed; must differ between instances.
    /// The head is compacted when it holds this many tickets. Tests use a
    /// small number.
    std::size_t compaction_tickets_{compaction_tickets};
};

/// On how many live entries a ticket is in force, such as 9 of 9.
struct ticket_status {
    std::uint64_t number_{0};
    std::size_t entries_{0}; ///< Live entries that applied it, incl. this one.
    std::size_t live_{0};    ///< Live entries, including this one.
};

class ticket_log {
public:
    explicit ticket_log(const log_settings& settings);

    /// Handles one event and returns the actions that the caller must execute,
    /// in this order.
    std::vector<action> handle(const event& occurred, base::time_point now);

    /// Number and state in force at this entry; 0 and an empty state before
    /// the first ticket.
    std::uint64_t number() const { return replica_.number(); }
    const std::shared_ptr<const config::state>& state() const {
        return replica_.state();
    }

    /// Whether new work may be admitted at `now`. Unlike the last
    /// `serving_status` action, this accounts for a pause of the process that
    /// no event has reported yet.
    serving_status serving(base::time_point now) const {
        return gate_.evaluate(now);
    }

    /// On how many entries a ticket is in force, by the last `peers_updated`.
    ticket_status status(std::uint64_t number) const;
    /// The highest number that every live entry has applied.
    std::uint64_t lowest_applied() const;

private:
    void on(const start& event, base::time_point now);
    void on(const tick& event, base::time_point now);
    void on(const apply& event, base::time_point now);
    void on(const history_query& event, base::time_point now);
    void on(const peer_message& event, base::time_point now);
    void on(const peer_frame_received& event, base::time_point now);
    void on(const peers_updated& event, base::time_point now);
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
    void schedule_poll(bool reply_received, base::time_point now);
    void read_head(base::time_point now);
    void catch_up(base::time_point now);
    void confirm_by_peers(std::optional<base::time_point> sent);
    void note_highest(std::uint64_t number, base::instance_id holder);
    void publish_applied(std::uint64_t before, base::time_point now);
    void report_serving(base::time_point now);
    base::milliseconds random_duration(base::milliseconds least,
                                       base::milliseconds most);

    log_settings settings_;
    std::mt19937_64 random_;
    replica replica_;
    serving_gate gate_;
    call_table calls_;
    head_reader head_reader_;
    acceptance acceptance_;
    lookup lookup_;
    compaction compaction_;
    peer_pulls pulls_;
    std::vector<live_peer> peers_;
    std::uint64_t highest_known_{0}; ///< Highest number received from any peer.
    base::instance_id highest_holder_;
    base::time_point next_poll_;
    base::time_point next_catch_up_;
    int failed_polls_{0};
    std::optional<serving_status> reported_status_;
    std::vector<action> out_;
};

} // namespace pimentoferry::tickets

#endif
