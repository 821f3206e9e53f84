#include "pimentoferry/gateway/origin_exchange.hpp"

#include "pimentoferry/base/hash.hpp"
#include "pimentoferry/log/log.hpp"
#include "pimentoferry/membership/ownership.hpp"
#include "pimentoferry/wire/codec.hpp"

#include <algorithm>
#include <iterator>
#include <ranges>

namespace pimentoferry::gateway {

namespace {

constexpr base::milliseconds review_interval{500};
constexpr std::size_t max_streams_in_write = 2000;
// Within the size of a message; a gateway with more forgets the oldest.
constexpr std::size_t max_own_streams = 20'000;
// Streams that began within this time are told to the keepers again.
constexpr base::milliseconds repeated_streams{1000};
// Tolerates the loss of one keeper together with the gateway of a stream.
constexpr std::size_t keeper_count = 2;
// Callers continue a stream until their deadline, which is about the limit of
// its route.
constexpr int kept_route_timeouts = 2;
constexpr base::milliseconds least_keep{30'000};

/// Adds one stream to the groups of a message.
void append(std::vector<routing::streams_of_version>& groups,
            const base::software_version& version,
            std::uint64_t stream) {
    const auto found = std::ranges::find(
        groups, version, &routing::streams_of_version::version_);
    if (found == groups.end()) {
        groups.push_back({version, {stream}});
    } else {
        found->streams_.push_back(stream);
    }
}

} // namespace

std::vector<base::instance_id>
origin_exchange::keepers_of(const base::service_name& service) const {
    const auto shard =
        static_cast<std::uint32_t>(base::hash_bytes(service.value_));
    auto live = peers_.live();
    // Gateways that drain are used only if there are no others: what they know
    // has to reach the store before they end.
    if (std::ranges::all_of(live, &membership::member::draining_)) {
        std::ranges::for_each(
            live, [](membership::member& each) { each.draining_ = false; });
    }
    auto candidates = membership::shard_candidates(shard, live);
    candidates.resize(std::min(candidates.size(), keeper_count));
    return candidates;
}

std::optional<base::instance_id>
origin_exchange::first_keeper_of(const base::service_name& service) const {
    const auto keepers = keepers_of(service);
    return keepers.empty() ? std::nullopt : std::optional{keepers.front()};
}

std::vector<base::instance_id>
origin_exchange::other_keepers_of(const base::service_name& service) const {
    auto keepers = keepers_of(service);
    std::erase(keepers, peers_.self());
    return keepers;
}

void origin_exchange::began(const base::service_name& service,
                            const std::string& request,
                            const base::software_version& version) {
    const auto now = base::clock::now();
    auto& state = services_[service];
    const auto stream = routing::stream_hash(service, request);
    if (state.origins_.add(stream, version, now)) {
        if (state.own_.size() >= max_own_streams) {
            state.own_.pop_front();
        }
        state.own_.push_back({now, version, stream});
        state.untold_ = true;
    }
}

void origin_exchange::set_instances(const registry& registry_view,
                                    base::time_point now) {
    const auto routes = registry_view.routes();
    if (!routes) {
        return;
    }
    auto wanted = least_keep;
    std::ranges::for_each(
        routes->source().routes_, [&wanted](const routing::route& route) {
            if (route.kind_ == routing::call_kind::stream) {
                wanted = std::max(wanted, route.timeout_ * kept_route_timeouts);
            }
        });
    keep_.update(wanted, now);
    note_routes(routes, now);
    for (const auto& [name, service] : routes->source().services_) {
        if (!service.engine_) {
            continue;
        }
        auto& state = services_[name];
        std::ranges::for_each(registry_view.instances().usable(name, now),
                              [&](const routing::instance* each) {
                                  state.history_.seen(each->software_version_,
                                                      now);
                              });
    }
}

void origin_exchange::note_routes(
    const std::shared_ptr<const routing::route_table>& routes,
    base::time_point now) {
    if (routes_ && routes_ != routes) {
        route_history_.replaced(routes_->source(), now);
    }
    routes_ = routes;
    route_history_.expire(now - keep_.time());
    sharing_ =
        route_history_.sharing_a_route(routes->source(), now, keep_.time());
}

void origin_exchange::receive(const began_streams& message) {
    const auto now = base::clock::now();
    auto& state = services_[message.service_];
    for (const auto& group : message.groups_) {
        // The sender may know a version before this gateway's view has it.
        state.history_.seen(group.version_, now);
    }
    add_streams(state, message, now);
}

void origin_exchange::add_streams(service_state& state,
                                  const began_streams& message,
                                  base::time_point now) {
    for (const auto& group : message.groups_) {
        std::ranges::for_each(group.streams_, [&](std::uint64_t stream) {
            state.origins_.add(stream, group.version_, now);
        });
    }
}

void origin_exchange::load(const routing::versions_in_use& record) {
    const auto now = base::clock::now();
    std::ranges::for_each(
        record.services_, [&](const routing::service_versions& each) {
            services_[each.service_].history_.load(each.versions_, now);
        });
}

void origin_exchange::receive(const store::item& item) {
    record_.receive(item);
    if (!item.key_.starts_with(origin_ring::prefix)) {
        return;
    }
    const auto decoded = wire::decode<began_streams>(item.value_);
    const auto* message = std::get_if<began_streams>(&decoded);
    if (message == nullptr) {
        log::log_warn(
            "stream_origins_unreadable",
            {{"key", item.key_}, {"revision", std::to_string(item.revision_)}});
        return;
    }
    // The ring also has streams of versions that left long ago.
    add_streams(services_[message->service_], *message, base::clock::now());
    set_recorded(*message);
}

void origin_exchange::set_recorded(const began_streams& message) {
    auto& origins = services_[message.service_].origins_;
    for (const auto& group : message.groups_) {
        std::ranges::for_each(group.streams_, [&origins](std::uint64_t stream) {
            origins.set_recorded(stream);
        });
    }
}

std::vector<routing::streams_of_version>
origin_exchange::own_streams(const service_state& state,
                             base::time_point since) {
    std::vector<routing::streams_of_version> groups;
    const auto first =
        std::ranges::lower_bound(state.own_, since, {}, &own_stream::began_);
    std::for_each(first, state.own_.end(), [&groups](const own_stream& each) {
        append(groups, each.version_, each.stream_);
    });
    return groups;
}

// Messages may be lost, so recent streams are told again. A keeper that has
// just become one is told of all streams that may still be continued.
void origin_exchange::tell_keepers(const base::service_name& service,
                                   service_state& state,
                                   base::time_point now) {
    const auto keepers = keepers_of(service);
    for (const auto keeper : keepers) {
        const bool is_new = std::ranges::count(state.keepers_, keeper) == 0;
        began_streams message{
            service, is_new ? own_streams(state, base::time_point::min())
                            : own_streams(state, now - repeated_streams)};
        if (keeper != peers_.self() && !message.groups_.empty()) {
            peers_.send(keeper, std::move(message));
        }
    }
    state.keepers_ = keepers;
    state.untold_ = false;
}

void origin_exchange::forget_old_streams(base::time_point now) {
    std::size_t versions = 0;
    for (auto& [service, state] : services_) {
        state.origins_.expire(now - keep_.time());
        while (!state.own_.empty() &&
               state.own_.front().began_ < now - keep_.time()) {
            state.own_.pop_front();
        }
        versions = std::max(versions,
                            state.history_.possible(now, keep_.time()).size());
    }
    counters_.set_gauge("software_versions", static_cast<double>(versions));
}

// The replica shows what was written only some time later.
void origin_exchange::finish_write(const began_streams& message,
                                   origin_ring::write_result result) {
    if (result == origin_ring::write_result::written) {
        set_recorded(message);
    } else if (result == origin_ring::write_result::slot_taken) {
        auto& state = services_[message.service_];
        state.write_due_ = true;
        state.next_write_ = {};
    }
}

void origin_exchange::forget_records() {
    ring_.forget();
    for (auto& [service, state] : services_) {
        state.origins_.clear_recorded();
    }
}

void origin_exchange::tick(const registry& registry_view,
                           const store::mirror& replica,
                           base::time_point now) {
    const bool review = now >= next_review_;
    if (review) {
        // After this process stood still, versions in service appear to have
        // left long ago.
        set_instances(registry_view, now);
    }
    record_.update(versions_since(now, keep_.time()),
                   versions_since(now, routing::write_turn::patience), now);
    for (auto& [service, state] : services_) {
        if (state.untold_ || (review && !state.own_.empty())) {
            tell_keepers(service, state, now);
        }
        if (review) {
            ask_first_keeper(service, state, now);
        }
        state.write_due_ =
            state.turn_.find_silent(now) || review || state.write_due_;
        if (state.write_due_) {
            write_streams(service, state, replica, now);
        }
    }
    if (!review) {
        return;
    }
    next_review_ = now + review_interval;
    forget_old_streams(now);
}

routing::versions_in_use
origin_exchange::versions_since(base::time_point now,
                                base::milliseconds time) const {
    routing::versions_in_use known;
    for (const auto& [service, state] : services_) {
        auto versions = state.history_.possible(now, time);
        if (!versions.empty()) {
            known.services_.push_back({service, std::move(versions)});
        }
    }
    return known;
}

std::optional<std::size_t>
origin_exchange::rank_of_self(const base::service_name& service) const {
    const auto keepers = keepers_of(service);
    const auto found = std::ranges::find(keepers, peers_.self());
    return found == keepers.end() ? std::nullopt
                                  : std::optional{static_cast<std::size_t>(
                                        found - keepers.begin())};
}

bool origin_exchange::records_streams(const base::service_name& service,
                                      const service_state& state,
                                      base::time_point now) const {
    return sharing_.contains(service) ||
           state.history_.possible(now, keep_.time()).size() > 1;
}

// Asks the first keeper whether it is there, if there is something to write.
void origin_exchange::ask_first_keeper(const base::service_name& service,
                                       service_state& state,
                                       base::time_point now) {
    const auto first = first_keeper_of(service);
    if (first != state.first_keeper_) {
        state.first_keeper_ = first;
        state.turn_.reset();
    }
    const auto rank = rank_of_self(service);
    if (!first || !rank || *rank == 0 ||
        !records_streams(service, state, now) ||
        state.origins_.unrecorded(1, now).empty()) {
        return;
    }
    state.turn_.asked(now);
    constexpr std::uint64_t no_stream = 0;
    peers_.send(*first, origin_search{next_query(), service, no_stream});
}

void origin_exchange::write_streams(const base::service_name& service,
                                    service_state& state,
                                    const store::mirror& replica,
                                    base::time_point now) {
    if (ring_.writing() || now < state.next_write_) {
        return;
    }
    state.write_due_ = false;
    const auto rank = rank_of_self(service);
    if (!rank || !records_streams(service, state, now)) {
        return;
    }
    const began_streams message{
        service, state.origins_.unrecorded(max_streams_in_write,
                                           state.turn_.due_before(*rank, now))};
    if (message.groups_.empty()) {
        return;
    }
    state.turn_.wrote(*rank, now);
    ring_.write(message, *rank, replica, [this, message](auto result) {
        finish_write(message, result);
    });
    // The writes are spaced so that the ring reaches back as far as streams are
    // continued.
    const auto writers_of_ring = static_cast<int>(services_.size());
    state.next_write_ =
        now + keep_.time() * writers_of_ring / origin_ring::size;
}

} // namespace pimentoferry::gateway
