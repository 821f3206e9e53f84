/// The version of the software that an upstream instance runs, not of the
/// weights that it serves. Versions have no order.
#ifndef PIMENTOFERRY_BASE_SOFTWARE_VERSION_HPP
#define PIMENTOFERRY_BASE_SOFTWARE_VERSION_HPP

#include "pimentoferry/base/ids.hpp"

namespace pimentoferry::base {

/// Empty: the instance does not name its version.
using software_version = strong_name<struct software_version_tag>;

} // namespace pimentoferry::base

#endif
