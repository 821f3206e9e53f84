/// Cancels asynchronous work from code that does not own it.
///
///     auto cancel = std::make_shared<http::cancellation>();
///     options.cancel_ = cancel;
///     // later, on the same thread:
///     cancel->request();
///
/// All functions must be called on the thread of the io_context that runs the
/// work. This class exists because Asio in Boost 1.74 cannot cancel a single
/// operation.
#ifndef PIMENTOFERRY_HTTP_CANCELLATION_HPP
#define PIMENTOFERRY_HTTP_CANCELLATION_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace pimentoferry::http {

class cancellation {
public:
    /// Calls every subscriber once. Functions that subscribe later are called
    /// immediately.
    void request();

    bool requested() const { return requested_; }

    using subscription_id = std::uint64_t;
    /// Registers `notify`. Returns 0 if it was called immediately.
    subscription_id subscribe(std::function<void()> notify);
    void unsubscribe(subscription_id id);

private:
    bool requested_{false};
    subscription_id next_id_{1};
    std::map<subscription_id, std::function<void()>> subscribers_;
};

/// Unsubscribes when it is destroyed. The source may be null.
class subscription {
public:
    subscription() = default;
    subscription(std::shared_ptr<cancellation> source,
                 std::function<void()> notify);
    subscription(subscription&& other) noexcept;
    subscription& operator=(subscription&& other) noexcept;
    subscription(const subscription&) = delete;
    subscription& operator=(const subscription&) = delete;
    ~subscription();

private:
    void release();

    std::shared_ptr<cancellation> source_;
    cancellation::subscription_id id_{0};
};

} // namespace pimentoferry::http

#endif
