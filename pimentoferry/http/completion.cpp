#include "pimentoferry/http/completion.hpp"

#include "pimentoferry/http/json.hpp"

namespace pimentoferry::http {

namespace {

base::refusal malformed(std::string detail) {
    return {base::refusal_code::malformed_request, base::ran_state::not_run,
            std::nullopt, std::move(detail)};
}

using text_or_refusal = std::variant<std::string, base::refusal>;

text_or_refusal plain_prompt(const Json::Value& body) {
    if (!body["prompt"].isString()) {
        return malformed("prompt must be a string");
    }
    return body["prompt"].asString();
}

text_or_refusal chat_prompt(const Json::Value& body) {
    const Json::Value& messages = body["messages"];
    if (!messages.isArray() || messages.empty()) {
        return malformed("messages must be an array that is not empty");
    }
    std::string prompt;
    for (const Json::Value& message : messages) {
        if (!message.isObject() || !message["role"].isString() ||
            !message["content"].isString()) {
            return malformed("each message needs the strings role and content");
        }
        prompt += prompt.empty() ? "" : "\n";
        prompt += message["role"].asString() + ": ";
        prompt += message["content"].asString();
    }
    return prompt;
}

std::optional<base::refusal> check_options(const Json::Value& body) {
    if (!body["model"].isString() || body["model"].asString().empty()) {
        return malformed("model must be the name of a deployment");
    }
    const Json::Value& limit = body["max_tokens"];
    if (!limit.isNull() && (!limit.isUInt() || limit.asUInt() == 0)) {
        return malformed("max_tokens must be a positive integer");
    }
    if (!body["stream"].isNull() && !body["stream"].isBool()) {
        return malformed("stream must be true or false");
    }
    return std::nullopt;
}

Json::Value response_object(const completion_context& context, bool chunk) {
    Json::Value object{Json::objectValue};
    object["id"] = context.request_id_;
    object["model"] = context.model_;
    if (context.kind_ == completion_kind::plain) {
        object["object"] = "text_completion";
    } else {
        object["object"] = chunk ? "chat.completion.chunk" : "chat.completion";
    }
    return object;
}

Json::Value make_choice(const completion_context& context,
                        std::string_view text,
                        bool chunk) {
    Json::Value choice{Json::objectValue};
    choice["index"] = 0;
    const std::string content{text};
    if (context.kind_ == completion_kind::plain) {
        choice["text"] = content;
    } else {
        Json::Value& message = choice[chunk ? "delta" : "message"];
        message["role"] = "assistant";
        message["content"] = content;
    }
    return choice;
}

} // namespace

std::variant<completion_request, base::refusal>
parse_completion(completion_kind kind, std::string_view body) {
    const auto parsed = parse_object(body);
    if (!parsed) {
        return malformed("the body is not a JSON object");
    }
    if (auto refusal = check_options(*parsed)) {
        return *std::move(refusal);
    }
    auto prompt = kind == completion_kind::plain ? plain_prompt(*parsed)
                                                 : chat_prompt(*parsed);
    if (auto* refusal = std::get_if<base::refusal>(&prompt)) {
        return std::move(*refusal);
    }
    completion_request request;
    request.kind_ = kind;
    request.deployment_.value_ = (*parsed)["model"].asString();
    request.prompt_ = std::get<std::string>(std::move(prompt));
    if (const Json::Value& limit = (*parsed)["max_tokens"]; limit.isUInt()) {
        request.max_tokens_ = limit.asUInt();
    }
    request.stream_ = (*parsed)["stream"].asBool();
    return request;
}

std::string completion_chunk(const completion_context& context,
                             std::string_view text) {
    Json::Value object = response_object(context, true);
    object["choices"].append(make_choice(context, text, true));
    return write_json(object);
}

std::string completion_answer(const completion_context& context,
                              std::string_view text,
                              completion_usage usage) {
    Json::Value object = response_object(context, false);
    object["choices"].append(make_choice(context, text, false));
    object["usage"]["prompt_tokens"] = usage.prompt_tokens_;
    object["usage"]["completion_tokens"] = usage.output_tokens_;
    object["usage"]["total_tokens"] =
        usage.prompt_tokens_ + usage.output_tokens_;
    return write_json(object);
}

} // namespace pimentoferry::http
