/// HTTP client for the platform's key-value store.
///
///     store::http_store client{io, {settings.store_address_}};
///     client.submit({token, store::get{"tickets/head"}},
///                   [](const store::result& result) { ... });
///
/// Every operation ends in exactly one call of its handler, at the latest
/// after the timeout. An operation is never repeated here: only its sender
/// knows whether a second write would be harmless. All calls and handlers run
/// on the thread of the io_context.
#ifndef PIMENTOFERRY_STORE_HTTP_STORE_HPP
#define PIMENTOFERRY_STORE_HTTP_STORE_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/store/http_codec.hpp"
#include "pimentoferry/store/operations.hpp"

#include <cstdint>
#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace pimentoferry::store {

struct http_store_options {
    base::endpoint address_;
    /// After it the outcome is `unavailable`; a watch gets its waiting time
    /// in addition.
    base::milliseconds timeout_{2000};
    /// Operations at a time; more wait in a queue.
    std::size_t max_connections_{16};
    /// Beyond it an operation is `unavailable` at once, without being sent.
    std::size_t max_queued_{1024};
    store_codec codec_{product_codec()};
};

/// Counters since the start.
struct http_store_stats {
    std::uint64_t reads_{0};
    std::uint64_t writes_{0};
    std::uint64_t unavailable_{0};
    std::uint64_t conflicts_{0};
};

namespace internal {
struct client_state;
}

class http_store {
public:
    using result_handler = std::function<void(const result&)>;

    http_store(boost::asio::io_context& io, const http_store_options& options);
    ~http_store();
    http_store(const http_store&) = delete;
    http_store& operator=(const http_store&) = delete;

    void submit(operation op, result_handler handler);

    http_store_stats stats() const;

private:
    std::shared_ptr<internal::client_state> state_;
};

} // namespace pimentoferry::store

#endif
