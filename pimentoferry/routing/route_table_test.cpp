#include "pimentoferry/routing/route_table.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace pimentoferry::routing {

namespace {

route make_route(const std::string& name, const std::string& prefix) {
    route made;
    made.name_ = name;
    made.host_ = "Shop.example";
    made.path_prefix_ = prefix;
    made.services_ = {{base::service_name{"one"}, 90},
                      {base::service_name{"two"}, 10}};
    return made;
}

class route_table_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(route_table_test);
    CPPUNIT_TEST(the_longest_prefix_wins);
    CPPUNIT_TEST(a_prefix_ends_at_a_slash);
    CPPUNIT_TEST(the_port_and_the_case_of_a_host_are_ignored);
    CPPUNIT_TEST(traffic_is_split_by_weight);
    CPPUNIT_TEST(fractions_of_a_weight_count);
    CPPUNIT_TEST(a_service_without_weight_gets_nothing);
    CPPUNIT_TEST(a_service_that_may_be_an_unnamed_one_is_closed);
    CPPUNIT_TEST_SUITE_END();

    route_table table_{[] {
        configuration source;
        source.version_ = 7;
        source.routes_ = {make_route("all", "/"), make_route("a", "/a/"),
                          make_route("ab", "/a/b/")};
        return source;
    }()};

    std::string found(std::string_view host, std::string_view path) const {
        const auto* route = table_.find(host, path);
        return route != nullptr ? route->name_ : "none";
    }

    void the_longest_prefix_wins() {
        CPPUNIT_ASSERT_EQUAL(std::string{"ab"},
                             found("shop.example", "/a/b/c"));
        CPPUNIT_ASSERT_EQUAL(std::string{"a"}, found("shop.example", "/a/c"));
        CPPUNIT_ASSERT_EQUAL(std::string{"all"}, found("shop.example", "/c"));
        CPPUNIT_ASSERT_EQUAL(std::string{"none"},
                             found("other.example", "/a/"));
    }

    // Guards against a request for /ab that is routed as one for /a/.
    void a_prefix_ends_at_a_slash() {
        CPPUNIT_ASSERT_EQUAL(std::string{"all"}, found("shop.example", "/ab"));
        CPPUNIT_ASSERT_EQUAL(std::string{"none"}, found("shop.example", "x"));
    }

    void the_port_and_the_case_of_a_host_are_ignored() {
        CPPUNIT_ASSERT_EQUAL(std::string{"a"}, found("SHOP.example:80", "/a/"));
    }

    void traffic_is_split_by_weight() {
        const auto* route = table_.find("shop.example", "/");
        CPPUNIT_ASSERT_EQUAL(std::string{"one"},
                             choose_service(*route, 0.0)->value_);
        CPPUNIT_ASSERT_EQUAL(std::string{"one"},
                             choose_service(*route, 0.89)->value_);
        CPPUNIT_ASSERT_EQUAL(std::string{"two"},
                             choose_service(*route, 0.95)->value_);
    }

    static std::string chosen(const std::vector<traffic_share>& shares,
                              double point) {
        route split;
        split.services_ = shares;
        const auto* service = choose_service(split, point);
        return service != nullptr ? service->value_ : "none";
    }

    // Guards against a share below 1 that gets nothing.
    void fractions_of_a_weight_count() {
        const std::vector<traffic_share> shares{
            {base::service_name{"one"}, 99.5},
            {base::service_name{"two"}, 0.5}};
        CPPUNIT_ASSERT_EQUAL(std::string{"one"}, chosen(shares, 0.994));
        CPPUNIT_ASSERT_EQUAL(std::string{"two"}, chosen(shares, 0.996));
    }

    // Guards against requests that run although the operator allows no service.
    void a_service_without_weight_gets_nothing() {
        const traffic_share none{base::service_name{"one"}, 0};
        const traffic_share all{base::service_name{"two"}, 0.1};
        for (const double point : {0.0, 0.5, 0.999999}) {
            CPPUNIT_ASSERT_EQUAL(std::string{"none"}, chosen({none}, point));
            CPPUNIT_ASSERT_EQUAL(std::string{"none"}, chosen({}, point));
            CPPUNIT_ASSERT_EQUAL(std::string{"two"},
                                 chosen({none, all, none}, point));
        }
    }

    // Guards against streams that are sent as plain calls, because their
    // service is taken for a plain one.
    void a_service_that_may_be_an_unnamed_one_is_closed() {
        configuration source;
        source.services_[base::service_name{"desk"}] = {};
        source.services_[base::service_name{"chat"}].closed_ = true;
        CPPUNIT_ASSERT(
            !route_table{source}.is_closed(base::service_name{"other"}));
        source.has_unnamed_service_ = true;
        const route_table table{source};
        CPPUNIT_ASSERT(table.is_closed(base::service_name{"other"}));
        CPPUNIT_ASSERT(table.is_closed(base::service_name{"chat"}));
        CPPUNIT_ASSERT(!table.is_closed(base::service_name{"desk"}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(route_table_test);

} // namespace

} // namespace pimentoferry::routing
