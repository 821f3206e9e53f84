/// Applies tickets to a state and compares states.
///
/// The header is valid C++17 because the parser needs that language level.
#ifndef PIMENTOFERRY_CONFIG_CHANGE_HPP
#define PIMENTOFERRY_CONFIG_CHANGE_HPP

#include "pimentoferry/config/state.hpp"

#include <string>
#include <vector>

namespace pimentoferry::config {

/// Writes `deployments/chat`, or `policy`, which has no name.
std::string to_string(const object_ref& reference);

/// The objects that a ticket sets or removes.
std::vector<object_ref> touched_objects(const ticket& value);

/// The state after the ticket. Removing an absent object changes nothing, so
/// that every instance folds the same tickets to the same state.
state apply_ticket(state before, const ticket& change);

/// One object that differs between two states.
struct object_change {
    object_ref object_;
    std::string before_; ///< Canonical JSON; empty: absent before.
    std::string after_;  ///< Canonical JSON; empty: absent after.
};

/// The changed objects, ordered by kind and name.
std::vector<object_change> diff(const state& before, const state& after);

} // namespace pimentoferry::config

#endif
