/// The client account on whose behalf a request is served.
///
/// A request on a route that is not public has to name a key that an account of
/// the configuration holds. Keys are looked up at the arrival, and once more
/// before each send: a key that was taken away meanwhile starts no run.
#ifndef PIMENTOFERRY_GATEWAY_REQUEST_ACCOUNT_HPP
#define PIMENTOFERRY_GATEWAY_REQUEST_ACCOUNT_HPP

#include "pimentoferry/accounts/key_table.hpp"
#include "pimentoferry/gateway/upstream_protocol.hpp"
#include "pimentoferry/routing/configuration.hpp"

#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace pimentoferry::gateway {

/// The identity of a request where the configuration has accounts.
struct request_account {
    /// Unset for a request on a public route that names no known key.
    std::optional<accounts::key_digest> key_;
    /// Has an empty name if `key_` is unset.
    accounts::account account_;
};

/// The request has no acceptable key.
struct unauthorized_request {
    std::string detail_; ///< Contains no part of the credential.
};

/// The account of the request cannot be read from the configuration. The
/// request is refused, as its quota or its name would be missing.
struct closed_account {};

using identified_account =
    std::variant<request_account, unauthorized_request, closed_account>;

identified_account identify(const accounts::key_table& table,
                            const credential& given,
                            const routing::route& route);

/// Whether the account still holds the key of the request. `table`: the keys in
/// force now; null if the configuration has no accounts.
bool is_authorized(const std::optional<request_account>& identity,
                   const accounts::key_table* table);

/// What the quota of its account counts for a request.
double quota_cost(const routing::account_quota& quota,
                  const std::optional<model_prompt>& prompt);

/// The priority of a request: that of its account, else that of its route.
std::uint32_t priority_of(const std::optional<request_account>& identity,
                          const routing::route& route);

} // namespace pimentoferry::gateway

#endif
