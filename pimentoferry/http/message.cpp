#include "pimentoferry/http/message.hpp"

#include <algorithm>
#include <cctype>

namespace pimentoferry::http {

namespace {

bool equal_ignoring_case(char first, char second) {
    return std::tolower(static_cast<unsigned char>(first)) ==
           std::tolower(static_cast<unsigned char>(second));
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
