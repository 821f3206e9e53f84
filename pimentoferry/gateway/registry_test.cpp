#include "pimentoferry/gateway/registry.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace pimentoferry::gateway {

namespace {

/// The value of a configuration is its version; that of an instance is ignored.
/// The value "broken" cannot be decoded.
registry_codec simple_codec() {
    registry_codec codec;
    codec.configuration_key_ = "config";
    codec.instance_prefix_ = "instances/";
    codec.read_configuration_ = [](std::string_view value)
        -> std::variant<routing::configuration, unreadable> {
        if (value == "broken") {
            return unreadable{"broken"};
        }
        routing::configuration made;
        made.version_ = std::stoul(std::string{value});
        return made;
    };
    codec.read_instance_ = [](std::string_view id, std::string_view value)
        -> std::variant<routing::instance, unreadable> {
        if (value == "broken") {
            return unreadable{"broken"};
        }
        routing::instance made;
        made.id_ = base::upstream_name{std::string{id}};
        made.service_ = base::service_name{"desk"};
        return made;
    };
    return codec;
}

class registry_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(registry_test);
    CPPUNIT_TEST(an_older_configuration_is_ignored);
    CPPUNIT_TEST(an_unreadable_configuration_changes_nothing);
    CPPUNIT_TEST(an_unreadable_registration_removes_its_instance);
    CPPUNIT_TEST(other_keys_are_ignored);
    CPPUNIT_TEST_SUITE_END();

    registry registry_{simple_codec()};

    registry_change write(const std::string& key, const std::string& value) {
        return registry_.apply(store::item_written{{key, value, 1}}, {}, false,
                               {});
    }

    void an_older_configuration_is_ignored() {
        CPPUNIT_ASSERT(write("config", "7") == registry_change::configuration);
        CPPUNIT_ASSERT(write("config", "6") == registry_change::nothing);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, registry_.routes()->version());
    }

    void an_unreadable_configuration_changes_nothing() {
        write("config", "7");
        CPPUNIT_ASSERT(write("config", "broken") == registry_change::nothing);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, registry_.routes()->version());
    }

    // Guards against requests to an instance whose registration another writer
    // has overwritten with a value that cannot be decoded.
    void an_unreadable_registration_removes_its_instance() {
        write("instances/a", "ok");
        write("instances/b", "broken");
        write("instances/a", "broken");
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, registry_.instances().size());
    }

    void other_keys_are_ignored() {
        CPPUNIT_ASSERT(write("other", "x") == registry_change::nothing);
        CPPUNIT_ASSERT(registry_.apply(store::item_removed{"other"}, {}, false,
                                       {}) == registry_change::nothing);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(registry_test);

} // namespace

} // namespace pimentoferry::gateway
