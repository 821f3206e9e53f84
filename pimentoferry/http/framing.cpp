#include "pimentoferry/http/framing.hpp"

#include <algorithm>
#include <vector>

namespace pimentoferry::http {

namespace {

constexpr unsigned http_1_1 = 11;

std::string_view without_blanks(std::string_view text) {
    constexpr std::string_view blanks = " \t";
    const auto first = text.find_first_not_of(blanks);
    return first == std::string_view::npos
               ? std::string_view{}
               : text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

bool is_number(std::string_view text) {
    return !text.empty() && std::ranges::all_of(text, [](char digit) {
        return digit >= '0' && digit <= '9';
    });
}

} // namespace

std::optional<std::string_view> framing_fault(const field_list& fields,
                                              unsigned version) {
    std::vector<std::string_view> lengths;
    std::vector<std::string_view> codings;
    for (const auto& field : fields) {
        if (same_name(field.name_, "Content-Length")) {
            lengths.push_back(without_blanks(field.value_));
        } else if (same_name(field.name_, "Transfer-Encoding")) {
            codings.push_back(without_blanks(field.value_));
        }
    }
    if (codings.empty()) {
        const bool valid =
            lengths.empty() || (lengths.size() == 1 && is_number(lengths[0]));
        return valid ? std::nullopt
                     : std::optional<std::string_view>{
                           "the length of the body is not one number"};
    }
    if (version < http_1_1) {
        return "HTTP/1.0 has no transfer codings";
    }
    if (!lengths.empty()) {
        return "the body has a length beside a transfer coding";
    }
    if (codings.size() != 1 || !same_name(codings[0], "chunked")) {
        return "the transfer coding is not chunked alone";
    }
    return std::nullopt;
}

} // namespace pimentoferry::http
