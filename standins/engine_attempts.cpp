#include "standins/engine_attempts.hpp"

#include <algorithm>
#include <numeric>

namespace pimentoferry::standins {
namespace {

// Number of cancelled attempt ids that an engine remembers; section 9.3 of
// the design page.
constexpr std::size_t max_cancelled = 100'000;

} // namespace

const char* to_string(attempt_stage stage) {
    switch (stage) {
    case attempt_stage::queued:
        return "queued";
    case attempt_stage::prefilling:
        return "prefilling";
    case attempt_stage::prefilled:
        return "prefilled";
    case attempt_stage::importing:
        return "importing";
    case attempt_stage::ready:
        return "ready";
    case attempt_stage::decoding:
        return "decoding";
    }
    return "unknown";
}

admission attempt_table::admit(const attempt_ptr& added,
                               std::int64_t slots,
                               std::int64_t kv_blocks) {
    if (is_cancelled(added->id_)) {
        return admission::cancelled;
    }
    if (held_.contains(added->id_)) {
        return admission::duplicate;
    }
    if (slots_held() + 1 > slots ||
        kv_blocks_held() + added->kv_blocks_ > kv_blocks) {
        return admission::full;
    }
    held_.emplace(added->id_, added);
    return admission::admitted;
}

attempt_ptr attempt_table::find(const std::string& id) const {
    const auto found = held_.find(id);
    return found == held_.end() ? nullptr : found->second;
}

attempt_ptr attempt_table::find_handle(const std::string& handle) const {
    const auto found = std::ranges::find_if(held_, [&](const auto& held) {
        return !handle.empty() && held.second->handle_ == handle;
    });
    return found == held_.end() ? nullptr : found->second;
}

attempt_ptr attempt_table::release(const std::string& id) {
    const auto found = held_.find(id);
    if (found == held_.end()) {
        return nullptr;
    }
    auto released = found->second;
    held_.erase(found);
    released->released_ = true;
    released->wake_.cancel();
    if (const auto transfer = released->transfer_.lock()) {
        transfer->cancel();
    }
    return released;
}

attempt_ptr attempt_table::cancel(const std::string& id) {
    if (cancelled_.insert(id).second) {
        cancelled_order_.push_back(id);
    }
    if (cancelled_order_.size() > max_cancelled) {
        cancelled_.erase(cancelled_order_.front());
        cancelled_order_.pop_front();
    }
    return release(id);
}

bool attempt_table::is_cancelled(const std::string& id) const {
    return cancelled_.contains(id);
}

std::vector<attempt_ptr> attempt_table::expired(time_point now) const {
    std::vector<attempt_ptr> result;
    for (const auto& [id, held] : held_) {
        const auto end = held->release_at_.value_or(time_point::max());
        if (end <= now && held->exports_ == 0) {
            result.push_back(held);
        }
    }
    return result;
}

std::int64_t attempt_table::slots_held() const {
    return std::ranges::count_if(
        held_, [](const auto& held) { return held.second->holds_slot_; });
}

std::int64_t attempt_table::kv_blocks_held() const {
    return std::accumulate(held_.begin(), held_.end(), std::int64_t{0},
                           [](std::int64_t sum, const auto& held) {
                               return sum + held.second->kv_blocks_;
                           });
}

} // namespace pimentoferry::standins
