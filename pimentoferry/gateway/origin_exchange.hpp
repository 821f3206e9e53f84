/// Shares among the gateways which software version began each stream, so that
/// a stream goes on only at that version, whichever gateway its caller comes
/// to.
///
///     exchange.began(service, request, version);       // first event relayed
///     auto origin = co_await exchange.resolve(service, resumed_request);
///
/// Each service has two keepers among the gateways, computed from the members.
/// A gateway tells both of the streams that it began, every 50 ms, and asks
/// both when a caller continues a stream that it does not know, and if one does
/// not reply, the watchers of the store. If all gateways
/// that know a stream are killed, the store still does: while several versions
/// may have begun streams, a keeper writes those that are not written yet, many
/// to a call, into a ring of keys that every gateway follows. The second keeper
/// writes in place of the first one if that does not answer it, see
/// `routing::write_turn`. While only one
/// version is possible and the route leads to no other service, every stream is
/// known to be of it, and nothing is written but the list of the possible
/// versions, see `version_record`. A gateway or keeper concludes that only from
/// the list as the store has it after the question: an older view, or a peer
/// that does not contradict, proves nothing.
///
/// Alternatives considered: the owner of a service's scheduler alone is lost
/// together with the gateway that owned the stream in one of three kills of a
/// third of the fleet; a note to all gateways grows with the square of the
/// fleet; one write for each stream exceeds what the store accepts.
#ifndef PIMENTOFERRY_GATEWAY_ORIGIN_EXCHANGE_HPP
#define PIMENTOFERRY_GATEWAY_ORIGIN_EXCHANGE_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/refusal.hpp"
#include "pimentoferry/base/software_version.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/gateway/metrics.hpp"
#include "pimentoferry/gateway/origin_ring.hpp"
#include "pimentoferry/gateway/peers.hpp"
#include "pimentoferry/gateway/registry.hpp"
#include "pimentoferry/gateway/store_follower.hpp"
#include "pimentoferry/gateway/version_record.hpp"
#include "pimentoferry/http/awaitable.hpp"
#include "pimentoferry/http/mailbox.hpp"
#include "pimentoferry/routing/route_history.hpp"
#include "pimentoferry/routing/route_table.hpp"
#include "pimentoferry/routing/stream_origins.hpp"
#include "pimentoferry/routing/write_turn.hpp"
#include "pimentoferry/store/http_store.hpp"
#include "pimentoferry/store/mirror.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace pimentoferry::gateway {

struct known_origin {
    base::software_version version_;
};
/// It is not known which version began the stream.
struct unknown_origin {
    /// A keeper or the store did not reply.
    bool may_be_known_later_{false};
};
using stream_origin = std::variant<known_origin, unknown_origin>;

/// The stream may go on at this service.
struct serving_service {
    base::service_name service_;
};
/// The route no longer leads to the service that began the stream.
struct former_service {
    base::service_name service_;
};
using stream_service =
    std::variant<serving_service, former_service, unknown_origin>;

/// Refuses to continue a stream of which it is not known where it began.
base::refusal refusal_of(const unknown_origin& unknown);

class origin_exchange {
public:
    origin_exchange(boost::asio::io_context& io,
                    peers& peer_gateways,
                    store::http_store& store,
                    const store_follower& follower,
                    metrics& counters)
        : io_(io), peers_(peer_gateways), follower_(follower),
          counters_(counters),
          ring_(store, counters, peer_gateways.self().value_),
          record_(io,
                  peer_gateways,
                  store,
                  follower,
                  counters,
                  [this](const auto& record) { load(record); }) {}

    /// Whether instances of the version may begin streams. Until the version is
    /// recorded, a stream of it that broke off might be continued at another.
    bool may_begin(const base::service_name& service,
                   const base::software_version& version) const {
        return record_.versions().contains(service, version);
    }

    /// The first event of a new stream arrived from an instance of `version`.
    void began(const base::service_name& service,
               const std::string& request,
               const base::software_version& version);

    /// The version that began a stream. `request` is the caller's request that
    /// brought its first event; unset if the caller names none.
    http::awaitable<stream_origin> resolve(base::service_name service,
                                           std::optional<std::string> request);

    /// The service at which a stream of the route may go on: the one that began
    /// it. `request` as for `resolve`.
    http::awaitable<stream_service>
    find_service(const routing::route& route,
                 std::optional<std::string> request);

    /// Notes the versions that are in use after a change of the registry.
    void set_instances(const registry& registry_view, base::time_point now);

    void receive(const began_streams& message);
    void receive(base::instance_id from, const origin_query& query);
    void receive(base::instance_id from, const origin_search& search);
    void receive(base::instance_id from, const origin_reply& reply);
    /// Takes over what the store keeps.
    void receive(const store::item& item);
    void receive(const store::item_removed& removed) {
        record_.receive(removed);
    }

    /// The store has come back from an older copy, so what was written since
    /// may be missing.
    void forget_records();

