/// Splits a byte stream of server-sent events into complete events, which keep
/// every byte.
///
/// An upstream may stop in the middle of an event. Only complete events are
/// relayed, so that another upstream can continue after the last one.
///
///     splitter.append(chunk);
///     caller.write(splitter.take_complete());
#ifndef PIMENTOFERRY_GATEWAY_EVENT_SPLITTER_HPP
#define PIMENTOFERRY_GATEWAY_EVENT_SPLITTER_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pimentoferry::gateway {

/// Maximum size of an event. An event holds some tens of tokens.
inline constexpr std::size_t max_event_bytes = std::size_t{256} << 10;

class event_splitter {
public:
    void append(std::string_view bytes) { buffer_.append(bytes); }

    /// The events that became complete since the last call.
    std::string take_complete();

    /// Bytes of an event that is not complete yet.
    std::size_t incomplete_bytes() const { return buffer_.size(); }

    /// Whether the incomplete event is larger than any event of an engine. The
    /// stream is then of no use, and reading on would exhaust the memory.
    bool overflowed() const { return buffer_.size() > max_event_bytes; }

    /// The number in the `id` field of the last complete event taken; none
    /// before the first.
    std::optional<std::uint64_t> last_id() const { return last_id_; }

    /// Number of complete events taken.
    std::uint64_t events() const { return events_; }

private:
    void record_event(std::string_view event);

    std::string buffer_;
    std::size_t searched_{0};
    std::optional<std::uint64_t> last_id_;
    std::uint64_t events_{0};
};

} // namespace pimentoferry::gateway

#endif
