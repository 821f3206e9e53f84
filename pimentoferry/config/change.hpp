/// Applies tickets to a state and compares states.
///
/// The header is valid C++17 because the parser needs that language level.
#ifndef PIMENTOFERRY_CONFIG_CHANGE_HPP
#define PIMENTOFERRY_CONFIG_CHANGE_HPP

#include "pimentoferry/config/state.hpp"

#include <string>
#include <vector>

namespace pimentoferry::config {

/// Returns `kind/name`, such as `deployments/chat`, or `policy` for the policy,
/// which has no name.
std::string to_string(const object_ref& reference);

/// Returns the objects that a ticket sets or removes.
std::vector<object_ref> touched_objects(const ticket& value);

/// Returns the state after the ticket. Removing an absent object has no effect,
/// so that all instances that apply the same tickets reach the same state.
state apply_ticket(state before, const ticket& change);

/// One object that differs between two states.
struct object_change {
    object_ref object_;
    std::string before_; ///< Canonical JSON; empty when absent before.
    std::string after_;  ///< Canonical JSON; empty when absent after.
};

/// Returns the changed objects, ordered by kind and name.
std::vector<object_change> diff(const state& before, const state& after);

} // namespace pimentoferry::config

#endif
