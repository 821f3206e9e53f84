#include "pimentoferry/routing/upstream_reach.hpp"

#include <utility>

namespace pimentoferry::routing {

namespace {

// One instance that cannot be reached has ended, mostly.
constexpr std::size_t isolated_from = 2;

} // namespace

bool upstream_reach::failed(const base::upstream_name& instance) {
    const bool before = isolated();
    unreached_.insert(instance);
    return !before && isolated();
}

bool upstream_reach::connected() {
    const bool before = isolated();
    unreached_.clear();
    return before;
}

bool upstream_reach::isolated() const {
    return unreached_.size() >= isolated_from;
}

bool upstream_reach::isolated_unconfirmed() const {
    return unreached_.size() > isolated_from;
}

} // namespace pimentoferry::routing
