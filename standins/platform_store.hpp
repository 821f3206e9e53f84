/// Simulated metadata store of the users' platform over HTTP, with keys,
/// transactions, watches and leases.
///
/// A transaction accepts any number of conditions, writes and deletions. Lists
/// are not paginated.
///
/// Switches (`POST /control`):
/// * `mode`: `up`; `down` (connections are closed); `silent` (calls hang);
/// `slow`
///   (every call waits `slow_ms`); `declining` (every call is answered 503);
///   `losing` (a transaction takes effect, and its connection is closed).
/// * `put`: an object of keys and values, written unconditionally.
/// * `remove`: an array of keys, removed unconditionally.
/// * `declined_prefix`: transactions that write a key with this prefix are
/// answered 503 and not executed; empty: none.
/// * `forget_history`: watches from an earlier revision are answered 410.
/// * `era`: the text of the header `Store-Era` in all answers; empty: none.
/// * `checkpoint`: keeps a copy of the data. `restore`: the data is that copy
///   again, without leases, and the era rises by one.
///
/// `/control` works in every mode and answers with the current revision.
#ifndef PIMENTOFERRY_STANDINS_PLATFORM_STORE_HPP
#define PIMENTOFERRY_STANDINS_PLATFORM_STORE_HPP

#include "standins/http_server.hpp"
#include "standins/json.hpp"
#include "standins/store_data.hpp"

#include <set>
#include <string>

namespace pimentoferry::standins {

class platform_store {
public:
    explicit platform_store(const json& switches) { apply(switches); }

    net::awaitable<void> handle(exchange& call);

private:
    void apply(const json& switches);
    net::awaitable<void> serve(exchange& call);
    net::awaitable<void> read_key(exchange& call);
    net::awaitable<void> read_range(exchange& call);
    net::awaitable<void> watch(exchange& call);
    net::awaitable<void> transact(exchange& call);
    bool declines(const json::array& writes) const;
    net::awaitable<void> handle_lease(exchange& call);
    net::awaitable<void> hang(exchange& call);
    void restore();
    net::awaitable<void> reply(exchange& call, unsigned status, json body);
    json item(const std::string& key);
    json revision_body(const char* name) const;
    revision revision_of(const std::string& key);
    void write(const std::string& key, std::string value, lease_number lease);
    void remove(const std::string& key);
    void wake_watches();

    /// Values are stored as received, encoded as base64.
    store_data data_;
    store_data checkpoint_;
    std::string era_;
    revision compacted_revision_{0}; ///< Changes up to it are unavailable.
    std::set<net::steady_timer*> watches_;
    std::string mode_{"up"};
    std::string declined_prefix_;
    milliseconds slow_delay_{100};
};

} // namespace pimentoferry::standins

#endif
