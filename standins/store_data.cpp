#include "standins/store_data.hpp"

#include <utility>

namespace pimentoferry::standins {

revision store_data::current(const std::string& key) const {
    const auto found = values_.find(key);
    return found == values_.end() ? 0 : found->second.revision_;
}

const store_value* store_data::get(const std::string& key, time_point now) {
    expire(now);
    const auto found = values_.find(key);
    return found == values_.end() ? nullptr : &found->second;
}

store_outcome store_data::put(const std::string& key,
                              std::string bytes,
                              revision expected,
                              lease_number lease,
                              time_point now) {
    expire(now);
    if (lease != 0 && !leases_.contains(lease)) {
        return store_no_lease{};
    }
    if (current(key) != expected) {
        return store_conflict{current(key)};
    }
    values_[key] = store_value{std::move(bytes), ++last_, lease};
    deleted_.erase(key);
    return store_written{last_};
}

store_outcome
store_data::erase(const std::string& key, revision expected, time_point now) {
    expire(now);
    const auto found = values_.find(key);
    if (found == values_.end() || found->second.revision_ != expected) {
        return store_conflict{current(key)};
    }
    values_.erase(found);
    deleted_[key] = ++last_;
    return store_written{last_};
}

std::vector<store_change> store_data::list(const std::string& prefix,
                                           time_point now) {
    expire(now);
    std::vector<store_change> result;
    for (auto at = values_.lower_bound(prefix);
         at != values_.end() && at->first.starts_with(prefix); ++at) {
        result.push_back({at->first, at->second.revision_, false});
    }
    return result;
}

std::vector<store_change>
store_data::changes(const std::string& prefix, revision after, time_point now) {
    auto result = list(prefix, now);
    std::erase_if(result, [after](const store_change& change) {
        return change.revision_ <= after;
    });
    for (auto at = deleted_.lower_bound(prefix);
         at != deleted_.end() && at->first.starts_with(prefix); ++at) {
        if (at->second > after) {
            result.push_back({at->first, at->second, true});
        }
    }
    return result;
}

lease_number store_data::grant(milliseconds ttl, time_point now) {
    leases_[++last_lease_] = lease{ttl, now + ttl};
    return last_lease_;
}

bool store_data::renew(lease_number number, time_point now) {
    expire(now);
    const auto found = leases_.find(number);
    if (found == leases_.end()) {
        return false;
    }
    found->second.expires_ = now + found->second.ttl_;
    return true;
}

bool store_data::has_lease(lease_number number, time_point now) {
    expire(now);
    return leases_.contains(number);
}

bool store_data::revoke(lease_number number, time_point now) {
    expire(now);
    if (leases_.erase(number) == 0) {
        return false;
    }
    remove_lease_keys(number);
    return true;
}

void store_data::drop_leases() {
    leases_.clear();
    std::erase_if(values_,
                  [](const auto& entry) { return entry.second.lease_ != 0; });
}

bool store_data::remove_lease_keys(lease_number number) {
    bool removed = false;
    for (auto at = values_.begin(); at != values_.end();) {
        if (at->second.lease_ != number) {
            ++at;
            continue;
        }
        deleted_[at->first] = ++last_;
        at = values_.erase(at);
        removed = true;
    }
    return removed;
}

bool store_data::expire(time_point now) {
    bool removed = false;
    for (auto at = leases_.begin(); at != leases_.end();) {
        if (at->second.expires_ > now) {
            ++at;
            continue;
        }
        removed = remove_lease_keys(at->first) || removed;
        at = leases_.erase(at);
    }
    return removed;
}

} // namespace pimentoferry::standins
