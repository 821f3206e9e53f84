/// Authenticated frames on a peer link. Payloads are not encrypted.
///
/// A link starts with a greeting from each side, which carries a nonce. A frame
/// consists of the length of the rest (4 bytes), the version (1), a keyed
/// BLAKE2b digest (32), the sequence number (8) and the payload; numbers are
/// big-endian. The digest covers both nonces, the direction, the version, the
/// sequence number and the payload, so that a frame from a process without the
/// fleet key, a frame of another link and a replayed frame are refused.
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

inline constexpr std::uint8_t frame_version = 1;
inline constexpr std::size_t digest_bytes = 32;
inline constexpr std::size_t nonce_bytes = 16;
/// Maximum size of a frame without its length field.
inline constexpr std::uint32_t max_frame_bytes = 1U << 20U;
/// Length, version, digest and sequence number.
inline constexpr std::size_t frame_overhead_bytes = 4 + 1 + digest_bytes + 8;
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
    wrong_digest,
    wrong_sequence,
};

/// A text for log lines.
std::string_view to_string(frame_error error);

/// The greeting with which each side opens a link.
inline constexpr std::string_view greeting_magic = "PFL1";
inline constexpr std::size_t greeting_bytes = 4 + nonce_bytes;
std::string make_greeting(const nonce& own);
/// The nonce of a greeting; none when the bytes are not a greeting of this
/// version.
std::optional<nonce> parse_greeting(std::string_view bytes);

/// Writes the frames of one direction of one link, in order.
class frame_writer {
public:
    frame_writer(const fleet_key& key,
                 const link_nonces& nonces,
                 direction frame_direction)
        : key_{key}, nonces_{nonces}, direction_{frame_direction} {}

    /// Returns the frame of the next payload, which must not exceed
    /// `max_payload_bytes`.
    std::string make_frame(std::string_view payload);

private:
    fleet_key key_;
    link_nonces nonces_;
    direction direction_;
    std::uint64_t sequence_{0};
};

/// Parses and verifies the frames of one direction of one link. After an error
/// the link must be closed, because the start of the next frame is unknown.
class frame_reader {
public:
    frame_reader(const fleet_key& key,
                 const link_nonces& nonces,
                 direction frame_direction)
        : key_{key}, nonces_{nonces}, direction_{frame_direction} {}

    void append(std::string_view bytes) { buffer_.append(bytes); }

    /// The next payload or an error; none when more bytes are needed.
    std::optional<std::variant<std::string, frame_error>> next();

private:
    fleet_key key_;
    link_nonces nonces_;
    direction direction_;
    std::uint64_t sequence_{0};
    std::string buffer_;
};

} // namespace pimentoferry::wire

#endif
