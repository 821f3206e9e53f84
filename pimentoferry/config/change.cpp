#include "pimentoferry/config/change.hpp"

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/config/parse.hpp"

#include <utility>

namespace pimentoferry::config {
namespace {

template <class Object>
void append(std::vector<object_ref>& out,
            object_kind kind,
            const std::vector<Object>& objects) {
    for (const auto& object : objects) {
        out.push_back(object_ref{kind, object.name_.value_});
    }
}

template <class Map, class Object>
void set_all(Map& out, const std::vector<Object>& objects) {
    for (const auto& object : objects) {
        out[object.name_] = object;
    }
}

void remove_one(state& value, const object_ref& reference) {
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

template <class Map, class Name>
std::string text_in(const Map& objects, const Name& name) {
    const auto place = objects.find(name);
    return place == objects.end() ? std::string{} : to_json(place->second);
}

template <class Map>
void compare(std::vector<object_change>& out,
             object_kind kind,
             const Map& before,
             const Map& after) {
    auto merged = before;
    merged.insert(after.begin(), after.end());
    for (const auto& [name, ignored] : merged) {
        auto old_text = text_in(before, name);
        auto new_text = text_in(after, name);
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
    append(out, object_kind::deployment, value.deployments_);
    append(out, object_kind::service, value.services_);
    append(out, object_kind::caller, value.callers_);
    append(out, object_kind::upstream, value.upstreams_);
    if (value.policy_) {
        out.push_back(object_ref{object_kind::policy, ""});
    }
    out.insert(out.end(), value.remove_.begin(), value.remove_.end());
    return out;
}

state apply_ticket(state before, const ticket& change) {
    set_all(before.deployments_, change.deployments_);
    set_all(before.services_, change.services_);
    set_all(before.callers_, change.callers_);
    set_all(before.upstreams_, change.upstreams_);
    before.policy_ = change.policy_.value_or(before.policy_);
    for (const auto& reference : change.remove_) {
        remove_one(before, reference);
    }
    return before;
}

std::vector<object_change> diff(const state& before, const state& after) {
    std::vector<object_change> out;
    compare(out, object_kind::deployment, before.deployments_,
            after.deployments_);
    compare(out, object_kind::service, before.services_, after.services_);
    compare(out, object_kind::caller, before.callers_, after.callers_);
    compare(out, object_kind::upstream, before.upstreams_, after.upstreams_);
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
