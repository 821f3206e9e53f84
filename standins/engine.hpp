/// Simulated prefill or decode engine for tests. It implements the engine
/// interface of the design page, section 9.3, without running a model.
///
/// One token is one word of the prompt, and the output is the one that
/// `expected_answer.hpp` defines. Besides all calls of section 9.3 it serves:
///
/// * `GET /stats`: exact current resource usage per attempt, and counters.
/// * `GET /orders`: every order received, with its status and effect.
/// * `POST /control`: sets the switches of `engine_settings.hpp`.
///
/// Behavior that section 9.3 leaves unspecified:
/// * A call is refused with 409 (`wrong_role`, `not_loaded`, `duplicate`) or
///   503 (`draining`) besides the statuses of the table.
/// * A running prefill holds a slot; a finished one holds only its KV
///   blocks. A running export delays the eviction of the result.
/// * A reservation expires at its `deadline_ms`, counted from the receipt of
///   the import, unless decoding has begun.
/// * Decoding continues while the stream is broken. A second stream of an
///   attempt replaces the first. After a new import, a `position` above 0
///   suppresses the output of earlier tokens, but they still take decode steps.
/// * `inline` is the prompt, or an object with the members of a prefill call.
/// * An order is answered immediately; orders are executed in the order of
///   receipt. An order that changes the model, version or role waits until no
///   attempt is left, and new work is refused meanwhile.
#ifndef PIMENTOFERRY_STANDINS_ENGINE_HPP
#define PIMENTOFERRY_STANDINS_ENGINE_HPP

#include "standins/engine_attempts.hpp"
#include "standins/engine_settings.hpp"
#include "standins/http_server.hpp"
#include "standins/json.hpp"
#include "standins/link.hpp"
#include "standins/prefix_cache.hpp"

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace pimentoferry::standins {

class engine : public std::enable_shared_from_this<engine> {
public:
    engine(net::io_context& context, const json& switches);

    /// Starts the background coroutines: decode batches, orders, expiry of
    /// attempts and refresh of the load report.
    void start();
    net::awaitable<void> handle(exchange& call);

private:
    struct order {
        std::int64_t fencing_{0};
        std::string kind_;
        std::string value_;
        unsigned status_{200};
        bool changed_{false};
    };

    struct counters {
        std::int64_t prefills_{0};
        std::int64_t prefill_tokens_{0}; ///< Computed; excludes cached tokens.
        std::int64_t cached_tokens_{0};
        std::int64_t wasted_tokens_{0}; ///< Computed and never exported.
        std::int64_t imports_{0};
        std::int64_t decode_tokens_{0};
        std::int64_t completed_{0};
        std::int64_t cancelled_{0};
        std::int64_t refused_full_{0};
    };

    // engine.cpp
    net::awaitable<void> serve_v1(exchange& call);
    net::awaitable<void> maintain(std::shared_ptr<engine> self);
    net::awaitable<void> refuse(exchange& call, unsigned status, json body);
    net::awaitable<void> refuse_released(exchange& call, attempt_ptr state);
    /// Admits the attempt; otherwise sends the refusal and returns false.
    net::awaitable<bool> admit(exchange& call, attempt_ptr added);
    /// Returns whether the engine serves this role, model, version and
    /// adapter; if not, sends the refusal.
    net::awaitable<bool> accepts(exchange& call, std::string role, json target);
    attempt_ptr make_attempt(const json& body) const;
    void release(const attempt_ptr& state);
    void cancel(const std::string& id);
    void count_release(const attempt_ptr& released);
    net::awaitable<void> cancel_attempts(exchange& call);
    std::int64_t free_kv_blocks() const;

    // engine_prefill.cpp
    net::awaitable<void> prefill(exchange& call);
    net::awaitable<bool> run_prefill(attempt_ptr state);
    bool may_start_prefill(const attempt_ptr& state) const;
    void wake_waiting_prefills();

    // engine_transfer.cpp
    net::awaitable<void> export_result(exchange& call, std::string handle);
    net::awaitable<void> import(exchange& call);
    net::awaitable<unsigned> pull(attempt_ptr state,
                                  std::string source,
                                  std::string handle,
                                  time_point deadline);

    // engine_decode.cpp
    net::awaitable<void> decode(exchange& call);
    net::awaitable<attempt_ptr> prefill_inline(exchange& call, json body);
    net::awaitable<void>
    stream(exchange& call, attempt_ptr state, std::uint32_t position);
    net::awaitable<bool>
    write_tokens(exchange& call, attempt_ptr state, std::uint32_t position);
    net::awaitable<void> run_batch(std::shared_ptr<engine> self);
    std::vector<attempt_ptr> batch() const;

    // engine_orders.cpp
    net::awaitable<void> receive_order(exchange& call);
    order accept_order(const json& body);
    bool would_change(const order& candidate) const;
    void execute_order(const order& accepted);
    net::awaitable<void> execute_orders(std::shared_ptr<engine> self);
    net::awaitable<void> load_weights(order accepted);
    json orders_json() const;

    // engine_reports.cpp
    json load_report() const;
    json stats() const;
    json cache_events(std::uint64_t after) const;
    void refresh_load(time_point now);

    net::io_context& context_;
    engine_settings settings_;
    attempt_table attempts_;
    prefix_cache cache_;
    counters counters_;
    std::string instance_; ///< Random id, new at each start.
    std::uint64_t next_handle_{0};
    std::uint64_t next_stream_{0};
    std::deque<attempt_ptr> queue_; ///< Waiting prefills, oldest first.
    std::int64_t computing_{0};
    net::steady_timer batch_wake_;
    link link_;
    json load_published_;
    json load_next_;
    time_point load_refreshed_;
    std::vector<order> orders_;
    std::deque<order> pending_orders_;
    std::int64_t highest_fencing_{0};
    bool draining_{false};
};

} // namespace pimentoferry::standins

#endif
