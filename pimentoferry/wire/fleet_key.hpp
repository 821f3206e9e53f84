/// The secret key that all entries of a fleet share. It authenticates the
/// frames of peer links, see `frame.hpp`.
///
///     auto key = wire::parse_fleet_key(settings.fleet_key_);
#ifndef PIMENTOFERRY_WIRE_FLEET_KEY_HPP
#define PIMENTOFERRY_WIRE_FLEET_KEY_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <variant>

namespace pimentoferry::wire {

inline constexpr std::size_t key_bytes = 32;

struct fleet_key {
    std::array<std::uint8_t, key_bytes> bytes_{};
};

/// The text is not 64 hexadecimal digits.
struct fleet_key_malformed {};

/// Parses the 64 hexadecimal digits of the setting.
std::variant<fleet_key, fleet_key_malformed>
parse_fleet_key(std::string_view hexadecimal);

} // namespace pimentoferry::wire

#endif
