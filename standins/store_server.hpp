/// Simulated key-value store of the platform over HTTP (design page, section
/// 9.4).
///
/// Unknown and expired leases are answered with 404, values over 1 MB with
/// 413, a write without `if_revision` with 400. `GET /stats` counts the calls
/// by kind (a waiting watch is one call) since the start.
///
/// Switches:
/// * `mode`: `up`; `down`; `slow` (every call waits `slow_ms`);
///   `lose_answers` (a write takes effect and the connection is closed
///   without an answer).
/// * `lose_next`: as `lose_answers`, for the next N writes only.
/// * `down_silent`: while down, calls hang instead of being closed.
///
/// `/control` and `/stats` work in every mode.
#ifndef PIMENTOFERRY_STANDINS_STORE_SERVER_HPP
#define PIMENTOFERRY_STANDINS_STORE_SERVER_HPP

#include "standins/http_server.hpp"
#include "standins/json.hpp"
#include "standins/store_data.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace pimentoferry::standins {

class store_server {
public:
    explicit store_server(const json& switches) { apply(switches); }

    net::awaitable<void> handle(exchange& call);

private:
    void apply(const json& switches);
    json stats() const;
    net::awaitable<void> serve(exchange& call);
    net::awaitable<void> hang(exchange& call);
    net::awaitable<void> handle_key(exchange& call, std::string key);
    net::awaitable<void> put(exchange& call, std::string key);
    net::awaitable<void> get(exchange& call, std::string key);
    net::awaitable<void> erase(exchange& call, std::string key);
    net::awaitable<void> list(exchange& call);
    net::awaitable<void> watch(exchange& call);
    net::awaitable<void> handle_lease(exchange& call, std::string id);
    net::awaitable<void> answer_write(exchange& call, store_outcome outcome);
    /// Sends the answer of a write, or closes the connection when the answer is
    /// to be lost.
    net::awaitable<void>
    reply_write(exchange& call, unsigned status, json body, headers extra);
    void wake_watches();

    store_data data_;
    std::set<net::steady_timer*> watches_;
    std::map<std::string, std::uint64_t> calls_;
    std::uint64_t answers_lost_{0};
    std::string mode_{"up"};
    milliseconds slow_delay_{100};
    std::int64_t lose_next_{0};
    bool down_silent_{false};
};

} // namespace pimentoferry::standins

#endif
