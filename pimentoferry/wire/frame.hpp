/// Frames on a peer link.
///
/// A link starts with one greeting from each side that carries a nonce. A
/// frame is: length (4 bytes, of what follows), version (1), keyed BLAKE2b
/// digest (32), sequence (8), payload; numbers are big-endian. The digest
/// covers both nonces, the direction, version, sequence and payload, so a
/// frame from a stranger, from another link or sent twice is refused.
///
///     wire::frame_writer writer{key, nonces, wire::direction::to_acceptor};
///     socket.write(writer.seal(payload));
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
/// Longest frame after its length field.
inline constexpr std::uint32_t max_frame_bytes = 1U << 20U;
/// Length, version, digest and sequence.
inline constexpr std::size_t frame_overhead_bytes = 4 + 1 + digest_bytes + 8;
/// Longest payload that fits a frame.
inline constexpr std::size_t max_payload_bytes =
    max_frame_bytes - (frame_overhead_bytes - 4);

using nonce = std::array<std::uint8_t, nonce_bytes>;

/// Fills a nonce from the system's random source.
nonce make_nonce();

/// What both sides sent in their greetings.
struct link_nonces {
    nonce initiator_{};
    nonce acceptor_{};
};

enum class direction : std::uint8_t { to_acceptor, to_initiator };

/// Why a link was closed.
enum class frame_error : std::uint8_t {
    too_long,
    too_short,
    wrong_version,
    wrong_digest,
    wrong_sequence,
};

/// Text for logs.
std::string_view to_string(frame_error error);

/// The greeting with which each side opens a link.
inline constexpr std::string_view greeting_magic = "PFL1";
inline constexpr std::size_t greeting_bytes = 4 + nonce_bytes;
std::string make_greeting(const nonce& own);
/// Empty when the bytes are not a greeting of this version.
std::optional<nonce> parse_greeting(std::string_view bytes);

/// Seals payloads of one direction of one link, in order.
class frame_writer {
public:
    frame_writer(const fleet_key& key, const link_nonces& nonces, direction way)
        : key_{key}, nonces_{nonces}, way_{way} {}

    /// The payload must not exceed `max_payload_bytes`.
    std::string seal(std::string_view payload);

private:
    fleet_key key_;
    link_nonces nonces_;
    direction way_;
    std::uint64_t sequence_{0};
};

/// Opens frames of one direction of one link. After an error the link must
/// be closed: the reader cannot find the next frame.
class frame_reader {
public:
    frame_reader(const fleet_key& key, const link_nonces& nonces, direction way)
        : key_{key}, nonces_{nonces}, way_{way} {}

    void append(std::string_view bytes) { buffer_.append(bytes); }

    /// The next payload, an error, or nothing when more bytes are needed.
    std::optional<std::variant<std::string, frame_error>> next();

private:
    fleet_key key_;
    link_nonces nonces_;
    direction way_;
    std::uint64_t sequence_{0};
    std::string buffer_;
};

} // namespace pimentoferry::wire

#endif
