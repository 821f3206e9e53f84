/// Checks the rules that span several objects of a state.
///
///     if (auto error = config::check_state(state)) { refuse(*error); }
///
/// The header is valid C++17 because the parser needs that language level.
#ifndef PIMENTOFERRY_CONFIG_CHECK_HPP
#define PIMENTOFERRY_CONFIG_CHECK_HPP

#include "pimentoferry/config/error.hpp"
#include "pimentoferry/config/state.hpp"

#include <cstddef>
#include <optional>

namespace pimentoferry::config {

/// Bounded because one cell owner tracks all engines of its cell.
inline constexpr std::size_t max_engines_per_cell = 16;

/// Returns the first violated rule, or nullopt. The rules: every named caller,
/// deployment and service exists; no two upstreams share an address; no two
/// callers share a key; a caller is in at most one override of a deployment;
/// a cell has engines of one deployment, and at most 16 of them.
std::optional<config_error> check_state(const state& value);

} // namespace pimentoferry::config

#endif
