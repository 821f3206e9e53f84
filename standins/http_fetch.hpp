/// Coroutine that sends a `GET` request to another stand-in.
///
///     auto stream = std::make_shared<beast::tcp_stream>(executor);
///     const auto answer = co_await fetch(stream, "127.0.0.1:80", "/v1/kv/7",
///                                        deadline);
///
/// Cancelling the stream aborts the request.
#ifndef PIMENTOFERRY_STANDINS_HTTP_FETCH_HPP
#define PIMENTOFERRY_STANDINS_HTTP_FETCH_HPP

#include "standins/asio.hpp"

#include <memory>
#include <string>

namespace pimentoferry::standins {

/// Response; status 0 means that no complete response arrived before the
/// deadline.
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
