/// Notices crashes of engines from the failures of calls.
///
/// A refused connection is reported as a crash once, until the engine answers
/// again. After a broken connection the engine is probed, so that a crash is
/// known before its requests run elsewhere.
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

    /// A call failed. The report of a crash follows later, so that the caller
    /// of this function reports the failure of its own call first.
    void failed(const base::upstream_name& engine,
                const base::endpoint& address,
                const http::call_failure& failure);

    void answered(const base::upstream_name& engine);

    /// A crash was reported and the request table has not handled it yet. No
    /// call may reach the next instance of the engine before, because the
    /// table then forgets what the engine holds.
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
    std::set<base::upstream_name> refused_;
    std::set<base::upstream_name> blocked_;
    std::set<base::upstream_name> probing_;
    /// The engine's own instance id, by its last load report.
    std::map<base::upstream_name, std::string> instances_;
};

} // namespace pimentoferry::entry

#endif
