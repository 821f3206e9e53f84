#include "pimentoferry/entry/admin_api.hpp"

#include "pimentoferry/entry/admin_tickets.hpp"

#include <sodium/utils.h>

#include <algorithm>
#include <charconv>
#include <functional>
#include <future>
#include <optional>
#include <string_view>
#include <vector>

namespace pimentoferry::entry {

namespace {

// Longer than applying a ticket, which the deadlines of the ticket log bound.
constexpr std::chrono::seconds control_timeout{8};
constexpr std::uint64_t default_list_limit = 20;
constexpr std::uint64_t max_list_limit = 200;
constexpr int status_ok = 200;
constexpr int status_unauthorized = 401;
constexpr int status_not_found = 404;
constexpr int status_no_answer = 504;

admin::admin_answer error_answer(int status, std::string_view code) {
    return {status, "application/json",
            "{\"code\":\"" + std::string{code} + "\"}"};
}

using control_query = std::function<void(control::admin_reply)>;

/// Runs a query on the control thread and waits for its answer.
admin::admin_answer query_control(control& loop, control_query query) {
    auto answer = std::make_shared<std::promise<admin::admin_answer>>();
    auto future = answer->get_future();
    loop.post([query = std::move(query), answer] {
        query([answer](admin::admin_answer value) {
            answer->set_value(std::move(value));
        });
    });
    if (future.wait_for(control_timeout) != std::future_status::ready) {
        return error_answer(status_no_answer, "no_answer");
    }
    return future.get();
}

bool token_matches(const std::string& expected, const std::string& provided) {
    return expected.empty() || (expected.size() == provided.size() &&
                                sodium_memcmp(expected.data(), provided.data(),
                                              expected.size()) == 0);
}

std::optional<std::uint64_t> parse_number(std::string_view text) {
    std::uint64_t number = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    if (parsed.ec != std::errc{} || parsed.ptr != end) {
        return std::nullopt;
    }
    return number;
}

/// Value of a numeric parameter in a query such as `from=3&limit=10`.
std::optional<std::uint64_t> query_number(std::string_view query,
                                          std::string_view name) {
    while (!query.empty()) {
        const auto end = std::min(query.find('&'), query.size());
        const auto part = query.substr(0, end);
        query.remove_prefix(std::min(end + 1, query.size()));
        const auto equals = part.find('=');
        if (equals != std::string_view::npos &&
            part.substr(0, equals) == name) {
            return parse_number(part.substr(equals + 1));
        }
    }
    return std::nullopt;
}

admin::admin_answer find_ticket(control& loop, std::uint64_t number) {
    return query_control(loop, [&loop, number](control::admin_reply reply) {
        loop.find_ticket(number, std::move(reply));
    });
}

std::shared_ptr<const routing_table> routing_of(control& loop) {
    auto answer =
        std::make_shared<std::promise<std::shared_ptr<const routing_table>>>();
    auto future = answer->get_future();
    loop.post([&loop, answer] { answer->set_value(loop.routing()); });
    const bool ready =
        future.wait_for(control_timeout) == std::future_status::ready;
    return ready ? future.get() : nullptr;
}

admin::admin_answer list_accepted_tickets(control& loop,
                                          std::string_view query) {
    const auto routing = routing_of(loop);
    if (!routing) {
        return error_answer(status_no_answer, "no_answer");
    }
    const auto last = routing->ticket_number_;
    const auto limit =
        std::min(query_number(query, "limit").value_or(default_list_limit),
                 max_list_limit);
    const auto newest = last > limit ? last - limit + 1 : 1;
    const auto from = query_number(query, "from").value_or(newest);
    std::vector<std::string> tickets;
    for (auto n = std::max<std::uint64_t>(from, 1);
         n <= last && tickets.size() < limit; ++n) {
        auto found = find_ticket(loop, n);
        if (found.status_ != status_ok) {
            return found;
        }
        tickets.push_back(std::move(found.body_));
    }
    return list_tickets(tickets);
}

admin::admin_answer handle_post(control& loop,
                                const admin::admin_request& request) {
    if (request.path_ == "/admin/v1/drain") {
        return query_control(loop, [&loop](const control::admin_reply& reply) {
            reply(loop.begin_drain());
        });
    }
    if (request.path_ == "/admin/v1/tickets") {
        return query_control(
            loop, [&loop, ticket = request.body_](control::admin_reply reply) {
                loop.apply_ticket(ticket, std::move(reply));
            });
    }
    const bool validate = request.path_ == "/admin/v1/tickets/validate";
    if (!validate && request.path_ != "/admin/v1/tickets/diff") {
        return error_answer(status_not_found, "not_found");
    }
    const auto routing = routing_of(loop);
    if (!routing) {
        return error_answer(status_no_answer, "no_answer");
    }
    return validate ? validate_ticket(routing->state_, request.body_)
                    : diff_ticket(routing->state_, request.body_);
}

admin::admin_answer handle_get(control& loop,
                               const admin::admin_request& request) {
    constexpr std::string_view ticket_prefix = "/admin/v1/tickets/";
    if (request.path_ == "/admin/v1/status") {
        return query_control(loop, [&loop](const control::admin_reply& reply) {
            reply(loop.status());
        });
    }
    if (request.path_ == "/admin/v1/state") {
        return query_control(loop, [&loop](const control::admin_reply& reply) {
            reply(loop.state_in_force());
        });
    }
    if (request.path_ == "/admin/v1/tickets") {
        return list_accepted_tickets(loop, request.query_);
    }
    if (request.path_ == "/admin/v1/tickets/status") {
        const auto number = query_number(request.query_, "number");
        return query_control(
            loop, [&loop, number](const control::admin_reply& reply) {
                reply(loop.in_force_status(number));
            });
    }
    if (request.path_.starts_with(ticket_prefix)) {
        const auto number = parse_number(
            std::string_view{request.path_}.substr(ticket_prefix.size()));
        if (number) {
            return find_ticket(loop, *number);
        }
    }
    return error_answer(status_not_found, "not_found");
}

} // namespace

admin_result open_admin(const config::settings& settings,
                        control& loop,
                        const metrics& counters) {
    const auto handle = [&loop, &counters, token = settings.admin_token_](
                            const admin::admin_request& request) {
        if (request.path_ == "/healthz") {
            return admin::admin_answer{200, "text/plain", "ok\n"};
        }
        if (request.path_ == "/metrics") {
            return admin::admin_answer{200, "text/plain; version=0.0.4",
                                       counters.text()};
        }
        if (!token_matches(token, request.token_)) {
            return error_answer(status_unauthorized, "unauthorized");
        }
        return request.method_ == "POST" ? handle_post(loop, request)
                                         : handle_get(loop, request);
    };
    return admin::admin_server::open({settings.admin_address_}, handle);
}

} // namespace pimentoferry::entry
