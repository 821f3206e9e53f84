/// Parses load reports and cache events of engines into scheduler events.
#ifndef PIMENTOFERRY_ENTRY_ENGINE_REPORTS_HPP
#define PIMENTOFERRY_ENTRY_ENGINE_REPORTS_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/placement/events.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace pimentoferry::entry {

struct engine_load {
    placement::load_report report_;
    std::string instance_; ///< Chosen by the engine; new at each start.
};

/// Parses the body of `GET /v1/load`. Attempt ids of another form are skipped,
/// because no entry created them.
std::optional<engine_load> parse_load(const base::upstream_name& engine,
                                      std::string_view body,
                                      base::wall_time now);

/// Parses the body of `GET /v1/cache_events`.
std::optional<placement::cache_events>
parse_cache_events(const base::upstream_name& engine, std::string_view body);

/// Parses `<instance>-<sequence>`, both as 16 hexadecimal digits.
std::optional<base::attempt_id> parse_attempt(std::string_view text);

} // namespace pimentoferry::entry

#endif
