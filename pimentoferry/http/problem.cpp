#include "pimentoferry/http/problem.hpp"

#include "pimentoferry/http/json.hpp"
#include "pimentoferry/http/sse.hpp"

namespace pimentoferry::http {

namespace {

std::string title_of(const base::refusal& refusal) {
    return refusal.detail_.empty() ? std::string{to_string(refusal.code_)}
                                   : refusal.detail_;
}

} // namespace

std::string problem_json(const base::refusal& refusal,
                         const problem_context& context) {
    const std::string code{to_string(refusal.code_)};
    Json::Value body{Json::objectValue};
    body["type"] = "urn:pimentoferry:refusal:" + code;
    body["title"] = title_of(refusal);
    body["status"] = base::http_status(refusal.code_);
    body["code"] = code;
    body["ran"] = std::string{to_string(refusal.ran_)};
    if (refusal.retry_after_) {
        body["retry_after_ms"] =
            static_cast<Json::Int64>(refusal.retry_after_->count());
    }
    body["request_id"] = context.request_id_;
    for (const auto& address : context.entries_) {
        body["entries"].append(base::to_string(address));
    }
    return write_json(body);
}

response problem_response(const base::refusal& refusal,
                          const problem_context& context) {
    response answer;
    answer.status_ = base::http_status(refusal.code_);
    answer.fields_.push_back({"Content-Type", "application/problem+json"});
    if (refusal.retry_after_) {
        const auto seconds =
            std::chrono::ceil<std::chrono::seconds>(*refusal.retry_after_);
        answer.fields_.push_back(
            {"Retry-After", std::to_string(seconds.count())});
    }
    answer.body_ = problem_json(refusal, context);
    return answer;
}

std::string problem_event(const base::refusal& refusal,
                          const problem_context& context) {
    return write_sse(problem_json(refusal, context), "error");
}

} // namespace pimentoferry::http
