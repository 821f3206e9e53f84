/// Encodes store operations as HTTP requests and decodes HTTP responses to
/// outcomes.
///
/// `product_codec` implements the protocol of section 9.4 of docs/design.md. A
/// store with another protocol needs its own `store_codec`.
#ifndef PIMENTOFERRY_STORE_HTTP_CODEC_HPP
#define PIMENTOFERRY_STORE_HTTP_CODEC_HPP

#include "pimentoferry/store/operations.hpp"

#include <cstdint>
#include <functional>
#include <optional>
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
    std::optional<era> era_{}; ///< Unset if absent or not a number.
};

struct store_codec {
    std::function<http_call(const request&)> encode_;
    /// A response that does not match the operation decodes to `unavailable`,
    /// because it does not show whether the operation took effect.
    std::function<outcome(const request&, const http_answer&)> decode_;
    /// Header with the era of the store, a decimal number. Empty for a store
    /// that never loses what it has acknowledged.
    std::string era_field_{};
};

store_codec product_codec();

/// Returns `text` with each byte percent-encoded that is reserved in a query
/// or a path segment, except slashes.
std::string percent_encode(std::string_view text);

namespace internal {

/// Unset if the text is not a decimal number above 0.
std::optional<era> parse_era(std::string_view text);

/// Whether the operation may change the store's data or leases.
bool is_write(const request& operation);

/// Encodes an operation in the protocol of `product_codec`.
http_call to_http(const request& operation);

/// Decodes a response of the protocol of `product_codec`; see
/// `store_codec::decode_`.
outcome from_http(const request& operation, const http_answer& response);

} // namespace internal

} // namespace pimentoferry::store

#endif
