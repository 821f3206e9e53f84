/// Checks the guarantees of the gateways against what callers and replicas
/// recorded during a soak.
#ifndef PIMENTOFERRY_TESTS_SOAK_CHECKS_HPP
#define PIMENTOFERRY_TESTS_SOAK_CHECKS_HPP

#include "tests/soak/callers.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace pimentoferry::soak {

/// Describes one violated guarantee.
using violation = std::string;

/// `runs` holds how often replicas ran each request, by request id. By
/// `recovery_deadline` the system must have recovered from the last fault, so
/// nearly all requests sent from then on must be served.
std::vector<violation>
check_guarantees(const std::vector<call_record>& records,
                 const std::map<std::string, std::size_t>& runs,
                 base::time_point recovery_deadline);

} // namespace pimentoferry::soak

#endif
