#include "pimentoferry/gateway/call_fingerprint.hpp"

#include <sodium/crypto_generichash.h>

#include <array>
#include <cstring>
#include <string_view>

namespace pimentoferry::gateway {

namespace {

// The credentials of a caller tell it from others.
constexpr std::string_view caller_field = "Authorization";

class keyed_hash {
public:
    explicit keyed_hash(const wire::fleet_key& key) {
        crypto_generichash_init(&state_, key.bytes_.data(), key.bytes_.size(),
                                crypto_generichash_BYTES_MIN);
    }

    /// The length separates the parts from each other.
    void add(std::string_view part) {
        const std::uint64_t size = part.size();
        std::array<unsigned char, sizeof size> bytes{};
        std::memcpy(bytes.data(), &size, sizeof size);
        crypto_generichash_update(&state_, bytes.data(), bytes.size());
        crypto_generichash_update(
            &state_, reinterpret_cast<const unsigned char*>(part.data()),
            part.size());
    }

    std::uint64_t finish() {
        std::array<unsigned char, crypto_generichash_BYTES_MIN> digest{};
        crypto_generichash_final(&state_, digest.data(), digest.size());
        std::uint64_t value = 0;
        std::memcpy(&value, digest.data(), sizeof value);
        return value;
    }

private:
    crypto_generichash_state state_{};
};

} // namespace

std::uint64_t call_fingerprint(const http::request& call,
                               const wire::fleet_key& key) {
    keyed_hash hash{key};
    hash.add(call.method_);
    hash.add(http::find_field(call.fields_, "Host"));
    hash.add(call.target_);
    hash.add(http::find_field(call.fields_, caller_field));
    hash.add(call.body_);
    const auto value = hash.finish();
    return value != 0 ? value : 1;
}

} // namespace pimentoferry::gateway
