/// Simulated plain service: executes any call under any path and records it.
///
/// A call is executed when it is received. Delays, dropped answers and errors
/// apply afterwards, so a test can distinguish executed from answered calls.
/// `GET /executions` lists every execution; the answer of a call is
/// `{"key":K,"execution":N,"count":C}`, where `N` numbers all executions of
/// this process from 1 and `C` those of the same key (header
/// `Idempotency-Key`), method, path and body.
///
/// Switches (`POST /control` or at start):
/// * `delay_ms`: wait before the answer.
/// * `drop_answers`: close the connection instead of answering.
/// * `drop_next`: the same for the next N calls.
/// * `error_status`: answer with this status; 0 is off.
/// * `error_runs`: whether a call with `error_status` is executed; default
/// true.
/// * `crash_on`: the process exits when a body contains this text.
#ifndef PIMENTOFERRY_STANDINS_PLAIN_SERVICE_HPP
#define PIMENTOFERRY_STANDINS_PLAIN_SERVICE_HPP

#include "standins/http_server.hpp"
#include "standins/json.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

namespace pimentoferry::standins {

class plain_service {
public:
    explicit plain_service(const json& switches) { apply(switches); }

    net::awaitable<void> handle(exchange& call);

private:
    /// Key, method, path, body.
    using identity =
        std::tuple<std::string, std::string, std::string, std::string>;

    void apply(const json& switches);
    json stats() const;
    json executions() const;
    json execute(const exchange& call);
    net::awaitable<void> run(exchange& call);

    std::map<identity, std::uint64_t> counts_;
    std::uint64_t executed_{0};
    std::uint64_t answers_dropped_{0};
    std::uint64_t errors_{0};
    milliseconds delay_{0};
    bool drop_answers_{false};
    std::int64_t drop_next_{0};
    unsigned error_status_{0};
    bool error_runs_{true};
    std::string crash_on_;
};

} // namespace pimentoferry::standins

#endif
