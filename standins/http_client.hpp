/// Blocking HTTP client for tests, loopback only. Not for production code,
/// which must not block.
///
///     const auto answer = http_get(port, "/stats");
///     CPPUNIT_ASSERT_EQUAL(200u, answer.status_);
///
///     http_stream stream{port, "/v1/decode", body};
///     for (auto event = stream.next_event(); event; ...) { ... }
///
/// Network errors are not thrown: a connection that fails, breaks or times out
/// yields status 0 or an empty event.
#ifndef PIMENTOFERRY_STANDINS_HTTP_CLIENT_HPP
#define PIMENTOFERRY_STANDINS_HTTP_CLIENT_HPP

#include "standins/json.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace pimentoferry::standins {

inline constexpr std::chrono::milliseconds default_http_timeout{5000};

using request_headers = std::vector<std::pair<std::string, std::string>>;

/// HTTP response; status 0 means that none was received.
struct http_answer {
    unsigned status_{0};
    std::string body_;
    /// Names in lower case.
    std::map<std::string, std::string> headers_;

    /// Returns JSON null when the body is not JSON.
    json body_json() const { return parse_json(body_).value_or(json{}); }
};

struct http_call {
    std::string method_{"GET"};
    std::string target_{"/"};
    std::string body_;
    request_headers headers_;
    std::chrono::milliseconds timeout_{default_http_timeout};
};

/// Sends one call over a new connection to 127.0.0.1.
http_answer send_http(std::uint16_t port, const http_call& call);

http_answer http_get(std::uint16_t port, const std::string& target);
http_answer http_post(std::uint16_t port,
                      const std::string& target,
                      const std::string& body);

/// `POST` request whose response is read as server-sent events.
class http_stream {
public:
    http_stream(std::uint16_t port,
                const std::string& target,
                const std::string& body,
                request_headers headers = {},
                std::chrono::milliseconds timeout = default_http_timeout);
    ~http_stream();
    http_stream(http_stream&&) noexcept;
    http_stream& operator=(http_stream&&) noexcept;
    http_stream(const http_stream&) = delete;
    http_stream& operator=(const http_stream&) = delete;

    /// Returns 0 when no response arrived before the timeout.
    unsigned status() const;
    /// Returns all lines of the next event without the terminating blank line;
    /// empty at the end of the stream, on a broken connection or after the
    /// timeout.
    std::optional<std::string> next_event();
    /// Reads to the end and returns the data that `next_event` has not
    /// returned, such as the body of an error response.
    std::string rest();
    /// Returns true when the response was received completely.
    bool ended() const;
    /// Closes the connection, like a caller that disconnects.
    void close();

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace pimentoferry::standins

#endif
