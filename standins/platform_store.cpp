#include "standins/platform_store.hpp"

#include <algorithm>
#include <charconv>

namespace pimentoferry::standins {
namespace {

constexpr milliseconds hang_poll_interval{20};
// Upper bound on the delay until a watch reports an expired lease.
constexpr milliseconds lease_poll_interval{50};

std::uint64_t to_number(std::string_view text) {
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

json empty_object() {
    return json{json::object{}};
}

} // namespace

void platform_store::apply(const json& switches) {
    mode_ = text_or(switches, "mode", mode_);
    declined_prefix_ = text_or(switches, "declined_prefix", declined_prefix_);
    slow_delay_ =
        milliseconds{number_or(switches, "slow_ms", slow_delay_.count())};
    if (const auto* puts = find_member(switches, "put")) {
        if (const auto* rows = std::get_if<json::object>(&puts->value_)) {
            for (const auto& [key, value] : *rows) {
                if (const auto* text =
                        std::get_if<std::string>(&value.value_)) {
                    write(key, *text, 0);
                }
            }
        }
    }
    for (const auto& key : array_of(switches, "remove")) {
        if (const auto* text = std::get_if<std::string>(&key.value_)) {
            remove(*text);
        }
    }
    if (bool_or(switches, "forget_history", false)) {
        compacted_revision_ = data_.last_revision();
    }
    era_ = text_or(switches, "era", era_);
    if (bool_or(switches, "checkpoint", false)) {
        checkpoint_ = data_;
    }
    if (bool_or(switches, "restore", false)) {
        restore();
    }
    wake_watches();
}

void platform_store::restore() {
    data_ = checkpoint_;
    data_.drop_leases();
    compacted_revision_ = data_.last_revision();
    era_ = std::to_string(to_number(era_) + 1);
}

net::awaitable<void>
platform_store::reply(exchange& call, unsigned status, json body) {
    headers fields;
    if (!era_.empty()) {
        fields.emplace_back("Store-Era", era_);
    }
    co_await call.reply(status, std::move(body), std::move(fields));
}

void platform_store::wake_watches() {
    std::ranges::for_each(watches_, [](auto* timer) { timer->cancel(); });
}

revision platform_store::revision_of(const std::string& key) {
    const auto* found = data_.get(key, steady::now());
    return found != nullptr ? found->revision_ : 0;
}

void platform_store::write(const std::string& key,
                           std::string value,
                           lease_number lease) {
    data_.put(key, std::move(value), revision_of(key), lease, steady::now());
}

void platform_store::remove(const std::string& key) {
    data_.erase(key, revision_of(key), steady::now());
}

json platform_store::revision_body(const char* name) const {
    return json{json::object{{name, json{data_.last_revision()}}}};
}

json platform_store::item(const std::string& key) {
    const auto* found = data_.get(key, steady::now());
    json::object row{{"key", json{key}}, {"revision", json{0}}};
    if (found != nullptr) {
        row.insert_or_assign("value", json{found->bytes_});
        row.insert_or_assign("revision", json{found->revision_});
        row.insert_or_assign("lease", json{found->lease_});
    }
    return json{std::move(row)};
}

net::awaitable<void> platform_store::handle(exchange& call) {
    if (call.path() == "/control") {
        apply(call.body_json());
        auto body = revision_body("store_revision");
        co_await reply(call, 200, std::move(body));
        co_return;
    }
    if (mode_ == "slow") {
        co_await sleep_for(call.executor(), slow_delay_);
    }
    if (mode_ == "down" || mode_ == "silent") {
        co_await hang(call);
    } else if (mode_ == "declining") {
        auto body = empty_object();
        co_await reply(call, 503, std::move(body));
    } else {
        co_await serve(call);
    }
}

net::awaitable<void> platform_store::hang(exchange& call) {
    call.close_unanswered();
    while (mode_ == "silent" && !call.peer_closed()) {
        co_await sleep_for(call.executor(), hang_poll_interval);
    }
}

net::awaitable<void> platform_store::serve(exchange& call) {
    const auto& path = call.path();
    if (path == "/api/kv-key") {
        co_await read_key(call);
    } else if (path == "/api/kv-range") {
        co_await read_range(call);
    } else if (path == "/api/kv-watch") {
        co_await watch(call);
    } else if (path == "/api/kv-txn") {
        co_await transact(call);
    } else {
        co_await handle_lease(call);
    }
}

net::awaitable<void> platform_store::read_key(exchange& call) {
    const auto key = call.query("key");
    const bool exists = revision_of(key) != 0;
    auto body = item(key);
    co_await reply(call, exists ? 200 : 404, std::move(body));
}

net::awaitable<void> platform_store::read_range(exchange& call) {
    const auto after = call.query("after");
    json::array items;
    for (const auto& each :
         data_.list(call.query("path_prefix"), steady::now())) {
        if (each.key_ > after) {
            items.push_back(item(each.key_));
        }
    }
    json body{json::object{{"items", json{std::move(items)}},
                           {"truncated", json{false}},
                           {"store_revision", json{data_.last_revision()}}}};
    co_await reply(call, 200, std::move(body));
}

net::awaitable<void> platform_store::watch(exchange& call) {
    const auto prefix = call.query("path_prefix");
    const revision after = to_number(call.query("after"));
    const auto deadline =
        steady::now() + milliseconds{to_number(call.query("wait_ms"))};
    if (after < compacted_revision_ || after > data_.last_revision()) {
        auto body = empty_object();
        co_await reply(call, 410, std::move(body));
        co_return;
    }
    net::steady_timer timer{call.executor()};
    watches_.insert(&timer);
    auto changes = data_.changes(prefix, after, steady::now());
    while (changes.empty() && steady::now() < deadline && mode_ != "down" &&
           after <= data_.last_revision() && !call.peer_closed()) {
        co_await wait_until(
            timer, std::min(deadline, steady::now() + lease_poll_interval));
        changes = data_.changes(prefix, after, steady::now());
    }
    watches_.erase(&timer);
    if (after > data_.last_revision()) {
        auto body = empty_object();
        co_await reply(call, 410, std::move(body));
        co_return;
    }
    json::array events;
    for (const auto& change : changes) {
        events.push_back(
            change.deleted_
                ? json{json::object{{"key", json{change.key_}},
                                    {"revision", json{change.revision_}},
                                    {"deleted", json{true}}}}
                : item(change.key_));
    }
    json body{json::object{{"events", json{std::move(events)}},
                           {"store_revision", json{data_.last_revision()}}}};
    co_await reply(call, 200, std::move(body));
}

bool platform_store::declines(const json::array& writes) const {
    return !declined_prefix_.empty() &&
           std::ranges::any_of(writes, [this](const json& row) {
               return text_or(row, "key", "").starts_with(declined_prefix_);
           });
}

net::awaitable<void> platform_store::transact(exchange& call) {
    const auto request = call.body_json();
    if (declines(array_of(request, "writes"))) {
        auto body = empty_object();
        co_await reply(call, 503, std::move(body));
        co_return;
    }
    const auto conditions = array_of(request, "expected");
    const bool holds = std::ranges::all_of(conditions, [this](const json& row) {
        return static_cast<std::int64_t>(revision_of(
                   text_or(row, "key", ""))) == number_or(row, "revision", 0);
    });
    if (!holds) {
        json::array items;
        std::ranges::transform(
            conditions, std::back_inserter(items),
            [this](const json& row) { return item(text_or(row, "key", "")); });
        json body{json::object{{"items", json{std::move(items)}}}};
        co_await reply(call, 412, std::move(body));
        co_return;
    }
    const auto writes = array_of(request, "writes");
    const bool leased = std::ranges::all_of(writes, [this](const json& row) {
        const auto lease =
            static_cast<lease_number>(number_or(row, "lease", 0));
        return lease == 0 || data_.has_lease(lease, steady::now());
    });
    if (!leased) {
        auto body = empty_object();
        co_await reply(call, 404, std::move(body));
        co_return;
    }
    for (const auto& row : writes) {
        write(text_or(row, "key", ""), text_or(row, "value", ""),
              static_cast<lease_number>(number_or(row, "lease", 0)));
    }
    for (const auto& key : array_of(request, "deletes")) {
        if (const auto* text = std::get_if<std::string>(&key.value_)) {
            remove(*text);
        }
    }
    wake_watches();
    if (mode_ == "losing") {
        call.close_unanswered();
        co_return;
    }
    auto body = revision_body("revision");
    co_await reply(call, 200, std::move(body));
}

net::awaitable<void> platform_store::handle_lease(exchange& call) {
    const auto now = steady::now();
    const auto& path = call.path();
    const auto kept = after_prefix(path, "/api/kv-keep/");
    const auto ended = after_prefix(path, "/api/kv-lease-end/");
    unsigned status = 200;
    auto body = empty_object();
    if (path == "/api/kv-lease") {
        const auto ttl =
            milliseconds{number_or(call.body_json(), "ttl_ms", 1000)};
        body = json{json::object{{"lease", json{data_.grant(ttl, now)}},
                                 {"ttl_ms", json{ttl.count()}}}};
    } else if (!kept.empty()) {
        status = data_.renew(to_number(kept), now) ? 200 : 404;
    } else if (!ended.empty()) {
        status = data_.revoke(to_number(ended), now) ? 200 : 404;
        wake_watches();
    } else {
        co_return;
    }
    co_await reply(call, status, std::move(body));
}

} // namespace pimentoferry::standins
