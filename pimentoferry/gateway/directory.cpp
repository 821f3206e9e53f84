#include "pimentoferry/gateway/directory.hpp"

#include <algorithm>
#include <iterator>

namespace pimentoferry::gateway {

namespace {

// With fewer gateways than this in its own failure domain a caller is sent all
// gateways: it excludes an address that failed and needs another one.
constexpr std::size_t min_same_domain = 2;

} // namespace

std::vector<base::endpoint>
addresses_for(const base::failure_domain& caller,
              const std::vector<membership::member>& live) {
    std::vector<base::endpoint> same_domain;
    std::vector<base::endpoint> all;
    for (const auto& member : live) {
        if (member.draining_) {
            continue;
        }
        all.push_back(member.traffic_address_);
        if (member.failure_domain_ == caller) {
            same_domain.push_back(member.traffic_address_);
        }
    }
    return same_domain.size() >= min_same_domain ? same_domain : all;
}

} // namespace pimentoferry::gateway
