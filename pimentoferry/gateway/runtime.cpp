#include "pimentoferry/gateway/runtime.hpp"

#include "pimentoferry/log/log.hpp"

#include <boost/asio/io_context.hpp>

#include <algorithm>

namespace pimentoferry::gateway {

namespace {

// After the end of a quarantine one request is tried first; the callers that
// were refused come back later than that, and not all at once.
constexpr base::milliseconds quarantine_retry_margin{5000};
constexpr base::milliseconds quarantine_retry_spread{5000};

} // namespace

requests::retry_limits retry_share(const config::retry_settings& fleet,
                                   std::uint32_t gateways) {
    constexpr double used_share = 0.5;
    constexpr double percent = 100;
    requests::retry_limits limits;
    limits.percent_of_requests_ =
        static_cast<std::uint32_t>(fleet.ratio_ * percent * used_share);
    limits.constant_ = static_cast<std::uint32_t>(fleet.constant_ * used_share /
                                                  std::max(gateways, 1U));
    limits.window_ =
        std::chrono::duration_cast<base::milliseconds>(fleet.window_);
    return limits;
}

runtime::runtime(boost::asio::io_context& io,
                 const config::gateway_settings& settings,
                 upstream_protocol protocol,
                 registry_codec codec,
                 std::uint64_t seed)
    : io_(io), settings_(settings), protocol_(std::move(protocol)),
      registry_(std::move(codec)), client_(io), picker_(seed), random_(seed) {}

requests::retry_limits runtime::share() const {
    auto limits = retry_share(settings_.retries_, largest_fleet_);
    // A gateway that has not discovered any other yet does not know the size of
    // the fleet and gets no part of the constant.
    constexpr std::uint32_t min_known_fleet = 2;
    if (largest_fleet_ < min_known_fleet) {
        limits.constant_ = 0;
    }
    return limits;
}

void runtime::update_fleet_size(std::uint32_t gateways) {
    if (gateways <= largest_fleet_) {
        return;
    }
    largest_fleet_ = gateways;
    for (auto& [service, budget] : retries_) {
        budget.set_limits(share());
    }
}

requests::retry_budget& runtime::retries(const base::service_name& service) {
    return retries_.try_emplace(service, requests::retry_budget{share()})
        .first->second;
}

double runtime::random_fraction() {
    return std::uniform_real_distribution<double>{0, 1}(random_);
}

std::string runtime::view_age(base::time_point now) const {
    const bool known = store_answers_ != nullptr && store_answers_->span();
    return known ? std::to_string(
                       base::age_ms(store_answers_->span()->last_answer_, now))
                 : "none";
}

std::optional<base::account_name> routed_call::account_name() const {
    return account_ ? std::optional{account_->account_.name_} : std::nullopt;
}

bool is_authorized(const runtime& shared, const routed_call& call) {
    return is_authorized(call.account_, shared.registry_.account_keys().get());
}

std::string_view to_string(routing::call_kind kind) {
    switch (kind) {
    case routing::call_kind::idempotent:
        return "idempotent";
    case routing::call_kind::non_idempotent:
        return "non_idempotent";
    case routing::call_kind::stream:
        return "stream";
    }
    return "unknown";
}

base::milliseconds time_left(const routed_call& call, base::time_point now) {
    return std::max(
        std::chrono::duration_cast<base::milliseconds>(call.deadline_ - now),
        base::milliseconds{0});
}

void record_end(runtime& shared,
                const routed_call& call,
                std::string_view outcome,
                int status) {
    const auto duration = std::chrono::duration_cast<base::milliseconds>(
        base::clock::now() - call.arrived_);
    const auto kind = to_string(call.route_.kind_);
    shared.metrics_.count_request(kind, outcome);
    shared.metrics_.observe_answer(kind, duration);
    const auto ended_by = call.exchange_.ended_by();
    if (ended_by != http::caller_end::none &&
        ended_by != http::caller_end::closed) {
        shared.metrics_.count_cut_answer(to_string(ended_by));
        log::log_warn("answer_cut",
                      {{"request", call.request_.id_},
                       {"reason", std::string{to_string(ended_by)}},
                       {"ms", std::to_string(duration.count())}});
    }
    log::log_info("done", {{"request", call.request_.id_},
                           {"outcome", std::string{outcome}},
                           {"status", std::to_string(status)},
                           {"ms", std::to_string(duration.count())}});
}

http::awaitable<void>
refuse(runtime& shared, const routed_call& call, base::refusal refusal) {
    shared.metrics_.count_refusal(to_string(refusal.code_));
    log::log_info(
        "refuse",
        {{"request", call.request_.id_},
         {"route", call.route_.name_},
         {"code", std::string{to_string(refusal.code_)}},
         {"ran", std::string{to_string(refusal.ran_)}},
         {"retry_after_ms", refusal.retry_after_
                                ? std::to_string(refusal.retry_after_->count())
                                : "none"},
         {"detail", refusal.detail_}});
    const auto answer = shared.protocol_.write_refusal_(refusal);
    co_await call.exchange_.respond(answer);
    record_end(shared, call, "refused", answer.status_);
}

http::awaitable<void> refuse_unauthorized(runtime& shared,
                                          const routed_call& call) {
    base::refusal refusal{base::refusal_code::unauthorized,
                          base::ran_state::not_run, std::nullopt,
                          "the key was taken away while the request waited"};
    co_await refuse(shared, call, std::move(refusal));
}

http::awaitable<void> refuse_quarantined(runtime& shared,
                                         const routed_call& call,
                                         base::milliseconds left) {
    const auto spread = std::chrono::duration_cast<base::milliseconds>(
        quarantine_retry_spread * shared.random_fraction());
    base::refusal refusal{base::refusal_code::quarantined,
                          base::ran_state::not_run,
                          left + quarantine_retry_margin + spread,
                          "requests like this one have crashed upstreams"};
    co_await refuse(shared, call, std::move(refusal));
}

} // namespace pimentoferry::gateway
