/// Computes the size of a message on a peer connection in bytes, including the
/// overhead of the frame, TCP and IP.
#ifndef PIMENTOFERRY_BENCH_ENCODED_SIZE_HPP
#define PIMENTOFERRY_BENCH_ENCODED_SIZE_HPP

#include <msgpack.hpp>

#include <chrono>
#include <cstddef>
#include <string>
#include <tuple>
#include <type_traits>
#include <variant>
#include <vector>

namespace pimentoferry::bench {

/// Output stream for the packer that counts bytes and discards them.
struct byte_counter {
    std::size_t bytes_{0};
    void write(const char* /*data*/, std::size_t count) { bytes_ += count; }
};

using packer = msgpack::packer<byte_counter>;

template <class T>
void pack(packer& out, const T& value);

template <class T>
void pack(packer& out, const std::vector<T>& values) {
    out.pack_array(static_cast<std::uint32_t>(values.size()));
    for (const auto& value : values) {
        pack(out, value);
    }
}

template <class... Types>
void pack(packer& out, const std::variant<Types...>& value) {
    out.pack_array(2);
    out.pack(static_cast<std::uint32_t>(value.index()));
    std::visit([&](const auto& alternative) { pack(out, alternative); }, value);
}

template <class Rep, class Period>
void pack(packer& out, const std::chrono::duration<Rep, Period>& value) {
    out.pack(static_cast<std::int64_t>(value.count()));
}

template <class T>
void pack(packer& out, const T& value) {
    if constexpr (std::is_enum_v<T>) {
        out.pack(static_cast<std::uint32_t>(value));
    } else if constexpr (requires { T::fields(value); }) {
        const auto fields = T::fields(value);
        out.pack_array(std::tuple_size_v<decltype(fields)>);
        std::apply([&](const auto&... field) { (pack(out, field), ...); },
                   fields);
    } else {
        out.pack(value);
    }
}

/// Length, version, keyed hash and sequence of a frame, its message type and
/// sender in msgpack, and the headers of IP and TCP with timestamps.
inline constexpr std::size_t frame_bytes = 4 + 1 + 32 + 8 + 12;
inline constexpr std::size_t tcp_bytes = 52;

template <class Message>
std::size_t encoded_size(const Message& message) {
    byte_counter count;
    packer out{count};
    pack(out, message);
    return count.bytes_ + frame_bytes + tcp_bytes;
}

} // namespace pimentoferry::bench

#endif
