#include "pimentoferry/http/head_writer.hpp"

#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <string_view>

namespace pimentoferry::http {

namespace {

// Final statuses (RFC 9110, section 15).
constexpr int lowest_final_status = 200;
constexpr int highest_status = 599;

bool is_framing_field(std::string_view name) {
    return same_name(name, "Content-Length") ||
           same_name(name, "Transfer-Encoding") ||
           same_name(name, "Connection");
}

void append_field(std::string& head,
                  std::string_view name,
                  std::string_view value) {
    head.append(name).append(": ").append(value).append("\r\n");
}

} // namespace

std::optional<std::string> write_request_head(const base::endpoint& address,
                                              const request& call) {
    if (!is_writable(call)) {
        return std::nullopt;
    }
    std::string head = call.method_ + " " + call.target_ + " HTTP/1.1\r\n";
    if (find_field(call.fields_, "Host").empty()) {
        append_field(head, "Host", base::to_string(address));
    }
    std::ranges::for_each(call.fields_, [&head](const field& each) {
        append_field(head, each.name_, each.value_);
    });
    if (!call.body_.empty() || call.method_ != "GET") {
        append_field(head, "Content-Length", std::to_string(call.body_.size()));
    }
    return head + "\r\n";
}

std::optional<std::string>
write_response_head(const response_head& head,
                    const field_list& extra_fields,
                    const response_framing& framing) {
    if (head.status_ < lowest_final_status || head.status_ > highest_status ||
        !are_writable(head.fields_) || !are_writable(extra_fields)) {
        return std::nullopt;
    }
    std::string text{framing.chunked_ ? "HTTP/1.1 " : "HTTP/1.0 "};
    const auto reason = boost::beast::http::obsolete_reason(
        boost::beast::http::int_to_status(static_cast<unsigned>(head.status_)));
    text += std::to_string(head.status_) + " " + std::string{reason} + "\r\n";
    for (const auto* list : {&head.fields_, &extra_fields}) {
        for (const auto& each : *list) {
            if (!is_framing_field(each.name_)) {
                append_field(text, each.name_, each.value_);
            }
        }
    }
    append_field(text, "Connection",
                 framing.keep_open_ ? "keep-alive" : "close");
    if (framing.length_) {
        append_field(text, "Content-Length", std::to_string(*framing.length_));
    } else if (framing.chunked_) {
        append_field(text, "Transfer-Encoding", "chunked");
    }
    return text + "\r\n";
}

} // namespace pimentoferry::http
