#include "pimentoferry/config/change.hpp"

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/config/parse.hpp"

#include <utility>

namespace pimentoferry::config {
namespace {

template <class Object>
void append_references(std::vector<object_ref>& out,
                       object_kind kind,
                       const std::vector<Object>& objects) {
    for (const auto& object : objects) {
        out.push_back(object_ref{kind, object.name_.value_});
    }
}

template <class Map, class Object>
void insert_or_replace(Map& out, const std::vector<Object>& objects) {
    for (const auto& object : objects) {
        out[object.name_] = object;
    }
}

void remove_object(state& value, const object_ref& reference) {
    switch (reference.kind_) {
    case object_kind::deployment:
        value.deployments_.erase(base::deployment_name{reference.name_});
        break;
    case object_kind::service:
        value.services_.erase(base::service_name{reference.name_});
        break;
    case object_kind::caller:
        value.callers_.erase(base::caller_name{reference.name_});
        break;
    case object_kind::upstream:
        value.upstreams_.erase(base::upstream_name{reference.name_});
        break;
    case object_kind::policy:
        value.policy_ = policy{};
        break;
    }
}

/// Returns the canonical JSON of an object; empty when it is absent.
template <class Map, class Name>
std::string find_json(const Map& objects, const Name& name) {
    const auto it = objects.find(name);
    return it == objects.end() ? std::string{} : to_json(it->second);
}

template <class Map>
void append_differences(std::vector<object_change>& out,
                        object_kind kind,
                        const Map& before,
                        const Map& after) {
    auto merged = before;
    merged.insert(after.begin(), after.end());
    for (const auto& [name, ignored] : merged) {
        auto old_text = find_json(before, name);
        auto new_text = find_json(after, name);
        if (old_text != new_text) {
            out.push_back(object_change{object_ref{kind, name.value_},
                                        std::move(old_text),
                                        std::move(new_text)});
        }
    }
}

} // namespace

std::string to_string(const object_ref& reference) {
    switch (reference.kind_) {
    case object_kind::deployment:
        return "deployments/" + reference.name_;
    case object_kind::service:
        return "services/" + reference.name_;
    case object_kind::caller:
        return "callers/" + reference.name_;
    case object_kind::upstream:
        return "upstreams/" + reference.name_;
    case object_kind::policy:
        break;
    }
    return "policy";
}

std::vector<object_ref> touched_objects(const ticket& value) {
    std::vector<object_ref> out;
    append_references(out, object_kind::deployment, value.deployments_);
    append_references(out, object_kind::service, value.services_);
    append_references(out, object_kind::caller, value.callers_);
    append_references(out, object_kind::upstream, value.upstreams_);
    if (value.policy_) {
        out.push_back(object_ref{object_kind::policy, ""});
    }
    out.insert(out.end(), value.remove_.begin(), value.remove_.end());
    return out;
}

state apply_ticket(state before, const ticket& change) {
    insert_or_replace(before.deployments_, change.deployments_);
    insert_or_replace(before.services_, change.services_);
    insert_or_replace(before.callers_, change.callers_);
    insert_or_replace(before.upstreams_, change.upstreams_);
    before.policy_ = change.policy_.value_or(before.policy_);
    for (const auto& reference : change.remove_) {
        remove_object(before, reference);
    }
    return before;
}

std::vector<object_change> diff(const state& before, const state& after) {
    std::vector<object_change> out;
    append_differences(out, object_kind::deployment, before.deployments_,
                       after.deployments_);
    append_differences(out, object_kind::service, before.services_,
                       after.services_);
    append_differences(out, object_kind::caller, before.callers_,
                       after.callers_);
    append_differences(out, object_kind::upstream, before.upstreams_,
                       after.upstreams_);
    auto old_policy = to_json(before.policy_);
    auto new_policy = to_json(after.policy_);
    if (old_policy != new_policy) {
        out.push_back(object_change{object_ref{object_kind::policy, ""},
                                    std::move(old_policy),
                                    std::move(new_policy)});
    }
    return out;
}

} // namespace pimentoferry::config
