#include "pimentoferry/gateway/event_splitter.hpp"

#include <algorithm>
#include <charconv>

namespace pimentoferry::gateway {

namespace {

std::string_view without_carriage_return(std::string_view line) {
    return line.ends_with('\r') ? line.substr(0, line.size() - 1) : line;
}

/// End of the first event in `text` from `from` on: the position after its
/// empty line; none when the event is incomplete.
std::optional<std::size_t> event_end(std::string_view text, std::size_t from) {
    for (auto at = text.find('\n', from); at != std::string_view::npos;
         at = text.find('\n', at + 1)) {
        const auto rest = text.substr(at + 1);
        if (rest.starts_with('\n')) {
            return at + 2;
        }
        if (rest.starts_with("\r\n")) {
            return at + 3;
        }
    }
    return std::nullopt;
}

} // namespace

void event_splitter::record_event(std::string_view event) {
    ++events_;
    constexpr std::string_view name = "id:";
    while (!event.empty()) {
        const auto end = std::min(event.find('\n'), event.size());
        auto line = without_carriage_return(event.substr(0, end));
        event.remove_prefix(std::min(end + 1, event.size()));
        if (!line.starts_with(name)) {
            continue;
        }
        line.remove_prefix(name.size());
        line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
        std::uint64_t id = 0;
        const auto* const last = line.data() + line.size();
        if (std::from_chars(line.data(), last, id).ec == std::errc{}) {
            last_id_ = id;
        }
    }
}

std::string event_splitter::take_complete() {
    std::size_t complete_size = 0;
    // The end of an event may begin within the bytes that were searched before.
    constexpr std::size_t overlap = 3;
    std::size_t from = searched_ > overlap ? searched_ - overlap : 0;
    while (const auto end = event_end(buffer_, from)) {
        record_event(std::string_view{buffer_}.substr(complete_size,
                                                      *end - complete_size));
        complete_size = *end;
        from = *end;
    }
    std::string taken = buffer_.substr(0, complete_size);
    buffer_.erase(0, complete_size);
    searched_ = buffer_.size();
    return taken;
}

} // namespace pimentoferry::gateway
