/// Event loop thread that owns the sockets to callers and upstreams and runs
/// the relays of their calls.
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

/// All member functions except the constructor and `start` may be called from
/// any thread; commands and updates are posted to this thread.
class traffic_thread {
public:
    traffic_thread(traffic_options options,
                   report_function report,
                   metrics& counters,
                   snapshot_ptr first_snapshot);
    traffic_thread(const traffic_thread&) = delete;
    traffic_thread& operator=(const traffic_thread&) = delete;
    /// Stops the thread; calls in progress are aborted.
    ~traffic_thread();

    /// Listens on the address, starts the thread and returns the bound address.
    std::variant<base::endpoint, http::listen_failure> start();

    /// Replaces the snapshot that this thread uses.
    void use(snapshot_ptr next);
    void execute(request_command command);
    void execute(call_command command);

    /// Cancels the open calls to the engine for these attempts.
    void close_calls(base::upstream_name engine,
                     std::vector<base::attempt_id> attempts);

    /// Cancels the open calls and requests the engine to release the attempts.
    void cancel(base::upstream_name engine,
                std::vector<base::attempt_id> attempts);

    /// The request table has handled the crash of the engine, so that calls to
    /// it are allowed again.
    void crash_handled(base::upstream_name engine);

    /// Refuses new connections; calls in progress are completed.
    void stop_accepting();

    /// Records that the control thread ran at `now`. New work is refused when
    /// it has not run for 2 s: the process was paused, or its state may be
    /// stale.
    void note_control_alive(base::time_point now);

    /// Number of calls from callers in progress.
    std::size_t in_flight() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace pimentoferry::entry

#endif
