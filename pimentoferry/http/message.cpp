#include "pimentoferry/http/message.hpp"

#include <algorithm>
#include <cctype>

namespace pimentoferry::http {

namespace {

bool equal_ignoring_case(char first, char second) {
    return std::tolower(static_cast<unsigned char>(first)) ==
           std::tolower(static_cast<unsigned char>(second));
}

bool is_token(std::string_view text) {
    constexpr std::string_view separators = "\"(),/:;<=>?@[\\]{}";
    return !text.empty() && std::ranges::all_of(text, [&](char c) {
        return c > ' ' && c <= '~' &&
               separators.find(c) == std::string_view::npos;
    });
}

} // namespace

bool same_name(std::string_view first, std::string_view second) {
    return std::ranges::equal(first, second, equal_ignoring_case);
}

std::string_view find_field(const field_list& fields, std::string_view name) {
    const auto it = std::ranges::find_if(
        fields, [name](const field& f) { return same_name(f.name_, name); });
    return it == fields.end() ? std::string_view{} : it->value_;
}

bool is_field_value(std::string_view value) {
    const auto is_blank = [](char c) { return c == ' ' || c == '\t'; };
    const bool padded =
        !value.empty() && (is_blank(value.front()) || is_blank(value.back()));
    return !padded && std::ranges::all_of(value, [&is_blank](char c) {
        constexpr unsigned char first_obs_text = 0x80;
        return is_blank(c) || (c > ' ' && c <= '~') ||
               static_cast<unsigned char>(c) >= first_obs_text;
    });
}

bool are_writable(const field_list& fields) {
    return std::ranges::all_of(fields, [](const field& each) {
        return is_token(each.name_) && is_field_value(each.value_);
    });
}

bool is_writable(const request& call) {
    const bool has_target =
        !call.target_.empty() && std::ranges::all_of(call.target_, [](char c) {
            constexpr char delete_character = 0x7f;
            return static_cast<unsigned char>(c) > ' ' && c != delete_character;
        });
    return is_token(call.method_) && has_target && are_writable(call.fields_);
}

std::string_view path_of(std::string_view target) {
    return target.substr(0, target.find('?'));
}

response json_response(int status, std::string body) {
    response answer;
    answer.status_ = status;
    answer.fields_.push_back({"Content-Type", "application/json"});
    answer.body_ = std::move(body);
    return answer;
}

request json_request(std::string target, std::string body) {
    request call;
    call.method_ = "POST";
    call.target_ = std::move(target);
    call.fields_.push_back({"Content-Type", "application/json"});
    call.body_ = std::move(body);
    return call;
}

} // namespace pimentoferry::http
