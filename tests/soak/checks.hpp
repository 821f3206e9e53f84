/// Checks the guarantees of the gateways against what callers and replicas
/// recorded during a soak.
#ifndef PIMENTOFERRY_TESTS_SOAK_CHECKS_HPP
#define PIMENTOFERRY_TESTS_SOAK_CHECKS_HPP

#include "tests/process/gateway_fleet.hpp"
#include "tests/soak/callers.hpp"

#include <cstddef>
#include <functional>
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

/// A gateway, by its port, that was restarted or paused at some time.
using disturbances = std::multimap<std::uint16_t, base::time_point>;

/// A replica, by its id, that was paused or whose connections were harmed,
/// when that began and when it ended.
using harmed_replicas = std::multimap<std::string, base::time_point>;

/// Checks that replicas which said that they leave get no requests from the
/// gateways that passed that on, and that repeated sends stay within the
/// fleet's budget.
std::vector<violation>
check_arrivals(const std::vector<call_record>& records,
               const std::vector<process_tests::replica_arrival>& arrivals,
               const disturbances& disturbed);

/// Checks that no stream holds events of two software versions, in one answer
/// or over its caller's tries. `version_of` returns the version of a replica.
std::vector<violation> check_versions(
    const std::vector<call_record>& records,
    const std::function<std::string(const std::string&)>& version_of);

/// Checks that no request goes on at another replica while the one before still
/// works on it, unless something kept the gateway from telling it.
std::vector<violation>
check_moves(const std::vector<call_record>& records,
            const std::vector<process_tests::replica_arrival>& arrivals,
            const std::vector<process_tests::replica_arrival>& ends,
            const disturbances& disturbed,
            const harmed_replicas& harmed);

} // namespace pimentoferry::soak

#endif
