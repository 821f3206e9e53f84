#include "standins/engine.hpp"

#include "pimentoferry/base/ids.hpp"

#include <algorithm>

namespace pimentoferry::standins {
namespace {

json text_list(const std::vector<std::string>& texts) {
    json::array list;
    for (const auto& text : texts) {
        list.emplace_back(text);
    }
    return json{std::move(list)};
}

std::int64_t wall_clock_ms() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(now).count();
}

} // namespace

json engine::load_report() const {
    json::array ids;
    for (const auto& [id, held] : attempts_.all()) {
        ids.emplace_back(id);
    }
    const auto queued = std::ssize(queue_);
    return json{json::object{
        {"role", json{settings_.role_}},
        {"model", json{settings_.model_}},
        {"adapters", text_list(settings_.adapters_)},
        {"version", json{settings_.version_}},
        {"slots", json{settings_.slots_}},
        {"running", json{attempts_.slots_held() - queued}},
        {"pieces", json{settings_.kv_blocks_}},
        {"pieces_free", json{free_kv_blocks()}},
        {"queue", json{queued}},
        {"instance", json{instance_}},
        {"as_of_ms", json{wall_clock_ms()}},
        {"draining", json{draining_}},
        {"attempts", json{std::move(ids)}},
    }};
}

// Keeps the age of the published report between half the lag and the whole
// lag.
void engine::refresh_load(time_point now) {
    const milliseconds half_lag{settings_.load_lag_ms_ / 2};
    if (std::holds_alternative<std::nullptr_t>(load_next_.value_)) {
        load_next_ = load_report();
        load_published_ = load_next_;
        load_refreshed_ = now;
    } else if (now - load_refreshed_ >= half_lag) {
        load_published_ = std::exchange(load_next_, load_report());
        load_refreshed_ = now;
    }
}

json engine::cache_events(std::uint64_t after) const {
    json::array list;
    const milliseconds lag{settings_.event_lag_ms_};
    for (const auto& event : cache_.events(after, lag, steady::now())) {
        list.emplace_back(json::object{
            {"seq", json{event.sequence_}},
            {"prefix", json{base::to_hex(event.prefix_)}},
            {"added", json{event.added_}},
        });
    }
    return json{json::object{{"events", json{std::move(list)}}}};
}

json engine::stats() const {
    json::array held;
    for (const auto& [id, state] : attempts_.all()) {
        held.emplace_back(
            json::object{{"attempt", json{id}},
                         {"stage", json{to_string(state->stage_)}},
                         {"pieces", json{state->kv_blocks_}},
                         {"slots", json{state->holds_slot_ ? 1 : 0}},
                         {"produced", json{state->produced_}}});
    }
    return json{json::object{
        {"role", json{settings_.role_}},
        {"instance", json{instance_}},
        {"slots", json{settings_.slots_}},
        {"slots_held", json{attempts_.slots_held()}},
        {"pieces", json{settings_.kv_blocks_}},
        {"pieces_held", json{attempts_.kv_blocks_held()}},
        {"pieces_cached", json{cache_.size()}},
        {"queue", json{std::ssize(queue_)}},
        {"draining", json{draining_}},
        {"attempts", json{std::move(held)}},
        {"prefills", json{counters_.prefills_}},
        {"prefill_tokens", json{counters_.prefill_tokens_}},
        {"cached_tokens", json{counters_.cached_tokens_}},
        {"wasted_tokens", json{counters_.wasted_tokens_}},
        {"imports", json{counters_.imports_}},
        {"decode_tokens", json{counters_.decode_tokens_}},
        {"completed", json{counters_.completed_}},
        {"cancelled", json{counters_.cancelled_}},
        {"refused_full", json{counters_.refused_full_}},
    }};
}

} // namespace pimentoferry::standins
