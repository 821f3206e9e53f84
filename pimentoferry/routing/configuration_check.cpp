#include "pimentoferry/routing/configuration_check.hpp"

#include "pimentoferry/routing/route_table.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <iterator>
#include <map>
#include <set>
#include <utility>

namespace pimentoferry::routing {

namespace {

using field_texts = std::vector<std::pair<std::string, std::string>>;

std::string text_of(double value) {
    std::array<char, 32> text{};
    const int size = std::snprintf(text.data(), text.size(), "%.10g", value);
    return {text.data(), static_cast<std::size_t>(size)};
}

std::string text_of(base::milliseconds time) {
    return std::to_string(time.count()) + " ms";
}

std::string text_of(bool value) {
    return value ? "yes" : "no";
}

std::string text_of(call_kind kind) {
    switch (kind) {
    case call_kind::idempotent:
        return "idempotent";
    case call_kind::non_idempotent:
        return "non_idempotent";
    case call_kind::stream:
        return "stream";
    }
    return "unknown";
}

std::string text_of(const std::vector<traffic_share>& shares) {
    std::string text;
    for (const auto& each : shares) {
        text += (text.empty() ? "" : ", ") + each.service_.value_ + ":" +
                text_of(each.weight_);
    }
    return text;
}

class problem_list {
public:
    explicit problem_list(const configuration& checked) : checked_(checked) {}

    std::vector<problem> find() {
        std::ranges::transform(
            checked_.unread_parts_, std::back_inserter(found_),
            [](const unread_part& each) {
                return problem{problem_kind::unreadable, each.object_,
                               each.name_, each.field_, each.detail_};
            });
        check_routes();
        check_services();
        check_accounts();
        return std::move(found_);
    }

private:
    void add(problem_kind kind,
             const std::string& type,
             const std::string& name,
             std::string field,
             std::string detail) {
        found_.push_back({kind, type + " " + name, name, std::move(field),
                          std::move(detail)});
    }

    void check_routes() {
        std::map<std::pair<std::string, std::string>, std::string> first;
        for (const auto& each : checked_.routes_) {
            const std::pair match{canonical_host(each.host_),
                                  each.path_prefix_};
            const auto [found, added] = first.emplace(match, each.name_);
            if (!added) {
                add(problem_kind::no_effect, "route", each.name_, "path_prefix",
                    "route " + found->second +
                        " has the same host and path prefix");
            }
            if (!each.path_prefix_.starts_with('/') ||
                !each.path_prefix_.ends_with('/')) {
                add(problem_kind::no_effect, "route", each.name_, "path_prefix",
                    "it does not begin and end with a slash");
            }
            check_route(each);
        }
    }

    void check_route(const route& each) {
        if (each.closed_) {
            return;
        }
        double weight = 0;
        for (const auto& share : each.services_) {
            weight += share.weight_;
            if (!checked_.services_.contains(share.service_)) {
                add(problem_kind::no_effect, "route", each.name_, "service",
                    "there is no service " + share.service_.value_);
            } else if (share.weight_ == 0) {
                add(problem_kind::no_effect, "route", each.name_, "weight",
                    "service " + share.service_.value_ + " has weight 0");
            }
        }
        if (weight == 0) {
            add(problem_kind::contradiction, "route", each.name_, "weight",
                "all weights are 0");
        }
        if (each.latency_objective_ > each.timeout_) {
            add(problem_kind::contradiction, "route", each.name_,
                "latency_objective",
                text_of(each.latency_objective_) + " is over the timeout of " +
                    text_of(each.timeout_));
        }
        if (each.max_attempts_ == 0) {
            add(problem_kind::contradiction, "route", each.name_,
                "max_attempts", "no replica may be tried");
        }
        const bool runs_once =
            each.kind_ == call_kind::non_idempotent ||
            (each.kind_ == call_kind::stream && !each.resumable_);
        if (each.max_attempts_ > 1 && runs_once) {
            add(problem_kind::contradiction, "route", each.name_,
                "max_attempts", "calls of this kind run once at most");
        }
    }

