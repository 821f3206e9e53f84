/// A queue on which one coroutine waits.
///
/// Both sides run on the thread of the same io_context.
#ifndef PIMENTOFERRY_ENTRY_MAILBOX_HPP
#define PIMENTOFERRY_ENTRY_MAILBOX_HPP

#include "pimentoferry/http/error_token.hpp"

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <utility>

namespace pimentoferry::entry {

/// Wakes a waiting coroutine; a wake without a waiter is kept.
class wake_signal {
public:
    explicit wake_signal(boost::asio::io_context& context)
        : timer_(context, boost::asio::steady_timer::time_point::max()) {}

    void wake() {
        set_ = true;
        timer_.cancel();
    }

    http::awaitable<void> wait() {
        while (!set_) {
            boost::system::error_code ignored;
            co_await timer_.async_wait(http::internal::into(ignored));
        }
        set_ = false;
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

    http::awaitable<T> next() {
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

} // namespace pimentoferry::entry

#endif
