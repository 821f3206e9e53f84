/// `GET` from another stand-in, on a coroutine.
///
///     auto stream = std::make_shared<beast::tcp_stream>(executor);
///     const auto answer = co_await fetch(stream, "127.0.0.1:80", "/v1/kv/7",
///                                        deadline);
///
/// Cancelling the stream breaks the call off.
#ifndef PIMENTOFERRY_STANDINS_HTTP_FETCH_HPP
#define PIMENTOFERRY_STANDINS_HTTP_FETCH_HPP

#include "standins/asio.hpp"

#include <memory>
#include <string>

namespace pimentoferry::standins {

/// Status 0: no whole answer arrived before the deadline.
struct fetched {
    unsigned status_{0};
    std::string body_;
};

net::awaitable<fetched> fetch(std::shared_ptr<beast::tcp_stream> stream,
                              std::string address,
                              std::string target,
                              time_point deadline);

} // namespace pimentoferry::standins

#endif
