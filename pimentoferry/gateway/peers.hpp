/// The other gateways of the fleet: membership, and the messages exchanged with
/// them about the store's data and about streams.
///
/// Membership follows `membership::swim`. Only a few gateways watch the store,
/// see `watches_store`; the others receive its changes from them, see
/// `replica_exchange`.
///
/// All functions and handlers run on the thread of the io_context.
#ifndef PIMENTOFERRY_GATEWAY_PEERS_HPP
#define PIMENTOFERRY_GATEWAY_PEERS_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/config/gateway_settings.hpp"
#include "pimentoferry/membership/swim.hpp"
#include "pimentoferry/placement/stream_messages.hpp"
#include "pimentoferry/requests/permit_queue.hpp"
#include "pimentoferry/routing/call_messages.hpp"
#include "pimentoferry/routing/stream_origins.hpp"
#include "pimentoferry/store/mirror.hpp"
#include "pimentoferry/wire/peer_channel.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace pimentoferry::gateway {

/// The sender's replica of the store is complete up to this revision.
struct replica_position {
    store::position at_;
    /// Whether the store or a watcher has confirmed the replica recently.
    bool confirmed_{false};
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.at_, self.confirmed_);
    }
};

/// The sender would send a large update to the receiver, if asked for it.
struct replica_offer {
    store::position end_;
    /// About that of the update; 0: the sender declines a request for one.
    std::uint64_t bytes_{0};
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.end_, self.bytes_);
    }
};

/// Whether the sender reaches no upstream.
struct upstream_reach_report {
    bool isolated_{false};
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.isolated_);
    }
};

/// Asks for the update that the receiver has offered.
struct replica_request {
    store::position at_; ///< Of the sender's replica.
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.at_);
    }
};

/// When the store answered the sender, see `store::answering_span`. Times are
/// ages, because the clocks of two machines differ.
struct answering_report {
    base::milliseconds from_{0};
    base::milliseconds last_answer_{0};
    bool after_outage_{false};
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.from_, self.last_answer_, self.after_outage_);
    }
};

/// What the receiver's replica of the store lacks. `current_`: the sender has
/// received a response of the store recently, so that a replica as complete as
/// its own is up to date.
struct replica_update {
    store::mirror_delta delta_;
    bool current_{false};
    /// Unset if the sender knows of no answer of the store.
    std::optional<answering_report> answering_;
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.delta_, self.current_, self.answering_);
    }
};

/// A message about the streams of one service.
struct service_stream_message {
    base::service_name service_;
    placement::stream_message message_;
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.service_, self.message_);
    }
};

/// A message about the calls of one plain service.
struct service_place_message {
    base::service_name service_;
    routing::place_message message_;
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.service_, self.message_);
    }
};

/// See `requests::crash_mark`.
struct part_mark {
    std::uint64_t part_{0};
    std::uint8_t crashes_{0};
    base::milliseconds remaining_{0};
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.part_, self.crashes_, self.remaining_);
    }
};

/// Parts of prompts that the sender blames for crashes of engines.
struct blamed_parts {
    std::vector<part_mark> marks_;
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.marks_);
    }
};

/// Parts with which an answer began after they were blamed.
struct sound_parts {
    std::vector<std::uint64_t> parts_;
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.parts_);
    }
};

/// Parts that the sender tries with one request after their quarantine.
struct tried_parts {
    std::vector<std::uint64_t> parts_;
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.parts_);
    }
};

/// The instance refused a connection, so nothing listens at its address.
struct refusing_instance {
    base::upstream_name instance_;
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.instance_);
    }
};

/// See `routing::announced_limit`. Times are ages.
struct heard_limit {
    base::upstream_name instance_;
    std::uint64_t started_at_ms_{0};
    std::optional<double> requests_per_s_;
    base::milliseconds sent_age_{0};
    base::milliseconds received_age_{0};
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.instance_, self.started_at_ms_,
                        self.requests_per_s_, self.sent_age_,
                        self.received_age_);
    }
};

/// What the sender knows of the limits that instances announce.
struct heard_limits {
    std::vector<heard_limit> limits_;
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.limits_);
    }
};

