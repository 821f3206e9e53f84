#include "pimentoferry/placement/cell_scheduler.hpp"

#include "pimentoferry/placement/cell_core.hpp"

namespace pimentoferry::placement {

cell_scheduler::cell_scheduler(const scheduler_settings& settings)
    : core_{std::make_unique<internal::cell_core>(settings)} {}

cell_scheduler::~cell_scheduler() = default;
cell_scheduler::cell_scheduler(cell_scheduler&&) noexcept = default;
cell_scheduler& cell_scheduler::operator=(cell_scheduler&&) noexcept = default;

std::vector<action> cell_scheduler::handle(const event& e,
                                           base::time_point now) {
    return core_->handle(e, now);
}

std::optional<base::time_point> cell_scheduler::next_wakeup() const {
    return core_->next_wakeup();
}

void cell_scheduler::configure(const scheduler_settings& settings) {
    core_->configure(settings);
}

cell_usage cell_scheduler::usage() const {
    return core_->usage();
}

} // namespace pimentoferry::placement
