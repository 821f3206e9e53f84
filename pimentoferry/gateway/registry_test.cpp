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
    CPPUNIT_TEST(a_lapsed_registration_is_kept_until_the_window_ends);
    CPPUNIT_TEST(a_removal_after_the_window_is_final);
    CPPUNIT_TEST(a_refuted_outage_ends_the_use_of_kept_instances);
    CPPUNIT_TEST_SUITE_END();

    registry registry_{simple_codec()};
    base::time_point now_{base::milliseconds{60'000}};

    std::size_t usable() const {
        return registry_.instances()
            .usable(base::service_name{"desk"}, now_)
            .size();
    }

    registry_change remove(const std::string& key) {
        return registry_.apply(store::item_removed{key}, {}, now_);
    }

    registry_change write(const std::string& key, const std::string& value) {
        return registry_.apply(store::item_written{{key, value, 1}}, {}, now_);
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
        CPPUNIT_ASSERT(remove("other") == registry_change::nothing);
    }

    // Guards against the removal of every instance after an outage of the
    // store, during which their registrations lapsed.
    void a_lapsed_registration_is_kept_until_the_window_ends() {
        write("instances/a", "ok");
        registry_.set_store_return(now_ - base::milliseconds{1000});
        CPPUNIT_ASSERT(remove("instances/a") == registry_change::instances);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, usable());
        now_ += lapse_window - base::milliseconds{1000};
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, usable());
        CPPUNIT_ASSERT(registry_.expire(now_));
        CPPUNIT_ASSERT(!registry_.expire(now_));
    }

    // Guards against requests to an instance that left long after the outage.
    void a_removal_after_the_window_is_final() {
        write("instances/a", "ok");
        registry_.set_store_return(now_ - lapse_window);
        remove("instances/a");
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, usable());
    }

    // Guards against requests to an instance that left while only this
    // gateway's link to the store was down, after a peer has told so.
    void a_refuted_outage_ends_the_use_of_kept_instances() {
        write("instances/a", "ok");
        registry_.set_store_return(now_);
        remove("instances/a");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, usable());
        registry_.set_store_return(std::nullopt);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, usable());
        CPPUNIT_ASSERT(registry_.expire(now_));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(registry_test);

} // namespace

} // namespace pimentoferry::gateway