    /// Must be called at least every 100 ms.
    void tick(const registry& registry_view,
              const store::mirror& replica,
              base::time_point now);

private:
    struct own_stream {
        base::time_point began_;
        base::software_version version_;
        std::uint64_t stream_{0};
    };
    struct service_state {
        routing::origin_table origins_;
        routing::version_history history_;
        /// Streams of this gateway, the oldest first.
        std::deque<own_stream> own_;
        /// Whether the keepers have not been told of some of these.
        bool untold_{false};
        std::vector<base::instance_id> keepers_;
        /// The keeper that `turn_` is about.
        std::optional<base::instance_id> first_keeper_;
        routing::write_turn turn_;
        base::time_point next_write_;
        /// There may be something to write, as soon as that is possible.
        bool write_due_{false};
    };
    /// A query of this gateway that waits for its replies.
    struct pending_query {
        explicit pending_query(boost::asio::io_context& io) : signal_(io) {}

        http::wake_signal signal_;
        std::size_t replies_{0};
        std::optional<base::software_version> version_;
    };
    /// What the keepers replied to one query.
    struct keeper_replies {
        std::size_t asked_{0};
        std::size_t received_{0};
        std::optional<base::software_version> version_;
    };

    /// A question to the keepers of one service.
    struct pending_search {
        base::service_name service_;
        std::uint64_t stream_{0};
        base::attempt_id id_;
        std::size_t asked_{0};
        std::shared_ptr<pending_query> query_;
    };

    http::awaitable<std::variant<base::service_name, unknown_origin>>
    search_services(std::string request);
    pending_search start_search(const base::service_name& service,
                                std::uint64_t stream,
                                std::vector<base::instance_id> gateways);
    http::awaitable<void> finish_search(pending_search search,
                                        base::time_point until);
    http::awaitable<std::variant<base::service_name, unknown_origin>>
    await_searches(std::vector<pending_search> searches);
    http::awaitable<std::optional<base::software_version>>
    ask_watchers(base::service_name service, std::uint64_t stream);
    void note_routes(const std::shared_ptr<const routing::route_table>& routes,
                     base::time_point now);

    /// The gateways that keep where the streams of a service began, the one
    /// that writes first in front. Empty if no member is known.
    std::vector<base::instance_id>
    keepers_of(const base::service_name& service) const;
    /// Unset if the service has no keeper.
    std::optional<base::instance_id>
    first_keeper_of(const base::service_name& service) const;
    std::vector<base::instance_id>
    other_keepers_of(const base::service_name& service) const;
    static void add_streams(service_state& state,
                            const began_streams& message,
                            base::time_point now);
    /// What is concluded from the versions that streams can have.
    struct conclusion {
        std::optional<base::software_version> only_;
        /// The record could not be read.
        bool inconclusive_{false};
    };
    void load(const routing::versions_in_use& record);
    http::awaitable<conclusion> only_version(base::service_name service);
    http::awaitable<void> answer_from_record(base::instance_id from,
                                             origin_query query);
    void reply(base::instance_id to,
               const origin_query& query,
               const std::optional<base::software_version>& version,
               std::string_view source);
    http::awaitable<keeper_replies> ask_keepers(base::service_name service,
                                                std::uint64_t stream);
    /// What the decision on a stream's version was based on.
    void log_origin(const base::service_name& service,
                    const std::optional<std::string>& request,
                    const stream_origin& origin,
                    std::string_view source,
                    const keeper_replies& replies,
                    base::time_point asked_at) const;
    static std::vector<routing::streams_of_version>
    own_streams(const service_state& state, base::time_point since);
    void tell_keepers(const base::service_name& service,
                      service_state& state,
                      base::time_point now);
    /// The versions of each service that were in use within `time`.
    routing::versions_in_use versions_since(base::time_point now,
                                            base::milliseconds time) const;
    void forget_old_streams(base::time_point now);
    /// The number of keepers of the service before this gateway; unset if it
    /// is none of them.
    std::optional<std::size_t>
    rank_of_self(const base::service_name& service) const;
    /// Whether streams have to be in the store, as it is not known otherwise
    /// where they may go on.
    bool records_streams(const base::service_name& service,
                         const service_state& state,
                         base::time_point now) const;
    void ask_first_keeper(const base::service_name& service,
                          service_state& state,
                          base::time_point now);
    void write_streams(const base::service_name& service,
                       service_state& state,
                       const store::mirror& replica,
                       base::time_point now);
    void finish_write(const began_streams& message,
                      origin_ring::write_result result);
    void set_recorded(const began_streams& message);
    base::attempt_id next_query() { return {peers_.self(), ++last_query_}; }

    boost::asio::io_context& io_;
    peers& peers_;
    const store_follower& follower_;
    metrics& counters_;
    std::map<base::service_name, service_state> services_;
    std::map<base::attempt_id, std::shared_ptr<pending_query>> queries_;
    std::uint64_t last_query_{0};
    /// How long streams and versions are kept.
    routing::retention keep_;
    base::time_point next_review_;
    std::shared_ptr<const routing::route_table> routes_;
    routing::route_history route_history_;
    /// Services that share a route with others.
    std::set<base::service_name> sharing_;
    origin_ring ring_;
    version_record record_;
};

} // namespace pimentoferry::gateway

#endif
