/// Simulated list of the platform's live and leaving instances, which lags
/// behind the actual state.
///
/// `POST /control` with `{"instances":[{"name","address","state"}]}` sets the
/// actual state; `GET /v1/instances` shows it `lag_ms` later. With
/// `{"mode":"down"}` connections are closed without an answer until
/// `{"mode":"up"}`. A list given at start is visible immediately.
#ifndef PIMENTOFERRY_STANDINS_INSTANCE_LIST_HPP
#define PIMENTOFERRY_STANDINS_INSTANCE_LIST_HPP

#include "standins/http_server.hpp"
#include "standins/json.hpp"

#include <cstdint>
#include <deque>
#include <string>

namespace pimentoferry::standins {

class instance_list {
public:
    explicit instance_list(const json& switches);

    net::awaitable<void> handle(exchange& call);

private:
    struct version {
        time_point visible_at_;
        json instances_;
    };

    void apply(const json& switches, milliseconds lag);
    const json& visible();
    json stats() const;

    /// Oldest first; the front is the visible version. Never empty.
    std::deque<version> versions_;
    milliseconds lag_{500};
    std::string mode_{"up"};
    std::uint64_t calls_{0};
};

} // namespace pimentoferry::standins

#endif
