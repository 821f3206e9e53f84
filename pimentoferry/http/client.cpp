#include "pimentoferry/http/client.hpp"

#include "pimentoferry/http/upstream_call.hpp"

#include <algorithm>
#include <array>
#include <iterator>

namespace pimentoferry::http {

std::string_view to_string(failure_kind kind) {
    constexpr std::array<std::string_view, 7> texts{
        "refused", "unreachable", "timed_out", "cancelled",
        "broken",  "malformed",   "too_large"};
    return texts.at(static_cast<std::size_t>(kind));
}

open_answer::open_answer(std::unique_ptr<internal::upstream_call> call)
    : call_(std::move(call)) {}
open_answer::open_answer(open_answer&& other) noexcept = default;
open_answer& open_answer::operator=(open_answer&& other) noexcept = default;
open_answer::~open_answer() = default;

const response_head& open_answer::head() const {
    return call_->head();
}

bool open_answer::end_is_marked() const {
    return call_->end_is_marked();
}

awaitable<std::variant<std::string, body_end, call_failure>>
open_answer::read() {
    return call_->read(false);
}

awaitable<std::variant<std::string, body_end, call_failure>>
open_answer::read_until_deadline() {
    return call_->read(true);
}

awaitable<std::variant<response, call_failure>> open_answer::read_all() {
    response complete{
        call_->head().status_, call_->head().fields_, {}, call_->count_bytes()};
    while (true) {
        auto bytes = co_await call_->read(true);
        if (const auto* failure = std::get_if<call_failure>(&bytes)) {
            co_return *failure;
        }
        if (std::holds_alternative<body_end>(bytes)) {
            complete.counted_->set_complete();
            co_return complete;
        }
        const auto& text = std::get<std::string>(bytes);
        if (!co_await call_->add_bytes(*complete.counted_, text.size())) {
            co_return call_failure{failure_kind::too_large, true};
        }
        complete.body_ += text;
    }
}

awaitable<std::variant<sse_event, body_end, call_failure>>
event_reader::next() {
    while (events_.empty()) {
        auto bytes = co_await answer_.read();
        if (const auto* failure = std::get_if<call_failure>(&bytes)) {
            co_return *failure;
        }
        if (std::holds_alternative<body_end>(bytes)) {
            co_return body_end{};
        }
        auto events = parser_.feed(std::get<std::string>(bytes));
        std::ranges::move(events, std::back_inserter(events_));
        if (parser_.overflowed()) {
            co_return call_failure{failure_kind::malformed, true};
        }
    }
    sse_event event = std::move(events_.front());
    events_.pop_front();
    co_return event;
}

client::client(boost::asio::io_context& context, const client_limits& limits)
    : pool_(std::make_shared<internal::connection_pool>(
          context, limits.buffered_bytes_)) {}
client::client(client&& other) noexcept = default;
client& client::operator=(client&& other) noexcept = default;
client::~client() = default;

awaitable<std::variant<open_answer, call_failure>>
client::open(base::endpoint address, request call, call_options options) {
    auto upstream = std::make_unique<internal::upstream_call>(
        pool_, std::move(address), std::move(options));
    const auto failure = co_await upstream->start(call);
    if (failure) {
        co_return *failure;
    }
    co_return open_answer{std::move(upstream)};
}

awaitable<std::variant<response, call_failure>>
client::call(base::endpoint address, request call, call_options options) {
    auto opened =
        co_await open(std::move(address), std::move(call), std::move(options));
    if (const auto* failure = std::get_if<call_failure>(&opened)) {
        co_return *failure;
    }
    co_return co_await std::get<open_answer>(opened).read_all();
}

void client::set_free_bytes(std::function<void()> free_bytes) {
    pool_->set_free_bytes(std::move(free_bytes));
}

} // namespace pimentoferry::http
