#include "pimentoferry/wire/frame.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace pimentoferry::wire {
namespace {

fleet_key key_of(std::uint8_t fill) {
    fleet_key key;
    key.bytes_.fill(fill);
    return key;
}

link_nonces nonces_of(std::uint8_t fill) {
    link_nonces nonces;
    nonces.initiator_.fill(fill);
    nonces.acceptor_.fill(static_cast<std::uint8_t>(fill + 1));
    return nonces;
}

std::string payload_of(frame_reader& reader) {
    auto next = reader.next();
    CPPUNIT_ASSERT(next.has_value());
    CPPUNIT_ASSERT(std::holds_alternative<std::string>(*next));
    return std::get<std::string>(*next);
}

frame_error error_of(frame_reader& reader) {
    auto next = reader.next();
    CPPUNIT_ASSERT(next.has_value());
    CPPUNIT_ASSERT(std::holds_alternative<frame_error>(*next));
    return std::get<frame_error>(*next);
}

class frame_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(frame_test);
    CPPUNIT_TEST(reads_frames_that_arrive_byte_by_byte);
    CPPUNIT_TEST(refuses_another_key);
    CPPUNIT_TEST(refuses_a_frame_of_another_link);
    CPPUNIT_TEST(refuses_a_reflected_frame);
    CPPUNIT_TEST(refuses_a_repeated_frame);
    CPPUNIT_TEST(refuses_a_changed_byte);
    CPPUNIT_TEST(hides_the_payload);
    CPPUNIT_TEST(refuses_a_wrong_length);
    CPPUNIT_TEST(refuses_another_version);
    CPPUNIT_TEST(parses_only_its_own_greeting);
    CPPUNIT_TEST(parses_only_whole_keys);
    CPPUNIT_TEST_SUITE_END();

    frame_writer writer_{key_of(1), nonces_of(5), direction::to_acceptor};
    frame_reader reader_{key_of(1), nonces_of(5), direction::to_acceptor};

public:
    void reads_frames_that_arrive_byte_by_byte() {
        std::string bytes = writer_.make_frame("first");
        bytes += writer_.make_frame("");
        for (const char byte : bytes.substr(0, bytes.size() - 1)) {
            reader_.append({&byte, 1});
        }
        CPPUNIT_ASSERT_EQUAL(std::string{"first"}, payload_of(reader_));
        CPPUNIT_ASSERT(!reader_.next().has_value());
        reader_.append({&bytes.back(), 1});
        CPPUNIT_ASSERT_EQUAL(std::string{}, payload_of(reader_));
    }

    // Guards against orders from a process outside the fleet.
    void refuses_another_key() {
        frame_writer outsider{key_of(2), nonces_of(5), direction::to_acceptor};
        reader_.append(outsider.make_frame("order"));
        CPPUNIT_ASSERT(error_of(reader_) == frame_error::wrong_tag);
    }

    // Guards against the replay of frames that were recorded on another link.
    void refuses_a_frame_of_another_link() {
        frame_writer earlier{key_of(1), nonces_of(9), direction::to_acceptor};
        reader_.append(earlier.make_frame("order"));
        CPPUNIT_ASSERT(error_of(reader_) == frame_error::wrong_tag);
    }

    // Guards against a frame that is sent back to its sender.
    void refuses_a_reflected_frame() {
        frame_writer other{key_of(1), nonces_of(5), direction::to_initiator};
        reader_.append(other.make_frame("order"));
        CPPUNIT_ASSERT(error_of(reader_) == frame_error::wrong_tag);
    }

    // Guards against the replay of a frame on its own link.
    void refuses_a_repeated_frame() {
        const std::string frame = writer_.make_frame("order");
        reader_.append(frame + frame);
        CPPUNIT_ASSERT_EQUAL(std::string{"order"}, payload_of(reader_));
        CPPUNIT_ASSERT(error_of(reader_) == frame_error::wrong_sequence);
    }

    void refuses_a_changed_byte() {
        std::string frame = writer_.make_frame("order");
        frame.back() = 'R';
        reader_.append(frame);
        CPPUNIT_ASSERT(error_of(reader_) == frame_error::wrong_tag);
    }

    // Guards against keys of client accounts that pass between gateways in
    // clear.
    void hides_the_payload() {
        const std::string payload(100, 'k');
        const auto frame = writer_.make_frame(payload);
        CPPUNIT_ASSERT_EQUAL(payload.size() + frame_overhead_bytes,
                             frame.size());
        CPPUNIT_ASSERT(frame.find("kkk") == std::string::npos);
        CPPUNIT_ASSERT(frame.substr(20) !=
                       writer_.make_frame(payload).substr(20));
    }

    // Guards against a length field that makes the reader buffer without bound.
    void refuses_a_wrong_length() {
        reader_.append("\x7F\xFF\xFF\xFF");
        CPPUNIT_ASSERT(error_of(reader_) == frame_error::too_long);
        frame_reader other{key_of(1), nonces_of(5), direction::to_acceptor};
        other.append(std::string_view{"\0\0\0\3abc", 7});
        CPPUNIT_ASSERT(error_of(other) == frame_error::too_short);
    }

    void refuses_another_version() {
        std::string frame = writer_.make_frame("order");
        frame[4] = 1;
        reader_.append(frame);
        CPPUNIT_ASSERT(error_of(reader_) == frame_error::wrong_version);
    }

    void parses_only_its_own_greeting() {
        const nonce own = make_nonce();
        const std::string greeting = make_greeting(own);
        CPPUNIT_ASSERT(parse_greeting(greeting) == own);
        CPPUNIT_ASSERT(!parse_greeting(greeting.substr(1)));
        CPPUNIT_ASSERT(!parse_greeting("GET / HTTP/1.1\r\n\r\n  "));
    }

    void parses_only_whole_keys() {
        const std::string digits(64, 'a');
        CPPUNIT_ASSERT(
            std::holds_alternative<fleet_key>(parse_fleet_key(digits)));
        CPPUNIT_ASSERT(std::holds_alternative<fleet_key_malformed>(
            parse_fleet_key(digits.substr(1))));
        CPPUNIT_ASSERT(std::holds_alternative<fleet_key_malformed>(
            parse_fleet_key(std::string(64, 'x'))));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(frame_test);

} // namespace
} // namespace pimentoferry::wire
