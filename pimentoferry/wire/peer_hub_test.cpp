#include "pimentoferry/base/time.hpp"
#include "pimentoferry/wire/frame.hpp"
#include "pimentoferry/wire/peer_hub.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <functional>
#include <vector>

namespace pimentoferry::wire {
namespace {

using boost::asio::ip::tcp;

constexpr std::chrono::seconds wait_limit{5};
base::endpoint any_port() {
    return {"127.0.0.1", 0};
}

fleet_key key_of(std::uint8_t fill) {
    fleet_key key;
    key.bytes_.fill(fill);
    return key;
}

class peer_hub_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(peer_hub_test);
    CPPUNIT_TEST(delivers_in_order);
    CPPUNIT_TEST(refuses_another_key_and_keeps_serving);
    CPPUNIT_TEST(closes_a_link_without_a_greeting);
    CPPUNIT_TEST(counts_messages_lost_to_a_stopped_peer);
    CPPUNIT_TEST(reports_an_address_in_use);
    CPPUNIT_TEST_SUITE_END();

    boost::asio::io_context io_;
    std::vector<std::string> received_;

    std::unique_ptr<peer_hub> open(std::uint8_t key) {
        auto opened = peer_hub::open(io_, {any_port(), key_of(key)},
                                     [this](const std::string& payload) {
                                         received_.push_back(payload);
                                     });
        return std::get<std::unique_ptr<peer_hub>>(std::move(opened));
    }

    void run_until(const std::function<bool()>& done) {
        const auto end = base::clock::now() + wait_limit;
        while (!done() && base::clock::now() < end) {
            io_.run_one_for(std::chrono::milliseconds{20});
        }
        CPPUNIT_ASSERT(done());
    }

public:
    void setUp() override { received_.clear(); }

    void delivers_in_order() {
        auto receiver = open(1);
        auto sender = open(1);
        const std::vector<std::string> sent{"one", std::string(100000, 'x'),
                                            "three"};
        for (const auto& payload : sent) {
            sender->send(receiver->local_address(), payload);
        }
        run_until([&] { return received_.size() == sent.size(); });
        CPPUNIT_ASSERT(received_ == sent);
    }

    // Guards against frames of another fleet, and against a refused link that
    // stops the service of other links.
    void refuses_another_key_and_keeps_serving() {
        auto receiver = open(1);
        auto outsider = open(2);
        auto fleet_member = open(1);
        outsider->send(receiver->local_address(), "intruder");
        run_until([&] { return receiver->stats().refused_frames_ == 1; });
        fleet_member->send(receiver->local_address(), "member");
        run_until([&] { return !received_.empty(); });
        CPPUNIT_ASSERT_EQUAL(std::string{"member"}, received_.front());
    }

    // Guards against a hub that fails on a connection of another protocol.
    void closes_a_link_without_a_greeting() {
        auto receiver = open(1);
        const auto address = receiver->local_address();
        tcp::socket socket{io_};
        socket.connect(
            {boost::asio::ip::make_address(address.ip_), address.port_});
        const std::string text(greeting_bytes, '?');
        boost::asio::write(socket, boost::asio::buffer(text));
        run_until([&] { return receiver->stats().refused_greetings_ == 1; });
    }

    // Guards against messages for a stopped peer that vanish uncounted.
    void counts_messages_lost_to_a_stopped_peer() {
        auto sender = open(1);
        auto receiver = open(1);
        const auto address = receiver->local_address();
        receiver.reset();
        sender->send(address, "lost");
        run_until([&] { return sender->stats().dropped_ == 1; });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                             sender->stats().connect_failures_);
    }

    void reports_an_address_in_use() {
        auto first = open(1);
        auto second = peer_hub::open(io_, {first->local_address(), key_of(1)},
                                     [](const std::string&) {});
        CPPUNIT_ASSERT(std::holds_alternative<listen_failed>(second));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(peer_hub_test);

} // namespace
} // namespace pimentoferry::wire
