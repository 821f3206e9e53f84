#include "pimentoferry/gateway/registry.hpp"

#include "pimentoferry/log/log.hpp"

#include <algorithm>
#include <string>

namespace pimentoferry::gateway {

namespace {

std::string stage_text(const routing::instance& instance) {
    if (!instance.stage_) {
        return "plain";
    }
    return *instance.stage_ == routing::engine_stage::prefill ? "prefill"
                                                              : "decode";
}

} // namespace

void registry::apply_accounts(routing::configuration& next) {
    if (!next.accounts_) {
        account_keys_ = nullptr;
        return;
    }
    auto table = accounts::make_key_table(*next.accounts_, hash_secret_);
    std::ranges::for_each(table.shared_keys_, [&](const auto& shared) {
        log::log_warn("account_key_shared",
                      {{"version", std::to_string(next.version_)},
                       {"account", shared.first_.value_},
                       {"other_account", shared.second_.value_}});
    });
    std::ranges::for_each(*next.accounts_, [](routing::client_account& each) {
        each.keys_.clear();
    });
    account_keys_ =
        std::make_shared<const accounts::key_table>(std::move(table));
}

registry_change registry::apply_configuration(const store::item& item) {
    auto read = codec_.read_configuration_(item.value_);
    if (const auto* failure = std::get_if<unreadable>(&read)) {
        log::log_error("configuration_unreadable",
                       {{"revision", std::to_string(item.revision_)},
                        {"reason", failure->reason_}});
        unreadable_ = unreadable_configuration{item.revision_, *failure};
        return registry_change::nothing;
    }
    unreadable_.reset();
    auto& next = std::get<routing::configuration>(read);
    const auto before = routes_ ? routes_->version() : 0;
    if (routes_ && next.version_ <= before) {
        log::log_warn("configuration_ignored",
                      {{"version", std::to_string(next.version_)},
                       {"in_force", std::to_string(before)}});
        return registry_change::nothing;
    }
    log::log_info(
        "configuration",
        {{"version", std::to_string(next.version_)},
         {"before", std::to_string(before)},
         {"revision", std::to_string(item.revision_)},
         {"routes", std::to_string(next.routes_.size())},
         {"accounts",
          next.accounts_ ? std::to_string(next.accounts_->size()) : "none"},
         {"unread_parts", std::to_string(next.unread_parts_.size())}});
    std::ranges::for_each(
        next.unread_parts_, [&next](const routing::unread_part& each) {
            log::log_error("configuration_part_unreadable",
                           {{"version", std::to_string(next.version_)},
                            {"object", each.object_},
                            {"field", each.field_},
                            {"reason", each.detail_}});
        });
    apply_accounts(next);
    routes_ = std::make_shared<const routing::route_table>(std::move(next));
    return registry_change::configuration;
}

registry_change registry::apply_instance(std::string_view id,
                                         const store::item& item,
                                         const change_origin& origin,
                                         base::time_point now) {
    auto read = codec_.read_instance_(id, item.value_);
    if (const auto* failure = std::get_if<unreadable>(&read)) {
        log::log_warn("registration_unreadable",
                      {{"instance", std::string{id}},
                       {"revision", std::to_string(item.revision_)},
                       {"reason", failure->reason_}});
        instances_.erase(base::upstream_name{std::string{id}});
        return registry_change::instances;
    }
    auto& instance = std::get<routing::instance>(read);
    log::log_info("instance",
                  {{"instance", instance.id_.value_},
                   {"service", instance.service_.value_},
                   {"address", base::to_string(instance.address_)},
                   {"state", instance.draining_ ? "draining" : "ready"},
                   {"stage", stage_text(instance)},
                   {"software_version", instance.software_version_.value_},
                   {"revision", std::to_string(item.revision_)}});
    const auto id_put = instance.id_;
    const auto result = origin.from_copy_
                            ? instances_.put_from_copy(std::move(instance), now)
                            : instances_.put(std::move(instance));
    if (result != routing::put_result::taken) {
        log::log_warn("instance_outdated",
                      {{"instance", id_put.value_},
                       {"reason", std::string{to_string(result)}},
                       {"received_by", std::string{origin.received_by_}},
                       {"revision", std::to_string(item.revision_)}});
    }
    return registry_change::instances;
}

void registry::set_store_return(std::optional<base::time_point> returned_at) {
    instances_.keep_lapsed_until(returned_at ? *returned_at + lapse_window
                                             : base::time_point::min());
}

registry_change registry::apply(const store::mirror_change& change,
                                const change_origin& origin,
                                base::time_point now) {
    if (const auto* written = std::get_if<store::item_written>(&change)) {
        const auto& item = written->item_;
        if (item.key_ == codec_.configuration_key_) {
            return apply_configuration(item);
        }
        if (item.key_.starts_with(codec_.instance_prefix_)) {
            return apply_instance(std::string_view{item.key_}.substr(
                                      codec_.instance_prefix_.size()),
                                  item, origin, now);
        }
        return registry_change::nothing;
    }
    const auto& key = std::get<store::item_removed>(change).key_;
    if (!key.starts_with(codec_.instance_prefix_)) {
        return registry_change::nothing;
    }
    const base::upstream_name id{key.substr(codec_.instance_prefix_.size())};
    const auto returned = origin.store_answers_ != nullptr
                              ? origin.store_answers_->returned_at()
                              : std::nullopt;
    instances_.remove(id, now);
    const bool kept = instances_.find_usable(id, now) != nullptr;
    log::log_info(
        "instance_gone",
        {{"instance", id.value_},
         {"kept", kept ? "until_reregistration" : "no"},
         {"received_by", std::string{origin.received_by_}},
         {"store_returned_ms",
          returned ? std::to_string(base::age_ms(*returned, now)) : "none"},
         {"told_by",
          returned ? std::string{to_string(origin.store_answers_->source())}
                   : "none"}});
    return registry_change::instances;
}

} // namespace pimentoferry::gateway
