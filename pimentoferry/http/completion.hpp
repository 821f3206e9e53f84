/// Parsing and formatting of the JSON bodies of `/v1/completions` and
/// `/v1/chat/completions`.
#ifndef PIMENTOFERRY_HTTP_COMPLETION_HPP
#define PIMENTOFERRY_HTTP_COMPLETION_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/refusal.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace pimentoferry::http {

enum class completion_kind : std::uint8_t { plain, chat };

struct completion_request {
    completion_kind kind_{completion_kind::plain};
    base::deployment_name deployment_; ///< Member `model` of the request.
    /// Plain text for the engine. Chat messages are formatted as
    /// `role: content` and joined by newlines.
    std::string prompt_;
    std::optional<std::uint32_t> max_tokens_;
    bool stream_{false};
};

/// Parses a request body. An invalid body results in a refusal with
/// `malformed_request`, `not_run` and the reason.
std::variant<completion_request, base::refusal>
parse_completion(completion_kind kind, std::string_view body);

/// Members that all response objects of one request share.
struct completion_context {
    completion_kind kind_{completion_kind::plain};
    std::string request_id_;
    std::string model_;
};

struct completion_usage {
    std::uint32_t prompt_tokens_{0};
    std::uint32_t output_tokens_{0};
};

/// Returns the JSON of one streamed token.
std::string completion_chunk(const completion_context& context,
                             std::string_view text);

/// Returns the JSON of a complete response.
std::string completion_answer(const completion_context& context,
                              std::string_view text,
                              completion_usage usage);

} // namespace pimentoferry::http

#endif
