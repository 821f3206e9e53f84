#include "pimentoferry/entry/engine_reports.hpp"

#include "pimentoferry/http/json.hpp"

#include <algorithm>
#include <charconv>
#include <cstdint>

namespace pimentoferry::entry {

using http::parse_object;
using http::string_member;
using http::uint_member;

namespace {

constexpr std::size_t hex_digits = 16;
constexpr int hex_base = 16;

// Engine clocks may be skewed; a report older than this carries no information,
// so ages are capped here.
constexpr base::milliseconds max_report_age{60000};

std::optional<std::uint64_t> parse_hex(std::string_view text) {
    std::uint64_t value = 0;
    const auto* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value, hex_base);
    if (text.size() != hex_digits || result.ec != std::errc{} ||
        result.ptr != end) {
        return std::nullopt;
    }
    return value;
}

base::milliseconds age_of(const Json::Value& as_of, base::wall_time now) {
    if (!as_of.isInt64()) {
        return {};
    }
    const auto age =
        now.time_since_epoch() - base::milliseconds{as_of.asInt64()};
    return std::clamp(age, base::milliseconds{0}, max_report_age);
}

} // namespace

std::optional<base::attempt_id> parse_attempt(std::string_view text) {
    if (text.size() != 2 * hex_digits + 1 || text[hex_digits] != '-') {
        return std::nullopt;
    }
    const auto instance = parse_hex(text.substr(0, hex_digits));
    const auto sequence = parse_hex(text.substr(hex_digits + 1));
    if (!instance || !sequence) {
        return std::nullopt;
    }
    return base::attempt_id{{*instance}, *sequence};
}

std::optional<engine_load> parse_load(const base::upstream_name& engine,
                                      std::string_view body,
                                      base::wall_time now) {
    const auto parsed = parse_object(body);
    if (!parsed || !(*parsed)["attempts"].isArray()) {
        return std::nullopt;
    }
    engine_load load;
    load.instance_ = string_member(*parsed, "instance");
    auto& report = load.report_;
    report.engine_ = engine;
    report.age_ = age_of((*parsed)["as_of_ms"], now);
    report.slots_ = uint_member(*parsed, "slots", 0);
    report.running_ = uint_member(*parsed, "running", 0);
    report.kv_blocks_ = uint_member(*parsed, "pieces", 0);
    report.free_kv_blocks_ = uint_member(*parsed, "pieces_free", 0);
    report.queue_ = uint_member(*parsed, "queue", 0);
    const Json::Value& draining = (*parsed)["draining"];
    report.draining_ = draining.isBool() && draining.asBool();
    for (const auto& item : (*parsed)["attempts"]) {
        const auto attempt =
            parse_attempt(item.isString() ? item.asString() : std::string{});
        if (attempt) {
            report.attempts_.push_back(*attempt);
        }
    }
    return load;
}

std::optional<placement::cache_events>
parse_cache_events(const base::upstream_name& engine, std::string_view body) {
    const auto parsed = parse_object(body);
    if (!parsed || !(*parsed)["events"].isArray()) {
        return std::nullopt;
    }
    placement::cache_events events;
    events.engine_ = engine;
    for (const auto& item : (*parsed)["events"]) {
        if (!item.isObject() || !item["seq"].isUInt64()) {
            continue;
        }
        const auto prefix = parse_hex(string_member(item, "prefix"));
        if (prefix) {
            const bool added = item["added"].isBool() && item["added"].asBool();
            events.changes_.push_back({item["seq"].asUInt64(), *prefix, added});
        }
    }
    return events;
}

} // namespace pimentoferry::entry
