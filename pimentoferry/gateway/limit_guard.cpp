#include "pimentoferry/gateway/limit_guard.hpp"

#include "pimentoferry/base/boot_time.hpp"
#include "pimentoferry/base/hash.hpp"
#include "pimentoferry/log/log.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <iterator>

namespace pimentoferry::gateway {

namespace {

constexpr base::milliseconds exchange_interval{500};
constexpr base::milliseconds changes_interval{200};
// A message counts as this old when it arrives, so that evidence is not taken
// for newer than it is.
constexpr base::milliseconds longest_transit{100};
constexpr base::milliseconds unreadable_line_interval{1000};
// How long a gateway that left counts as one that may only be out of reach.
constexpr base::milliseconds fleet_size_kept{30'000};

std::string rate_text(const std::optional<double>& per_second) {
    if (!per_second) {
        return "none";
    }
    std::array<char, 32> text{};
    const int size =
        std::snprintf(text.data(), text.size(), "%.3g", *per_second);
    return {text.data(), static_cast<std::size_t>(size)};
}

heard_limits to_message(const std::vector<routing::announced_limit>& known,
                        base::time_point boot_now) {
    heard_limits message;
    std::ranges::transform(
        known, std::back_inserter(message.limits_),
        [boot_now](const routing::announced_limit& limit) {
            const auto age = [boot_now](base::time_point at) {
                return base::milliseconds{base::age_ms(at, boot_now)};
            };
            return heard_limit{limit.instance_, limit.started_at_ms_,
                               limit.requests_per_s_, age(limit.sent_at_),
                               age(limit.received_at_)};
        });
    return message;
}

} // namespace

routing::limit_change limit_guard::merge(const routing::announced_limit& heard,
                                         std::string_view told_by) {
    const auto before = limits_.limit_of(heard.instance_);
    const auto change = limits_.merge(heard);
    if (change == routing::limit_change::none) {
        return change;
    }
    log::log_info(
        "announced_limit",
        {{"instance", heard.instance_.value_},
         {"change", std::string{to_string(change)}},
         {"requests_per_s", rate_text(limits_.limit_of(heard.instance_))},
         {"before", rate_text(before)},
         {"age_ms",
          std::to_string(base::age_ms(heard.received_at_, base::boot_now()))},
         {"told_by", std::string{told_by}}});
    update_allowances(base::clock::now());
    return change;
}

void limit_guard::update_fleet_size(base::time_point now) {
    const auto live = static_cast<std::uint32_t>(peers_.live().size());
    if (live >= largest_fleet_ || now - largest_fleet_at_ > fleet_size_kept) {
        largest_fleet_ = live;
        largest_fleet_at_ = now;
    }
}

base::instance_id
limit_guard::owner_of(const base::service_name& service) const {
    return peers_.owner_of(service, shared_.settings_.region_);
}

std::vector<base::upstream_name> limit_guard::owned_instances() const {
    std::vector<base::upstream_name> owned;
    for (const auto& [instance, counts] : counts_for_fleet_) {
        if (counts) {
            owned.push_back(instance);
        }
    }
    return owned;
}

// What another gateway counted as the owner is unknown to a new one, which
// therefore starts with nothing. A gateway that is not the owner starts with a
// random part of a request: all of them begin to send on their own account at
// the same time, when the owner is lost.
void limit_guard::update_allowances(base::time_point now) {
    const auto live = static_cast<std::uint32_t>(peers_.live().size());
    auto& allowances = shared_.allowances_;
    std::map<base::service_name, bool> owned;
    std::map<base::upstream_name, bool> counts;
    for (const auto& each : limits_.all()) {
        const auto* instance =
            shared_.registry_.instances().find_usable(each.instance_, now);
        if (!each.requests_per_s_ || instance == nullptr) {
            continue;
        }
        const auto [service, added] =
            owned.try_emplace(instance->service_, false);
        if (added) {
            service->second = owner_of(instance->service_) == peers_.self();
        }
        const bool owns = service->second;
        counts[each.instance_] = owns;
        const auto before = counts_for_fleet_.find(each.instance_);
        if (before != counts_for_fleet_.end() && before->second != owns) {
            allowances.erase(each.instance_);
        }
        const double share = requests::limit_share(owns, live, largest_fleet_);
        allowances.set(each.instance_, *each.requests_per_s_ * share,
                       owns ? 0 : shared_.random_fraction(), now);
    }
    counts_for_fleet_ = std::move(counts);
    allowances.retain([this](const base::upstream_name& instance) {
        return counts_for_fleet_.contains(instance);
    });
}

void limit_guard::member_changed(base::time_point now) {
    update_fleet_size(now);
    if (!limits_.all().empty()) {
        update_allowances(now);
    }
}

void limit_guard::log_unreadable(const base::upstream_name& instance,
                                 const std::string& text,
                                 base::time_point now) {
    if (now >= next_unreadable_line_) {
        next_unreadable_line_ = now + unreadable_line_interval;
        log::log_warn("announced_limit_unreadable",
                      {{"instance", instance.value_},
                       {"text", text},
                       {"in_force", limit_text(instance)}});
    }
}

void limit_guard::answer_received(const routing::instance& instance,
                                  const http::field_list& fields,
                                  base::time_point sent_at) {
    const auto statement = shared_.protocol_.read_limit_(fields);
    const auto boot_now = base::boot_now();
    if (const auto* unreadable = std::get_if<unreadable_limit>(&statement)) {
        log_unreadable(instance.id_, unreadable->text_, boot_now);
        return;
    }
    routing::announced_limit heard{instance.id_, instance.started_at_ms_,
                                   std::nullopt, sent_at, boot_now};
    if (const auto* limit = std::get_if<requests_limit>(&statement)) {
        heard.requests_per_s_ = limit->per_second_;
    }
    switch (merge(heard, "own_request")) {
    case routing::limit_change::begun:
        peers_.send_to_all(to_message({heard}, boot_now));
        break;
    case routing::limit_change::changed:
    case routing::limit_change::ended:
        unsent_.insert(heard.instance_);
        break;
    case routing::limit_change::none:
        break;
    }
}

// A limit may change with every answer, so changes are sent together.
void limit_guard::send_changes(base::time_point boot_now) {
    auto changed = limits_.all();
    std::erase_if(changed, [this](const routing::announced_limit& each) {
        return !unsent_.contains(each.instance_);
    });
    unsent_.clear();
    if (!changed.empty()) {
        peers_.send_to_all(to_message(changed, boot_now));
    }
}

void limit_guard::receive(base::instance_id from, const heard_limits& message) {
    const auto boot_now = base::boot_now();
    const auto now = base::clock::now();
    for (const auto& each : message.limits_) {
        const routing::announced_limit heard{
            each.instance_, each.started_at_ms_, each.requests_per_s_,
            boot_now - each.sent_age_ - longest_transit,
            boot_now - each.received_age_};
        if (is_current(heard, now)) {
            merge(heard, base::to_hex(from.value_));
        }
    }
}

std::string limit_guard::limit_text(const base::upstream_name& instance) const {
    return rate_text(limits_.limit_of(instance));
}

bool limit_guard::is_current(const routing::announced_limit& heard,
                             base::time_point now) const {
    const auto* instance =
        shared_.registry_.instances().find_usable(heard.instance_, now);
    return instance != nullptr &&
           instance->started_at_ms_ <= heard.started_at_ms_;
}

void limit_guard::tick(base::time_point now) {
    if (now >= next_changes_ && !unsent_.empty()) {
        next_changes_ = now + changes_interval;
        send_changes(base::boot_now());
    }
    if (now < next_exchange_) {
        return;
    }
    next_exchange_ = now + exchange_interval;
    limits_.retain(
        [this, now](const routing::announced_limit& known) {
            return is_current(known, now);
        },
        base::boot_now());
    update_fleet_size(now);
    const auto known = limits_.all();
    if (!known.empty() || !counts_for_fleet_.empty()) {
        update_allowances(now);
    }
    shared_.metrics_.set_gauge(
        "limited_instances",
        static_cast<double>(std::ranges::count_if(known, [](const auto& each) {
            return each.requests_per_s_.has_value();
        })));
    if (!known.empty()) {
        peers_.send_to_random(to_message(known, base::boot_now()));
    }
}

} // namespace pimentoferry::gateway
