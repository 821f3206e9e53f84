#include "pimentoferry/wire/frame.hpp"

#include <boost/endian/conversion.hpp>
#include <sodium.h>

#include <algorithm>
#include <cstring>

namespace pimentoferry::wire {

namespace {

using digest = std::array<std::uint8_t, digest_bytes>;

constexpr std::size_t length_bytes = 4;
constexpr std::size_t digest_offset = length_bytes + 1;
constexpr std::size_t sequence_offset = digest_offset + digest_bytes;
constexpr std::size_t payload_offset = sequence_offset + 8;
constexpr std::uint32_t min_frame_bytes = payload_offset - length_bytes;

const unsigned char* bytes_of(std::string_view text) {
    return reinterpret_cast<const unsigned char*>(text.data());
}

// `authenticated` is the sequence number and the payload as encoded in the
// frame.
digest compute_digest(const fleet_key& key,
                      const link_nonces& nonces,
                      direction frame_direction,
                      std::string_view authenticated) {
    const std::array<std::uint8_t, 2> prefix{
        static_cast<std::uint8_t>(frame_direction), frame_version};
    crypto_generichash_state state;
    digest result{};
    crypto_generichash_init(&state, key.bytes_.data(), key.bytes_.size(),
                            result.size());
    crypto_generichash_update(&state, nonces.initiator_.data(), nonce_bytes);
    crypto_generichash_update(&state, nonces.acceptor_.data(), nonce_bytes);
    crypto_generichash_update(&state, prefix.data(), prefix.size());
    crypto_generichash_update(&state, bytes_of(authenticated),
                              authenticated.size());
    crypto_generichash_final(&state, result.data(), result.size());
    return result;
}

void append_big_endian(std::string& out,
                       std::uint64_t value,
                       std::size_t size) {
    const std::uint64_t big_endian = boost::endian::native_to_big(value);
    std::array<char, sizeof big_endian> bytes{};
    std::memcpy(bytes.data(), &big_endian, sizeof big_endian);
    out.append(bytes.data() + (sizeof big_endian - size), size);
}

std::uint64_t read_big_endian(std::string_view bytes) {
    std::uint64_t value = 0;
    for (const char byte : bytes) {
        value = (value << 8U) | static_cast<std::uint8_t>(byte);
    }
    return value;
}

} // namespace

nonce make_nonce() {
    nonce fresh{};
    randombytes_buf(fresh.data(), fresh.size());
    return fresh;
}

std::string_view to_string(frame_error error) {
    switch (error) {
    case frame_error::too_long:
        return "frame too long";
    case frame_error::too_short:
        return "frame too short";
    case frame_error::wrong_version:
        return "wrong frame version";
    case frame_error::wrong_digest:
        return "wrong frame digest";
    case frame_error::wrong_sequence:
        return "wrong frame sequence";
    }
    return "unknown frame error";
}

std::string make_greeting(const nonce& own) {
    std::string greeting{greeting_magic};
    greeting.append(own.begin(), own.end());
    return greeting;
}

std::optional<nonce> parse_greeting(std::string_view bytes) {
    if (bytes.size() != greeting_bytes || !bytes.starts_with(greeting_magic)) {
        return std::nullopt;
    }
    nonce peer_nonce{};
    std::ranges::copy(bytes.substr(greeting_magic.size()), peer_nonce.begin());
    return peer_nonce;
}

std::string frame_writer::make_frame(std::string_view payload) {
    std::string authenticated;
    authenticated.reserve(sizeof sequence_ + payload.size());
    append_big_endian(authenticated, sequence_++, sizeof sequence_);
    authenticated.append(payload);
    const digest frame_digest =
        compute_digest(key_, nonces_, direction_, authenticated);

    std::string frame;
    frame.reserve(frame_overhead_bytes + payload.size());
    append_big_endian(frame, 1 + digest_bytes + authenticated.size(),
                      length_bytes);
    frame.push_back(static_cast<char>(frame_version));
    frame.append(frame_digest.begin(), frame_digest.end());
    frame.append(authenticated);
    return frame;
}

std::optional<std::variant<std::string, frame_error>> frame_reader::next() {
    const std::string_view received{buffer_};
    if (received.size() < length_bytes) {
        return std::nullopt;
    }
    const auto length = read_big_endian(received.substr(0, length_bytes));
    if (length > max_frame_bytes) {
        return frame_error::too_long;
    }
    if (length < min_frame_bytes) {
        return frame_error::too_short;
    }
    if (received.size() < length_bytes + length) {
        return std::nullopt;
    }
    const auto frame = received.substr(0, length_bytes + length);
    if (static_cast<std::uint8_t>(frame[length_bytes]) != frame_version) {
        return frame_error::wrong_version;
    }
    const auto authenticated = frame.substr(sequence_offset);
    const digest expected =
        compute_digest(key_, nonces_, direction_, authenticated);
    const auto received_digest = frame.substr(digest_offset, digest_bytes);
    if (sodium_memcmp(expected.data(), received_digest.data(), digest_bytes) !=
        0) {
        return frame_error::wrong_digest;
    }
    if (read_big_endian(authenticated.substr(0, sizeof sequence_)) !=
        sequence_) {
        return frame_error::wrong_sequence;
    }
    ++sequence_;
    std::string payload{frame.substr(payload_offset)};
    buffer_.erase(0, frame.size());
    return payload;
}

} // namespace pimentoferry::wire
