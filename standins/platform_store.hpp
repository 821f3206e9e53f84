/// The metadata store of the users' platform over HTTP, with its keys,
/// transactions, watches and leases.
///
/// A transaction takes any number of conditions, writes and deletions. Lists
/// are never cut into pages.
///
/// Switches (`POST /control`):
/// * `mode`: `up`; `down` (calls are cut off); `silent` (calls hang); `slow`
///   (every call waits `slow_ms`); `declining` (every call is answered 503);
///   `losing` (a transaction takes effect, and its connection is closed).
/// * `put`: an object of keys and values, written without a condition.
/// * `remove`: an array of keys, removed without a condition.
/// * `forget_history`: watches that ask for an earlier revision get 410.
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
    net::awaitable<void> handle_lease(exchange& call);
    net::awaitable<void> hang(exchange& call);
    json item(const std::string& key);
    json revision_body(const char* name) const;
    revision revision_of(const std::string& key);
    void write(const std::string& key, std::string value, lease_number lease);
    void remove(const std::string& key);
    void wake_watches();

    /// Values are kept as they arrive, encoded as base64.
    store_data data_;
    revision oldest_{0}; ///< Changes up to it are forgotten.
    std::set<net::steady_timer*> watches_;
    std::string mode_{"up"};
    milliseconds slow_{100};
};

} // namespace pimentoferry::standins

#endif
