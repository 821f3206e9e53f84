/// Switches of an engine, set at start and by `POST /control`.
///
/// The names in JSON are those of the members without the underscore; times
/// end in `_ms` or `_us`.
#ifndef PIMENTOFERRY_STANDINS_ENGINE_SETTINGS_HPP
#define PIMENTOFERRY_STANDINS_ENGINE_SETTINGS_HPP

#include "standins/json.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace pimentoferry::standins {

struct engine_settings {
    std::string role_{"decode"}; ///< `prefill` or `decode`.
    std::string model_;          ///< Empty: serves any model and version.
    std::string version_;
    std::vector<std::string> adapters_;

    std::int64_t slots_{20};
    std::int64_t pieces_{400}; ///< Of 1,000 tokens each.

    /// Time of a decode step: `step_base_us` + `step_per_request_us` for each
    /// request in the batch.
    std::int64_t step_base_us_{2000};
    std::int64_t step_per_request_us_{100};
    /// Time of a prefill: `prefill_base_us` + `prefill_per_token_us` for each
    /// token that is not in the prefix cache.
    std::int64_t prefill_base_us_{1000};
    double prefill_per_token_us_{2.0};
    std::int64_t prefills_at_once_{1};

    /// Upper limit of `hold_ms`: a result is evicted in under a second.
    std::int64_t max_hold_ms_{900};
    /// How long a decode is kept after its stream broke.
    std::int64_t broken_stream_hold_ms_{5000};
    /// A stream whose reader accepts nothing for so long is cancelled.
    std::int64_t write_stall_ms_{30000};
    /// Of a stream's socket, so that few unread tokens block it; 0: as the
    /// system sets it.
    std::int64_t send_buffer_bytes_{0};

    /// Rate of the KV link, shared by all transfers of the engine; 0: no
    /// limit.
    double link_tokens_per_s_{2'000'000};
    bool stall_transfers_{false};

    std::int64_t load_lag_ms_{100}; ///< 0: reports are current.
    std::int64_t event_lag_ms_{100};
    std::int64_t event_gap_{0}; ///< Each N-th cache event is lost; 0: none.

    bool checks_fencing_{true};
    std::int64_t load_ms_{50}; ///< Time of an order besides the download.
    std::string weights_;      ///< `ip:port` of the weight store; empty: none.

    /// The process exits when it runs a prompt that contains this text.
    std::string crash_on_;
};

/// Overwrites the members that the JSON object names.
void apply(engine_settings& settings, const json& switches);

} // namespace pimentoferry::standins

#endif
