/// An upstream on raw sockets, and coroutines run to their end, for the tests
/// of the client.
#ifndef PIMENTOFERRY_HTTP_RAW_UPSTREAM_HPP
#define PIMENTOFERRY_HTTP_RAW_UPSTREAM_HPP

#include "pimentoferry/http/awaitable.hpp"
#include "pimentoferry/http/test_support.hpp"

#include <boost/asio/co_spawn.hpp>

#include <cppunit/TestAssert.h>

#include <atomic>
#include <functional>
#include <optional>
#include <string_view>
#include <thread>
#include <utility>

namespace pimentoferry::http {

/// Runs the context until the awaitable completes and returns its result.
template <class T>
T run_until_complete(boost::asio::io_context& context, awaitable<T> operation) {
    std::optional<T> result;
    boost::asio::co_spawn(context, std::move(operation),
                          [&result](const std::exception_ptr& e, T value) {
                              CPPUNIT_ASSERT(!e);
                              result.emplace(std::move(value));
                          });
    context.restart();
    while (!result && context.run_one() > 0) {
    }
    if (!result) {
        CPPUNIT_FAIL(
            "the context ran out of work before the awaitable completed");
    }
    return std::move(*result);
}

/// A listening socket on its own thread. `serve` handles its connections one at
/// a time.
class raw_upstream {
public:
    using tcp = boost::asio::ip::tcp;
    explicit raw_upstream(std::function<void(tcp::socket&)> serve)
        : acceptor_(context_, {boost::asio::ip::make_address("127.0.0.1"), 0}),
          thread_([this, serve = std::move(serve)] {
              while (!stopping_) {
                  tcp::socket socket{context_};
                  boost::system::error_code error;
                  acceptor_.accept(socket, error);
                  if (!error && !stopping_) {
                      serve(socket);
                  }
              }
          }) {}
    raw_upstream(const raw_upstream&) = delete;
    raw_upstream& operator=(const raw_upstream&) = delete;
    ~raw_upstream() {
        stopping_ = true;
        raw_connection wake{address()};
        thread_.join();
    }
    base::endpoint address() const {
        return {"127.0.0.1", acceptor_.local_endpoint().port()};
    }

private:
    std::atomic<bool> stopping_{false};
    boost::asio::io_context context_;
    tcp::acceptor acceptor_;
    std::thread thread_;
};

inline void send(raw_upstream::tcp::socket& socket, std::string_view text) {
    boost::system::error_code ignored;
    boost::asio::write(socket, boost::asio::buffer(text), ignored);
}

} // namespace pimentoferry::http

#endif