/// See `routing::leaving_run`. The time is an age.
struct heard_leaving {
    base::upstream_name instance_;
    std::uint64_t started_at_ms_{0};
    base::milliseconds heard_age_{0};
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.instance_, self.started_at_ms_, self.heard_age_);
    }
};

/// Instances that said that they leave.
struct leaving_instances {
    std::vector<heard_leaving> instances_;
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.instances_);
    }
};

/// Asks the owner of a service for a permit.
struct service_permit_request {
    base::service_name service_;
    requests::permit_request request_;
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.service_, self.request_);
    }
};

/// The call waits for its permit; the decision follows.
struct permit_queued {
    base::attempt_id attempt_;
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.attempt_);
    }
};

/// A grant without an attempt was not requested; any call may use it.
using permit_reply = std::
    variant<requests::permit_grant, requests::permit_refusal, permit_queued>;

/// Use of an account that the sender has admitted; negative if it is given
/// back.
struct account_use {
    base::account_name account_;
    double amount_{0};
    std::uint64_t sequence_{0};
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.account_, self.amount_, self.sequence_);
    }
};

/// Message to the gateway that counts for the accounts.
struct account_use_report {
    std::vector<account_use> uses_;
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.uses_);
    }
};

struct confirmed_use {
    base::account_name account_;
    std::uint64_t sequence_{0};
    bool scarce_{true}; ///< Requests need the decision of the owner.
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.account_, self.sequence_, self.scarce_);
    }
};

struct account_use_confirmation {
    std::vector<confirmed_use> uses_;
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.uses_);
    }
};

/// Asks the owner of an account whether a request is within its quota.
struct credit_request {
    base::attempt_id attempt_;
    base::account_name account_;
    double amount_{0};
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.attempt_, self.account_, self.amount_);
    }
};

struct credit_reply {
    base::attempt_id attempt_;
    base::account_name account_;
    double amount_{0};
    bool granted_{false};
    base::milliseconds wait_{0}; ///< Until credit is expected; if refused.
    bool scarce_{true};
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.attempt_, self.account_, self.amount_,
                        self.granted_, self.wait_, self.scarce_);
    }
};

/// Accounts of the sender that are scarce, and those that are no longer.
struct account_levels {
    std::vector<base::account_name> scarce_;
    std::vector<base::account_name> ample_;
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.scarce_, self.ample_);
    }
};

/// Streams that the sender's callers began, see `origin_exchange`.
struct began_streams {
    base::service_name service_;
    std::vector<routing::streams_of_version> groups_;
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.service_, self.groups_);
    }
};

/// Asks a keeper which version began a stream.
struct origin_query {
    base::attempt_id id_; ///< Of the query.
    base::service_name service_;
    std::uint64_t stream_{0};
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.id_, self.service_, self.stream_);
    }
};

struct origin_reply {
    base::attempt_id id_;
    /// Unset if the keeper does not know the stream.
    std::optional<base::software_version> version_;
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.id_, self.version_);
    }
};

/// Asks a keeper for a stream that it knows of. Unlike for `origin_query` it
/// does not conclude the version, and replies at once.
struct origin_search {
    base::attempt_id id_; ///< Of the query.
    base::service_name service_;
    std::uint64_t stream_{0}; ///< 0: none, the reply shows that it is there.
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.id_, self.service_, self.stream_);
    }
};

/// New alternatives are added at the end.
using peer_message = std::variant<membership::message,
                                  replica_position,
                                  replica_update,
                                  service_stream_message,
                                  placement::stream_reply,
                                  blamed_parts,
                                  sound_parts,
                                  heard_limits,
                                  service_permit_request,
                                  permit_reply,
                                  tried_parts,
                                  refusing_instance,
                                  leaving_instances,
                                  account_use_report,
                                  account_use_confirmation,
                                  credit_request,
                                  credit_reply,
                                  account_levels,
                                  service_place_message,
                                  routing::place_reply,
                                  began_streams,
                                  origin_query,
                                  origin_reply,
                                  replica_offer,
                                  replica_request,
                                  upstream_reach_report,
                                  origin_search>;

