// Executes the actions of the at-most-once service.

#include "pimentoferry/base/overloaded.hpp"
#include "pimentoferry/entry/control.hpp"

namespace pimentoferry::entry {

void control::perform(const once::action&) {}

} // namespace pimentoferry::entry
