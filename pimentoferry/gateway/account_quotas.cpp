#include "pimentoferry/gateway/account_quotas.hpp"

#include "pimentoferry/base/boot_time.hpp"
#include "pimentoferry/base/hash.hpp"
#include "pimentoferry/http/json.hpp"
#include "pimentoferry/log/log.hpp"
#include "pimentoferry/membership/ownership.hpp"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <iterator>
#include <set>

namespace pimentoferry::gateway {

namespace {

// The owner replies within a few ms.
constexpr base::milliseconds owner_reply_timeout{100};
constexpr base::milliseconds owner_bypass_duration{1500};
// After this time a gateway that has met no other one is alone.
constexpr base::milliseconds membership_settling_time{3000};
constexpr base::milliseconds levels_interval{500};

std::string units_text(double units) {
    return std::to_string(static_cast<std::int64_t>(units));
}

base::instance_id owner_among(const std::vector<membership::member>& candidates,
                              const base::account_name& account,
                              base::instance_id self) {
    const auto key = "account/" + account.value_;
    const auto owner =
        std::ranges::max_element(candidates, {}, [&key](const auto& member) {
            return base::rendezvous_score(key, member.instance_.value_);
        });
    return owner != candidates.end() ? owner->instance_ : self;
}

} // namespace

std::string_view to_string(quota_decider decider) {
    switch (decider) {
    case quota_decider::none:
        return "none";
    case quota_decider::share:
        return "share";
    case quota_decider::owner:
        return "owner";
    case quota_decider::alone:
        return "alone";
    }
    return "unknown";
}

rates::rate_terms
account_quotas::terms_of(const routing::account_quota& quota) const {
    return with_tolerance({quota.per_second_, quota.burst_}, tolerance_);
}

void account_quotas::set_accounts(
    const std::vector<routing::client_account>& accounts) {
    const auto now = base::boot_now();
    std::set<base::account_name> limited;
    for (const auto& each : accounts) {
        if (!each.quota_) {
            continue;
        }
        limited.insert(each.name_);
        auto& state = accounts_[each.name_];
        state.quota_ = *each.quota_;
        share_.set(each.name_.value_, terms_of(*each.quota_), now);
    }
    std::erase_if(accounts_, [&limited](const auto& each) {
        return !limited.contains(each.first);
    });
    share_.retain([&limited](const std::string& id) {
        return limited.contains(base::account_name{id});
    });
    update_owners(now);
}

void account_quotas::update_fleet(std::size_t live, base::time_point boot_now) {
    fleet_.update(static_cast<std::uint32_t>(live), boot_now);
    share_.set_fleet(fleet_.largest());
    share_.set_detached(fleet_.live() * 2 < fleet_.largest());
    ledger_.set_part(fleet_.reachable_part(), boot_now);
}

// Rates that this gateway owns are counted from their first moment on, with
// what `rates::rate_ledger` allows a new owner.
void account_quotas::update_owners(base::time_point boot_now) {
    members_changed_ = false;
    const auto live = peers_.live();
    update_fleet(live.size(), boot_now);
    const auto candidates = membership::strongest(live);
    for (auto& [account, state] : accounts_) {
        const auto owner = owner_among(candidates, account, peers_.self());
        if (owner != state.owner_) {
            log::log_info("quota_owner",
                          {{"account", account.value_},
                           {"owner", base::to_hex(owner.value_)},
                           {"before", base::to_hex(state.owner_.value_)}});
            state.owner_ = owner;
            state.owner_heard_.reset();
        }
        if (owner == peers_.self()) {
            ledger_.set(account.value_, terms_of(state.quota_), boot_now);
        }
    }
    ledger_.retain([this](const std::string& id) {
        const auto found = accounts_.find(base::account_name{id});
        return found != accounts_.end() &&
               found->second.owner_ == peers_.self();
    });
}

bool account_quotas::knows_fleet() const {
    return fleet_.largest() > 1 ||
           base::clock::now() - started_at_ >= membership_settling_time;
}

credit_reply account_quotas::decide_as_owner(base::attempt_id attempt,
                                             const base::account_name& account,
                                             double amount,
                                             base::time_point boot_now) {
    credit_reply reply{attempt, account, amount, false, {}, true};
    const auto decided = ledger_.request(account.value_, amount, boot_now);
    // An account that this gateway does not own by its own view: the sender
    // uses its share.
    if (!decided) {
        reply.wait_ = owner_bypass_duration;
        return reply;
    }
    reply.granted_ = std::holds_alternative<rates::rate_granted>(*decided);
    if (const auto* refused = std::get_if<rates::rate_refused>(&*decided)) {
        reply.wait_ = refused->wait_;
    }
    reply.scarce_ = ledger_.state(account.value_, boot_now)->scarce_;
    return reply;
}

quota_decision account_quotas::decide_alone(const base::account_name& account,
                                            double amount,
                                            base::time_point boot_now) {
    const auto decided = share_.admit_alone(account.value_, amount, boot_now);
    if (std::holds_alternative<rates::over_rate>(decided)) {
        return quota_undecided{
            "the gateway that counts for the account cannot be reached, and "
            "the own share is used up"};
    }
    return quota_admitted{quota_decider::alone};
}

http::awaitable<quota_decision>
account_quotas::ask_owner_of(base::account_name account, double amount) {
    const auto found = accounts_.find(account);
    const auto owner =
        found != accounts_.end() ? found->second.owner_ : base::instance_id{};
    const base::attempt_id attempt{peers_.self(), ++last_attempt_};
    auto pending = std::make_shared<pending_credit>(io_);
    if (owner == peers_.self()) {
        pending->reply_ =
            decide_as_owner(attempt, account, amount, base::boot_now());
    } else {
        pending_.emplace(attempt, pending);
        peers_.send(owner, credit_request{attempt, account, amount});
        (void)co_await pending->signal_.wait_until(base::clock::now() +
                                                   owner_reply_timeout);
        pending_.erase(attempt);
    }
    const auto now = base::boot_now();
    if (!pending->reply_) {
        log::log_warn("quota_owner_silent",
                      {{"account", account.value_},
                       {"owner", base::to_hex(owner.value_)}});
        bypassed_[owner] = base::clock::now() + owner_bypass_duration;
        co_return decide_alone(account, amount, now);
    }
    const auto& reply = *pending->reply_;
    share_.owner_said(account.value_, reply.scarce_);
    if (reply.granted_) {
        co_return quota_admitted{quota_decider::owner};
    }
    share_.owner_refused(account.value_, reply.wait_, now);
    co_return quota_exceeded{reply.wait_, quota_decider::owner};
}

http::awaitable<quota_decision>
account_quotas::admit(base::account_name account, double amount) {
    const auto now = base::boot_now();
    const auto found = accounts_.find(account);
    if (found == accounts_.end()) {
        co_return quota_admitted{};
    }
    if (!knows_fleet()) {
        co_return quota_undecided{"the gateway has met no other one yet"};
    }
    const auto owner = found->second.owner_;
    const auto bypass = bypassed_.find(owner);
    const bool alone =
        fleet_.live() * 2 < fleet_.largest() ||
        (bypass != bypassed_.end() && bypass->second > base::clock::now());
    quota_decision decision;
    if (alone) {
        decision = decide_alone(account, amount, now);
    } else {
        const auto local = share_.admit(account.value_, amount, now);
        if (std::holds_alternative<rates::admitted>(local)) {
            decision = quota_admitted{quota_decider::share};
        } else if (const auto* over = std::get_if<rates::over_rate>(&local)) {
            decision = quota_exceeded{over->wait_, quota_decider::share};
        } else {
            decision = co_await ask_owner_of(account, amount);
        }
    }
    send_reports(now);
    // The wait for the owner may have seen another configuration.
    const auto counted = accounts_.find(account);
    const bool is_admitted = std::holds_alternative<quota_admitted>(decision);
    counters_.count_quota(account.value_, is_admitted ? "admitted" : "refused",
                          is_admitted ? amount : 1);
    if (counted != accounts_.end()) {
        counted->second.admitted_units_ += is_admitted ? amount : 0;
        counted->second.refused_ += is_admitted ? 0 : 1;
    }
    if (const auto* exceeded = std::get_if<quota_exceeded>(&decision)) {
        log_refusal(account, amount, *exceeded, now);
    }
    co_return decision;
}

std::string account_quotas::owner_age_text(const base::account_name& account,
                                           base::time_point boot_now) const {
    const auto found = accounts_.find(account);
    if (found == accounts_.end() || !found->second.owner_heard_) {
        return "none";
    }
    return std::to_string(base::age_ms(*found->second.owner_heard_, boot_now));
}

void account_quotas::log_refusal(const base::account_name& account,
                                 double amount,
                                 const quota_exceeded& exceeded,
                                 base::time_point boot_now) {
    const auto state = ledger_.state(account.value_, boot_now);
    log::log_info("quota_exceeded",
                  {{"account", account.value_},
                   {"cost", units_text(amount)},
                   {"decided_by", std::string{to_string(exceeded.decider_)}},
                   {"level", state ? units_text(state->level_) : "at_owner"},
                   {"owner_heard_ms", owner_age_text(account, boot_now)},
                   {"wait_ms", std::to_string(exceeded.wait_.count())}});
}

void account_quotas::give_back(const base::account_name& account,
                               double amount) {
    const auto now = base::boot_now();
    share_.note_use(account.value_, -amount, now);
    const auto found = accounts_.find(account);
    if (found != accounts_.end()) {
        found->second.admitted_units_ -= amount;
    }
    send_reports(now);
}

void account_quotas::send_reports(base::time_point boot_now) {
    std::map<base::instance_id, account_use_report> by_owner;
    for (const auto& report : share_.take_reports(boot_now)) {
        const base::account_name account{report.id_};
        const auto owner = accounts_.at(account).owner_;
        if (owner == peers_.self()) {
            ledger_.charge(report.id_, report.amount_, boot_now);
            share_.confirmed(report.id_, report.sequence_);
            share_.owner_said(report.id_, ledger_.state(report.id_, boot_now)
                                              .value_or(rates::rate_state{})
                                              .scarce_);
            continue;
        }
        by_owner[owner].uses_.push_back(
            {account, report.amount_, report.sequence_});
    }
    std::ranges::for_each(by_owner, [this](const auto& each) {
        peers_.send(each.first, each.second);
    });
}

void account_quotas::receive(base::instance_id from,
                             const account_use_report& message) {
    const auto now = base::boot_now();
    account_use_confirmation confirmation;
    for (const auto& use : message.uses_) {
        const auto& id = use.account_.value_;
        ledger_.charge(id, use.amount_, now);
        const auto state = ledger_.state(id, now);
        // An owner that does not know the account yet confirms nothing, so that
        // the use is reported once more.
        if (state) {
            confirmation.uses_.push_back(
                {use.account_, use.sequence_, state->scarce_});
        }
    }
    if (!confirmation.uses_.empty()) {
        peers_.send(from, std::move(confirmation));
    }
}

void account_quotas::receive(const account_use_confirmation& message) {
    const auto now = base::boot_now();
    for (const auto& use : message.uses_) {
        share_.confirmed(use.account_.value_, use.sequence_);
        share_.owner_said(use.account_.value_, use.scarce_);
        const auto found = accounts_.find(use.account_);
        if (found != accounts_.end()) {
            found->second.owner_heard_ = now;
        }
    }
}

void account_quotas::receive(base::instance_id from,
                             const credit_request& message) {
    peers_.send(from, decide_as_owner(message.attempt_, message.account_,
                                      message.amount_, base::boot_now()));
}

void account_quotas::receive(const credit_reply& message) {
    const auto account = accounts_.find(message.account_);
    if (account != accounts_.end()) {
        account->second.owner_heard_ = base::boot_now();
    }
    const auto found = pending_.find(message.attempt_);
    if (found != pending_.end()) {
        found->second->reply_ = message;
        found->second->signal_.wake();
    } else if (message.granted_) {
        // The request was decided without this late grant.
        share_.note_use(message.account_.value_, -message.amount_,
                        base::boot_now());
    }
}

void account_quotas::receive(const account_levels& message) {
    const auto now = base::boot_now();
    const auto take = [&](const std::vector<base::account_name>& accounts,
                          bool is_scarce) {
        for (const auto& each : accounts) {
            share_.owner_said(each.value_, is_scarce);
            const auto found = accounts_.find(each);
            if (found != accounts_.end()) {
                found->second.owner_heard_ = now;
            }
        }
    };
    take(message.scarce_, true);
    take(message.ample_, false);
}

// Tells all gateways which accounts are scarce, at once when one becomes so,
// and which are no longer.
void account_quotas::send_levels(base::time_point boot_now) {
    auto scarce = ledger_.scarce(boot_now);
    const bool changed = scarce != scarce_;
    const bool due = boot_now >= next_levels_;
    if (!changed && (!due || scarce.empty())) {
        return;
    }
    next_levels_ = boot_now + levels_interval;
    account_levels message;
    std::vector<std::string> ended;
    std::ranges::set_difference(scarce_, scarce, std::back_inserter(ended));
    const auto to_name = [](const std::string& id) {
        return base::account_name{id};
    };
    std::ranges::transform(scarce, std::back_inserter(message.scarce_),
                           to_name);
    std::ranges::transform(ended, std::back_inserter(message.ample_), to_name);
    scarce_ = std::move(scarce);
    peers_.send_to_all(message);
    receive(message);
}

void account_quotas::tick() {
    if (accounts_.empty()) {
        return;
    }
    const auto now = base::boot_now();
    std::erase_if(bypassed_, [now = base::clock::now()](const auto& entry) {
        return entry.second <= now;
    });
    if (members_changed_) {
        update_owners(now);
    } else {
        // A gateway that left counts as running for some time.
        update_fleet(fleet_.live(), now);
    }
    for (const auto& id : share_.take_unconfirmed(now)) {
        const auto owner = accounts_.at(base::account_name{id}).owner_;
        bypassed_[owner] = base::clock::now() + owner_bypass_duration;
    }
    send_reports(now);
    send_levels(now);
}

std::string account_quotas::use_as_json() const {
    const auto now = base::boot_now();
    Json::Value accounts{Json::arrayValue};
    for (const auto& [name, state] : accounts_) {
        Json::Value each{Json::objectValue};
        each["account"] = name.value_;
        each["unit"] = state.quota_.unit_ == routing::quota_unit::tokens
                           ? "tokens"
                           : "requests";
        each["per_second"] = state.quota_.per_second_;
        each["burst"] = state.quota_.burst_;
        each["owner"] = base::to_hex(state.owner_.value_);
        each["admitted_units_here"] = state.admitted_units_;
        each["refused_here"] = static_cast<Json::UInt64>(state.refused_);
        if (const auto level = ledger_.state(name.value_, now)) {
            each["level"] = level->level_;
            each["scarce"] = level->scarce_;
        }
        if (state.owner_heard_) {
            each["owner_heard_ms"] = static_cast<Json::Int64>(
                base::age_ms(*state.owner_heard_, now));
        }
        accounts.append(std::move(each));
    }
    Json::Value body{Json::objectValue};
    body["accounts"] = std::move(accounts);
    return http::write_json(body);
}

} // namespace pimentoferry::gateway
