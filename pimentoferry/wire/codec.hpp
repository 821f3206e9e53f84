/// Serializes messages with msgpack.
///
/// A type can be serialized when it is an arithmetic type, an enumeration, a
/// string, a duration, a wall time, a vector, an optional or a variant of such
/// types, or an aggregate with a `fields` function that ties its members:
///
///     std::string bytes = wire::encode(message);
///     auto decoded = wire::decode<placement_request>(bytes);
///     if (auto* request = std::get_if<placement_request>(&decoded)) { ... }
///
/// Aggregates become arrays, in the order of `fields`. A new member may only be
/// added at the end; a reader of an older version then rejects the message with
/// `decode_error`, because the array has another size.
#ifndef PIMENTOFERRY_WIRE_CODEC_HPP
#define PIMENTOFERRY_WIRE_CODEC_HPP

#include "pimentoferry/base/time.hpp"

#include <msgpack.hpp>

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace pimentoferry::wire {

/// The bytes are not a message of the expected type.
struct decode_error {};

/// Maximum number of elements of a decoded array; limits the memory that a
/// malformed message can claim.
inline constexpr std::size_t max_array_size = 65536;
/// Maximum nesting depth of a decoded message; limits the recursion.
inline constexpr std::size_t max_depth = 32;

namespace internal {

template <class T>
concept has_fields = requires(T& value) { T::fields(value); };

using packer = msgpack::packer<msgpack::sbuffer>;

template <class T>
    requires std::is_arithmetic_v<T>
void write(packer& out, const T& value) {
    out.pack(value);
}

template <class T>
    requires std::is_enum_v<T>
void write(packer& out, const T& value) {
    out.pack(static_cast<std::underlying_type_t<T>>(value));
}

inline void write(packer& out, const std::string& value) {
    out.pack_bin(static_cast<std::uint32_t>(value.size()));
    out.pack_bin_body(value.data(), static_cast<std::uint32_t>(value.size()));
}

template <class Rep, class Period>
void write(packer& out, const std::chrono::duration<Rep, Period>& value) {
    out.pack(static_cast<std::int64_t>(value.count()));
}

inline void write(packer& out, const base::wall_time& value) {
    out.pack(static_cast<std::int64_t>(value.time_since_epoch().count()));
}

template <class T>
void write(packer& out, const std::vector<T>& values);
template <class T>
void write(packer& out, const std::optional<T>& value);
template <class... Ts>
void write(packer& out, const std::variant<Ts...>& value);

template <has_fields T>
void write(packer& out, const T& value) {
    const auto members = T::fields(value);
    out.pack_array(std::tuple_size_v<decltype(members)>);
    std::apply([&](const auto&... member) { (write(out, member), ...); },
               members);
}

template <class T>
void write(packer& out, const std::vector<T>& values) {
    out.pack_array(static_cast<std::uint32_t>(values.size()));
    for (const auto& value : values) {
        write(out, value);
    }
}

template <class T>
void write(packer& out, const std::optional<T>& value) {
    if (value) {
        write(out, *value);
    } else {
        out.pack_nil();
    }
}

template <class... Ts>
void write(packer& out, const std::variant<Ts...>& value) {
    constexpr std::uint32_t index_and_value = 2;
    out.pack_array(index_and_value);
    out.pack(static_cast<std::uint32_t>(value.index()));
    std::visit([&](const auto& alternative) { write(out, alternative); },
               value);
}

// Each `read` returns false when the object has another type or its value is
// out of range for the target.

template <class T>
    requires std::is_arithmetic_v<T>
bool read(const msgpack::object& in, T& value) {
    if constexpr (std::same_as<T, bool>) {
        if (in.type != msgpack::type::BOOLEAN) {
            return false;
        }
        value = in.via.boolean;
        return true;
    } else if constexpr (std::floating_point<T>) {
        // The library writes whole numbers as integers.
        switch (in.type) {
        case msgpack::type::FLOAT64:
        case msgpack::type::FLOAT32:
            value = static_cast<T>(in.via.f64);
            return true;
        case msgpack::type::POSITIVE_INTEGER:
            value = static_cast<T>(in.via.u64);
            return true;
        case msgpack::type::NEGATIVE_INTEGER:
            value = static_cast<T>(in.via.i64);
            return true;
        default:
            return false;
        }
    } else {
        if (in.type == msgpack::type::POSITIVE_INTEGER) {
            value = static_cast<T>(in.via.u64);
            return std::in_range<T>(in.via.u64);
        }
        if (in.type == msgpack::type::NEGATIVE_INTEGER) {
            value = static_cast<T>(in.via.i64);
            return std::in_range<T>(in.via.i64);
        }
        return false;
    }
}

template <class T>
    requires std::is_enum_v<T>
bool read(const msgpack::object& in, T& value) {
    std::underlying_type_t<T> number{};
    if (!read(in, number)) {
        return false;
    }
    value = static_cast<T>(number);
    return true;
}

inline bool read(const msgpack::object& in, std::string& value) {
    if (in.type != msgpack::type::BIN) {
        return false;
    }
    value.assign(in.via.bin.ptr, in.via.bin.size);
    return true;
}

template <class Rep, class Period>
bool read(const msgpack::object& in,
          std::chrono::duration<Rep, Period>& value) {
    std::int64_t count = 0;
    if (!read(in, count)) {
        return false;
    }
    value = std::chrono::duration<Rep, Period>{static_cast<Rep>(count)};
    return true;
}

inline bool read(const msgpack::object& in, base::wall_time& value) {
    base::milliseconds since_epoch{};
    if (!read(in, since_epoch)) {
        return false;
    }
    value = base::wall_time{since_epoch};
    return true;
}

template <class T>
bool read(const msgpack::object& in, std::vector<T>& values);
template <class T>
bool read(const msgpack::object& in, std::optional<T>& value);
template <class... Ts>
bool read(const msgpack::object& in, std::variant<Ts...>& value);

template <has_fields T>
bool read(const msgpack::object& in, T& value) {
    auto members = T::fields(value);
    constexpr std::size_t size = std::tuple_size_v<decltype(members)>;
    if (in.type != msgpack::type::ARRAY || in.via.array.size != size) {
        return false;
    }
    const msgpack::object* next = in.via.array.ptr;
    return std::apply(
        [&](auto&... member) { return (read(*next++, member) && ...); },
        members);
}

template <class T>
bool read(const msgpack::object& in, std::vector<T>& values) {
    if (in.type != msgpack::type::ARRAY) {
        return false;
    }
    values.clear();
    values.reserve(in.via.array.size);
    for (std::uint32_t i = 0; i < in.via.array.size; ++i) {
        if (!read(in.via.array.ptr[i], values.emplace_back())) {
            return false;
        }
    }
    return true;
}

template <class T>
bool read(const msgpack::object& in, std::optional<T>& value) {
    if (in.type == msgpack::type::NIL) {
        value.reset();
        return true;
    }
    return read(in, value.emplace());
}

template <std::size_t Index, class Variant>
bool read_alternative(const msgpack::object& in,
                      std::uint32_t index,
                      Variant& value) {
    if constexpr (Index < std::variant_size_v<Variant>) {
        if (index == Index) {
            return read(in, value.template emplace<Index>());
        }
        return read_alternative<Index + 1>(in, index, value);
    } else {
        return false;
    }
}

template <class... Ts>
bool read(const msgpack::object& in, std::variant<Ts...>& value) {
    std::uint32_t index = 0;
    if (in.type != msgpack::type::ARRAY || in.via.array.size != 2 ||
        !read(in.via.array.ptr[0], index)) {
        return false;
    }
    return read_alternative<0>(in.via.array.ptr[1], index, value);
}

} // namespace internal

/// Serializes a message.
template <class T>
std::string encode(const T& value) {
    msgpack::sbuffer buffer;
    internal::packer out{buffer};
    internal::write(out, value);
    return {buffer.data(), buffer.size()};
}

/// Parses a message. Bytes after the message are an error, and so is a number
/// that is out of range for the underlying type of an enumeration. The receiver
/// has to check that the number is that of an enumerator.
template <class T>
std::variant<T, decode_error> decode(std::string_view bytes) {
    const msgpack::unpack_limit limit{max_array_size, 0, bytes.size(),
                                      bytes.size(),   0, max_depth};
    try {
        std::size_t offset = 0;
        const auto handle = msgpack::unpack(bytes.data(), bytes.size(), offset,
                                            nullptr, nullptr, limit);
        T value{};
        if (offset == bytes.size() && internal::read(handle.get(), value)) {
            return value;
        }
    } catch (const std::exception&) {
        // msgpack reports malformed input with several exception types.
        return decode_error{};
    }
    return decode_error{};
}

} // namespace pimentoferry::wire

#endif
