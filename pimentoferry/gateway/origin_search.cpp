// Where streams that callers continue began: the questions that a gateway asks
// and answers.

#include "pimentoferry/base/overloaded.hpp"
#include "pimentoferry/gateway/origin_exchange.hpp"
#include "pimentoferry/log/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <iterator>

namespace pimentoferry::gateway {

namespace asio = boost::asio;

namespace {

constexpr base::milliseconds query_timeout{150};

} // namespace

http::awaitable<stream_origin>
origin_exchange::resolve(base::service_name service,
                         std::optional<std::string> request) {
    const auto now = base::clock::now();
    auto& state = services_[service];
    stream_origin origin = unknown_origin{};
    std::string_view source = "unknown";
    keeper_replies replies;
    const auto stream = request ? routing::stream_hash(service, *request) : 0;
    if (const auto version = state.origins_.find(stream)) {
        origin = known_origin{*version};
        source = "own_table";
    } else {
        replies = co_await ask_keepers(service, stream);
        source = "keeper";
        const bool silent = replies.received_ < replies.asked_;
        if (!replies.version_ && silent) {
            replies.version_ = co_await ask_watchers(service, stream);
            source = "watcher";
        }
        if (replies.version_) {
            origin = known_origin{*replies.version_};
        } else {
            origin = unknown_origin{silent};
            source = "unknown";
        }
    }
    if (auto* unknown = std::get_if<unknown_origin>(&origin)) {
        const auto concluded = co_await only_version(service);
        unknown->may_be_known_later_ =
            unknown->may_be_known_later_ || concluded.inconclusive_;
        if (concluded.only_) {
            origin = known_origin{*concluded.only_};
            source = "only_version";
        }
    }
    counters_.count_send("stream_origin", source);
    log_origin(service, request, origin, source, replies, now);
    co_return origin;
}

origin_exchange::pending_search
origin_exchange::start_search(const base::service_name& service,
                              std::uint64_t stream,
                              std::vector<base::instance_id> gateways) {
    std::erase(gateways, peers_.self());
    pending_search search{service, stream, next_query(), gateways.size(),
                          std::make_shared<pending_query>(io_)};
    queries_.emplace(search.id_, search.query_);
    std::ranges::for_each(gateways, [&](base::instance_id gateway) {
        peers_.send(gateway, origin_search{search.id_, service, stream});
    });
    return search;
}

http::awaitable<void> origin_exchange::finish_search(pending_search search,
                                                     base::time_point until) {
    const auto& query = search.query_;
    while (!query->version_ && query->replies_ < search.asked_ &&
           base::clock::now() < until) {
        co_await query->signal_.wait_until(until);
    }
    queries_.erase(search.id_);
}

// Watchers of the store have what was written sooner than this gateway. They
// are asked if a keeper has just been lost.
http::awaitable<std::optional<base::software_version>>
origin_exchange::ask_watchers(base::service_name service,
                              std::uint64_t stream) {
    const auto search = start_search(service, stream, peers_.watchers());
    co_await finish_search(search, base::clock::now() + query_timeout);
    co_return search.query_->version_;
}

http::awaitable<std::variant<base::service_name, unknown_origin>>
origin_exchange::await_searches(std::vector<pending_search> searches) {
    auto until = base::clock::now() + query_timeout;
    std::variant<base::service_name, unknown_origin> found = unknown_origin{};
    for (const auto& search : searches) {
        co_await finish_search(search, until);
        const auto& query = *search.query_;
        if (query.version_) {
            services_[search.service_].origins_.add(
                search.stream_, *query.version_, base::clock::now());
            found = search.service_;
            until = base::clock::now();
        } else if (auto* unknown = std::get_if<unknown_origin>(&found)) {
            unknown->may_be_known_later_ =
                unknown->may_be_known_later_ || query.replies_ < search.asked_;
        }
    }
    co_return found;
}

// A stream is known by the hash of its service and request, so that each
// service has keepers of its own to ask.
http::awaitable<std::variant<base::service_name, unknown_origin>>
origin_exchange::search_services(std::string request) {
    for (const auto& [service, state] : services_) {
        if (state.origins_.find(routing::stream_hash(service, request))) {
            co_return service;
        }
    }
    const auto start_searches = [&](const auto& gateways_of) {
        std::vector<pending_search> searches;
        std::ranges::transform(
            services_, std::back_inserter(searches), [&](const auto& each) {
                return start_search(each.first,
                                    routing::stream_hash(each.first, request),
                                    gateways_of(each.first));
            });
        return searches;
    };
    auto searches = start_searches(
        [this](const base::service_name& each) { return keepers_of(each); });
    auto found = co_await await_searches(std::move(searches));
    const auto* unknown = std::get_if<unknown_origin>(&found);
    if (unknown != nullptr && unknown->may_be_known_later_) {
        auto more = start_searches(
            [this](const base::service_name&) { return peers_.watchers(); });
        found = co_await await_searches(std::move(more));
        if (auto* still = std::get_if<unknown_origin>(&found)) {
            still->may_be_known_later_ = true;
        }
    }
    co_return found;
}

http::awaitable<stream_service>
origin_exchange::find_service(const routing::route& route,
                              std::optional<std::string> request) {
    const auto asked_at = base::clock::now();
    const auto serving = routing::serving(route);
    stream_service result = unknown_origin{};
    if (services_.size() > 1 && request) {
        const auto found = co_await search_services(*request);
        if (const auto* unknown = std::get_if<unknown_origin>(&found)) {
            result = *unknown;
        } else {
            const auto& service = std::get<base::service_name>(found);
            result = serving.contains(service)
                         ? stream_service{serving_service{service}}
                         : stream_service{former_service{service}};
        }
    }
    const auto possible =
        route_history_.services_of(route, asked_at, keep_.time());
    if (std::holds_alternative<unknown_origin>(result) && serving.size() == 1 &&
        possible == serving) {
        result = serving_service{*serving.begin()};
    }
    log::log_info(
        "stream_service",
        {{"resumes", request.value_or("none")},
         {"route", route.name_},
         {"service",
          std::visit(
              base::overloaded{
                  [](const unknown_origin&) { return std::string{"unknown"}; },
                  [](const auto& known) { return known.service_.value_; }},
              result)},
         {"serves",
          std::holds_alternative<serving_service>(result) ? "yes" : "no"},
         {"possible", std::to_string(possible.size())},
         {"ms", std::to_string(base::age_ms(asked_at, base::clock::now()))}});
    co_return result;
}

base::refusal refusal_of(const unknown_origin& unknown) {
    // By then the loss of a gateway is known, and others keep what it kept.
    constexpr base::milliseconds retry_after{1000};
    // A caller that waits learns nothing new, unless a gateway was out of
    // reach.
    return {base::refusal_code::no_upstream, base::ran_state::not_run,
            unknown.may_be_known_later_ ? std::optional{retry_after}
                                        : std::nullopt,
            "it is not known which service and software version began the "
            "stream"};
}

void origin_exchange::log_origin(const base::service_name& service,
                                 const std::optional<std::string>& request,
                                 const stream_origin& origin,
                                 std::string_view source,
                                 const keeper_replies& replies,
                                 base::time_point asked_at) const {
    const auto now = base::clock::now();
    const auto* known = std::get_if<known_origin>(&origin);
    const auto confirmed = follower_.last_confirmed();
    const auto state = services_.find(service);
    log::log_info(
        "stream_origin",
        {{"resumes", request.value_or("none")},
         {"service", service.value_},
         {"version", known != nullptr ? known->version_.value_ : "unknown"},
         {"source", std::string{source}},
         {"possible",
          state == services_.end()
              ? "none"
              : text_of(state->second.history_.possible(now, keep_.time()))},
         {"keepers_asked", std::to_string(replies.asked_)},
         {"keepers_replied", std::to_string(replies.received_)},
         {"view_ms",
          confirmed ? std::to_string(base::age_ms(*confirmed, now)) : "none"},
         {"ms", std::to_string(base::age_ms(asked_at, now))}});
}

http::awaitable<origin_exchange::conclusion>
origin_exchange::only_version(base::service_name service) {
    const auto& history = services_[service].history_;
    conclusion concluded;
    if (history.possible(base::clock::now(), keep_.time()).size() > 1) {
        co_return concluded;
    }
    const auto record = co_await record_.read();
    std::vector<base::software_version> recorded;
    if (record) {
        recorded = record->versions_of(service);
    }
    concluded.inconclusive_ = recorded.empty();
    concluded.only_ = history.only(recorded, base::clock::now(), keep_.time());
    co_return concluded;
}

http::awaitable<origin_exchange::keeper_replies>
origin_exchange::ask_keepers(base::service_name service, std::uint64_t stream) {
    const auto id = next_query();
    auto pending = std::make_shared<pending_query>(io_);
    queries_.emplace(id, pending);
    const auto keepers = other_keepers_of(service);
    std::ranges::for_each(keepers, [&](base::instance_id keeper) {
        peers_.send(keeper, origin_query{id, service, stream});
    });
    const auto until = base::clock::now() + query_timeout;
    while (!pending->version_ && pending->replies_ < keepers.size() &&
           base::clock::now() < until) {
        co_await pending->signal_.wait_until(until);
    }
    queries_.erase(id);
    co_return keeper_replies{keepers.size(), pending->replies_,
                             pending->version_};
}

void origin_exchange::receive(base::instance_id from,
                              const origin_query& query) {
    const auto& state = services_[query.service_];
    if (const auto version = state.origins_.find(query.stream_)) {
        reply(from, query, version, "own_table");
        return;
    }
    asio::co_spawn(
        io_, [this, from, query] { return answer_from_record(from, query); },
        asio::detached);
}

http::awaitable<void>
origin_exchange::answer_from_record(base::instance_id from,
                                    origin_query query) {
    const auto concluded = co_await only_version(query.service_);
    reply(from, query, concluded.only_,
          concluded.only_ ? "only_version" : "unknown");
}

void origin_exchange::reply(
    base::instance_id to,
    const origin_query& query,
    const std::optional<base::software_version>& version,
    std::string_view source) {
    const auto now = base::clock::now();
    const auto confirmed = follower_.last_confirmed();
    const auto& history = services_[query.service_].history_;
    log::log_info(
        "stream_origin_told",
        {{"to", base::to_hex(to.value_)},
         {"service", query.service_.value_},
         {"version", version ? version->value_ : "unknown"},
         {"source", std::string{source}},
         {"possible", text_of(history.possible(now, keep_.time()))},
         {"view_ms",
          confirmed ? std::to_string(base::age_ms(*confirmed, now)) : "none"}});
    peers_.send(to, origin_reply{query.id_, version});
}

// Only what this gateway knows of the stream itself.
void origin_exchange::receive(base::instance_id from,
                              const origin_search& search) {
    const auto found = services_.find(search.service_);
    auto version = found != services_.end()
                       ? found->second.origins_.find(search.stream_)
                       : std::nullopt;
    peers_.send(from, origin_reply{search.id_, std::move(version)});
}

void origin_exchange::receive(base::instance_id from,
                              const origin_reply& reply) {
    for (auto& [service, state] : services_) {
        if (state.first_keeper_ == from) {
            state.turn_.answered();
        }
    }
    const auto found = queries_.find(reply.id_);
    if (found == queries_.end()) {
        return;
    }
    ++found->second->replies_;
    if (reply.version_) {
        found->second->version_ = reply.version_;
    }
    found->second->signal_.wake();
}

} // namespace pimentoferry::gateway
