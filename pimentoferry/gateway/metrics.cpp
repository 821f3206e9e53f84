#include "pimentoferry/gateway/metrics.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <cstddef>
#include <set>
#include <vector>

namespace pimentoferry::gateway {

namespace {

// Bucket bounds in seconds. 0.9 is the usual objective of a first event; 0.1
// and 0.15 are those of plain calls.
const std::vector<double> latency_bounds{0.01, 0.025, 0.05, 0.1, 0.15, 0.25,
                                         0.5,  0.9,   1.5,  3,   7,    14};

prometheus::Family<prometheus::Counter>&
counters(prometheus::Registry& registry,
         const std::string& name,
         const std::string& help) {
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

prometheus::Family<prometheus::Histogram>&
histograms(prometheus::Registry& registry,
           const std::string& name,
           const std::string& help) {
    return prometheus::BuildHistogram().Name(name).Help(help).Register(
        registry);
}

double seconds(base::milliseconds time) {
    return std::chrono::duration<double>{time}.count();
}

} // namespace

struct metrics::families {
    prometheus::Registry registry_;
    prometheus::Family<prometheus::Counter>& requests_{
        counters(registry_,
                 "pimentoferry_gateway_requests_total",
                 "Requests of callers, by kind and outcome")};
    prometheus::Family<prometheus::Counter>& refusals_{counters(
        registry_, "pimentoferry_gateway_refusals_total", "Refusals, by code")};
    prometheus::Family<prometheus::Counter>& sends_{
        counters(registry_,
                 "pimentoferry_gateway_sends_total",
                 "Sends to upstreams, by step and outcome")};
    prometheus::Family<prometheus::Counter>& store_calls_{
        counters(registry_,
                 "pimentoferry_gateway_store_calls_total",
                 "Calls to the store, by operation and outcome")};
    prometheus::Family<prometheus::Counter>& placements_{
        counters(registry_,
                 "pimentoferry_gateway_placements_total",
                 "Placement decisions for streams")};
    prometheus::Family<prometheus::Counter>& cut_answers_{counters(
        registry_,
        "pimentoferry_gateway_cut_answers_total",
        "Answers that were cut off for a slow or unresponsive caller")};
    prometheus::Family<prometheus::Counter>& limited_{
        counters(registry_,
                 "pimentoferry_gateway_limited_requests_total",
                 "Requests to instances that announced a limit, by service and "
                 "outcome")};
    prometheus::Family<prometheus::Counter>& quotas_{
        counters(registry_,
                 "pimentoferry_gateway_account_quota_total",
                 "Units admitted, and requests refused, by account")};
    std::set<std::string> named_accounts_;
    prometheus::Family<prometheus::Histogram>& answers_{
        histograms(registry_,
                   "pimentoferry_gateway_answer_seconds",
                   "Time from arrival to the end of the answer, by kind")};
    prometheus::Family<prometheus::Histogram>& first_events_{
        histograms(registry_,
                   "pimentoferry_gateway_first_event_seconds",
                   "Time from arrival to the first event of a stream")};
    prometheus::Family<prometheus::Histogram>& placement_waits_{
        histograms(registry_,
                   "pimentoferry_gateway_placement_seconds",
                   "Time that a stream waits for its placement")};
    prometheus::Family<prometheus::Gauge>& state_{
        prometheus::BuildGauge()
            .Name("pimentoferry_gateway_state")
            .Help("State of this gateway, by name")
            .Register(registry_)};
};

metrics::metrics() : families_(std::make_unique<families>()) {}
metrics::~metrics() = default;

void metrics::count_request(std::string_view kind, std::string_view outcome) {
    families_->requests_
        .Add({{"kind", std::string{kind}}, {"outcome", std::string{outcome}}})
        .Increment();
}

void metrics::count_refusal(std::string_view code) {
    families_->refusals_.Add({{"code", std::string{code}}}).Increment();
}

void metrics::count_cut_answer(std::string_view reason) {
    families_->cut_answers_.Add({{"reason", std::string{reason}}}).Increment();
}

void metrics::count_send(std::string_view step, std::string_view outcome) {
    families_->sends_
        .Add({{"step", std::string{step}}, {"outcome", std::string{outcome}}})
        .Increment();
}

void metrics::count_store_call(std::string_view operation,
                               std::string_view outcome) {
    families_->store_calls_
        .Add({{"operation", std::string{operation}},
              {"outcome", std::string{outcome}}})
        .Increment();
}

void metrics::count_placement(std::string_view decision) {
    families_->placements_.Add({{"decision", std::string{decision}}})
        .Increment();
}

void metrics::count_limited(std::string_view service,
                            std::string_view outcome) {
    families_->limited_
        .Add({{"service", std::string{service}},
              {"outcome", std::string{outcome}}})
        .Increment();
}

void metrics::count_quota(const std::string& account,
                          std::string_view outcome,
                          double value) {
    constexpr std::size_t max_named_accounts = 64;
    auto& named = families_->named_accounts_;
    if (named.size() < max_named_accounts) {
        named.insert(account);
    }
    families_->quotas_
        .Add({{"account", named.contains(account) ? account : "other"},
              {"outcome", std::string{outcome}}})
        .Increment(value);
}

void metrics::observe_answer(std::string_view kind,
                             base::milliseconds duration) {
    families_->answers_.Add({{"kind", std::string{kind}}}, latency_bounds)
        .Observe(seconds(duration));
}

void metrics::observe_first_event(base::milliseconds duration) {
    families_->first_events_.Add({}, latency_bounds).Observe(seconds(duration));
}

void metrics::observe_placement_wait(base::milliseconds duration) {
    families_->placement_waits_.Add({}, latency_bounds)
        .Observe(seconds(duration));
}

void metrics::set_gauge(const std::string& name, double value) {
    families_->state_.Add({{"name", name}}).Set(value);
}

std::string metrics::text() const {
    const prometheus::TextSerializer serializer;
    return serializer.Serialize(families_->registry_.Collect());
}

} // namespace pimentoferry::gateway
