#include "pimentoferry/entry/engine_watch.hpp"

#include "pimentoferry/entry/log.hpp"
#include "pimentoferry/http/json.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

namespace pimentoferry::entry {

namespace {

// Shorter than the 250 ms that the request table waits for a report about an
// engine.
constexpr base::milliseconds probe_timeout{200};

} // namespace

engine_watch::engine_watch(boost::asio::io_context& io,
                           http::client& client,
                           report_function report)
    : io_(io), client_(client), report_(std::move(report)) {}

void engine_watch::call_failed(const base::upstream_name& engine,
                               const base::endpoint& address,
                               const http::call_failure& failure) {
    if (failure.kind_ == http::failure_kind::refused) {
        boost::asio::post(io_, [this, engine] { report_crash(engine); });
        return;
    }
    const bool broken = failure.kind_ == http::failure_kind::broken;
    if (broken && probing_.insert(engine).second) {
        boost::asio::co_spawn(
            io_, [this, engine, address] { return probe(engine, address); },
            boost::asio::detached);
    }
}

void engine_watch::call_answered(const base::upstream_name& engine) {
    crash_reported_.erase(engine);
}

void engine_watch::report_crash(const base::upstream_name& engine) {
    if (crash_reported_.insert(engine).second) {
        instance_ids_.erase(engine);
        blocked_.insert(engine);
        log_warn("engine_crashed", {{"engine", engine.value_}});
        report_(requests::event{requests::engine_crashed{engine}});
    }
}

http::awaitable<void> engine_watch::probe(base::upstream_name engine,
                                          base::endpoint address) {
    http::call_options options;
    options.deadline_ = base::clock::now() + probe_timeout;
    options.fresh_connection_ = true;
    http::request call;
    call.target_ = "/v1/load";
    const auto result = co_await client_.call(address, call, options);
    probing_.erase(engine);
    if (const auto* failure = std::get_if<http::call_failure>(&result)) {
        if (failure->kind_ == http::failure_kind::refused) {
            report_crash(engine);
        }
        co_return;
    }
    const auto& body = std::get<http::response>(result).body_;
    const auto load = http::parse_object(body);
    if (!load) {
        co_return;
    }
    const auto instance = http::string_member(*load, "instance");
    auto& last_instance = instance_ids_[engine];
    const bool restarted = !last_instance.empty() && last_instance != instance;
    last_instance = instance;
    crash_reported_.erase(engine);
    if (restarted) {
        report_crash(engine);
        crash_reported_.erase(engine);
        instance_ids_[engine] = instance;
    }
}

} // namespace pimentoferry::entry
