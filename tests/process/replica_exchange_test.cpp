// Runs gateways as processes and changes a large configuration. Checks which
// copies of it they send to each other.

#include "tests/process/checked_end.hpp"
#include "tests/process/fleet.hpp"
#include "tests/process/gateway_fleet.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <optional>
#include <regex>
#include <string>

namespace pimentoferry::process_tests {

namespace {

using namespace std::chrono_literals;

class replica_exchange_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(replica_exchange_test);
    CPPUNIT_TEST(each_gateway_is_sent_one_copy_of_a_large_configuration);
    CPPUNIT_TEST_SUITE_END();

    // Optional because CppUnit constructs all fixtures before the first test.
    std::optional<gateway_fleet> system_;

    bool all_have_version(std::size_t version) {
        const auto line =
            "event=configuration version=" + std::to_string(version) + " ";
        for (std::size_t g = 0; g < system_->gateway_count(); ++g) {
            if (system_->gateway_log(g).find(line) == std::string::npos) {
                return false;
            }
        }
        return true;
    }

    /// Copies sent, by receiver and revision.
    std::map<std::string, int> large_copies() {
        static const std::regex sent{
            "event=large_update_sent to=(\\S+) since=\\S+ revision=(\\S+)"};
        std::map<std::string, int> copies;
        for (std::size_t g = 0; g < system_->gateway_count(); ++g) {
            const auto log = system_->gateway_log(g);
            for (std::sregex_iterator each{log.begin(), log.end(), sent}, end;
                 each != end; ++each) {
                ++copies[(*each)[1].str() + " " + (*each)[2].str()];
            }
        }
        return copies;
    }

public:
    void tearDown() override { end_checked(system_); }

    // Guards against copies of one configuration that fill the links of slow
    // gateways, so that they learn of it too late.
    void each_gateway_is_sent_one_copy_of_a_large_configuration() {
        constexpr std::size_t changes = 5;
        system_.emplace(gateway_fleet_options{
            .gateways_ = 8, .unused_routes_ = 1000, .link_mbps_ = 2});
        CPPUNIT_ASSERT(system_->start());
        for (std::size_t i = 0; i < changes; ++i) {
            system_->put_configuration();
            CPPUNIT_ASSERT(wait_for(
                [this, i] { return all_have_version(i + 2); }, 10'000ms));
        }
        const auto copies = large_copies();
        CPPUNIT_ASSERT(!copies.empty());
        for (const auto& [receiver_and_revision, count] : copies) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(receiver_and_revision, 1, count);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(replica_exchange_test);

} // namespace

} // namespace pimentoferry::process_tests
