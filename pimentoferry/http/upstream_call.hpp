/// Client side of one call on one connection. Internal to the library; includes
/// Beast.
#ifndef PIMENTOFERRY_HTTP_UPSTREAM_CALL_HPP
#define PIMENTOFERRY_HTTP_UPSTREAM_CALL_HPP

#include "pimentoferry/http/answer_end.hpp"
#include "pimentoferry/http/client.hpp"
#include "pimentoferry/http/connection_pool.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <optional>

namespace pimentoferry::http::internal {

/// Received bytes that the parser has not consumed yet: the head, or a line of
/// the chunked coding. Larger than the limit of the head, which the parser
/// checks itself.
inline constexpr std::size_t max_buffered_input_bytes = std::size_t{96} << 10;

class upstream_call {
public:
    upstream_call(std::shared_ptr<connection_pool> pool,
                  base::endpoint address,
                  call_options options);
    ~upstream_call();
    upstream_call(const upstream_call&) = delete;
    upstream_call& operator=(const upstream_call&) = delete;

    /// Connects or takes a pooled connection, sends the call and reads the head
    /// of the response.
    awaitable<std::optional<call_failure>> start(const request& call);

    const response_head& head() const { return head_; }
    bool end_is_marked() const { return mark_ != end_mark::connection; }
    /// Returns the next bytes of the body. Limited by the deadline of the call
    /// or else by the gap timeout.
    awaitable<std::variant<std::string, body_end, call_failure>>
    read(bool until_deadline);
    const call_options& options() const { return options_; }
    /// A share of the client's limit for answers that are held.
    std::shared_ptr<counted_bytes> count_bytes() {
        return pool_->count_bytes();
    }
    /// Adds to a share. Waits until the deadline of the call if answers that
    /// wait for their callers use the limit up; returns false if that does not
    /// help.
    awaitable<bool> add_bytes(counted_bytes& share, std::size_t bytes);

private:
    using parser =
        boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    /// The result of sending the call on a pooled connection; unset if a new
    /// one is needed.
    awaitable<std::optional<boost::system::error_code>>
    send_on_pooled(const std::string& head, const std::string& body);
    awaitable<boost::system::error_code> connect();
    awaitable<boost::system::error_code> send(const std::string& head,
                                              const std::string& body);
    awaitable<boost::system::error_code> read_head();
    awaitable<boost::system::error_code> read_next_head();
    awaitable<boost::system::error_code> skip_body();
    void begin_response();
    awaitable<boost::system::error_code> read_some(std::string& bytes);
    /// Whether an upstream that has not read the whole call may have answered.
    bool may_be_answered_early(boost::system::error_code error) const;
    /// The end of the body, unless the answer is broken.
    std::variant<std::string, body_end, call_failure> end_body();
    call_failure to_failure(boost::system::error_code error) const;
    void set_timeout(base::time_point deadline);
    void finish(bool reusable);
    void stop();
    void watch_peer();
    void unwatch_peer();

    std::shared_ptr<connection_pool> pool_;
    base::endpoint address_;
    call_options options_;
    stream_ptr stream_;
    boost::beast::flat_buffer buffer_{max_buffered_input_bytes};
    std::optional<parser> parser_; ///< Of the current response.
    response_head head_;
    end_mark mark_{end_mark::length};
    bool sent_{false};
    /// Whether a write failed after a part of the call had been sent.
    bool write_failed_{false};
    bool finished_{false};
    /// A response to another call was received on this connection.
    bool skipped_any_{false};
    /// When the current operation times out.
    base::time_point expires_at_{base::time_point::max()};
    subscription cancel_;
    /// Of the connection in use.
    std::optional<connection_watch::watch_id> watch_;
};

} // namespace pimentoferry::http::internal

#endif
