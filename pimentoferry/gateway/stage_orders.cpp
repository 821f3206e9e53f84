#include "pimentoferry/gateway/stage_orders.hpp"

#include "pimentoferry/base/boot_time.hpp"
#include "pimentoferry/gateway/upstream_statements.hpp"
#include "pimentoferry/http/error_token.hpp"
#include "pimentoferry/log/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <cmath>
#include <string>
#include <vector>

namespace pimentoferry::gateway {

namespace asio = boost::asio;

namespace {

constexpr base::milliseconds review_interval{300};
// Membership needs a second or two to find all gateways; before that several
// of them compute themselves as the owner.
constexpr base::milliseconds membership_settling_time{2000};
// Engines register one after the other; no order is given until their number
// has been stable for this long.
constexpr base::milliseconds stable_engine_count_time{1000};
// A change takes an engine out of service for the duration of a role change, so
// an order waits until the split has differed from the plan for this share of
// that time.
constexpr double sustained_share = 0.5;
// Added to the duration of a role change, until the engine's registration
// shows the new role.
constexpr base::milliseconds registration_margin{1500};
constexpr base::milliseconds order_timeout{800};
// A report lists the requests that the engine runs, a line each.
constexpr std::size_t report_body_limit_bytes = std::size_t{256} << 10;

constexpr int status_ok = 200;
constexpr int status_accepted = 202;

std::string whole(double number) {
    return std::to_string(std::llround(number));
}

} // namespace

void stage_orders::start() {
    started_ = base::clock::now();
    asio::co_spawn(
        shared_.io_, [this] { return run(); }, asio::detached);
}

http::awaitable<void> stage_orders::run() {
    while (!shared_.ends_at_) {
        asio::steady_timer pause{shared_.io_, review_interval};
        boost::system::error_code ignored;
        co_await pause.async_wait(http::internal::into(ignored));
        const auto routes = shared_.registry_.routes();
        if (!routes ||
            base::clock::now() - started_ < membership_settling_time) {
            continue;
        }
        for (const auto& [name, service] : routes->source().services_) {
            if (service.engine_ && shared_.streams_->owns(name)) {
                co_await review(name, service.engine_->role_change_);
            }
        }
    }
}

std::vector<placement::stage_change>
stage_orders::due_changes(const base::service_name& service,
                          base::milliseconds role_change,
                          base::time_point now) {
    const auto* scheduler = shared_.streams_->scheduler(service);
    if (scheduler == nullptr || role_change == base::milliseconds{0}) {
        return {};
    }
    auto& state = services_[service];
    const auto engines = scheduler->planned_engines(now);
    if (engines.size() != state.engine_count_) {
        state.engine_count_ = engines.size();
        state.engine_count_since_ = now;
    }
    const auto count = static_cast<std::uint32_t>(engines.size());
    const auto current = static_cast<std::uint32_t>(
        std::ranges::count(engines, placement::engine_role::prefill,
                           &placement::planned_engine::role_));
    // Without an engine of a role the service cannot work as intended:
    // decode engines prefill every prompt, which delays all their streams, or
    // no stream can run. Any split is better, so the change is due at once.
    const bool role_missing = current == 0 || current == count;
    const bool learned = scheduler->demand_learned(now);
    if (!learned && !role_missing) {
        state.split_differs_since_.reset();
        return {};
    }
    const auto demand =
        learned ? scheduler->demand(now) : placement::stream_demand{};
    // The first plan corrects a split that nobody planned. Later ones tolerate
    // small differences.
    const bool any_limited =
        std::ranges::any_of(engines, [](const auto& engine) {
            return engine.requests_per_s_.has_value();
        });
    const auto target =
        any_limited ? placement::plan_prefill_engines(demand, engines)
        : state.planned_before_
            ? placement::plan_prefill_engines(demand, count, current)
            : placement::plan_prefill_engines(demand, count);
    auto changes = placement::stage_changes(engines, target);
    if (changes.empty()) {
        state.split_differs_since_.reset();
        state.planned_before_ = state.planned_before_ || learned;
        return {};
    }
    const auto needed_role = changes.front().role_;
    if (!state.split_differs_since_ || state.needed_role_ != needed_role) {
        state.split_differs_since_ = now;
        state.needed_role_ = needed_role;
    }
    const bool engines_stable =
        now - state.engine_count_since_ >= stable_engine_count_time;
    const bool sustained =
        now - *state.split_differs_since_ >= role_change * sustained_share;
    const bool due = role_missing || !state.planned_before_ ||
                     (sustained && now >= state.earliest_next_order_);
    if (!engines_stable || !due) {
        return {};
    }
    log::log_info("stage_plan",
                  {{"service", service.value_},
                   {"engines", std::to_string(count)},
                   {"prefill", std::to_string(current)},
                   {"planned_prefill", std::to_string(target)},
                   {"prefill_ms", whole(demand.prefill_time_.count())},
                   {"answer_ms", whole(demand.answer_time_.count())},
                   {"stream_token_s", whole(demand.memory_token_ms_ / 1000)},
                   {"prefill_shortfall", whole(demand.prefill_shortfall_)},
                   {"limited", any_limited ? "yes" : "no"}});
    return changes;
}

orders::order_claim& stage_orders::claim_of(const base::service_name& service) {
    auto& state = services_[service];
    if (!state.claim_) {
        state.claim_.emplace("pimentoferry/orders/" + service.value_, holder_);
    }
    return *state.claim_;
}

void stage_orders::forget_claims() {
    for (auto& [service, state] : services_) {
        if (state.claim_) {
            state.claim_->forget();
        }
    }
}

void stage_orders::release() {
    for (auto& [service, state] : services_) {
        if (!state.claim_) {
            continue;
        }
        for (auto& operation : state.claim_->release(base::boot_now())) {
            store_.submit(
                std::move(operation),
                [service = service](const store::result& result) {
                    const bool released =
                        std::holds_alternative<store::erased>(result.outcome_);
                    log::log_info("order_claim_released",
                                  {{"service", service.value_},
                                   {"released", released ? "yes" : "no"}});
                });
        }
    }
}

std::optional<std::uint64_t>
stage_orders::claim(const base::service_name& service) {
    auto& service_claim = claim_of(service);
    for (auto& operation : service_claim.acquire(base::boot_now())) {
        store_.submit(
            std::move(operation), [this, service](const store::result& result) {
                const auto now = base::boot_now();
                auto& claim = *services_[service].claim_;
                claim.handle(result, era_, now);
                if (result.era_) {
                    era_.seen(*result.era_, now);
                }
                const auto number = claim.fencing_number(now);
                log::log_info("order_claim",
                              {{"service", service.value_},
                               {"fencing_number",
                                number ? std::to_string(*number) : "none"}});
            });
    }
    return service_claim.fencing_number(base::boot_now());
}

http::awaitable<bool> stage_orders::order(placement::stage_change change,
                                          std::uint64_t fencing_number) {
    const auto* found = shared_.registry_.instances().find_usable(
        change.engine_, base::clock::now());
    if (found == nullptr) {
        co_return false;
    }
    const auto engine = *found;
    const caller_request no_caller;
    http::call_options options;
    options.deadline_ = base::clock::now() + order_timeout;
    options.body_limit_bytes_ = report_body_limit_bytes;
    options.is_answer_ = [this](const http::response_head& head) {
        return shared_.protocol_.is_answer_to_({}, head);
    };
    auto report_call = shared_.protocol_.report_call_(change.engine_);
    auto report_options = options;
    shared_.statements_->observe(report_options, no_caller, engine);
    const auto report_result = co_await shared_.client_.call(
        engine.address_, std::move(report_call), std::move(report_options));
    const auto* report_response = std::get_if<http::response>(&report_result);
    const auto accepted =
        report_response != nullptr
            ? shared_.protocol_.read_accepted_orders_(report_response->body_)
            : std::nullopt;
    if (!accepted) {
        log::log_warn("order_not_given",
                      {{"engine", change.engine_.value_},
                       {"reason", "no valid report from the engine"}});
        co_return false;
    }
    if (shared_.registry_.instances().leaves(engine)) {
        log::log_warn("order_not_given", {{"engine", change.engine_.value_},
                                          {"reason", "the engine leaves"}});
        co_return false;
    }
    role_order next_order{change.engine_, change.role_, holder_, fencing_number,
                          *accepted};
    auto order_call = shared_.protocol_.order_call_(next_order);
    shared_.statements_->observe(options, no_caller, engine);
    // Orders and reports name no request, so a copy of the refusal of an
    // earlier one could not be told from the answer to this one.
    options.fresh_connection_ = true;
    const auto order_result = co_await shared_.client_.call(
        engine.address_, std::move(order_call), std::move(options));
    const auto* order_response = std::get_if<http::response>(&order_result);
    const int status = order_response != nullptr ? order_response->status_ : 0;
    log::log_info(
        "order",
        {{"engine", change.engine_.value_},
         {"role", change.role_ == placement::engine_role::prefill ? "prefill"
                                                                  : "decode"},
         {"fencing_number", std::to_string(fencing_number)},
         {"accepted_orders", std::to_string(*accepted)},
         {"status", std::to_string(status)}});
    // Without a response the engine may have accepted the order.
    co_return status == status_ok || status == status_accepted || status == 0;
}

http::awaitable<void> stage_orders::review(base::service_name service,
                                           base::milliseconds role_change) {
    const auto changes = due_changes(service, role_change, base::clock::now());
    if (changes.empty()) {
        // Taking over a claim takes seconds; claiming in advance completes
        // that before an order is due.
        if (!claim_of(service).exclusive()) {
            claim(service);
        }
        co_return;
    }
    if (!claim(service)) {
        co_return;
    }
    auto& state = services_[service];
    state.planned_before_ = true;
    for (const auto& change : changes) {
        const auto fencing_number =
            state.claim_->fencing_number(base::boot_now());
        if (!fencing_number) {
            break;
        }
        const auto until =
            base::clock::now() + role_change + registration_margin;
        state.claim_->note_order(base::boot_now());
        const bool maybe_accepted = co_await order(change, *fencing_number);
        state.earliest_next_order_ = until;
        auto* scheduler = shared_.streams_->scheduler(service);
        if (scheduler == nullptr) {
            continue;
        }
        if (maybe_accepted) {
            scheduler->begin_role_change(change.engine_, change.role_, until);
        } else {
            // Another engine takes its part in the next plan.
            scheduler->engine_failed(change.engine_, base::clock::now());
        }
    }
}

} // namespace pimentoferry::gateway
