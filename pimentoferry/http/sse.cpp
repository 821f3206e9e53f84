#include "pimentoferry/http/sse.hpp"

#include <utility>

namespace pimentoferry::http {

std::vector<sse_event> sse_parser::feed(std::string_view bytes) {
    std::vector<sse_event> events;
    while (!bytes.empty() && !overflowed_) {
        const auto end = bytes.find('\n');
        line_ += bytes.substr(0, end);
        overflowed_ = line_.size() + event_.data_.size() > event_limit_bytes;
        if (end == std::string_view::npos) {
            break;
        }
        bytes.remove_prefix(end + 1);
        if (!line_.empty() && line_.back() == '\r') {
            line_.pop_back();
        }
        const std::string line = std::exchange(line_, {});
        parse_line(line, events);
    }
    return events;
}

void sse_parser::parse_line(std::string_view line,
                            std::vector<sse_event>& events) {
    if (line.empty()) {
        if (has_data_) {
            events.push_back(std::exchange(event_, {}));
        }
        event_ = {};
        has_data_ = false;
        return;
    }
    const auto colon = line.find(':');
    const auto name = line.substr(0, colon);
    auto value = colon == std::string_view::npos ? std::string_view{}
                                                 : line.substr(colon + 1);
    if (!value.empty() && value.front() == ' ') {
        value.remove_prefix(1);
    }
    if (name == "data") {
        event_.data_ += has_data_ ? "\n" : "";
        event_.data_ += value;
        has_data_ = true;
    } else if (name == "event") {
        event_.type_ = value;
    }
}

std::string write_sse(std::string_view data, std::string_view type) {
    std::string text;
    if (!type.empty()) {
        text.append("event: ").append(type).append("\n");
    }
    text.append("data: ").append(data).append("\n\n");
    return text;
}

} // namespace pimentoferry::http
