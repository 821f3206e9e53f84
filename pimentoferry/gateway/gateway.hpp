/// A gateway: a process between callers and upstreams that routes by host and
/// path. It reads its configuration and its upstreams from a store.
///
/// It serves callers, address and readiness queries, its peers and metrics, all
/// on one thread: a gateway runs on a share of one core, where a second thread
/// only adds context switches. Decisions are made by the libraries `routing`,
/// `placement`, `membership` and `requests`.
///
///     gateway::ports ports{...};   // message formats, from an adapter
///     return gateway::run(settings_path, settings, ports);
#ifndef PIMENTOFERRY_GATEWAY_GATEWAY_HPP
#define PIMENTOFERRY_GATEWAY_GATEWAY_HPP

#include "pimentoferry/config/gateway_settings.hpp"
#include "pimentoferry/gateway/registry_codec.hpp"
#include "pimentoferry/gateway/upstream_protocol.hpp"
#include "pimentoferry/store/http_codec.hpp"

#include <string>

namespace pimentoferry::gateway {

/// The message formats that an adapter provides.
struct ports {
    upstream_protocol upstreams_;
    directory_protocol directory_;
    registry_codec registry_;
    store::store_codec store_;
};

/// Holds back SIGTERM, SIGINT and SIGHUP until `run` handles them. To be called
/// first: until then their default action ends the process.
void hold_signals();

/// Serves until SIGTERM or SIGINT and returns the exit code. SIGHUP reads the
/// settings file again; of the settings only the peers, the retries and the
/// log level change without a restart.
int run(const std::string& settings_path,
        const config::gateway_settings& settings,
        const ports& adapter);

} // namespace pimentoferry::gateway

#endif
