#include "pimentoferry/entry/replica_set.hpp"

#include <algorithm>
#include <iterator>

namespace pimentoferry::entry {

namespace {

constexpr std::uint32_t failures_before_ejection = 3;
constexpr base::milliseconds min_ejection{2000};
constexpr base::milliseconds max_ejection{30000};

template <class Predicate>
std::vector<replica> matching(const std::vector<replica>& candidates,
                              Predicate predicate) {
    std::vector<replica> result;
    std::ranges::copy_if(candidates, std::back_inserter(result), predicate);
    return result;
}

} // namespace

std::optional<replica>
replica_set::choose(const std::vector<replica>& candidates,
                    const std::set<base::upstream_name>& excluded,
                    const base::failure_domain& own_domain,
                    base::time_point now) {
    auto usable = matching(candidates, [&excluded](const replica& r) {
        return !excluded.contains(r.name_);
    });
    if (usable.empty()) {
        return std::nullopt;
    }
    auto healthy = matching(usable, [this, now](const replica& r) {
        return !is_ejected(r.name_, now);
    });
    if (!healthy.empty()) {
        usable = std::move(healthy);
    }
    auto same_domain = matching(usable, [&own_domain](const replica& r) {
        return r.failure_domain_ == own_domain;
    });
    return pick_less_loaded(same_domain.empty() ? usable : same_domain);
}

const replica&
replica_set::pick_less_loaded(const std::vector<replica>& candidates) {
    std::uniform_int_distribution<std::size_t> index{0, candidates.size() - 1};
    const auto& first = candidates[index(random_)];
    const auto& second = candidates[index(random_)];
    return records_[first.name_].in_flight_ <= records_[second.name_].in_flight_
               ? first
               : second;
}

void replica_set::call_started(const base::upstream_name& name) {
    ++records_[name].in_flight_;
}

void replica_set::call_ended(const base::upstream_name& name,
                             bool failed,
                             base::time_point now) {
    auto& record = records_[name];
    record.in_flight_ -= record.in_flight_ > 0 ? 1 : 0;
    if (!failed) {
        record.failures_ = 0;
        record.ejection_duration_ = {};
        return;
    }
    ++record.failures_;
    if (record.failures_ >= failures_before_ejection) {
        record.ejection_duration_ = std::clamp(2 * record.ejection_duration_,
                                               min_ejection, max_ejection);
        record.ejected_until_ = now + record.ejection_duration_;
    }
}

bool replica_set::is_ejected(const base::upstream_name& name,
                             base::time_point now) const {
    const auto found = records_.find(name);
    return found != records_.end() && found->second.ejected_until_ > now;
}

} // namespace pimentoferry::entry
