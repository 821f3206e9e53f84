#include "pimentoferry/http/upstream_call.hpp"

#include "pimentoferry/http/error_token.hpp"
#include "pimentoferry/http/framing.hpp"
#include "pimentoferry/http/head_writer.hpp"
#include "pimentoferry/http/unresponsive_peer.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace pimentoferry::http::internal {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::uint32_t response_header_limit_bytes = 64 * 1024;
// Responses to other calls that are skipped before the one to this call, and
// the size of the body of one. Beyond these the connection is useless.
constexpr int max_skipped_responses = 3;
constexpr std::size_t max_skipped_bytes = std::size_t{64} << 10;
constexpr std::size_t read_buffer_bytes = std::size_t{16} << 10;
// Between two checks whether answers that waited for their callers are gone.
constexpr base::milliseconds full_memory_pause{10};

// Statuses of HTTP (RFC 9110, section 15). The parser takes any three digits.
constexpr int lowest_status = 100;
constexpr int highest_status = 599;

/// Returns how long the upstream keeps an idle connection open, from
/// `Keep-Alive: timeout=SECONDS`, less a margin for the transit of the next
/// call. There is no limit without the field.
base::milliseconds announced_keep_alive(const field_list& fields) {
    constexpr std::string_view name = "timeout=";
    constexpr base::milliseconds transit_margin{500};
    const auto value = find_field(fields, "Keep-Alive");
    const auto at = value.find(name);
    if (at == std::string_view::npos) {
        return base::milliseconds::max();
    }
    const auto number = value.substr(at + name.size());
    int seconds = 0;
    std::from_chars(number.data(), number.data() + number.size(), seconds);
    return std::max(std::chrono::seconds{seconds} - transit_margin,
                    base::milliseconds{0});
}

failure_kind to_failure_kind(error_code error) {
    if (error == asio::error::connection_refused) {
        return failure_kind::refused;
    }
    if (error == beast::error::timeout) {
        return failure_kind::timed_out;
    }
    if (error == beast::http::error::body_limit ||
        error == beast::http::error::header_limit ||
        error == beast::http::error::buffer_overflow) {
        return failure_kind::too_large;
    }
    const bool parse_error =
        error.category() == make_error_code(beast::http::error{}).category();
    if (parse_error && error != beast::http::error::partial_message &&
        error != beast::http::error::end_of_stream) {
        return failure_kind::malformed;
    }
    return failure_kind::broken;
}

} // namespace

upstream_call::upstream_call(std::shared_ptr<connection_pool> pool,
                             base::endpoint address,
                             call_options options)
    : pool_(std::move(pool)), address_(std::move(address)),
      options_(std::move(options)), stream_(pool_->make()) {
    begin_response();
    cancel_ = subscription{options_.cancel_, [this] { stop(); }};
}

upstream_call::~upstream_call() {
    cancel_ = {};
    stop();
}

void upstream_call::watch_peer() {
    watch_ = pool_->watch().add(stream_->socket(), [] {});
}

void upstream_call::unwatch_peer() {
    if (watch_) {
        pool_->watch().remove(*watch_);
        watch_.reset();
    }
}

void upstream_call::stop() {
    unwatch_peer();
    if (stream_) {
        stream_->close();
    }
}

awaitable<std::optional<call_failure>>
upstream_call::start(const request& call) {
    const auto head = write_request_head(address_, call);
    if (!head) {
        co_return call_failure{failure_kind::malformed, false};
    }
    const bool cancelled = options_.cancel_ && options_.cancel_->requested();
    if (cancelled) {
        co_return call_failure{failure_kind::cancelled, false};
    }
    std::optional<error_code> pooled;
    if (!options_.fresh_connection_) {
        pooled = co_await send_on_pooled(*head, call.body_);
    }
    error_code error = pooled.value_or(error_code{});
    const bool is_new_connection = !pooled;
    if (is_new_connection) {
        error = co_await connect();
        if (error) {
            auto failure = to_failure(error);
            if (failure.kind_ == failure_kind::broken) {
                failure.kind_ = failure_kind::unreachable;
            }
            co_return failure;
        }
        error = co_await send(*head, call.body_);
    }
    write_failed_ = may_be_answered_early(error);
    if (!error || write_failed_) {
        error = co_await read_head();
    }
    if (error) {
        co_return to_failure(error);
    }
    if (is_new_connection && options_.on_new_connection_) {
        options_.on_new_connection_();
    }
    if (options_.on_head_) {
        options_.on_head_(head_);
    }
    co_return std::nullopt;
}

