/// Detects engine crashes from failed calls.
///
/// A refused connection is reported as a crash once, until the engine answers
/// again. After a broken connection the engine is probed, so that a crash is
/// detected before its requests are retried elsewhere.
#ifndef PIMENTOFERRY_ENTRY_ENGINE_WATCH_HPP
#define PIMENTOFERRY_ENTRY_ENGINE_WATCH_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/entry/reports.hpp"
#include "pimentoferry/http/client.hpp"

#include <map>
#include <set>
#include <string>

namespace pimentoferry::entry {

class engine_watch {
public:
    engine_watch(boost::asio::io_context& io,
                 http::client& client,
                 report_function report);

    /// Records a failed call. A crash is reported asynchronously, so that the
    /// caller of this function reports the failure of its own call first.
    void call_failed(const base::upstream_name& engine,
                     const base::endpoint& address,
                     const http::call_failure& failure);

    /// Records that the engine answered; its next crash is reported again.
    void call_answered(const base::upstream_name& engine);

    /// Whether a crash was reported that the request table has not handled yet.
    /// Until then no call may reach the next instance of the engine, because
    /// handling the crash discards the table's records of what the engine
    /// holds.
    bool blocked(const base::upstream_name& engine) const {
        return blocked_.contains(engine);
    }
    void crash_handled(const base::upstream_name& engine) {
        blocked_.erase(engine);
    }

private:
    void report_crash(const base::upstream_name& engine);
    http::awaitable<void> probe(base::upstream_name engine,
                                base::endpoint address);

    boost::asio::io_context& io_;
    http::client& client_;
    report_function report_;
    std::set<base::upstream_name> crash_reported_;
    std::set<base::upstream_name> blocked_;
    std::set<base::upstream_name> probing_;
    /// Instance id from the last load report of each engine.
    std::map<base::upstream_name, std::string> instance_ids_;
};

} // namespace pimentoferry::entry

#endif
