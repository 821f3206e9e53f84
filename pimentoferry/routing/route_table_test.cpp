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
                             choose_service(*route, 0.0).value_);
        CPPUNIT_ASSERT_EQUAL(std::string{"one"},
                             choose_service(*route, 0.89).value_);
        CPPUNIT_ASSERT_EQUAL(std::string{"two"},
                             choose_service(*route, 0.95).value_);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(route_table_test);

} // namespace

} // namespace pimentoferry::routing
