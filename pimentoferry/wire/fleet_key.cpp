#include "pimentoferry/wire/fleet_key.hpp"

#include <sodium.h>

namespace pimentoferry::wire {

std::variant<fleet_key, fleet_key_malformed>
parse_fleet_key(std::string_view hexadecimal) {
    fleet_key key;
    std::size_t size = 0;
    const bool valid =
        hexadecimal.size() == 2 * key_bytes &&
        sodium_hex2bin(key.bytes_.data(), key.bytes_.size(), hexadecimal.data(),
                       hexadecimal.size(), nullptr, &size, nullptr) == 0 &&
        size == key_bytes;
    if (!valid) {
        return fleet_key_malformed{};
    }
    return key;
}

} // namespace pimentoferry::wire
