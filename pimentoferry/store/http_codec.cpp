#include "pimentoferry/store/http_codec.hpp"

#include "pimentoferry/base/overloaded.hpp"
#include "pimentoferry/http/json.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <memory>
#include <optional>

namespace pimentoferry::store {

namespace {

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;

bool is_unreserved(char c) {
    const bool alphanumeric = (c >= 'a' && c <= 'z') ||
                              (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
    return alphanumeric ||
           std::string_view{"-._~/"}.find(c) != std::string_view::npos;
}

} // namespace

std::string percent_encode(std::string_view text) {
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char c : text) {
        if (is_unreserved(c)) {
            encoded.push_back(c);
            continue;
        }
        const auto byte = static_cast<unsigned char>(c);
        encoded += {'%', digits[byte >> 4U], digits[byte & 0xFU]};
    }
    return encoded;
}

namespace {

std::optional<std::uint64_t> parse_number(std::string_view text) {
    std::uint64_t value = 0;
    const auto [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

std::string kv_target(const std::string& key) {
    return "/v1/kv/" + percent_encode(key);
}

outcome parse_revision(const http_answer& response, auto make_outcome) {
    const auto revision = parse_number(response.revision_);
    if (!revision) {
        return unavailable{};
    }
    return make_outcome(*revision);
}

outcome parse_listing(const http_answer& response) {
    const auto object = http::parse_object(response.body_);
    if (!object || !(*object)["keys"].isArray()) {
        return unavailable{};
    }
    listed result;
    for (const auto& entry : (*object)["keys"]) {
        if (!entry.isObject() || !entry["key"].isString() ||
            !entry["revision"].isUInt64()) {
            return unavailable{};
        }
        result.keys_.push_back(
            {entry["key"].asString(), entry["revision"].asUInt64()});
    }
    return result;
}

outcome parse_lease(const http_answer& response) {
    const auto object = http::parse_object(response.body_);
    if (!object || !(*object)["lease"].isUInt64()) {
        return unavailable{};
    }
    return lease_granted{lease_id{(*object)["lease"].asUInt64()}};
}

outcome parse_success(const request& operation, const http_answer& response) {
    return std::visit(
        base::overloaded{
            [&](const get&) {
                return parse_revision(response, [&](revision at) {
                    return outcome{found{response.body_, at}};
                });
            },
            [&](const put&) {
                return parse_revision(
                    response, [](revision at) { return outcome{written{at}}; });
            },
            [&](const erase&) { return outcome{erased{}}; },
            [&](const list&) { return parse_listing(response); },
            [&](const grant_lease&) { return parse_lease(response); },
            [&](const renew_lease& op) {
                return outcome{lease_granted{op.lease_}};
            },
            [&](const revoke_lease&) { return outcome{erased{}}; },
            // The protocol has no scans and watches.
            [&](const scan&) { return outcome{unavailable{}}; },
            [&](const watch&) { return outcome{unavailable{}}; }},
        operation);
}

bool is_lease_operation(const request& operation) {
    return std::holds_alternative<renew_lease>(operation) ||
           std::holds_alternative<revoke_lease>(operation);
}

} // namespace

namespace internal {

std::optional<era> parse_era(std::string_view text) {
    const auto number = parse_number(text);
    return number && *number > 0 ? number : std::nullopt;
}

bool is_write(const request& operation) {
    return !std::holds_alternative<get>(operation) &&
           !std::holds_alternative<list>(operation) &&
           !std::holds_alternative<scan>(operation) &&
           !std::holds_alternative<watch>(operation);
}

http_call to_http(const request& operation) {
    return std::visit(
        base::overloaded{
            [](const get& op) {
                return http_call{"GET", kv_target(op.key_), {}};
            },
            [](const put& op) {
                std::string target = kv_target(op.key_) + "?if_revision=" +
                                     std::to_string(op.expected_);
                if (op.lease_ != lease_id{}) {
                    target += "&lease=" + std::to_string(op.lease_.value_);
                }
                return http_call{"PUT", std::move(target), op.value_};
            },
            [](const erase& op) {
                return http_call{"DELETE",
                                 kv_target(op.key_) + "?if_revision=" +
                                     std::to_string(op.expected_),
                                 {}};
            },
            [](const list& op) {
                return http_call{
                    "GET", "/v1/list?prefix=" + percent_encode(op.prefix_), {}};
            },
            [](const grant_lease& op) {
                return http_call{"POST",
                                 "/v1/leases?ttl_ms=" +
                                     std::to_string(op.ttl_.count()),
                                 {}};
            },
            [](const renew_lease& op) {
                return http_call{"PUT",
                                 "/v1/leases/" +
                                     std::to_string(op.lease_.value_),
                                 {}};
            },
            [](const revoke_lease& op) {
                return http_call{"DELETE",
                                 "/v1/leases/" +
                                     std::to_string(op.lease_.value_),
                                 {}};
            },
            [](const scan& op) {
                return http_call{
                    "GET", "/v1/list?prefix=" + percent_encode(op.prefix_), {}};
            },
            [](const watch& op) {
                return http_call{
                    "GET",
                    "/v1/watch?prefix=" + percent_encode(op.prefix_) +
                        "&after=" + std::to_string(op.after_) +
                        "&wait_ms=" + std::to_string(op.wait_.count()),
                    {}};
            }},
        operation);
}

outcome from_http(const request& operation, const http_answer& response) {
    if (response.status_ == status_ok) {
        return parse_success(operation, response);
    }
    if (response.status_ == status_not_found) {
        return is_lease_operation(operation) ? outcome{lease_unknown{}}
                                             : outcome{not_found{}};
    }
    if (response.status_ == status_conflict) {
        return parse_revision(
            response, [](revision at) { return outcome{conflict{at}}; });
    }
    return unavailable{};
}

} // namespace internal

store_codec product_codec() {
    return {internal::to_http, internal::from_http};
}

} // namespace pimentoferry::store
