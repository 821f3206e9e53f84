/// Server-sent events: parsing of a stream and writing of single events.
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
    std::string type_; ///< Empty for plain `data` events.
    std::string data_; ///< Several data lines are joined by newlines.
};

class sse_parser {
public:
    /// An event over this size ends the stream, so that an upstream that never
    /// ends a line cannot fill the memory.
    static constexpr std::size_t event_limit_bytes = 1 << 20;

    /// Takes the next bytes and returns the events that they complete.
    std::vector<sse_event> feed(std::string_view bytes);

    /// The event in progress is over the limit; the stream is unusable.
    bool overflowed() const { return overflowed_; }

private:
    void take_line(std::string_view line, std::vector<sse_event>& events);

    std::string line_;
    sse_event event_;
    bool has_data_{false};
    bool overflowed_{false};
};

/// The wire form of an event. `data` must not hold a newline.
std::string write_sse(std::string_view data, std::string_view type = {});

} // namespace pimentoferry::http

#endif
