/// Identifies client accounts by the keys of their requests.
///
/// A table holds a keyed hash of each key instead of the key, so that neither a
/// memory dump nor the time of a lookup says anything about a key: the hash key
/// is drawn at process start, and a lookup compares hashes only.
///
///     const auto secret = accounts::make_secret();
///     const auto table = accounts::make_key_table(configured, secret);
///     const auto* account = table.find(table.digest_of(key));
///
/// Pointers are valid as long as the table.
#ifndef PIMENTOFERRY_ACCOUNTS_KEY_TABLE_HPP
#define PIMENTOFERRY_ACCOUNTS_KEY_TABLE_HPP

#include "pimentoferry/routing/configuration.hpp"

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace pimentoferry::accounts {

/// Longer keys are not accepted, so that a caller cannot have much hashed.
inline constexpr std::size_t max_key_bytes = 256;

inline constexpr std::size_t digest_bytes = 32;
using hash_secret = std::array<unsigned char, 32>;
using key_digest = std::array<unsigned char, digest_bytes>;

/// Whether a request can name the key: visible ASCII of limited length.
bool is_usable_key(std::string_view key);

/// Returns a secret from the system's cryptographic random source.
hash_secret make_secret();

/// A client account without its keys.
struct account {
    base::account_name name_;
    /// Takes precedence over the priority of a route; 0 is the most urgent.
    std::optional<std::uint32_t> priority_;
    std::optional<routing::account_quota> quota_; ///< Unset: no limit.
    bool closed_{false}; ///< See `routing::client_account`.
};

/// A key that two accounts hold. It identifies neither of them.
struct shared_key {
    base::account_name first_;
    base::account_name second_;
};

struct key_table {
    hash_secret secret_{};
    std::vector<account> accounts_;
    /// Indexes of `accounts_`; unset for a shared key.
    std::map<key_digest, std::optional<std::size_t>> owners_;
    std::vector<shared_key> shared_keys_;

    key_digest digest_of(std::string_view key) const;

    /// Returns the account that holds the key with this digest; null if none
    /// or several do.
    const account* find(const key_digest& digest) const;
};

/// Keys that no request can name are left out.
key_table make_key_table(const std::vector<routing::client_account>& accounts,
                         const hash_secret& secret);

} // namespace pimentoferry::accounts

#endif
