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
    CPPUNIT_TEST(names_the_expected_revision);
    CPPUNIT_TEST(concludes_nothing_from_a_strange_answer);
    CPPUNIT_TEST(tells_a_conflict_from_an_outage);
    CPPUNIT_TEST_SUITE_END();

public:
    void escapes_keys() {
        CPPUNIT_ASSERT_EQUAL(std::string{"/v1/kv/a/b%3Fc%20d"},
                             to_http(get{"a/b?c d"}).target_);
    }

    void names_the_expected_revision() {
        CPPUNIT_ASSERT_EQUAL(std::string{"/v1/kv/a?if_revision=7&lease=3"},
                             to_http(put{"a", "v", 7, lease_id{3}}).target_);
    }

    // Guards against reading a proxy's or a broken store's answer as success.
    void concludes_nothing_from_a_strange_answer() {
        const auto without_revision =
            from_http(put{"a", "v", 0, {}}, {200, "", ""});
        CPPUNIT_ASSERT(std::holds_alternative<unavailable>(without_revision));
        const auto no_json = from_http(list{"a"}, {200, "", "<html>"});
        CPPUNIT_ASSERT(std::holds_alternative<unavailable>(no_json));
        const auto error = from_http(get{"a"}, {500, "3", ""});
        CPPUNIT_ASSERT(std::holds_alternative<unavailable>(error));
    }

    void tells_a_conflict_from_an_outage() {
        const auto answer = from_http(put{"a", "v", 1, {}}, {409, "5", ""});
        CPPUNIT_ASSERT(std::holds_alternative<conflict>(answer));
        CPPUNIT_ASSERT_EQUAL(revision{5}, std::get<conflict>(answer).current_);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_codec_test);

/// Accepts connections and gives each the next scripted answer; an empty
/// answer closes the connection after reading the request.
class scripted_server {
public:
    explicit scripted_server(std::vector<std::string> answers)
        : answers_{std::move(answers)}, thread_{[this] { serve(); }} {}
    ~scripted_server() { thread_.join(); }
    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;

    base::endpoint address() const {
        return {"127.0.0.1", acceptor_.local_endpoint().port()};
    }

private:
    void serve() {
        for (const auto& answer : answers_) {
            tcp::socket socket{io_};
            acceptor_.accept(socket);
            boost::asio::streambuf buffer;
            boost::asio::read_until(socket, buffer, "\r\n\r\n");
            boost::asio::write(socket, boost::asio::buffer(answer));
        }
    }

    boost::asio::io_context io_;
    tcp::acceptor acceptor_{io_,
                            {boost::asio::ip::make_address("127.0.0.1"), 0}};
    std::vector<std::string> answers_;
    std::thread thread_;
};

class http_store_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(http_store_test);
    CPPUNIT_TEST(reads_a_value);
    CPPUNIT_TEST(never_repeats_a_write);
    CPPUNIT_TEST(gives_up_at_the_timeout);
    CPPUNIT_TEST_SUITE_END();

    static outcome
    run(const base::endpoint& address, request op, base::milliseconds timeout) {
        boost::asio::io_context io;
        http_store client{io, {address, timeout}};
        std::optional<outcome> seen;
        client.submit({token{1}, std::move(op)},
                      [&](const result& r) { seen = r.outcome_; });
        const auto limit = base::clock::now() + std::chrono::seconds{5};
        while (!seen && base::clock::now() < limit) {
            io.run_one_for(std::chrono::milliseconds{20});
        }
        CPPUNIT_ASSERT(seen.has_value());
        return *seen;
    }

public:
    void reads_a_value() {
        scripted_server server{{"HTTP/1.1 200 OK\r\nX-Revision: 12\r\n"
                                "Content-Length: 5\r\n\r\nvalue"}};
        const auto seen =
            run(server.address(), get{"k"}, base::milliseconds{1000});
        CPPUNIT_ASSERT_EQUAL(std::string{"value"},
                             std::get<found>(seen).value_);
    }

    // The server accepts one connection only, so a repeated write would hang
    // until the timeout; a second write might take effect twice.
    void never_repeats_a_write() {
        scripted_server server{{""}};
        const auto seen = run(server.address(), put{"k", "v", 0, {}},
                              base::milliseconds{3000});
        CPPUNIT_ASSERT(std::holds_alternative<unavailable>(seen));
    }

    void gives_up_at_the_timeout() {
        boost::asio::io_context io;
        tcp::acceptor silent{io,
                             {boost::asio::ip::make_address("127.0.0.1"), 0}};
        const auto seen = run({"127.0.0.1", silent.local_endpoint().port()},
                              get{"k"}, base::milliseconds{50});
        CPPUNIT_ASSERT(std::holds_alternative<unavailable>(seen));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_store_test);

} // namespace
} // namespace pimentoferry::store
