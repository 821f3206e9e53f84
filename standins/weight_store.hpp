/// Simulated rate-limited weight store: `GET /v1/weights/<model>/<version>`.
///
/// Every download has `weight_bytes` bytes of deterministic content; all
/// downloads share a bandwidth of `bytes_per_s`. Switches: `weight_bytes`,
/// `bytes_per_s`, `mode` (`up` or `down`).
#ifndef PIMENTOFERRY_STANDINS_WEIGHT_STORE_HPP
#define PIMENTOFERRY_STANDINS_WEIGHT_STORE_HPP

#include "standins/http_server.hpp"
#include "standins/json.hpp"
#include "standins/link.hpp"

#include <cstdint>
#include <string>

namespace pimentoferry::standins {

class weight_store {
public:
    explicit weight_store(const json& switches) { apply(switches); }

    net::awaitable<void> handle(exchange& call);

private:
    void apply(const json& switches);
    json stats() const;
    net::awaitable<void> send(exchange& call);

    link link_;
    std::int64_t weight_bytes_{1'000'000};
    std::int64_t bytes_per_s_{100'000'000};
    std::string mode_{"up"};
    std::uint64_t downloads_{0};
    std::int64_t bytes_sent_{0};
    std::int64_t active_{0};
};

} // namespace pimentoferry::standins

#endif
