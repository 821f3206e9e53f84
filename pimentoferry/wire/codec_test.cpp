#include "pimentoferry/membership/messages.hpp"
#include "pimentoferry/placement/messages.hpp"
#include "pimentoferry/wire/codec.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace pimentoferry::wire {
namespace {

using placement::placement_request;

placement_request sample_request() {
    placement_request request;
    request.attempt_ = {base::instance_id{7}, 9};
    request.cell_ = base::cell_name{"verdicts"};
    request.prefix_hashes_ = {1, 2, 0xFFFFFFFFFFFFFFFFULL};
    request.first_token_budget_ = base::milliseconds{1600};
    request.suspect_ = true;
    return request;
}

class codec_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(codec_test);
    CPPUNIT_TEST(round_trips_a_message);
    CPPUNIT_TEST(keeps_the_alternative_of_a_variant);
    CPPUNIT_TEST(round_trips_floating_point_numbers);
    CPPUNIT_TEST(refuses_truncated_bytes);
    CPPUNIT_TEST(refuses_bytes_beyond_the_message);
    CPPUNIT_TEST(refuses_a_number_that_does_not_fit);
    CPPUNIT_TEST(refuses_an_unknown_alternative);
    CPPUNIT_TEST(refuses_deep_nesting);
    CPPUNIT_TEST_SUITE_END();

public:
    void round_trips_a_message() {
        const auto decoded =
            decode<placement_request>(encode(sample_request()));
        const auto* request = std::get_if<placement_request>(&decoded);
        CPPUNIT_ASSERT(request != nullptr);
        CPPUNIT_ASSERT(request->attempt_ == sample_request().attempt_);
        CPPUNIT_ASSERT(request->cell_ == sample_request().cell_);
        CPPUNIT_ASSERT(request->prefix_hashes_ ==
                       sample_request().prefix_hashes_);
        CPPUNIT_ASSERT(request->first_token_budget_ ==
                       base::milliseconds{1600});
        CPPUNIT_ASSERT(request->suspect_);
    }

    // Guards against whole numbers in floating-point members, which the library
    // writes as integers: messages with such a value would be rejected.
    void round_trips_floating_point_numbers() {
        const std::vector<double> numbers{0.0, 1.0, -3.0, 14.7, -0.5, 1e300};
        const auto decoded = decode<std::vector<double>>(encode(numbers));
        const auto* received = std::get_if<std::vector<double>>(&decoded);
        CPPUNIT_ASSERT(received != nullptr);
        CPPUNIT_ASSERT(*received == numbers);
    }

    void keeps_the_alternative_of_a_variant() {
        const placement::to_owner message =
            placement::placement_release{{base::instance_id{7}, 9},
                                         placement::release_reason::cancelled,
                                         12};
        const auto decoded = decode<placement::to_owner>(encode(message));
        const auto* owner_message = std::get_if<placement::to_owner>(&decoded);
        CPPUNIT_ASSERT(owner_message != nullptr);
        const auto* release =
            std::get_if<placement::placement_release>(owner_message);
        CPPUNIT_ASSERT(release != nullptr);
        CPPUNIT_ASSERT(release->reason_ ==
                       placement::release_reason::cancelled);
    }

    // Guards against a read beyond the end of a truncated message: every proper
    // prefix of a message must be refused.
    void refuses_truncated_bytes() {
        const std::string bytes = encode(sample_request());
        for (std::size_t size = 0; size < bytes.size(); ++size) {
            const auto decoded = decode<placement_request>(
                std::string_view{bytes}.substr(0, size));
            CPPUNIT_ASSERT(std::holds_alternative<decode_error>(decoded));
        }
    }

    void refuses_bytes_beyond_the_message() {
        const auto decoded =
            decode<placement_request>(encode(sample_request()) + "x");
        CPPUNIT_ASSERT(std::holds_alternative<decode_error>(decoded));
    }

    void refuses_a_number_that_does_not_fit() {
        const auto bytes = encode(std::uint64_t{70000});
        CPPUNIT_ASSERT(
            std::holds_alternative<decode_error>(decode<std::uint16_t>(bytes)));
        CPPUNIT_ASSERT(std::holds_alternative<decode_error>(
            decode<std::uint32_t>(encode(std::int32_t{-1}))));
    }

    void refuses_an_unknown_alternative() {
        using longer = std::variant<bool, std::string, std::uint64_t>;
        using shorter = std::variant<bool, std::string>;
        const auto bytes = encode(longer{std::uint64_t{3}});
        CPPUNIT_ASSERT(
            std::holds_alternative<decode_error>(decode<shorter>(bytes)));
    }

    // Guards against stack exhaustion by deeply nested arrays.
    void refuses_deep_nesting() {
        const std::string bytes(100000, '\x91');
        CPPUNIT_ASSERT(std::holds_alternative<decode_error>(
            decode<membership::message>(bytes)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(codec_test);

} // namespace
} // namespace pimentoferry::wire
