#include "standins/engine_settings.hpp"

namespace pimentoferry::standins {
namespace {

void read(const json& from, const char* name, std::string& value) {
    value = text_or(from, name, value);
}

void read(const json& from, const char* name, std::int64_t& value) {
    value = number_or(from, name, value);
}

void read(const json& from, const char* name, double& value) {
    value = real_or(from, name, value);
}

void read(const json& from, const char* name, bool& value) {
    value = bool_or(from, name, value);
}

void read(const json& from,
          const char* name,
          std::vector<std::string>& values) {
    if (find_member(from, name) == nullptr) {
        return;
    }
    values.clear();
    for (const auto& item : array_of(from, name)) {
        if (const auto* text = std::get_if<std::string>(&item.value_)) {
            values.push_back(*text);
        }
    }
}

} // namespace

void apply(engine_settings& settings, const json& switches) {
    read(switches, "role", settings.role_);
    read(switches, "model", settings.model_);
    read(switches, "version", settings.version_);
    read(switches, "adapters", settings.adapters_);
    read(switches, "slots", settings.slots_);
    read(switches, "pieces", settings.kv_blocks_);
    read(switches, "step_base_us", settings.step_base_us_);
    read(switches, "step_per_request_us", settings.step_per_request_us_);
    read(switches, "prefill_base_us", settings.prefill_base_us_);
    read(switches, "prefill_per_token_us", settings.prefill_per_token_us_);
    read(switches, "prefills_at_once", settings.prefills_at_once_);
    read(switches, "max_hold_ms", settings.max_hold_ms_);
    read(switches, "broken_stream_hold_ms", settings.broken_stream_hold_ms_);
    read(switches, "write_stall_ms", settings.write_stall_ms_);
    read(switches, "send_buffer_bytes", settings.send_buffer_bytes_);
    read(switches, "link_tokens_per_s", settings.link_tokens_per_s_);
    read(switches, "stall_transfers", settings.stall_transfers_);
    read(switches, "load_lag_ms", settings.load_lag_ms_);
    read(switches, "event_lag_ms", settings.event_lag_ms_);
    read(switches, "event_gap", settings.event_gap_);
    read(switches, "checks_fencing", settings.checks_fencing_);
    read(switches, "load_ms", settings.load_ms_);
    read(switches, "weights", settings.weights_);
    read(switches, "crash_on", settings.crash_on_);
}

} // namespace pimentoferry::standins
