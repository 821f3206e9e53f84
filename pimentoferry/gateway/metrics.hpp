/// Counters and latency histograms of a gateway, in the text format of
/// Prometheus. Label values come from fixed sets, so that callers cannot
/// create time series.
#ifndef PIMENTOFERRY_GATEWAY_METRICS_HPP
#define PIMENTOFERRY_GATEWAY_METRICS_HPP

#include "pimentoferry/base/time.hpp"

#include <memory>
#include <string>
#include <string_view>

namespace pimentoferry::gateway {

class metrics {
public:
    metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;
    ~metrics();

    /// `kind`: `idempotent`, `non_idempotent` or `stream`; `outcome`:
    /// `answered`, `failed`, `refused`, `broken` or `caller_gone`.
    void count_request(std::string_view kind, std::string_view outcome);
    void count_refusal(std::string_view code);
    /// An answer that its caller did not get whole, although the caller had not
    /// closed its connection. `reason`: see `http::caller_end`.
    void count_cut_answer(std::string_view reason);
    /// `step`: `call`, `prefill`, `decode` or `release`.
    void count_send(std::string_view step, std::string_view outcome);
    void count_store_call(std::string_view operation, std::string_view outcome);
    /// `decision`: `granted`, `refused` or `autonomous`.
    void count_placement(std::string_view decision);
    /// A request that needed a permit, or an engine, whose instance announced a
    /// limit. `outcome`: `granted`, `spare` or `refused`.
    void count_limited(std::string_view service, std::string_view outcome);
    /// Units admitted, or requests refused, for an account. `outcome`:
    /// `admitted` or `refused`. The first 64 accounts are counted by name.
    void count_quota(const std::string& account,
                     std::string_view outcome,
                     double value);
    void observe_answer(std::string_view kind, base::milliseconds duration);
    void observe_first_event(base::milliseconds duration);
    void observe_placement_wait(base::milliseconds duration);
    /// Sets the current value of a gauge, such as `configuration_version`.
    void set_gauge(const std::string& name, double value);

    /// All metrics in the exposition format.
    std::string text() const;

private:
    struct families;
    std::unique_ptr<families> families_;
};

} // namespace pimentoferry::gateway

#endif
