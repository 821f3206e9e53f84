/// A thread that owns sockets of callers and upstreams.
#ifndef PIMENTOFERRY_ENTRY_TRAFFIC_THREAD_HPP
#define PIMENTOFERRY_ENTRY_TRAFFIC_THREAD_HPP

#include "pimentoferry/entry/traffic_context.hpp"
#include "pimentoferry/http/server.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace pimentoferry::entry {

struct traffic_options {
    base::instance_id instance_;
    std::uint8_t number_{0};
    base::failure_domain failure_domain_;
    base::endpoint address_;
};

/// All functions but the constructor and `start` may be called from any
/// thread; they post to this one.
class traffic_thread {
public:
    traffic_thread(traffic_options options,
                   report_function report,
                   metrics& counters,
                   snapshot_ptr first_snapshot);
    traffic_thread(const traffic_thread&) = delete;
    traffic_thread& operator=(const traffic_thread&) = delete;
    /// Stops the thread; calls in progress are cut off.
    ~traffic_thread();

    /// Opens the address and starts the thread.
    std::variant<base::endpoint, http::listen_failure> start();

    void use(snapshot_ptr next);
    void execute(request_command command);
    void execute(call_command command);

    /// Closes the open calls of these attempts to the engine.
    void close_calls(base::upstream_name engine,
                     std::vector<base::attempt_id> attempts);

    /// Closes the calls and orders the engine to free the attempts.
    void cancel(base::upstream_name engine,
                std::vector<base::attempt_id> attempts);

    /// The request table handled the crash of the engine.
    void crash_handled(base::upstream_name engine);

    /// Refuses new connections; calls in progress are completed.
    void stop_accepting();

    /// The control thread ran at that time. New work is refused when it has
    /// not run for 2 s: the process was paused, or the state may be old.
    void note_control_alive(base::time_point now);

    /// Calls of callers in progress.
    std::size_t in_flight() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace pimentoferry::entry

#endif
