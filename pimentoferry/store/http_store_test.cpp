#include "pimentoferry/store/http_codec.hpp"
#include "pimentoferry/store/http_store.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <thread>

namespace pimentoferry::store {
namespace {

using boost::asio::ip::tcp;
using internal::from_http;
using internal::to_http;

class http_codec_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(http_codec_test);
    CPPUNIT_TEST(escapes_keys);
    CPPUNIT_TEST(encodes_the_expected_revision_and_lease);
    CPPUNIT_TEST(decodes_an_invalid_response_as_unavailable);
    CPPUNIT_TEST(decodes_a_conflict_with_its_revision);
    CPPUNIT_TEST(an_era_that_is_no_number_is_not_taken);
    CPPUNIT_TEST_SUITE_END();

public:
    void escapes_keys() {
        CPPUNIT_ASSERT_EQUAL(std::string{"/v1/kv/a/b%3Fc%20d"},
                             to_http(get{"a/b?c d"}).target_);
    }

    void encodes_the_expected_revision_and_lease() {
        CPPUNIT_ASSERT_EQUAL(std::string{"/v1/kv/a?if_revision=7&lease=3"},
                             to_http(put{"a", "v", 7, lease_id{3}}).target_);
    }

    void an_era_that_is_no_number_is_not_taken() {
        CPPUNIT_ASSERT(internal::parse_era("7") == era{7});
        for (const auto* text : {"", "0", "-1", "+3", "2.0", "2,3", "seven",
                                 " 7 ", "0x7", "18446744073709551616"}) {
            CPPUNIT_ASSERT(!internal::parse_era(text));
        }
    }

    // Guards against taking the response of a proxy or of a faulty store as
    // success.
    void decodes_an_invalid_response_as_unavailable() {
        const auto without_revision =
            from_http(put{"a", "v", 0, {}}, {200, "", ""});
        CPPUNIT_ASSERT(std::holds_alternative<unavailable>(without_revision));
        const auto not_json = from_http(list{"a"}, {200, "", "<html>"});
        CPPUNIT_ASSERT(std::holds_alternative<unavailable>(not_json));
        const auto error = from_http(get{"a"}, {500, "3", ""});
        CPPUNIT_ASSERT(std::holds_alternative<unavailable>(error));
    }

    void decodes_a_conflict_with_its_revision() {
        const auto response = from_http(put{"a", "v", 1, {}}, {409, "5", ""});
        CPPUNIT_ASSERT(std::holds_alternative<conflict>(response));
        CPPUNIT_ASSERT_EQUAL(revision{5},
                             std::get<conflict>(response).current_);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_codec_test);

/// Accepts one connection for each scripted response, reads a request and sends
/// the response. An empty response closes the connection without one.
class scripted_server {
public:
    explicit scripted_server(std::vector<std::string> responses)
        : responses_{std::move(responses)}, thread_{[this] { serve(); }} {}
    ~scripted_server() { thread_.join(); }
    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;

    base::endpoint address() const {
        return {"127.0.0.1", acceptor_.local_endpoint().port()};
    }

private:
    void serve() {
        for (const auto& response : responses_) {
            tcp::socket socket{io_};
            acceptor_.accept(socket);
            boost::asio::streambuf buffer;
            boost::asio::read_until(socket, buffer, "\r\n\r\n");
            boost::asio::write(socket, boost::asio::buffer(response));
        }
    }

    boost::asio::io_context io_;
    tcp::acceptor acceptor_{io_,
                            {boost::asio::ip::make_address("127.0.0.1"), 0}};
    std::vector<std::string> responses_;
    std::thread thread_;
};

class http_store_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(http_store_test);
    CPPUNIT_TEST(reads_a_value);
    CPPUNIT_TEST(never_retries_a_write);
    CPPUNIT_TEST(completes_as_unavailable_at_the_timeout);
    CPPUNIT_TEST_SUITE_END();

    static outcome
    run(const base::endpoint& address, request op, base::milliseconds timeout) {
        boost::asio::io_context io;
        http_store client{io, {address, timeout}};
        std::optional<outcome> received;
        client.submit({token{1}, std::move(op)},
                      [&](const result& r) { received = r.outcome_; });
        const auto limit = base::clock::now() + std::chrono::seconds{5};
        while (!received && base::clock::now() < limit) {
            io.run_one_for(std::chrono::milliseconds{20});
        }
        CPPUNIT_ASSERT(received.has_value());
        return *received;
    }

public:
    void reads_a_value() {
        scripted_server server{{"HTTP/1.1 200 OK\r\nX-Revision: 12\r\n"
                                "Content-Length: 5\r\n\r\nvalue"}};
        const auto received =
            run(server.address(), get{"k"}, base::milliseconds{1000});
        CPPUNIT_ASSERT_EQUAL(std::string{"value"},
                             std::get<found>(received).value_);
    }

    // Guards against a write that takes effect twice. The server accepts only
    // one connection, so a retried write would wait until the timeout.
    void never_retries_a_write() {
        scripted_server server{{""}};
        const auto received = run(server.address(), put{"k", "v", 0, {}},
                                  base::milliseconds{3000});
        CPPUNIT_ASSERT(std::holds_alternative<unavailable>(received));
    }

    void completes_as_unavailable_at_the_timeout() {
        boost::asio::io_context io;
        tcp::acceptor unresponsive{
            io, {boost::asio::ip::make_address("127.0.0.1"), 0}};
        const auto received =
            run({"127.0.0.1", unresponsive.local_endpoint().port()}, get{"k"},
                base::milliseconds{50});
        CPPUNIT_ASSERT(std::holds_alternative<unavailable>(received));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_store_test);

} // namespace
} // namespace pimentoferry::store
