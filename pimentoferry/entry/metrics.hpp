/// Counters and gauges of the entry, in the text format of Prometheus.
///
/// Thread-safe. Label values come from fixed sets, so that callers cannot
/// create time series.
#ifndef PIMENTOFERRY_ENTRY_METRICS_HPP
#define PIMENTOFERRY_ENTRY_METRICS_HPP

#include "pimentoferry/base/refusal.hpp"
#include "pimentoferry/base/time.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace pimentoferry::entry {

class metrics {
public:
    metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;
    ~metrics();

    /// `kind`: `model`, `service` or `other`.
    void count_request(std::string_view kind);
    void count_refusal(base::refusal_code code);
    void count_tokens(std::uint64_t tokens);
    void count_placement(std::string_view outcome);
    void observe_first_token(base::milliseconds time);
    void observe_token_gap(base::milliseconds time);

    /// Sets a gauge that has no labels.
    void set_gauge(const std::string& name, double value);

    /// All metrics in the text exposition format.
    std::string text() const;

private:
    struct families;
    std::unique_ptr<families> families_;
};

} // namespace pimentoferry::entry

#endif