struct peer_handlers {
    std::function<void(base::instance_id from, const replica_position&)>
        on_replica_position_;
    std::function<void(base::instance_id from, const replica_offer&)>
        on_replica_offer_;
    std::function<void(base::instance_id from, const replica_request&)>
        on_replica_request_;
    std::function<void(const replica_update&)> on_replica_update_;
    std::function<void(base::instance_id from, service_stream_message)>
        on_stream_message_;
    std::function<void(const placement::stream_reply&)> on_stream_reply_;
    std::function<void(base::instance_id from, const blamed_parts&)>
        on_blamed_parts_;
    std::function<void(const sound_parts&)> on_sound_parts_;
    std::function<void(const tried_parts&)> on_tried_parts_;
    std::function<void(const refusing_instance&)> on_refusing_instance_;
    std::function<void(base::instance_id from, const heard_limits&)>
        on_heard_limits_;
    std::function<void(base::instance_id from, const leaving_instances&)>
        on_leaving_instances_;
    std::function<void(base::instance_id from, const service_permit_request&)>
        on_permit_request_;
    std::function<void(const permit_reply&)> on_permit_reply_;
    std::function<void(base::instance_id from, const account_use_report&)>
        on_account_use_report_;
    std::function<void(const account_use_confirmation&)>
        on_account_use_confirmation_;
    std::function<void(base::instance_id from, const credit_request&)>
        on_credit_request_;
    std::function<void(const credit_reply&)> on_credit_reply_;
    std::function<void(const account_levels&)> on_account_levels_;
    std::function<void(base::instance_id from, const service_place_message&)>
        on_place_message_;
    std::function<void(const routing::place_reply&)> on_place_reply_;
    std::function<void(const began_streams&)> on_began_streams_;
    std::function<void(base::instance_id from, const origin_query&)>
        on_origin_query_;
    std::function<void(base::instance_id from, const origin_reply&)>
        on_origin_reply_;
    std::function<void(base::instance_id from, const origin_search&)>
        on_origin_search_;
    std::function<void(base::instance_id from, const upstream_reach_report&)>
        on_upstream_reach_report_;
    /// A gateway joined or left, began to drain, or is suspected or dead.
    std::function<void(const membership::member&)> on_member_;
};

class peers {
public:
    peers(boost::asio::io_context& io,
          const config::gateway_settings& settings,
          base::instance_id self,
          peer_handlers handlers);

    /// Listens on the peer address and starts membership. Returns the reason on
    /// failure.
    std::optional<std::string> open(const config::gateway_settings& settings);

    /// Whether this gateway is one of the few that watch the store.
    bool watches_store() const;

    /// The gateways that watch the store.
    std::vector<base::instance_id> watchers() const;

    /// All live gateways but this one.
    std::vector<base::instance_id> others() const;

    /// Must be called about every 100 ms.
    void tick(base::time_point now);

    /// Sets the addresses at which other gateways may be found.
    void set_seeds(const std::vector<base::endpoint>& seeds,
                   base::time_point now);

    /// Updates what this gateway publishes about itself through membership.
    void update_self(bool draining,
                     std::uint64_t configuration_version,
                     std::uint32_t in_flight,
                     base::time_point now);

    /// Announces that this gateway leaves the fleet.
    void leave(base::time_point now);

    /// Sends with best effort. Drops the message when no address of `to` is
    /// available.
    void send(base::instance_id to, peer_message message);

    /// Sends to every other live gateway.
    void send_to_all(const peer_message& message);

    /// Sends to one other live gateway, chosen at random.
    void send_to_random(peer_message message);

    /// Live gateways, including this one.
    std::vector<membership::member> live() const { return swim_.live(); }

    /// The gateway that schedules and counts for a service: the one that all
    /// gateways with the same view of the members compute.
    base::instance_id owner_of(const base::service_name& service,
                               const std::string& region) const;

    base::instance_id self() const { return swim_.self().instance_; }

private:
    void receive(wire::envelope<peer_message> received);
    void handle(const membership::event& event, base::time_point now);
    void perform(const membership::send_message& action);

    boost::asio::io_context& io_;
    peer_handlers handlers_;
    membership::swim swim_;
    std::unique_ptr<wire::peer_channel<peer_message>> channel_;
    /// Reply addresses of senders, for those that are not members yet.
    std::map<base::instance_id, base::endpoint> reply_addresses_;
    std::mt19937_64 random_;
};

} // namespace pimentoferry::gateway

#endif
