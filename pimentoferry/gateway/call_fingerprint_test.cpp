#include "pimentoferry/gateway/call_fingerprint.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace pimentoferry::gateway {

namespace {

class call_fingerprint_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(call_fingerprint_test);
    CPPUNIT_TEST(attempts_of_a_caller_have_the_same_fingerprint);
    CPPUNIT_TEST(other_calls_have_other_fingerprints);
    CPPUNIT_TEST(fleets_have_different_fingerprints);
    CPPUNIT_TEST_SUITE_END();

    const wire::fleet_key key_{{1, 2, 3}};
    const http::request call_{
        "POST",
        "/book/1?day=2",
        {{"Host", "a.example"}, {"Authorization", "key-1"}},
        "body"};

    std::uint64_t of(const http::request& call) const {
        return call_fingerprint(call, key_);
    }

    // Guards against a call that is not recognised because its caller sent it
    // again with another id and less time.
    void attempts_of_a_caller_have_the_same_fingerprint() {
        auto again = call_;
        again.fields_.insert(again.fields_.begin(), {"X-Request-Id", "2"});
        again.fields_.push_back({"X-Deadline-Ms", "500"});
        CPPUNIT_ASSERT_EQUAL(of(call_), of(again));
    }

    // Guards against a refusal of sound calls beside one that crashes replicas.
    void other_calls_have_other_fingerprints() {
        std::set<std::uint64_t> seen{of(call_)};
        const auto add = [&](auto change) {
            auto other = call_;
            change(other);
            CPPUNIT_ASSERT(seen.insert(of(other)).second);
        };
        add([](auto& call) { call.method_ = "PUT"; });
        add([](auto& call) { call.target_ = "/book/1?day=3"; });
        add([](auto& call) { call.fields_[0].value_ = "b.example"; });
        add([](auto& call) { call.fields_[1].value_ = "key-2"; });
        add([](auto& call) { call.body_ = "other"; });
        add([](auto& call) {
            call.target_ = "/book/1?day=";
            call.body_ = "2body";
        });
    }

    void fleets_have_different_fingerprints() {
        CPPUNIT_ASSERT(of(call_) !=
                       call_fingerprint(call_, wire::fleet_key{{9}}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(call_fingerprint_test);

} // namespace

} // namespace pimentoferry::gateway