    void check_services() {
        std::set<base::service_name> used;
        for (const auto& each : checked_.routes_) {
            for (const auto& share : each.services_) {
                used.insert(share.service_);
            }
        }
        for (const auto& [name, service] : checked_.services_) {
            if (!used.contains(name)) {
                add(problem_kind::no_effect, "service", name.value_, "",
                    "no route leads to it");
            }
        }
    }

    void check_accounts() {
        if (!checked_.accounts_) {
            return;
        }
        std::map<std::string, std::string> holders;
        std::set<std::string> names;
        for (const auto& each : *checked_.accounts_) {
            if (each.closed_) {
                continue;
            }
            const auto& name = each.name_.value_;
            if (!names.insert(name).second) {
                add(problem_kind::contradiction, "account", name, "name",
                    "another account has the same name");
            }
            if (each.keys_.empty()) {
                add(problem_kind::no_effect, "account", name, "keys",
                    "it has no key");
            }
            for (const auto& key : each.keys_) {
                const auto [holder, added] = holders.emplace(key, name);
                if (!added && holder->second != name) {
                    add(problem_kind::contradiction, "account", name, "keys",
                        "account " + holder->second +
                            " holds one of its keys; it identifies neither");
                }
            }
            check_quota(each);
        }
    }

    void check_quota(const client_account& account) {
        if (!account.quota_) {
            return;
        }
        const auto& name = account.name_.value_;
        const double least = account.quota_->unit_ == quota_unit::tokens
                                 ? std::max(account.quota_->plain_cost_, 1U)
                                 : 1;
        if (account.quota_->burst_ < least) {
            add(problem_kind::contradiction, "account", name, "burst",
                text_of(account.quota_->burst_) +
                    " is less than one request of " + text_of(least));
        }
        if (account.quota_->per_second_ < least) {
            add(problem_kind::contradiction, "account", name, "per_second",
                text_of(account.quota_->per_second_) +
                    " is less than one request of " + text_of(least));
        }
    }

    const configuration& checked_;
    std::vector<problem> found_;
};

field_texts fields_of(const route& each) {
    return {{"host", each.host_},
            {"path_prefix", each.path_prefix_},
            {"kind", text_of(each.kind_)},
            {"services", text_of(each.services_)},
            {"timeout", text_of(each.timeout_)},
            {"latency_objective", text_of(each.latency_objective_)},
            {"gap_objective", text_of(each.gap_objective_)},
            {"max_attempts", std::to_string(each.max_attempts_)},
            {"priority", std::to_string(each.priority_)},
            {"public", text_of(each.public_)},
            {"resumable", text_of(each.resumable_)}};
}

field_texts fields_of(const service& each) {
    return {{"health_path", each.health_path_},
            {"max_connections", std::to_string(each.max_connections_)},
            {"engine", text_of(each.engine_.has_value())},
            {"slots", each.engine_ ? std::to_string(each.engine_->slots_) : ""},
            {"kv_tokens",
             each.engine_ ? std::to_string(each.engine_->kv_tokens_) : ""}};
}

field_texts fields_of(const client_account& each) {
    const auto& quota = each.quota_;
    return {{"priority",
             each.priority_ ? std::to_string(*each.priority_) : "of the route"},
            {"per_second", quota ? text_of(quota->per_second_) : "no limit"},
            {"burst", quota ? text_of(quota->burst_) : ""},
            {"plain_cost", quota ? std::to_string(quota->plain_cost_) : ""}};
}

std::string object_name(std::string type, const std::string& name) {
    type += ' ';
    type += name;
    return type;
}

class comparison {
public:
    template <class Object>
    void add(const std::string& type,
             const std::map<std::string, Object>& before,
             const std::map<std::string, Object>& after) {
        for (const auto& [name, old] : before) {
            const auto found = after.find(name);
            if (found == after.end()) {
                changes_.push_back({change_kind::removed,
                                    object_name(type, name), "", "", ""});
                continue;
            }
            add_fields(object_name(type, name), fields_of(old),
                       fields_of(found->second));
        }
        for (const auto& [name, added] : after) {
            if (!before.contains(name)) {
                changes_.push_back(
                    {change_kind::added, object_name(type, name), "", "", ""});
            }
        }
    }

