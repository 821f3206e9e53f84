/// Administration interface of an entry for operators.
///
/// | call                                    | answer                         |
/// |-----------------------------------------|--------------------------------|
/// | `GET /healthz`                          | 200 while the process runs     |
/// | `GET /metrics`                          | text format of Prometheus      |
/// | `GET /admin/v1/status`                  | members, cells, shards         |
/// | `POST /admin/v1/drain`                  | begins the drain               |
/// | `GET /admin/v1/state`                   | the state in force             |
/// | `POST /admin/v1/tickets`                | applies the ticket in the body |
/// | `POST /admin/v1/tickets/validate`       | checks it against the state    |
/// | `POST /admin/v1/tickets/diff`           | what it would change           |
/// | `GET /admin/v1/tickets?from=N&limit=M`  | accepted tickets, shortened    |
/// | `GET /admin/v1/tickets/status?number=N` | where ticket N is in force     |
/// | `GET /admin/v1/tickets/N`               | the accepted ticket N          |
///
/// Paths under `/admin` require the admin token when the settings have one.
#ifndef PIMENTOFERRY_ENTRY_ADMIN_API_HPP
#define PIMENTOFERRY_ENTRY_ADMIN_API_HPP

#include "pimentoferry/admin/admin_server.hpp"
#include "pimentoferry/config/settings.hpp"
#include "pimentoferry/entry/control.hpp"
#include "pimentoferry/entry/metrics.hpp"

#include <memory>
#include <variant>

namespace pimentoferry::entry {

using admin_result =
    std::variant<std::unique_ptr<admin::admin_server>, admin::listen_failed>;

/// Opens the administration interface. `loop` and `counters` must outlive it.
admin_result open_admin(const config::settings& settings,
                        control& loop,
                        const metrics& counters);

} // namespace pimentoferry::entry

#endif
