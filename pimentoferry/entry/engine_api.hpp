/// Encodes calls to engines as HTTP requests and parses their answers.
#ifndef PIMENTOFERRY_ENTRY_ENGINE_API_HPP
#define PIMENTOFERRY_ENTRY_ENGINE_API_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/config/state.hpp"
#include "pimentoferry/http/client.hpp"
#include "pimentoferry/requests/events.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pimentoferry::entry {

/// The part of a request that is sent to engines.
struct engine_request {
    config::model_target target_;
    std::string prompt_;
    std::uint32_t max_tokens_{0};
    std::uint8_t priority_{0};
};

http::request prefill_call(base::attempt_id attempt,
                           const engine_request& request);
http::request import_call(const requests::start_import& action,
                          const base::endpoint& source);
http::request decode_call(const requests::start_decode& action,
                          const engine_request& request);
http::request cancel_call(const std::vector<base::attempt_id>& attempts);

struct prefill_answer {
    std::string handle_;
    std::uint32_t prompt_tokens_{0};
    std::uint32_t cached_tokens_{0};
};

/// Nothing when the body is not a valid prefill answer.
std::optional<prefill_answer> parse_prefill_answer(std::string_view body);

struct token_event {
    std::uint32_t position_{0};
    std::string text_;
};

/// Nothing when the data is not a valid token event.
std::optional<token_event> parse_token(std::string_view data);

/// The data of the event that completes a stream.
inline constexpr std::string_view stream_end_data = "[DONE]";

requests::engine_failure failure_of(const http::call_failure& failure);

/// Failure for an HTTP status; nothing for 200.
std::optional<requests::engine_failure> failure_of_status(int status);

/// Stable text for log lines.
std::string_view to_string(requests::engine_failure failure);

} // namespace pimentoferry::entry

#endif
