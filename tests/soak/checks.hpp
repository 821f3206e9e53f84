/// The promises that a soak checks, from what callers and replicas saw.
#ifndef PIMENTOFERRY_TESTS_SOAK_CHECKS_HPP
#define PIMENTOFERRY_TESTS_SOAK_CHECKS_HPP

#include "tests/soak/callers.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace pimentoferry::soak {

/// A broken promise, in words.
using finding = std::string;

/// `runs`: how often replicas ran each request. `calm_since`: by then the
/// system has to have recovered from the last fault.
std::vector<finding>
check_promises(const std::vector<call_record>& records,
               const std::map<std::string, std::size_t>& runs,
               base::time_point calm_since);

} // namespace pimentoferry::soak

#endif