    void add_fields(const std::string& object,
                    const field_texts& before,
                    const field_texts& after) {
        for (std::size_t i = 0; i < before.size(); ++i) {
            if (before[i].second != after[i].second) {
                changes_.push_back({change_kind::changed, object,
                                    before[i].first, before[i].second,
                                    after[i].second});
            }
        }
    }

    void add_keys(const std::string& object,
                  const std::set<std::string>& before,
                  const std::set<std::string>& after) {
        const auto missing_in = [](const std::set<std::string>& keys,
                                   const std::set<std::string>& other) {
            return std::ranges::count_if(
                keys, [&](const auto& key) { return !other.contains(key); });
        };
        const auto removed = missing_in(before, after);
        const auto added = missing_in(after, before);
        if (removed + added > 0) {
            changes_.push_back({change_kind::changed, object, "keys",
                                std::to_string(removed) + " taken away",
                                std::to_string(added) + " added"});
        }
    }

    std::vector<configuration_change> take() { return std::move(changes_); }

private:
    std::vector<configuration_change> changes_;
};

template <class Objects, class Name>
auto by_name(const Objects& objects, const Name& name) {
    std::map<std::string, typename Objects::value_type> named;
    for (const auto& each : objects) {
        named.emplace(name(each), each);
    }
    return named;
}

std::map<std::string, service> services_of(const configuration& configuration) {
    std::map<std::string, service> named;
    for (const auto& [name, each] : configuration.services_) {
        named.emplace(name.value_, each);
    }
    return named;
}

} // namespace

std::string_view to_string(problem_kind kind) {
    switch (kind) {
    case problem_kind::unreadable:
        return "unreadable";
    case problem_kind::no_effect:
        return "no_effect";
    case problem_kind::contradiction:
        return "contradiction";
    }
    return "unknown";
}

std::string_view to_string(change_kind kind) {
    switch (kind) {
    case change_kind::added:
        return "added";
    case change_kind::removed:
        return "removed";
    case change_kind::changed:
        return "changed";
    }
    return "unknown";
}

std::vector<problem> find_problems(const configuration& checked) {
    return problem_list{checked}.find();
}

std::vector<configuration_change> compare(const configuration& before,
                                          const configuration& after) {
    comparison compared;
    compared.add_fields("configuration",
                        {{"version", std::to_string(before.version_)}},
                        {{"version", std::to_string(after.version_)}});
    const auto route_name = [](const route& each) { return each.name_; };
    compared.add("route", by_name(before.routes_, route_name),
                 by_name(after.routes_, route_name));
    compared.add("service", services_of(before), services_of(after));
    const auto account_name = [](const client_account& each) {
        return each.name_.value_;
    };
    const auto old_accounts = by_name(
        before.accounts_.value_or(std::vector<client_account>{}), account_name);
    const auto new_accounts = by_name(
        after.accounts_.value_or(std::vector<client_account>{}), account_name);
    compared.add("account", old_accounts, new_accounts);
    for (const auto& [name, account] : old_accounts) {
        const auto found = new_accounts.find(name);
        if (found != new_accounts.end()) {
            const auto keys = [](const client_account& each) {
                return std::set<std::string>{each.keys_.begin(),
                                             each.keys_.end()};
            };
            compared.add_keys("account " + name, keys(account),
                              keys(found->second));
        }
    }
    return compared.take();
}

} // namespace pimentoferry::routing
