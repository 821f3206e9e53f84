#include "pimentoferry/accounts/key_table.hpp"

#include <sodium/crypto_generichash.h>
#include <sodium/randombytes.h>

#include <algorithm>
#include <iterator>

namespace pimentoferry::accounts {

namespace {

void add_key(key_table& table, std::string_view key, std::size_t holder) {
    if (!is_usable_key(key)) {
        return;
    }
    const auto [found, added] =
        table.owners_.try_emplace(table.digest_of(key), holder);
    if (added || found->second == holder) {
        return;
    }
    if (found->second) {
        table.shared_keys_.push_back({table.accounts_[*found->second].name_,
                                      table.accounts_[holder].name_});
    }
    found->second.reset();
}

} // namespace

bool is_usable_key(std::string_view key) {
    return !key.empty() && key.size() <= max_key_bytes &&
           std::ranges::all_of(key, [](char c) { return c > ' ' && c <= '~'; });
}

hash_secret make_secret() {
    hash_secret secret{};
    randombytes_buf(secret.data(), secret.size());
    return secret;
}

key_digest key_table::digest_of(std::string_view key) const {
    key_digest digest{};
    crypto_generichash(digest.data(), digest.size(),
                       reinterpret_cast<const unsigned char*>(key.data()),
                       key.size(), secret_.data(), secret_.size());
    return digest;
}

const account* key_table::find(const key_digest& digest) const {
    const auto found = owners_.find(digest);
    return found != owners_.end() && found->second ? &accounts_[*found->second]
                                                   : nullptr;
}

key_table make_key_table(const std::vector<routing::client_account>& accounts,
                         const hash_secret& secret) {
    key_table table{secret, {}, {}, {}};
    std::ranges::transform(accounts, std::back_inserter(table.accounts_),
                           [](const routing::client_account& each) {
                               return account{each.name_, each.priority_,
                                              each.quota_, each.closed_};
                           });
    for (std::size_t holder = 0; holder < accounts.size(); ++holder) {
        std::ranges::for_each(
            accounts[holder].keys_,
            [&](const std::string& key) { add_key(table, key, holder); });
    }
    return table;
}

} // namespace pimentoferry::accounts
