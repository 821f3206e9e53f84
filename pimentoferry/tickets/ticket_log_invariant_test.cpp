#include "pimentoferry/tickets/simulated_world.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <rapidcheck.h>

#include <iostream>
#include <vector>

namespace pimentoferry::tickets::testing {

std::ostream& operator<<(std::ostream& out, const command& value) {
    return out << to_string(value);
}

} // namespace pimentoferry::tickets::testing

template <>
struct rc::Arbitrary<pimentoferry::tickets::testing::command> {
    using command = pimentoferry::tickets::testing::command;

    static rc::Gen<command> arbitrary() {
        // Half of the commands submit tickets or advance time, so that faults
        // overlap with configuration changes instead of only with one another.
        const auto kinds = static_cast<int>(command::kind::count);
        const auto kind = rc::gen::oneOf(
            rc::gen::inRange(0, static_cast<int>(command::kind::repeat)),
            rc::gen::inRange(0, kinds));
        return rc::gen::build<command>(
            rc::gen::set(&command::kind_,
                         rc::gen::map(kind,
                                      [](int number) {
                                          return static_cast<command::kind>(
                                              number);
                                      })),
            rc::gen::set(&command::slot_,
                         rc::gen::inRange<std::uint32_t>(0, 32)),
            rc::gen::set(&command::value_,
                         rc::gen::inRange<std::uint32_t>(0, 15000)));
    }
};

namespace pimentoferry::tickets::testing {
namespace {

class ticket_log_invariant_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ticket_log_invariant_test);
    CPPUNIT_TEST(keeps_ticket_guarantees_under_faults);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against lost, reordered or duplicated tickets and against serving
    // under an outdated state. Faults: lost replies, outages, pauses,
    // partitions, restarts and concurrent operators.
    void keeps_ticket_guarantees_under_faults() {
        std::uint64_t commands = 0;
        std::uint64_t accepted = 0;
        const bool passed = rc::check(
            "tickets under faults",
            [&](const std::vector<command>& steps, std::uint64_t seed) {
                simulated_world fleet{seed};
                for (const auto& step : steps) {
                    fleet.run(step);
                    ++commands;
                }
                fleet.settle();
                accepted += fleet.accepted_count();
                for (const auto& text : fleet.violations()) {
                    RC_FAIL(text);
                }
            });
        std::cout << commands << " commands, " << accepted
                  << " accepted tickets\n";
        CPPUNIT_ASSERT(passed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ticket_log_invariant_test);

} // namespace
} // namespace pimentoferry::tickets::testing
