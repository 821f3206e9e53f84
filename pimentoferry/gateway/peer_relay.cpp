#include "pimentoferry/gateway/peer_relay.hpp"

#include "pimentoferry/gateway/upstream_check.hpp"
#include "pimentoferry/http/proxy.hpp"
#include "pimentoferry/log/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <iterator>
#include <limits>
#include <numeric>

namespace pimentoferry::gateway {

namespace asio = boost::asio;

namespace {

constexpr base::milliseconds report_interval{500};
// Reports may be lost; a gateway that has ended sends none.
constexpr base::milliseconds report_validity{2000};
constexpr base::milliseconds check_interval{300};
constexpr base::milliseconds connect_timeout{250};
// The other gateway may close a connection that was idle for longer.
constexpr base::milliseconds longest_idle{2000};
// Gateways tried with one request.
constexpr std::size_t max_relays = 2;

} // namespace

void peer_relay::send_failed(const routing::instance& instance,
                             const http::call_failure& failure) {
    const bool unreached = failure.kind_ == http::failure_kind::refused ||
                           failure.kind_ == http::failure_kind::unreachable ||
                           failure.kind_ == http::failure_kind::timed_out;
    if (unreached && reach_.failed(instance.id_)) {
        log::log_warn("upstreams_unreachable",
                      {{"instance", instance.id_.value_}});
        shared_.metrics_.set_gauge("upstreams_unreachable", 1);
        next_report_ = {};
        next_check_ = base::clock::now() + check_interval;
    }
}

void peer_relay::connected() {
    if (reach_.connected()) {
        log::log_info("upstreams_reachable", {});
        shared_.metrics_.set_gauge("upstreams_unreachable", 0);
        report();
    }
}

void peer_relay::report() {
    peers_.send_to_all(upstream_reach_report{reach_.isolated()});
}

void peer_relay::receive(base::instance_id from,
                         const upstream_reach_report& message) {
    if (message.isolated_) {
        isolated_until_[from] = base::clock::now() + report_validity;
    } else {
        isolated_until_.erase(from);
    }
}

void peer_relay::tick(base::time_point now) {
    std::erase_if(isolated_until_,
                  [now](const auto& entry) { return entry.second <= now; });
    if (!isolated()) {
        return;
    }
    if (now >= next_report_) {
        next_report_ = now + report_interval;
        report();
    }
    if (now >= next_check_ && !checking_) {
        next_check_ = now + check_interval;
        check_one_upstream();
    }
}

std::optional<routing::instance> peer_relay::draw_upstream(bool unfailed_only) {
    const auto routes = shared_.registry_.routes();
    if (!routes) {
        return std::nullopt;
    }
    const auto now = base::clock::now();
    std::vector<const routing::instance*> candidates;
    for (const auto& [name, service] : routes->source().services_) {
        std::ranges::copy(shared_.registry_.instances().usable(name, now),
                          std::back_inserter(candidates));
    }
    if (unfailed_only) {
        std::erase_if(candidates, [this](const routing::instance* each) {
            return reach_.has_failed(each->id_);
        });
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    const auto chosen = static_cast<std::size_t>(
        shared_.random_fraction() * static_cast<double>(candidates.size()));
    return *candidates.at(std::min(chosen, candidates.size() - 1));
}

http::awaitable<bool> peer_relay::confirm_isolation() {
    if (!isolated()) {
        co_return false;
    }
    const auto upstream = draw_upstream(true);
    if (!upstream) {
        co_return reach_.isolated_unconfirmed();
    }
    // An answer is recorded where answers are observed.
    co_await probe_upstream(shared_, *upstream);
    co_return isolated();
}

void peer_relay::check_one_upstream() {
    checking_ = true;
    asio::co_spawn(
        shared_.io_,
        [this]() -> http::awaitable<void> {
            // Any that answers ends the isolation, also one that failed before.
            if (const auto upstream = draw_upstream(false)) {
                co_await probe_upstream(shared_, *upstream);
            }
            checking_ = false;
        },
        asio::detached);
}

std::vector<membership::member>
peer_relay::serving(const std::vector<membership::member>& live) const {
    auto reaching = live;
    std::erase_if(reaching, [this](const membership::member& each) {
        return each.draining_ ||
               (each.instance_ == peers_.self()
                    ? isolated()
                    : isolated_until_.contains(each.instance_));
    });
    return reaching.empty() ? live : reaching;
}

std::optional<membership::member>
peer_relay::choose(const std::set<base::instance_id>& tried) {
    auto candidates = peers_.live();
    std::erase_if(candidates, [&](const membership::member& each) {
        return each.instance_ == peers_.self() || each.draining_ ||
               isolated_until_.contains(each.instance_) ||
               tried.contains(each.instance_);
    });
    // In proportion to their processor shares.
    const auto share_of = [](const membership::member& each) {
        return std::max<double>(each.millicores_, 1);
    };
    double left = shared_.random_fraction() *
                  std::transform_reduce(candidates.begin(), candidates.end(),
                                        0.0, std::plus{}, share_of);
    const auto chosen = std::ranges::find_if(candidates, [&](const auto& each) {
        left -= share_of(each);
        return left <= 0;
    });
    return chosen != candidates.end() ? std::optional{*chosen} : std::nullopt;
}

bool peer_relay::should_relay(const routed_call& call) const {
    const auto live = peers_.live();
    return isolated() && !call.request_.relayed_ &&
           std::ranges::any_of(live, [this](const membership::member& each) {
               return each.instance_ != peers_.self() && !each.draining_ &&
                      !isolated_until_.contains(each.instance_);
           });
}

http::awaitable<bool> peer_relay::relay(routed_call& call) {
    if (call.request_.relayed_) {
        co_return false;
    }
    const bool may_repeat = call.route_.kind_ == routing::call_kind::idempotent;
    std::set<base::instance_id> tried;
    bool may_have_run = false;
    while (tried.size() < max_relays && base::clock::now() < call.deadline_) {
        const auto peer = choose(tried);
        if (!peer) {
            break;
        }
        tried.insert(peer->instance_);
        log::log_info("relay", {{"request", call.request_.id_},
                                {"gateway", peer->name_}});
        const auto result = co_await relay_to(peer->traffic_address_, call);
        if (result == relay_result::done) {
            co_return true;
        }
        may_have_run = may_have_run || result == relay_result::lost;
        if (may_have_run && !may_repeat) {
            break;
        }
    }
    if (!may_have_run) {
        co_return false;
    }
    const bool timed_out = base::clock::now() >= call.deadline_;
    base::refusal refusal{timed_out ? base::refusal_code::upstream_timeout
                                    : base::refusal_code::upstream_failed,
                          base::ran_state::unknown, std::nullopt,
                          "the answer of another gateway was lost"};
    co_await refuse(shared_, call, std::move(refusal));
    co_return true;
}

http::awaitable<peer_relay::relay_result>
peer_relay::relay_to(base::endpoint address, routed_call& call) {
    http::call_options options;
    options.deadline_ = call.deadline_;
    options.connect_timeout_ = connect_timeout;
    options.longest_idle_ = longest_idle;
    options.body_limit_bytes_ = std::numeric_limits<std::size_t>::max();
    options.cancel_ = call.exchange_.caller_gone();
    auto request = shared_.protocol_.relayed_call_(
        call.exchange_.call(), time_left(call, base::clock::now()));
    auto opened = co_await shared_.client_.open(
        std::move(address), std::move(request), std::move(options));
    if (const auto* failure = std::get_if<http::call_failure>(&opened)) {
        shared_.metrics_.count_send("relay", to_string(failure->kind_));
        if (failure->kind_ == http::failure_kind::cancelled) {
            record_end(shared_, call, "caller_gone", 0);
            co_return relay_result::done;
        }
        co_return failure->sent_ ? relay_result::lost : relay_result::not_sent;
    }
    shared_.metrics_.count_send("relay", "answered");
    auto& answer = std::get<http::open_answer>(opened);
    if (shared_.protocol_.is_event_stream_(answer.head())) {
        co_await forward(answer, call);
        co_return relay_result::done;
    }
    auto body = co_await answer.read_all();
    // A gateway marks the end of each answer.
    if (std::holds_alternative<http::call_failure>(body) ||
        !answer.end_is_marked()) {
        co_return relay_result::lost;
    }
    const auto forwarded =
        http::forwarded_response(std::get<http::response>(std::move(body)));
    co_await call.exchange_.respond(forwarded);
    record_end(shared_, call, "relayed", forwarded.status_);
    co_return relay_result::done;
}

http::awaitable<void> peer_relay::forward(http::open_answer& answer,
                                          routed_call& call) {
    http::response received{answer.head().status_, answer.head().fields_, {}};
    auto forwarded = http::forwarded_response(std::move(received));
    const http::response_head head{forwarded.status_,
                                   std::move(forwarded.fields_)};
    auto written = co_await call.exchange_.begin_stream(head);
    while (written == http::write_result::written) {
        const auto chunk = co_await answer.read_until_deadline();
        if (std::holds_alternative<http::body_end>(chunk) &&
            answer.end_is_marked()) {
            co_await call.exchange_.end_stream();
            record_end(shared_, call, "relayed", head.status_);
            co_return;
        }
        const auto* bytes = std::get_if<std::string>(&chunk);
        if (bytes == nullptr) {
            // Returning without the end of the stream closes the connection.
            record_end(shared_, call, "broken", head.status_);
            co_return;
        }
        written = co_await call.exchange_.write(*bytes);
    }
    record_end(shared_, call, "caller_gone", 0);
}

} // namespace pimentoferry::gateway
