/// Chooses the gateway addresses that a caller is sent.
///
/// Callers pick one of the addresses at random and keep the list for a while.
/// A caller is sent the gateways of its own failure domain, which reduces the
/// traffic between failure domains, as long as there are enough of them to
/// tolerate the loss of one; otherwise all gateways. Gateways that are draining
/// are left out.
#ifndef PIMENTOFERRY_GATEWAY_DIRECTORY_HPP
#define PIMENTOFERRY_GATEWAY_DIRECTORY_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/membership/messages.hpp"

#include <vector>

namespace pimentoferry::gateway {

std::vector<base::endpoint>
addresses_for(const base::failure_domain& caller,
              const std::vector<membership::member>& live);

} // namespace pimentoferry::gateway

#endif
