/// HTTP client for the platform's key-value store.
///
///     store::http_store client{io, {settings.store_address_}};
///     client.submit({token, store::get{"tickets/head"}},
///                   [](const store::result& result) { ... });
///
/// Each operation completes with exactly one call of its handler, within the
/// timeout, unless the client is destroyed first. The client never retries a
/// write, because only its sender knows whether a second one is harmless; a
/// read on a reused connection that fails is retried once on a new one. All
/// functions must be called on the thread of the io_context, which also calls
/// the handlers.
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
    /// Time after which the outcome is `unavailable`. For a watch, its waiting
    /// time is added.
    base::milliseconds timeout_{2000};
    /// Maximum number of concurrent operations; further ones are queued.
    std::size_t max_connections_{16};
    /// Maximum length of the queue; beyond it an operation completes as
    /// `unavailable` at once, without being sent.
    std::size_t max_queued_{1024};
    store_codec codec_{product_codec()};
};

/// Counts of operations since the client was created.
struct http_store_stats {
    std::uint64_t reads_{0};
    std::uint64_t writes_{0};
    std::uint64_t unavailable_{0};
    std::uint64_t conflicts_{0};
};

namespace internal {
struct http_store_state;
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
    std::shared_ptr<internal::http_store_state> state_;
};

} // namespace pimentoferry::store

#endif
