/// Switches of a simulated engine, set at start and by `POST /control`.
///
/// A JSON name is the member name without the trailing underscore, except that
/// `kv_blocks_` is `pieces`. Times end in `_ms` or `_us`.
#ifndef PIMENTOFERRY_STANDINS_ENGINE_SETTINGS_HPP
#define PIMENTOFERRY_STANDINS_ENGINE_SETTINGS_HPP

#include "standins/json.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace pimentoferry::standins {

struct engine_settings {
    std::string role_{"decode"}; ///< `prefill` or `decode`.
    std::string model_;          ///< If empty, any model and version is served.
    std::string version_;
    std::vector<std::string> adapters_;

    std::int64_t slots_{20};
    std::int64_t kv_blocks_{400}; ///< Of 1,000 tokens each.

    /// Duration of a decode step: `step_base_us` + `step_per_request_us` for
    /// each request in the batch.
    std::int64_t step_base_us_{2000};
    std::int64_t step_per_request_us_{100};
    /// Duration of a prefill: `prefill_base_us` + `prefill_per_token_us` for
    /// each token that is not in the prefix cache.
    std::int64_t prefill_base_us_{1000};
    double prefill_per_token_us_{2.0};
    std::int64_t prefills_at_once_{1};

    /// Upper limit of `hold_ms`; a result is evicted in less than a second.
    std::int64_t max_hold_ms_{900};
    /// How long a decoding attempt is kept after its stream breaks.
    std::int64_t broken_stream_hold_ms_{5000};
    /// An attempt whose stream reader accepts no data for this long is
    /// cancelled.
    std::int64_t write_stall_ms_{30000};
    /// Send buffer size of a stream's socket; a small buffer blocks after few
    /// unread tokens. 0: system default.
    std::int64_t send_buffer_bytes_{0};

    /// Bandwidth of the KV link, shared by all transfers of the engine; 0:
    /// unlimited.
    double link_tokens_per_s_{2'000'000};
    bool stall_transfers_{false};

    std::int64_t load_lag_ms_{100}; ///< 0: reports are current.
    std::int64_t event_lag_ms_{100};
    std::int64_t event_gap_{0}; ///< Every N-th cache event is lost; 0: none.

    bool checks_fencing_{true};
    std::int64_t load_ms_{50}; ///< Duration of an order without the download.
    std::string weights_;      ///< `ip:port` of the weight store; empty: none.

    /// The process exits when it processes a prompt that contains this text.
    std::string crash_on_;
};

/// Sets the members that the JSON object names; others are unchanged.
void apply(engine_settings& settings, const json& switches);

} // namespace pimentoferry::standins

#endif
