/// Single-consumer queue and signal for coroutines.
///
/// Producers and the consumer run on the thread of the same io_context.
#ifndef PIMENTOFERRY_HTTP_MAILBOX_HPP
#define PIMENTOFERRY_HTTP_MAILBOX_HPP

#include "pimentoferry/base/time.hpp"
#include "pimentoferry/http/awaitable.hpp"
#include "pimentoferry/http/error_token.hpp"

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <utility>

namespace pimentoferry::http {

/// Wakes the waiting coroutine. A wake without a waiter ends the next wait at
/// once.
class wake_signal {
public:
    explicit wake_signal(boost::asio::io_context& context)
        : timer_(context, boost::asio::steady_timer::time_point::max()) {}

    void wake() {
        set_ = true;
        timer_.cancel();
    }

    awaitable<void> wait() { co_await wait_until(base::time_point::max()); }

    /// Returns whether the signal was set before the deadline, and resets it.
    awaitable<bool> wait_until(base::time_point deadline) {
        while (!set_ && base::clock::now() < deadline) {
            boost::system::error_code ignored;
            timer_.expires_at(deadline);
            co_await timer_.async_wait(internal::into(ignored));
        }
        co_return std::exchange(set_, false);
    }

private:
    bool set_{false};
    boost::asio::steady_timer timer_;
};

/// Unbounded queue of items; one coroutine at a time may await `next`.
template <class T>
class mailbox {
public:
    explicit mailbox(boost::asio::io_context& context) : signal_(context) {}

    void deliver(T item) {
        items_.push_back(std::move(item));
        signal_.wake();
    }

    awaitable<T> next() {
        while (items_.empty()) {
            co_await signal_.wait();
        }
        T item = std::move(items_.front());
        items_.pop_front();
        co_return item;
    }

private:
    std::deque<T> items_;
    wake_signal signal_;
};

} // namespace pimentoferry::http

#endif
