#include "pimentoferry/entry/metrics.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <vector>

namespace pimentoferry::entry {

namespace {

using counter_family = prometheus::Family<prometheus::Counter>;

// Bucket bounds in seconds; 1.6 and 0.074 are the latency targets.
const std::vector<double> first_token_bounds{0.1, 0.2, 0.4, 0.8, 1.2,
                                             1.6, 2.4, 4.8, 10};
const std::vector<double> token_gap_bounds{0.01, 0.02, 0.04, 0.06, 0.074,
                                           0.1,  0.2,  0.5,  1};

counter_family& counters(prometheus::Registry& registry,
                         const std::string& name,
                         const std::string& help) {
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

prometheus::Histogram& histogram(prometheus::Registry& registry,
                                 const std::string& name,
                                 const std::string& help,
                                 const std::vector<double>& bounds) {
    return prometheus::BuildHistogram()
        .Name(name)
        .Help(help)
        .Register(registry)
        .Add({}, bounds);
}

double seconds(base::milliseconds time) {
    return std::chrono::duration<double>{time}.count();
}

} // namespace

struct metrics::families {
    prometheus::Registry registry_;
    counter_family& requests_{counters(registry_,
                                       "pimentoferry_requests_total",
                                       "Calls from callers, by kind")};
    counter_family& refusals_{counters(
        registry_, "pimentoferry_refusals_total", "Refusals, by code")};
    counter_family& placements_{counters(registry_,
                                         "pimentoferry_placements_total",
                                         "Placement answers, by outcome")};
    prometheus::Counter& tokens_{counters(registry_,
                                          "pimentoferry_tokens_total",
                                          "Tokens relayed to callers")
                                     .Add({})};
    prometheus::Histogram& first_token_{
        histogram(registry_,
                  "pimentoferry_first_token_seconds",
                  "Time from arrival to the first token",
                  first_token_bounds)};
    prometheus::Histogram& token_gap_{
        histogram(registry_,
                  "pimentoferry_token_gap_seconds",
                  "Time between two tokens of a request",
                  token_gap_bounds)};
};

metrics::metrics() : families_(std::make_unique<families>()) {}
metrics::~metrics() = default;

void metrics::count_request(std::string_view kind) {
    families_->requests_.Add({{"kind", std::string{kind}}}).Increment();
}

void metrics::count_refusal(base::refusal_code code) {
    const std::string text{to_string(code)};
    families_->refusals_.Add({{"code", text}}).Increment();
}

void metrics::count_placement(std::string_view outcome) {
    families_->placements_.Add({{"outcome", std::string{outcome}}}).Increment();
}

void metrics::count_tokens(std::uint64_t tokens) {
    families_->tokens_.Increment(static_cast<double>(tokens));
}

void metrics::observe_first_token(base::milliseconds time) {
    families_->first_token_.Observe(seconds(time));
}

void metrics::observe_token_gap(base::milliseconds time) {
    families_->token_gap_.Observe(seconds(time));
}

void metrics::set_gauge(const std::string& name, double value) {
    prometheus::BuildGauge()
        .Name("pimentoferry_" + name)
        .Help("State of this entry")
        .Register(families_->registry_)
        .Add({})
        .Set(value);
}

std::string metrics::text() const {
    const prometheus::TextSerializer serializer;
    return serializer.Serialize(families_->registry_.Collect());
}

} // namespace pimentoferry::entry
