#include "pimentoferry/config/check.hpp"

#include <map>
#include <set>
#include <string>

namespace pimentoferry::config {
namespace {

/// Checks the rules of a state and keeps the first violation.
class checker {
public:
    explicit checker(const state& value) : state_(value) {
        for (const auto& [name, object] : state_.deployments_) {
            check(object);
        }
        for (const auto& [name, object] : state_.services_) {
            check_callers("services/" + name.value_, object.callers_);
        }
        for (const auto& [name, object] : state_.callers_) {
            check(object);
        }
        for (const auto& [name, object] : state_.upstreams_) {
            check(object);
        }
    }

    const std::optional<config_error>& first_violation() const {
        return first_violation_;
    }

private:
    void add(const std::string& field,
             const std::string& value,
             std::string allowed) {
        if (!first_violation_) {
            first_violation_ = config_error{
                "state", 0, field, '"' + value + '"', std::move(allowed)};
        }
    }

    template <class Map, class Name>
    void check_exists(const std::string& field,
                      const Map& objects,
                      const Name& name,
                      const std::string& kind) {
        if (objects.find(name) == objects.end()) {
            add(field, name.value_, "the name of an existing " + kind);
        }
    }

    void check_callers(const std::string& object,
                       const std::vector<base::caller_name>& callers) {
        std::size_t index = 0;
        for (const auto& name : callers) {
            check_exists(object + ".callers[" + std::to_string(index) + "]",
                         state_.callers_, name, "caller");
            ++index;
        }
    }

    void check(const deployment& object) {
        const auto path = "deployments/" + object.name_.value_;
        check_callers(path, object.callers_);
        std::set<base::caller_name> overridden;
        std::size_t index = 0;
        for (const auto& target : object.overrides_) {
            const auto field =
                path + ".overrides[" + std::to_string(index) + "]";
            check_callers(field, target.callers_);
            for (const auto& name : target.callers_) {
                if (!overridden.insert(name).second) {
                    add(field + ".callers", name.value_,
                        "each caller in at most one override");
                }
            }
            ++index;
        }
    }

    void check(const caller& object) {
        const auto [existing, inserted] =
            keys_.emplace(object.key_sha256_, object.name_);
        if (!inserted) {
            add("callers/" + object.name_.value_ + ".key_sha256",
                object.key_sha256_,
                "a key that is not that of callers/" + existing->second.value_);
        }
    }

    void check(const upstream& object) {
        const auto path = "upstreams/" + object.name_.value_;
        const auto [existing, inserted] =
            addresses_.emplace(object.address_, object.name_);
        if (!inserted) {
            add(path + ".address", base::to_string(object.address_),
                "an address that is not that of upstreams/" +
                    existing->second.value_);
        }
        if (object.kind_ == upstream_kind::service) {
            check_exists(path + ".service", state_.services_, object.service_,
                         "service");
            return;
        }
        check_exists(path + ".deployment", state_.deployments_,
                     object.deployment_, "deployment");
        check_cell(path + ".cell", object);
    }

    void check_cell(const std::string& field, const upstream& object) {
        auto& engines = cells_[object.cell_];
        if (engines.first.value_.empty()) {
            engines.first = object.deployment_;
        }
        if (engines.first != object.deployment_) {
            add(field, object.cell_.value_,
                "a cell of one deployment; this one has engines of " +
                    engines.first.value_);
        }
        ++engines.second;
        if (engines.second > max_engines_per_cell) {
            add(field, object.cell_.value_, "a cell with at most 16 engines");
        }
    }

    const state& state_;
    std::optional<config_error> first_violation_;
    std::map<std::string, base::caller_name> keys_;
    std::map<base::endpoint, base::upstream_name> addresses_;
    /// Deployment and number of engines of each cell.
    std::map<base::cell_name, std::pair<base::deployment_name, std::size_t>>
        cells_;
};

} // namespace

std::optional<config_error> check_state(const state& value) {
    return checker{value}.first_violation();
}

} // namespace pimentoferry::config
