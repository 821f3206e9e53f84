#include "pimentoferry/config/check.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace pimentoferry::config {
namespace {

upstream make_engine(const std::string& name, std::uint16_t port) {
    upstream value;
    value.name_.value_ = name;
    value.address_ = base::endpoint{"127.0.0.1", port};
    value.deployment_.value_ = "chat";
    value.cell_.value_ = "chat";
    return value;
}

state valid_state() {
    state value;
    const base::caller_name ana{"ana"};
    value.callers_[ana] = caller{ana, "k1", 0};
    deployment chat;
    chat.name_.value_ = "chat";
    chat.callers_ = {ana};
    chat.overrides_ = {caller_target{{ana}, {}}};
    value.deployments_[chat.name_] = chat;
    const base::service_name desk{"desk"};
    value.services_[desk] = service{desk, {}, {ana}};
    const auto first = make_engine("e1", 1);
    value.upstreams_[first.name_] = first;
    return value;
}

std::string first_invalid_field(const state& value) {
    const auto error = check_state(value);
    return error ? error->field_ : "";
}

class check_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(check_test);
    CPPUNIT_TEST(accepts_a_consistent_state);
    CPPUNIT_TEST(rejects_references_to_absent_objects);
    CPPUNIT_TEST(rejects_shared_addresses_and_keys);
    CPPUNIT_TEST(rejects_a_caller_in_two_overrides);
    CPPUNIT_TEST(rejects_a_cell_with_too_many_engines);
    CPPUNIT_TEST_SUITE_END();

public:
    void accepts_a_consistent_state() {
        CPPUNIT_ASSERT_EQUAL(std::string{}, first_invalid_field(valid_state()));
    }

    void rejects_references_to_absent_objects() {
        auto value = valid_state();
        value.callers_.clear();
        CPPUNIT_ASSERT_EQUAL(std::string{"deployments/chat.callers[0]"},
                             first_invalid_field(value));
        value = valid_state();
        value.deployments_.clear();
        CPPUNIT_ASSERT_EQUAL(std::string{"upstreams/e1.deployment"},
                             first_invalid_field(value));
        value = valid_state();
        auto& first = value.upstreams_.begin()->second;
        first.kind_ = upstream_kind::service;
        first.service_.value_ = "missing";
        CPPUNIT_ASSERT_EQUAL(std::string{"upstreams/e1.service"},
                             first_invalid_field(value));
    }

    void rejects_shared_addresses_and_keys() {
        auto value = valid_state();
        const auto same_address = make_engine("e2", 1);
        value.upstreams_[same_address.name_] = same_address;
        CPPUNIT_ASSERT_EQUAL(std::string{"upstreams/e2.address"},
                             first_invalid_field(value));
        value = valid_state();
        const base::caller_name eva{"eva"};
        value.callers_[eva] = caller{eva, "k1", 0};
        CPPUNIT_ASSERT_EQUAL(std::string{"callers/eva.key_sha256"},
                             first_invalid_field(value));
    }

    void rejects_a_caller_in_two_overrides() {
        auto value = valid_state();
        auto& overrides = value.deployments_.begin()->second.overrides_;
        overrides.push_back(overrides.front());
        CPPUNIT_ASSERT_EQUAL(
            std::string{"deployments/chat.overrides[1].callers"},
            first_invalid_field(value));
    }

    // Guards against a cell with more engines than its owner can track.
    void rejects_a_cell_with_too_many_engines() {
        auto value = valid_state();
        constexpr std::uint16_t limit = 16;
        for (std::uint16_t port = 2; port <= limit; ++port) {
            const auto added_engine =
                make_engine("e" + std::to_string(port), port);
            value.upstreams_[added_engine.name_] = added_engine;
        }
        CPPUNIT_ASSERT_EQUAL(std::string{}, first_invalid_field(value));
        const auto excess_engine = make_engine("e17", limit + 1);
        value.upstreams_[excess_engine.name_] = excess_engine;
        CPPUNIT_ASSERT(first_invalid_field(value).find(".cell") !=
                       std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(check_test);

} // namespace
} // namespace pimentoferry::config
