/// HTTP requests and responses as values, without types of the HTTP library.
///
///     http::request call;
///     call.method_ = "POST";
///     call.target_ = "/v1/cancel";
///     call.body_ = R"({"attempts":[]})";
#ifndef PIMENTOFERRY_HTTP_MESSAGE_HPP
#define PIMENTOFERRY_HTTP_MESSAGE_HPP

#include "pimentoferry/http/counted_bytes.hpp"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace pimentoferry::http {

struct field {
    std::string name_;
    std::string value_;
};

using field_list = std::vector<field>;

struct request {
    std::string method_{"GET"};
    std::string target_{"/"}; ///< Path and query as sent.
    field_list fields_;
    std::string body_;
};

struct response_head {
    int status_{200};
    field_list fields_;
};

struct response {
    int status_{200};
    field_list fields_;
    std::string body_;
    /// Counts the body against the memory for answers; unset if it is not
    /// counted.
    std::shared_ptr<counted_bytes> counted_{};
};

/// Returns the value of the first field with that name, ignoring case; empty if
/// there is none. The result refers to `fields`.
std::string_view find_field(const field_list& fields, std::string_view name);

/// Whether two field names are equal, ignoring case.
bool same_name(std::string_view first, std::string_view second);

/// Whether a field can have this value and arrive unchanged (RFC 9110, section
/// 5.5): no control characters but the tab, no space or tab at either end.
bool is_field_value(std::string_view value);

/// Whether the fields can be written: names are tokens, and all values pass
/// `is_field_value`.
bool are_writable(const field_list& fields);

/// Whether the request can be written so that its head ends where it should:
/// the method is a token, the target has no space, and the fields pass
/// `are_writable`.
bool is_writable(const request& call);

/// Returns the path of a target, without its query.
std::string_view path_of(std::string_view target);

/// Returns a response with a JSON body.
response json_response(int status, std::string body);

/// Returns a POST request with a JSON body.
request json_request(std::string target, std::string body);

} // namespace pimentoferry::http

#endif