// Sending on another connection is safe only if no byte was sent on the pooled
// one.
awaitable<std::optional<error_code>>
upstream_call::send_on_pooled(const std::string& head,
                              const std::string& body) {
    auto pooled = pool_->take(address_, options_.longest_idle_);
    if (!pooled) {
        co_return std::nullopt;
    }
    stream_ = std::move(pooled);
    watch_peer();
    const error_code error = co_await send(head, body);
    if (!error || sent_) {
        co_return error;
    }
    unwatch_peer();
    stream_ = pool_->make();
    co_return std::nullopt;
}

bool upstream_call::may_be_answered_early(error_code error) const {
    return sent_ && (error == asio::error::connection_reset ||
                     error == asio::error::broken_pipe);
}

void upstream_call::set_timeout(base::time_point deadline) {
    expires_at_ = deadline;
    if (!stream_) {
        return;
    }
    if (deadline == base::time_point::max()) {
        stream_->expires_never();
    } else {
        stream_->expires_at(deadline);
    }
}

awaitable<error_code> upstream_call::connect() {
    error_code error;
    const auto ip = asio::ip::make_address(address_.ip_, error);
    if (error) {
        co_return error;
    }
    const tcp::endpoint endpoint{ip, address_.port_};
    const auto deadline = base::clock::now() + options_.connect_timeout_;
    set_timeout(std::min(deadline, options_.deadline_));
    co_await stream_->async_connect(endpoint, into(error));
    if (!error) {
        error_code ignored;
        stream_->socket().set_option(tcp::no_delay{true}, ignored);
        detect_unresponsive_peer(stream_->socket());
        watch_peer();
    }
    co_return error;
}

awaitable<error_code> upstream_call::send(const std::string& head,
                                          const std::string& body) {
    error_code error;
    set_timeout(options_.deadline_);
    const std::array<asio::const_buffer, 2> parts{asio::buffer(head),
                                                  asio::buffer(body)};
    const auto size = co_await asio::async_write(*stream_, parts, into(error));
    sent_ = sent_ || size > 0;
    co_return error;
}

void upstream_call::begin_response() {
    parser_.emplace();
    parser_->header_limit(response_header_limit_bytes);
    parser_->body_limit(options_.body_limit_bytes_);
    head_ = {};
}

// Reads the head of the response to this call.
awaitable<error_code> upstream_call::read_head() {
    for (int i = 0; i <= max_skipped_responses; ++i) {
        error_code error = co_await read_next_head();
        if (error || !options_.is_answer_ || options_.is_answer_(head_)) {
            co_return error;
        }
        skipped_any_ = true;
        if (options_.on_skipped_) {
            options_.on_skipped_(head_);
        }
        error = co_await skip_body();
        if (error) {
            co_return error;
        }
        begin_response();
    }
    co_return asio::error::connection_aborted;
}

// Reads the rest of a response that does not answer this call.
awaitable<error_code> upstream_call::skip_body() {
    std::size_t skipped = 0;
    while (!parser_->is_done()) {
        std::string bytes;
        const error_code error = co_await read_some(bytes);
        if (error) {
            co_return error;
        }
        skipped += bytes.size();
        if (skipped > max_skipped_bytes) {
            co_return asio::error::connection_aborted;
        }
    }
    co_return error_code{};
}

