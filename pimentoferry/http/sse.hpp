/// Incremental parser and writer of server-sent events.
///
///     http::sse_parser parser;
///     for (const auto& event : parser.feed(bytes)) { ... event.data_ ... }
#ifndef PIMENTOFERRY_HTTP_SSE_HPP
#define PIMENTOFERRY_HTTP_SSE_HPP

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace pimentoferry::http {

struct sse_event {
    std::string type_; ///< Field `event`; empty if the event has none.
    std::string data_; ///< Fields `data`, joined by newlines.
};

class sse_parser {
public:
    /// Maximum size of an event. Parsing stops beyond it, so that an upstream
    /// that never ends a line cannot exhaust the memory.
    static constexpr std::size_t event_limit_bytes = 1 << 20;

    /// Parses the next bytes of the stream and returns the events that they
    /// complete.
    std::vector<sse_event> feed(std::string_view bytes);

    /// Whether an event exceeded the limit. If so, the rest of the stream
    /// cannot be parsed.
    bool overflowed() const { return overflowed_; }

private:
    void parse_line(std::string_view line, std::vector<sse_event>& events);

    std::string line_;
    sse_event event_;
    bool has_data_{false};
    bool overflowed_{false};
};

/// Formats an event for the stream. `data` must not contain a newline.
std::string write_sse(std::string_view data, std::string_view type = {});

} // namespace pimentoferry::http

#endif
