#include "pimentoferry/routing/route_history.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace pimentoferry::routing {

namespace {

class route_history_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(route_history_test);
    CPPUNIT_TEST(a_route_that_moved_still_has_streams_of_its_old_service);
    CPPUNIT_TEST(only_services_with_a_weight_share_a_route);
    CPPUNIT_TEST_SUITE_END();

    static constexpr base::milliseconds keep{30'000};

    route_history history_;
    base::time_point now_{base::milliseconds{60'000}};

    static configuration with_shares(const std::vector<traffic_share>& shares) {
        route made;
        made.host_ = "a.example";
        made.path_prefix_ = "/x/";
        made.kind_ = call_kind::stream;
        made.services_ = shares;
        configuration configuration;
        configuration.routes_ = {made};
        return configuration;
    }

    static traffic_share share(const std::string& service, double weight) {
        return {base::service_name{service}, weight};
    }

    std::size_t services(const configuration& in_force) const {
        return history_.services_of(in_force.routes_.front(), now_, keep)
            .size();
    }

    // Guards against a stream that goes on at the service to which its route
    // has moved.
    void a_route_that_moved_still_has_streams_of_its_old_service() {
        const auto before = with_shares({share("one", 1)});
        auto after = with_shares({share("two", 1)});
        after.routes_.front().host_ = "A.Example:80";
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, services(after));
        history_.replaced(before, now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, services(after));
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{2}, history_.sharing_a_route(after, now_, keep).size());
        now_ += keep;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, services(after));
        CPPUNIT_ASSERT(history_.sharing_a_route(after, now_, keep).empty());
        now_ -= keep;
        history_.expire(now_ + base::milliseconds{1});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, services(after));
    }

    // Guards against a look-up and a record for each stream of a service that
    // has a route to itself.
    void only_services_with_a_weight_share_a_route() {
        CPPUNIT_ASSERT(
            history_
                .sharing_a_route(
                    with_shares({share("one", 1), share("two", 0)}), now_, keep)
                .empty());
        auto split = with_shares({share("one", 0.5), share("two", 99.5)});
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{2}, history_.sharing_a_route(split, now_, keep).size());
        split.routes_.front().kind_ = call_kind::idempotent;
        CPPUNIT_ASSERT(history_.sharing_a_route(split, now_, keep).empty());
        history_.replaced(split, now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             services(with_shares({share("three", 1)})));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(route_history_test);

} // namespace

} // namespace pimentoferry::routing
