#include "pimentoferry/gateway/directory.hpp"

#include <algorithm>
#include <iterator>

namespace pimentoferry::gateway {

namespace {

// With fewer than this in its own failure domain a caller is told all
// gateways: it excludes an address that failed it and needs another.
constexpr std::size_t enough_near = 2;

} // namespace

std::vector<base::endpoint>
addresses_for(const base::failure_domain& caller,
              const std::vector<membership::member>& live) {
    std::vector<base::endpoint> near;
    std::vector<base::endpoint> all;
    for (const auto& member : live) {
        if (member.draining_) {
            continue;
        }
        all.push_back(member.traffic_address_);
        if (member.failure_domain_ == caller) {
            near.push_back(member.traffic_address_);
        }
    }
    return near.size() >= enough_near ? near : all;
}

} // namespace pimentoferry::gateway
