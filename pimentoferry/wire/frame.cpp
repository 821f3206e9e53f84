#include "pimentoferry/wire/frame.hpp"

#include <boost/endian/conversion.hpp>
#include <sodium.h>

#include <algorithm>
#include <cstring>

namespace pimentoferry::wire {

namespace {

static_assert(tag_bytes == crypto_aead_chacha20poly1305_IETF_ABYTES);
static_assert(sizeof(fleet_key::bytes_) ==
              crypto_aead_chacha20poly1305_IETF_KEYBYTES);

constexpr std::size_t length_bytes = 4;
constexpr std::size_t sequence_offset = length_bytes + 1;
constexpr std::size_t payload_offset = sequence_offset + 8;
constexpr std::uint32_t min_frame_bytes =
    payload_offset + tag_bytes - length_bytes;

using cipher_nonce =
    std::array<unsigned char, crypto_aead_chacha20poly1305_IETF_NPUBBYTES>;

const unsigned char* bytes_of(std::string_view text) {
    return reinterpret_cast<const unsigned char*>(text.data());
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

/// Each frame of a link key has its own sequence number.
cipher_nonce nonce_of(std::uint64_t sequence) {
    std::string bytes(4, '\0');
    append_big_endian(bytes, sequence, sizeof sequence);
    cipher_nonce result{};
    std::ranges::copy(bytes, result.begin());
    return result;
}

} // namespace

fleet_key derive_link_key(const fleet_key& key,
                          const link_nonces& nonces,
                          direction frame_direction) {
    const std::array<std::uint8_t, 2> context{
        static_cast<std::uint8_t>(frame_direction), frame_version};
    fleet_key derived;
    crypto_generichash_state state;
    crypto_generichash_init(&state, key.bytes_.data(), key.bytes_.size(),
                            derived.bytes_.size());
    crypto_generichash_update(&state, nonces.initiator_.data(), nonce_bytes);
    crypto_generichash_update(&state, nonces.acceptor_.data(), nonce_bytes);
    crypto_generichash_update(&state, context.data(), context.size());
    crypto_generichash_final(&state, derived.bytes_.data(),
                             derived.bytes_.size());
    return derived;
}

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
    case frame_error::wrong_tag:
        return "wrong frame tag";
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
    std::string frame;
    frame.reserve(frame_overhead_bytes + payload.size());
    append_big_endian(frame,
                      frame_overhead_bytes - length_bytes + payload.size(),
                      length_bytes);
    frame.push_back(static_cast<char>(frame_version));
    append_big_endian(frame, sequence_, sizeof sequence_);
    const auto nonce = nonce_of(sequence_++);
    const auto version = frame_version;
    frame.resize(payload_offset + payload.size() + tag_bytes);
    crypto_aead_chacha20poly1305_ietf_encrypt(
        reinterpret_cast<unsigned char*>(frame.data() + payload_offset),
        nullptr, bytes_of(payload), payload.size(), &version, sizeof version,
        nullptr, nonce.data(), link_key_.bytes_.data());
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
    const auto sequence =
        read_big_endian(frame.substr(sequence_offset, sizeof sequence_));
    const auto nonce = nonce_of(sequence);
    const auto version = frame_version;
    const auto encrypted = frame.substr(payload_offset);
    std::string payload(encrypted.size() - tag_bytes, '\0');
    const int opened = crypto_aead_chacha20poly1305_ietf_decrypt(
        reinterpret_cast<unsigned char*>(payload.data()), nullptr, nullptr,
        bytes_of(encrypted), encrypted.size(), &version, sizeof version,
        nonce.data(), link_key_.bytes_.data());
    if (opened != 0) {
        return frame_error::wrong_tag;
    }
    if (sequence != sequence_) {
        return frame_error::wrong_sequence;
    }
    ++sequence_;
    buffer_.erase(0, frame.size());
    return payload;
}

} // namespace pimentoferry::wire
