#include "standins/store_server.hpp"

#include "pimentoferry/base/overloaded.hpp"

#include <algorithm>
#include <charconv>

namespace pimentoferry::standins {
namespace {

constexpr std::size_t value_limit_bytes = 1'000'000;
constexpr milliseconds hang_poll_interval{10};
// Upper bound on the delay until a watch reports an expired lease.
constexpr milliseconds lease_poll_interval{20};

std::uint64_t to_number(const std::string& text) {
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

json failure(const char* code) {
    return json{json::object{{"code", json{code}}}};
}

json keys_json(const std::vector<store_change>& changes) {
    json::array keys;
    for (const auto& change : changes) {
        json::object key{{"key", json{change.key_}},
                         {"revision", json{change.revision_}}};
        if (change.deleted_) {
            key.emplace("deleted", json{true});
        }
        keys.emplace_back(std::move(key));
    }
    return json{std::move(keys)};
}

headers revision_header(revision value) {
    return headers{{"X-Revision", std::to_string(value)}};
}

} // namespace

void store_server::apply(const json& switches) {
    mode_ = text_or(switches, "mode", mode_);
    slow_delay_ =
        milliseconds{number_or(switches, "slow_ms", slow_delay_.count())};
    lose_next_ = number_or(switches, "lose_next", lose_next_);
    down_silent_ = bool_or(switches, "down_silent", down_silent_);
    wake_watches();
}

void store_server::wake_watches() {
    std::ranges::for_each(watches_, [](auto* timer) { timer->cancel(); });
}

json store_server::stats() const {
    json::object calls;
    for (const auto& [kind, count] : calls_) {
        calls.emplace(kind, json{count});
    }
    return json{json::object{
        {"mode", json{mode_}},
        {"revision", json{data_.last_revision()}},
        {"keys", json{data_.key_count()}},
        {"leases", json{data_.lease_count()}},
        {"watches", json{watches_.size()}},
        {"answers_lost", json{answers_lost_}},
        {"calls", json{std::move(calls)}},
    }};
}

net::awaitable<void> store_server::handle(exchange& call) {
    if (call.path() == "/control" && call.method() == "POST") {
        apply(call.body_json());
        co_await call.reply(200, stats());
        co_return;
    }
    if (call.path() == "/stats") {
        co_await call.reply(200, stats());
        co_return;
    }
    if (mode_ == "slow") {
        co_await sleep_for(call.executor(), slow_delay_);
    }
    if (mode_ == "down") {
        ++calls_["refused"];
        co_await hang(call);
        co_return;
    }
    co_await serve(call);
}

net::awaitable<void> store_server::hang(exchange& call) {
    call.close_unanswered();
    while (down_silent_ && mode_ == "down" && !call.peer_closed()) {
        co_await sleep_for(call.executor(), hang_poll_interval);
    }
}

net::awaitable<void> store_server::serve(exchange& call) {
    const std::string path = call.path();
    const std::string key{after_prefix(path, "/v1/kv/")};
    if (!key.empty()) {
        co_await handle_key(call, key);
    } else if (path == "/v1/list") {
        co_await list(call);
    } else if (path == "/v1/watch") {
        co_await watch(call);
    } else if (path.starts_with("/v1/leases")) {
        co_await handle_lease(call,
                              std::string{after_prefix(path, "/v1/leases/")});
    }
}

net::awaitable<void> store_server::handle_key(exchange& call, std::string key) {
    const auto method = call.method();
    if (method == "GET") {
        ++calls_["get"];
        co_await get(call, std::move(key));
        co_return;
    }
    ++calls_[method == "PUT" ? "put" : "delete"];
    if (!call.has_query("if_revision")) {
        co_await call.reply(400, failure("if_revision_required"));
    } else if (method == "PUT") {
        co_await put(call, std::move(key));
    } else if (method == "DELETE") {
        co_await erase(call, std::move(key));
    }
}

net::awaitable<void> store_server::get(exchange& call, std::string key) {
    const auto* found = data_.get(key, steady::now());
    if (found == nullptr) {
        co_await call.reply(404, failure("not_found"));
        co_return;
    }
    auto bytes = found->bytes_;
    auto extra = revision_header(found->revision_);
    co_await call.reply_bytes(200, "application/octet-stream", std::move(bytes),
                              std::move(extra));
}

net::awaitable<void> store_server::put(exchange& call, std::string key) {
    if (call.body().size() > value_limit_bytes) {
        co_await call.reply(413, failure("value_too_large"));
        co_return;
    }
    const auto expected = to_number(call.query("if_revision"));
    const auto lease = to_number(call.query("lease"));
    const auto outcome =
        data_.put(key, call.body(), expected, lease, steady::now());
    co_await answer_write(call, outcome);
}

net::awaitable<void> store_server::erase(exchange& call, std::string key) {
    const auto expected = to_number(call.query("if_revision"));
    const auto outcome = data_.erase(key, expected, steady::now());
    co_await answer_write(call, outcome);
}

net::awaitable<void> store_server::answer_write(exchange& call,
                                                store_outcome outcome) {
    unsigned status = 200;
    json body{json::object{}};
    headers extra;
    std::visit(base::overloaded{
                   [&](const store_written& written) {
                       extra = revision_header(written.revision_);
                       wake_watches();
                   },
                   [&](const store_conflict& conflict) {
                       status = 409;
                       body = failure("conflict");
                       extra = revision_header(conflict.current_);
                   },
                   [&](const store_no_lease&) {
                       status = 404;
                       body = failure("lease_unknown");
                   },
               },
               outcome);
    co_await reply_write(call, status, std::move(body), std::move(extra));
}

net::awaitable<void> store_server::reply_write(exchange& call,
                                               unsigned status,
                                               json body,
                                               headers extra) {
    if (mode_ == "lose_answers" || lose_next_ > 0) {
        lose_next_ -= lose_next_ > 0 ? 1 : 0;
        ++answers_lost_;
        call.close_unanswered();
        co_return;
    }
    auto text = to_text(body);
    co_await call.reply_bytes(status, "application/json", std::move(text),
                              std::move(extra));
}

net::awaitable<void> store_server::list(exchange& call) {
    ++calls_["list"];
    auto keys = keys_json(data_.list(call.query("prefix"), steady::now()));
    json body{json::object{{"keys", std::move(keys)}}};
    co_await call.reply(200, std::move(body));
}

net::awaitable<void> store_server::watch(exchange& call) {
    ++calls_["watch"];
    const auto prefix = call.query("prefix");
    const auto after = to_number(call.query("after"));
    const auto wait = milliseconds{to_number(call.query("wait_ms"))};
    const auto deadline = steady::now() + wait;
    net::steady_timer timer{call.executor()};
    watches_.insert(&timer);
    auto changes = data_.changes(prefix, after, steady::now());
    while (changes.empty() && steady::now() < deadline && mode_ != "down" &&
           !call.peer_closed()) {
        co_await wait_until(
            timer, std::min(deadline, steady::now() + lease_poll_interval));
        changes = data_.changes(prefix, after, steady::now());
    }
    watches_.erase(&timer);
    if (mode_ == "down") {
        call.close_unanswered();
        co_return;
    }
    json body{json::object{{"revision", json{data_.last_revision()}},
                           {"keys", keys_json(changes)}}};
    co_await call.reply(200, std::move(body));
}

net::awaitable<void> store_server::handle_lease(exchange& call,
                                                std::string id) {
    const auto method = call.method();
    const auto number = to_number(id);
    const auto now = steady::now();
    headers none;
    json body{json::object{}};
    bool lease_found = true;
    if (method == "POST" && id.empty()) {
        ++calls_["lease_grant"];
        const milliseconds ttl{to_number(call.query("ttl_ms"))};
        body = json{json::object{{"lease", json{data_.grant(ttl, now)}}}};
    } else if (method == "PUT") {
        ++calls_["lease_renew"];
        lease_found = data_.renew(number, now);
    } else if (method == "DELETE") {
        ++calls_["lease_revoke"];
        lease_found = data_.revoke(number, now);
        wake_watches();
    } else {
        co_return;
    }
    if (!lease_found) {
        body = failure("lease_unknown");
    }
    co_await reply_write(call, lease_found ? 200 : 404, std::move(body),
                         std::move(none));
}

} // namespace pimentoferry::standins
