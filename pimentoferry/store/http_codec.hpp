/// Translates store operations to HTTP requests and responses to outcomes.
#ifndef PIMENTOFERRY_STORE_HTTP_CODEC_HPP
#define PIMENTOFERRY_STORE_HTTP_CODEC_HPP

#include "pimentoferry/store/operations.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace pimentoferry::store::internal {

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

/// Whether the operation counts as a write at the store.
bool is_write(const request& operation);

http_call to_http(const request& operation);

/// An answer that does not fit the operation is `unavailable`: nothing can be
/// concluded from it.
outcome from_http(const request& operation, const http_answer& answer);

} // namespace pimentoferry::store::internal

#endif
