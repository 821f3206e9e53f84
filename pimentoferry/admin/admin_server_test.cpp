#include "pimentoferry/admin/admin_client.hpp"
#include "pimentoferry/admin/admin_server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <memory>

namespace pimentoferry::admin {
namespace {

/// Returns an address whose port was free at the time of the call; cxxtools
/// does not report a port that it chose itself.
base::endpoint free_address() {
    boost::asio::io_context io;
    const boost::asio::ip::tcp::acceptor acceptor{
        io, {boost::asio::ip::make_address("127.0.0.1"), 0}};
    return {"127.0.0.1", acceptor.local_endpoint().port()};
}

admin_answer echo(const admin_request& request) {
    return {200, "text/plain",
            request.method_ + " " + request.path_ + "?" + request.query_ + " " +
                request.token_ + " " + std::to_string(request.body_.size())};
}

class admin_server_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(admin_server_test);
    CPPUNIT_TEST(handler_receives_the_whole_request);
    CPPUNIT_TEST(rejects_an_oversized_body_and_keeps_serving);
    CPPUNIT_TEST(reports_an_address_in_use);
    CPPUNIT_TEST(client_reports_an_unreachable_server);
    CPPUNIT_TEST_SUITE_END();

    base::endpoint address_ = free_address();
    std::unique_ptr<admin_server> server_;

public:
    void setUp() override {
        auto opened = admin_server::open({address_}, echo);
        server_ = std::get<std::unique_ptr<admin_server>>(std::move(opened));
    }

    void handler_receives_the_whole_request() {
        const auto result =
            call({address_, "secret"}, {"POST", "/admin/v1/tickets", "a=b",
                                        std::string(70000, 'x'), ""});
        CPPUNIT_ASSERT(std::holds_alternative<admin_answer>(result));
        CPPUNIT_ASSERT_EQUAL(
            std::string{"POST /admin/v1/tickets?a=b secret 70000"},
            std::get<admin_answer>(result).body_);
    }

    // Guards against a request body, sent by mistake of an operator, that
    // exhausts the memory of an entry.
    void rejects_an_oversized_body_and_keeps_serving() {
        const auto refused =
            call({address_, ""},
                 {"POST", "/", "", std::string(max_body_bytes + 1, 'x'), ""});
        CPPUNIT_ASSERT(std::holds_alternative<admin_answer>(refused));
        CPPUNIT_ASSERT_EQUAL(413, std::get<admin_answer>(refused).status_);
        const auto next = call({address_, ""}, {"GET", "/", "", "", ""});
        CPPUNIT_ASSERT_EQUAL(200, std::get<admin_answer>(next).status_);
    }

    void reports_an_address_in_use() {
        const auto second = admin_server::open({address_}, echo);
        CPPUNIT_ASSERT(std::holds_alternative<listen_failed>(second));
    }

    void client_reports_an_unreachable_server() {
        const auto result =
            call({free_address(), ""}, {"GET", "/", "", "", ""});
        CPPUNIT_ASSERT(std::holds_alternative<no_answer>(result));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(admin_server_test);

} // namespace
} // namespace pimentoferry::admin
