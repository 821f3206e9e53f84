/// What operators are told about the configuration in force.
#ifndef PIMENTOFERRY_GATEWAY_CONFIGURATION_REPORT_HPP
#define PIMENTOFERRY_GATEWAY_CONFIGURATION_REPORT_HPP

#include "pimentoferry/gateway/metrics.hpp"
#include "pimentoferry/gateway/registry.hpp"

#include <string>

namespace pimentoferry::gateway {

/// One JSON object: `version` in force (null before the first one),
/// `unread_parts`, each with `object`, `field` and `reason`, and `unreadable`:
/// `revision` and `reason` of the latest value of the configuration if nothing
/// of it can be read, else null. Contains no key.
std::string configuration_as_json(const registry& view);

/// Sets `configuration_version`, `configuration_unread_parts` and
/// `configuration_unreadable` (1 if nothing of the latest value can be read).
void set_configuration_gauges(const registry& view, metrics& gauges);

} // namespace pimentoferry::gateway

#endif
