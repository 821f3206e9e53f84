/// Encrypted and authenticated frames on a peer link.
///
/// A link starts with a greeting from each side, which carries a nonce. A frame
/// consists of the length of the rest (4 bytes), the version (1), the sequence
/// number (8) and the payload, encrypted with ChaCha20-Poly1305 (RFC 8439)
/// whose tag (16) follows it; numbers are big-endian. The key of a direction of
/// a link is derived from the fleet key, both nonces and the direction, so that
/// a frame from a process without the fleet key, a frame of another link and a
/// replayed frame are refused. Payloads are encrypted because configurations
/// contain the keys of client accounts.
///
///     wire::frame_writer writer{key, nonces, wire::direction::to_acceptor};
///     socket.write(writer.make_frame(payload));
///
///     wire::frame_reader reader{key, nonces, wire::direction::to_acceptor};
///     reader.append(received);
///     while (auto next = reader.next()) { ... }   // payload or frame_error
#ifndef PIMENTOFERRY_WIRE_FRAME_HPP
#define PIMENTOFERRY_WIRE_FRAME_HPP

#include "pimentoferry/wire/fleet_key.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace pimentoferry::wire {

inline constexpr std::uint8_t frame_version = 2;
inline constexpr std::size_t tag_bytes = 16;
inline constexpr std::size_t nonce_bytes = 16;
/// Maximum size of a frame without its length field.
inline constexpr std::uint32_t max_frame_bytes = 1U << 20U;
/// Length, version, sequence number and tag.
inline constexpr std::size_t frame_overhead_bytes = 4 + 1 + 8 + tag_bytes;
/// Maximum size of the payload of a frame.
inline constexpr std::size_t max_payload_bytes =
    max_frame_bytes - (frame_overhead_bytes - 4);

using nonce = std::array<std::uint8_t, nonce_bytes>;

/// Returns a nonce from the system's cryptographic random source.
nonce make_nonce();

/// The nonces from the greetings of both sides.
struct link_nonces {
    nonce initiator_{};
    nonce acceptor_{};
};

enum class direction : std::uint8_t { to_acceptor, to_initiator };

/// Why a frame was refused; the link must then be closed.
enum class frame_error : std::uint8_t {
    too_long,
    too_short,
    wrong_version,
    wrong_tag,
    wrong_sequence,
};

/// A text for log lines.
std::string_view to_string(frame_error error);

/// The greeting with which each side opens a link.
inline constexpr std::string_view greeting_magic = "PFL2";
inline constexpr std::size_t greeting_bytes = 4 + nonce_bytes;
std::string make_greeting(const nonce& own);
/// The nonce of a greeting; none when the bytes are not a greeting of this
/// version.
std::optional<nonce> parse_greeting(std::string_view bytes);

/// The key of one direction of one link.
fleet_key derive_link_key(const fleet_key& key,
                          const link_nonces& nonces,
                          direction frame_direction);

/// Writes the frames of one direction of one link, in order.
class frame_writer {
public:
    frame_writer(const fleet_key& key,
                 const link_nonces& nonces,
                 direction frame_direction)
        : link_key_{derive_link_key(key, nonces, frame_direction)} {}

    /// Returns the frame of the next payload, which must not exceed
    /// `max_payload_bytes`.
    std::string make_frame(std::string_view payload);

private:
    fleet_key link_key_;
    std::uint64_t sequence_{0};
};

/// Parses and verifies the frames of one direction of one link. After an error
/// the link must be closed, because the start of the next frame is unknown.
class frame_reader {
public:
    frame_reader(const fleet_key& key,
                 const link_nonces& nonces,
                 direction frame_direction)
        : link_key_{derive_link_key(key, nonces, frame_direction)} {}

    void append(std::string_view bytes) { buffer_.append(bytes); }

    /// The next payload or an error; none when more bytes are needed.
    std::optional<std::variant<std::string, frame_error>> next();

private:
    fleet_key link_key_;
    std::uint64_t sequence_{0};
    std::string buffer_;
};

} // namespace pimentoferry::wire

#endif
