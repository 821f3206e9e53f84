#include "pimentoferry/entry/engine_api.hpp"

#include "pimentoferry/http/json.hpp"

#include <array>

namespace pimentoferry::entry {

using http::parse_object;
using http::write_json;

namespace {

// Engines may evict a prefill result in under a second; a longer hold would
// only occupy memory that no entry uses any more.
constexpr std::uint32_t prefill_hold_ms = 1000;

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_gone = 410;
constexpr int status_full = 429;

} // namespace

http::request prefill_call(base::attempt_id attempt,
                           const engine_request& request) {
    Json::Value body{Json::objectValue};
    body["attempt"] = base::to_string(attempt);
    body["model"] = request.target_.model_;
    body["adapter"] = request.target_.adapter_;
    body["version"] = request.target_.version_;
    body["prompt"] = request.prompt_;
    body["priority"] = request.priority_;
    body["hold_ms"] = prefill_hold_ms;
    return http::json_request("/v1/prefill", write_json(body));
}

http::request import_call(const requests::start_import& action,
                          const base::endpoint& source) {
    Json::Value body{Json::objectValue};
    body["attempt"] = base::to_string(action.attempt_);
    body["source"] = base::to_string(source);
    body["handle"] = action.handle_;
    body["prompt_tokens"] = action.prompt_tokens_;
    body["max_tokens"] = action.max_output_tokens_;
    body["deadline_ms"] = static_cast<Json::Int64>(action.deadline_.count());
    return http::json_request("/v1/import", write_json(body));
}

http::request decode_call(const requests::start_decode& action,
                          const engine_request& request) {
    Json::Value body{Json::objectValue};
    body["attempt"] = base::to_string(action.attempt_);
    body["position"] = action.position_;
    body["max_tokens"] = request.max_tokens_;
    if (action.with_prompt_) {
        Json::Value& prefill = body["inline"];
        prefill["model"] = request.target_.model_;
        prefill["adapter"] = request.target_.adapter_;
        prefill["version"] = request.target_.version_;
        prefill["prompt"] = request.prompt_;
        prefill["priority"] = request.priority_;
    }
    return http::json_request("/v1/decode", write_json(body));
}

http::request cancel_call(const std::vector<base::attempt_id>& attempts) {
    Json::Value body{Json::objectValue};
    body["attempts"] = Json::Value{Json::arrayValue};
    for (const auto attempt : attempts) {
        body["attempts"].append(base::to_string(attempt));
    }
    return http::json_request("/v1/cancel", write_json(body));
}

std::optional<prefill_answer> parse_prefill_answer(std::string_view body) {
    const auto parsed = parse_object(body);
    if (!parsed || !(*parsed)["handle"].isString()) {
        return std::nullopt;
    }
    prefill_answer answer;
    answer.handle_ = (*parsed)["handle"].asString();
    answer.prompt_tokens_ = http::uint_member(*parsed, "prompt_tokens", 0);
    answer.cached_tokens_ = http::uint_member(*parsed, "cached_tokens", 0);
    return answer;
}

std::optional<token_event> parse_token(std::string_view data) {
    const auto parsed = parse_object(data);
    if (!parsed || !(*parsed)["position"].isUInt() ||
        !(*parsed)["text"].isString()) {
        return std::nullopt;
    }
    return token_event{(*parsed)["position"].asUInt(),
                       (*parsed)["text"].asString()};
}

requests::engine_failure failure_of(const http::call_failure& failure) {
    if (!failure.sent_) {
        return requests::engine_failure::not_sent;
    }
    return failure.kind_ == http::failure_kind::timed_out
               ? requests::engine_failure::timed_out
               : requests::engine_failure::broken;
}

std::optional<requests::engine_failure> failure_of_status(int status) {
    switch (status) {
    case status_ok:
        return std::nullopt;
    case status_full:
        return requests::engine_failure::full;
    case status_not_found:
    case status_gone:
        return requests::engine_failure::gone;
    default:
        return requests::engine_failure::error;
    }
}

std::string_view to_string(requests::engine_failure failure) {
    constexpr std::array<std::string_view, 6> texts{
        "not_sent", "full", "gone", "error", "broken", "timed_out"};
    return texts.at(static_cast<std::size_t>(failure));
}

} // namespace pimentoferry::entry
