#include "pimentoferry/gateway/configuration_report.hpp"

#include "pimentoferry/http/json.hpp"

#include <algorithm>

namespace pimentoferry::gateway {

std::string configuration_as_json(const registry& view) {
    Json::Value body{Json::objectValue};
    body["version"] = Json::Value{};
    body["unread_parts"] = Json::Value{Json::arrayValue};
    body["unreadable"] = Json::Value{};
    if (const auto routes = view.routes()) {
        body["version"] = static_cast<Json::UInt64>(routes->version());
        std::ranges::for_each(routes->source().unread_parts_,
                              [&body](const routing::unread_part& each) {
                                  Json::Value part{Json::objectValue};
                                  part["object"] = each.object_;
                                  part["field"] = each.field_;
                                  part["reason"] = each.detail_;
                                  body["unread_parts"].append(std::move(part));
                              });
    }
    if (const auto& latest = view.unreadable_latest()) {
        body["unreadable"] = Json::Value{Json::objectValue};
        body["unreadable"]["revision"] =
            static_cast<Json::UInt64>(latest->revision_);
        body["unreadable"]["reason"] = latest->failure_.reason_;
    }
    return http::write_json(body);
}

void set_configuration_gauges(const registry& view, metrics& gauges) {
    if (const auto routes = view.routes()) {
        gauges.set_gauge("configuration_version",
                         static_cast<double>(routes->version()));
        gauges.set_gauge(
            "configuration_unread_parts",
            static_cast<double>(routes->source().unread_parts_.size()));
    }
    gauges.set_gauge("configuration_unreadable",
                     view.unreadable_latest() ? 1 : 0);
}

} // namespace pimentoferry::gateway
