/// Ends the processes of a test, and fails the test if a gateway ended in a way
/// that nobody asked for.
#ifndef PIMENTOFERRY_TESTS_PROCESS_CHECKED_END_HPP
#define PIMENTOFERRY_TESTS_PROCESS_CHECKED_END_HPP

#include "tests/process/gateway_fleet.hpp"

#include <cppunit/TestAssert.h>

#include <optional>
#include <string>

namespace pimentoferry::process_tests {

/// Guards against a gateway that crashes while its callers get over it.
inline void end_checked(std::optional<gateway_fleet>& system) {
    std::string ends;
    if (system) {
        for (const auto& each : system->unasked_ends()) {
            ends += each + "; ";
        }
    }
    system.reset();
    CPPUNIT_ASSERT_EQUAL(std::string{}, ends);
}

} // namespace pimentoferry::process_tests

#endif
