/// Simulated replica on the users' platform: a plain service, or an engine
/// when `stage` is set.
///
/// A plain answer is `ID of REQUEST at PATH`; an event `N` of a stream holds
/// `REQUEST:N` and has the id of the replica as its type. Every run is printed
/// as a line `run REQUEST PATH` on standard output before it begins, so that a
/// test can count the runs of a replica that was killed.
///
/// An engine accepts prefills in the stage `prefill` and decodes in the stage
/// `decode`; it does not check whether the KV handle of a decode exists.
///
/// Switches (`POST /control` or at start):
/// * `id`: instance that a request must expect; otherwise it is answered 421.
/// * `stage`: `prefill` or `decode`; absent for a plain service.
/// * `slots`: requests that run at once; more are answered 503 as not run.
/// * `work_ms`: duration of a plain call or a prefill.
/// * `events`, `event_ms`: length of a stream and the time between events.
/// * `lose_next`: the next N calls run, and their connections are closed
///   without an answer.
/// * `cut_next`: the next N answers are truncated.
/// * `unframed_next`: the next N answers have neither a length nor chunks and
///   end with their connections; together with `cut_next`, a stream ends inside
///   an event.
/// * `fail_next`: the next N calls run and are answered 500.
/// * `reject_next`: the next N calls are answered 503 as not run.
/// * `stray_next`: the next N plain answers are followed by unsolicited
///   bytes.
/// * `endless_next`: the next N calls are answered by bytes that do not end
///   until the peer closes: a prefill by a head, a plain call by a body, a
///   stream by an event.
/// * `crash_on`: the process exits when it runs a path that contains this text.
/// * `crash_on_part`: the process exits when it begins to write the answer to a
///   prompt with a part whose name contains this text.
///
/// * `repeat_next`: the next N runs on connections on which a request was
///   rejected are answered by a copy of that rejection first, then by the own
///   answer. With `repeat_without_id`, the copy does not name its request. With
///   `repeat_when`, the copy comes at another moment: `after` the own answer of
///   a plain call, or `rejection` (right after the rejection itself).
/// * `cut_head_next`: the next N runs are answered by a part of a head, after
///   which the connection is closed.
/// * `limit`: requests a second that every answer announces, as text; empty:
///   none. Setting it starts a new count of arrivals.
/// * `endless_shape`: what `endless_next` sends, to calls of every kind: one of
///   `body`, `length` (a body with a huge length), `chunks`, `chunk_extension`,
///   `trailers`, `header_line`, `header_lines`, `status_line`, `interim`
///   (informational answers), `answers` (to another request), `bytes` (no
///   HTTP), `event` (one that does not end), `events`, `trickle` (one byte at
///   a time). Empty: a body, the head of a prefill, or an event.
/// * `retry_after`: what a rejection as full says in `Retry-After`; empty:
///   nothing.
/// * `leaving`: what every answer says in `Server-Leaving`; empty: nothing.
///
/// `GET /runs` answers with the number of runs of each request, `GET /arrivals`
/// with the number of requests by kind (`run`, `prefill`, `rejected`,
/// `release`, `report`, `order`) since the limit was set, and with the largest
/// number of runs, prefills and rejected requests in 4 s (`busiest`).
#ifndef PIMENTOFERRY_STANDINS_PLATFORM_REPLICA_HPP
#define PIMENTOFERRY_STANDINS_PLATFORM_REPLICA_HPP

#include "standins/asio.hpp"
#include "standins/http_server.hpp"
#include "standins/json.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace pimentoferry::standins {

class platform_replica {
public:
    explicit platform_replica(const json& switches) { apply(switches); }

    net::awaitable<void> handle(exchange& call);

private:
    void apply(const json& switches);
    net::awaitable<void> release(exchange& call);
    net::awaitable<void> run(exchange& call);
    net::awaitable<void> work(exchange& call);
    net::awaitable<void> prefill(exchange& call);
    net::awaitable<void> decode(exchange& call);
    net::awaitable<void> answer_plain(exchange& call);
    net::awaitable<void>
    answer_unframed(exchange& call, std::string type, std::string body);
    std::string event_text(const exchange& call, std::int64_t event) const;
    net::awaitable<void> send_endless(exchange& call, std::string begin);
    net::awaitable<void> send_endless_shape(exchange& call);
    net::awaitable<void> reject(exchange& call, unsigned status);
    /// Writes a copy of the rejection on this connection if one is due `when`.
    net::awaitable<void> repeat_rejection(exchange& call,
                                          std::string_view when);
    headers answer_fields(const exchange& call) const;
    json runs() const;
    json arrivals() const;
    void record_arrival(const std::string& kind);
    /// Also logs the arrival of a caller's request.
    void record_arrival(const std::string& kind, const exchange& call);
    /// Adds what the replica says of itself in all its answers.
    void add_statements(headers& fields) const;
    void record_run(const exchange& call);

    std::string id_;
    std::string stage_;
    std::int64_t slots_{64};
    milliseconds work_time_{5};
    std::int64_t events_{20};
    milliseconds event_interval_{10};
    std::map<std::string, std::int64_t>
        pending_faults_; ///< By switch name; number left.
    std::string crash_on_;
    std::string crash_on_part_;
    std::int64_t running_{0};
    std::uint64_t handle_count_{0};
    std::uint64_t order_count_{0};
    std::map<std::string, std::int64_t> runs_;
    std::int64_t repeat_without_id_{0};
    std::string repeat_when_{"before"};
    struct rejection {
        std::string request_;
        unsigned status_{0};
    };
    /// The last rejection on each connection, by the peer's port.
    std::map<std::uint16_t, rejection> rejected_on_;
    std::string endless_shape_;
    std::string limit_;
    std::string retry_after_;
    std::string leaving_; ///< Value of `Server-Leaving`; empty: not sent.
    std::chrono::steady_clock::time_point limited_since_;
    std::map<std::string, std::int64_t> arrivals_; ///< By kind.
    std::vector<std::chrono::steady_clock::time_point> request_times_;
};

} // namespace pimentoferry::standins

#endif
