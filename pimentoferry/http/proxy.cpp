#include "pimentoferry/http/proxy.hpp"

#include <algorithm>
#include <array>
#include <string_view>

namespace pimentoferry::http {

namespace {

// Fields that are not forwarded: those specific to one connection (RFC 9110,
// section 7.6.1), those that the client writes itself, and `Expect`, to which
// the server has already responded.
constexpr std::array<std::string_view, 11> hop_by_hop_fields{
    "Connection",
    "Keep-Alive",
    "Proxy-Connection",
    "Proxy-Authenticate",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
    "Content-Length",
    "Host",
    "Expect"};

bool list_contains(std::string_view name, std::string_view list) {
    while (!list.empty()) {
        const auto end = std::min(list.find(','), list.size());
        auto element = list.substr(0, end);
        list.remove_prefix(std::min(end + 1, list.size()));
        element.remove_prefix(
            std::min(element.find_first_not_of(" \t"), element.size()));
        element = element.substr(0, element.find_last_not_of(" \t") + 1);
        if (same_name(name, element)) {
            return true;
        }
    }
    return false;
}

field_list end_to_end_fields(const field_list& fields) {
    const auto connection = find_field(fields, "Connection");
    field_list kept;
    std::ranges::copy_if(
        fields, std::back_inserter(kept), [connection](const field& f) {
            return std::ranges::none_of(
                       hop_by_hop_fields,
                       [&f](auto name) { return same_name(f.name_, name); }) &&
                   !list_contains(f.name_, connection);
        });
    return kept;
}

} // namespace

request forwarded_request(const request& call, std::string target) {
    request forwarded;
    forwarded.method_ = call.method_;
    forwarded.target_ = std::move(target);
    forwarded.fields_ = end_to_end_fields(call.fields_);
    std::erase_if(forwarded.fields_, [](const field& f) {
        return same_name(f.name_, "Authorization");
    });
    forwarded.body_ = call.body_;
    return forwarded;
}

response forwarded_response(response answer) {
    answer.fields_ = end_to_end_fields(answer.fields_);
    return answer;
}

} // namespace pimentoferry::http
