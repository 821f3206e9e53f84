/// Translates store operations to HTTP requests and responses to outcomes.
///
/// `product_codec` speaks the protocol of section 9.4 of docs/design.md. A
/// store with another protocol is reached through a codec of its own.
#ifndef PIMENTOFERRY_STORE_HTTP_CODEC_HPP
#define PIMENTOFERRY_STORE_HTTP_CODEC_HPP

#include "pimentoferry/store/operations.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace pimentoferry::store {

struct http_call {
    std::string method_;
    std::string target_;
    std::string body_;
};

struct http_answer {
    int status_{0};
    std::string revision_; ///< Header `X-Revision`; empty when absent.
    std::string body_;
};

struct store_codec {
    std::function<http_call(const request&)> encode_;
    /// An answer that does not fit the operation is `unavailable`: nothing can
    /// be concluded from it.
    std::function<outcome(const request&, const http_answer&)> decode_;
};

store_codec product_codec();

/// `text` with every byte escaped that may not stand in a query or a path
/// segment; slashes stay.
std::string percent_encode(std::string_view text);

namespace internal {

/// Whether the operation counts as a write at the store.
bool is_write(const request& operation);

http_call to_http(const request& operation);

/// An answer that does not fit the operation is `unavailable`: nothing can be
/// concluded from it.
outcome from_http(const request& operation, const http_answer& answer);

} // namespace internal

} // namespace pimentoferry::store

#endif
