/// Which addresses a caller is told to use.
///
/// Callers pick one of the addresses at random and keep the list for a while.
/// A caller is told the gateways of its own failure domain, so that few bytes
/// cross failure domains, as long as there are enough of them to survive the
/// loss of one.
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