awaitable<error_code> upstream_call::read_next_head() {
    error_code error;
    set_timeout(options_.deadline_);
    co_await beast::http::async_read_header(*stream_, buffer_, *parser_,
                                            into(error));
    if (!error) {
        const auto& message = parser_->get();
        mark_ = parser_->need_eof()  ? end_mark::connection
                : parser_->chunked() ? end_mark::last_chunk
                                     : end_mark::length;
        head_.status_ = static_cast<int>(message.result_int());
        for (const auto& f : message) {
            head_.fields_.push_back(
                {std::string{f.name_string()}, std::string{f.value()}});
        }
        if (head_.status_ < lowest_status || head_.status_ > highest_status) {
            error = beast::http::error::bad_status;
        }
        if (!are_writable(head_.fields_)) {
            error = beast::http::error::bad_value;
        }
        if (framing_fault(head_.fields_, message.version())) {
            error = beast::http::error::bad_transfer_encoding;
        }
    }
    co_return error;
}

awaitable<std::variant<std::string, body_end, call_failure>>
upstream_call::read(bool until_deadline) {
    if (finished_ || parser_->is_done()) {
        co_return end_body();
    }
    const auto gap_deadline = base::clock::now() + options_.gap_timeout_;
    set_timeout(until_deadline ? options_.deadline_ : gap_deadline);
    std::string bytes;
    const error_code error = co_await read_some(bytes);
    if (error) {
        co_return to_failure(error);
    }
    if (bytes.empty() && parser_->is_done()) {
        co_return end_body();
    }
    co_return bytes;
}

std::variant<std::string, body_end, call_failure> upstream_call::end_body() {
    const ended_answer answer{mark_,
                              mark_ == end_mark::connection ? last_read::orderly
                                                            : last_read::mark,
                              !write_failed_};
    if (!is_whole(answer)) {
        stop();
        return call_failure{failure_kind::broken, sent_};
    }
    if (!finished_) {
        finish(is_connection_reusable(answer));
    }
    return body_end{};
}

awaitable<error_code> upstream_call::read_some(std::string& bytes) {
    error_code error;
    std::array<char, read_buffer_bytes> read_buffer{};
    auto& body = parser_->get().body();
    while (bytes.empty() && !parser_->is_done()) {
        // The timer of the stream ends an operation that waits; one that always
        // finds input received completes before it.
        if (base::clock::now() >= expires_at_) {
            co_return beast::error::timeout;
        }
        body.data = read_buffer.data();
        body.size = read_buffer.size();
        co_await beast::http::async_read_some(*stream_, buffer_, *parser_,
                                              into(error));
        bytes.append(read_buffer.data(), read_buffer.size() - body.size);
        // The buffer is full; the next read returns the rest.
        if (error == beast::http::error::need_buffer) {
            error = {};
        }
        if (error) {
            break;
        }
    }
    co_return error;
}

awaitable<bool> upstream_call::add_bytes(counted_bytes& share,
                                         std::size_t bytes) {
    while (!share.add(bytes)) {
        const bool cancelled =
            options_.cancel_ && options_.cancel_->requested();
        if (cancelled || !pool_->holds_complete_answers() ||
            base::clock::now() >= options_.deadline_) {
            co_return false;
        }
        pool_->free_bytes();
        asio::steady_timer pause{stream_->get_executor(), full_memory_pause};
        error_code ignored;
        co_await pause.async_wait(into(ignored));
    }
    co_return true;
}

call_failure upstream_call::to_failure(error_code error) const {
    if (options_.cancel_ && options_.cancel_->requested()) {
        return {failure_kind::cancelled, sent_};
    }
    return {to_failure_kind(error), sent_};
}

void upstream_call::finish(bool reusable) {
    finished_ = true;
    cancel_ = {};
    unwatch_peer();
    if (reusable && !skipped_any_ && parser_->get().keep_alive() &&
        buffer_.size() == 0) {
        stream_->expires_never();
        pool_->give_back(address_, std::move(stream_),
                         announced_keep_alive(head_.fields_));
    }
    stop();
}

} // namespace pimentoferry::http::internal
