/// A queue on which one coroutine waits.
///
/// Both sides run on the thread of the same io_context.
#ifndef PIMENTOFERRY_HTTP_MAILBOX_HPP
#define PIMENTOFERRY_HTTP_MAILBOX_HPP

#include "pimentoferry/base/time.hpp"
#include "pimentoferry/http/awaitable.hpp"
#include "pimentoferry/http/error_token.hpp"

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <utility>

namespace pimentoferry::http {

/// Wakes a waiting coroutine; a wake without a waiter is kept.
class wake_signal {
public:
    explicit wake_signal(boost::asio::io_context& context)
        : timer_(context, boost::asio::steady_timer::time_point::max()) {}

    void wake() {
        set_ = true;
        timer_.cancel();
    }

    awaitable<void> wait() { co_await wait_until(base::time_point::max()); }

    /// Whether the signal came before the time.
    awaitable<bool> wait_until(base::time_point limit) {
        while (!set_ && base::clock::now() < limit) {
            boost::system::error_code ignored;
            timer_.expires_at(limit);
            co_await timer_.async_wait(internal::into(ignored));
        }
        co_return std::exchange(set_, false);
    }

private:
    bool set_{false};
    boost::asio::steady_timer timer_;
};

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
