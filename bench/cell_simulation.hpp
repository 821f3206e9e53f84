/// One run of the policy benchmark: simulates callers, entries, engines and
/// links on virtual time and drives `placement::cell_scheduler`.
///
/// With the policy `reserved`, one scheduler decides at the cell owner, and
/// messages between it and the entries take 0.5 to 1 ms. With a baseline, each
/// entry has a scheduler of its own, which sees its own requests at once and
/// those of other entries only through load reports.
#ifndef PIMENTOFERRY_BENCH_CELL_SIMULATION_HPP
#define PIMENTOFERRY_BENCH_CELL_SIMULATION_HPP

#include "bench/event_loop.hpp"
#include "bench/fake_engine.hpp"
#include "bench/workload.hpp"
#include "pimentoferry/placement/cell_scheduler.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <unordered_map>
#include <vector>

namespace pimentoferry::bench {

struct run_settings {
    workload workload_;
    machine_settings machines_;
    placement::policy policy_;
    double load_{1}; ///< Arrival rate as a multiple of the decode capacity.
    bool faults_{false};
    std::uint64_t seed_{1};
    bool trace_{false}; ///< Prints each request that is not answered.
};

enum class outcome : std::uint8_t { running, answered, refused, left, lost };

struct request_result {
    double arrived_ms_{0};
    int caller_{0};
    outcome outcome_{outcome::running};
    bool cancelled_by_fault_{false};
    double first_token_ms_{-1}; ///< Since arrival; -1 without one.
    std::vector<float> intervals_ms_;
    double computed_tokens_{0}; ///< Prefill tokens of all its attempts.
    double used_tokens_{0};     ///< Of the attempt that produced a first token.
};

struct run_result {
    std::vector<request_result> requests_; ///< Arrived in the window.
    double window_s_{0};
    double bound_per_s_{0}; ///< Answers per second; see `docs/policy.md`.
    int engines_{0};
};

/// Equal seeds give equal requests for all policies.
run_result run(const run_settings& settings);

namespace internal {

class cell_simulation {
public:
    explicit cell_simulation(const run_settings& settings);
    run_result run();

private:
    enum class stage : std::uint8_t {
        placing,
        prefilling,
        binding,
        importing,
        decoding,
    };
    struct request {
        request_sample sample_;
        request_result result_;
        int entry_{0};
        int attempt_count_{0};
        bool finished_{false};
        bool in_window_{false};
        base::attempt_id attempt_;
        stage stage_{stage::placing};
        int prefill_{-1};
        int decode_{-1};
        bool inline_{false};
        double attempt_tokens_{0};
        double last_token_ms_{0};
        int import_number_{0};
    };
    struct entry {
        bool up_{true};
        double retries_left_{24};
        std::uint64_t next_sequence_{1};
        // Last arrival times; messages of one connection stay in order.
        double to_owner_ms_{0};
        double from_owner_ms_{0};
    };
    struct scheduler {
        std::unique_ptr<placement::cell_scheduler> cell_;
        double wakeup_ms_{-1};
    };

    // Schedulers, engines and connections.
    void build_engines();
    void build_schedulers();
    int add_engine(placement::engine_role role, int number);
    std::vector<placement::engine_description> descriptions() const;
    void deliver(int scheduler, const placement::event& e);
    void deliver_to_all(double delay_ms, const placement::event& e);
    void perform(const std::vector<placement::action>& actions);
    void schedule_wakeup(int scheduler);
    [[nodiscard]] bool has_central_scheduler() const;
    [[nodiscard]] int scheduler_of(int entry) const;
    /// Draws the arrival time of a message and stores it in `last`, the arrival
    /// time of the preceding message on the connection.
    double arrival_ms(int entry, double& last);
    void send_to_scheduler(int entry, placement::to_owner message);
    int engine_index(const base::upstream_name& name) const;
    void poll_reports();
    void poll_caches();
    void tick_schedulers();

    // Request handling at the entries.
    void handle_arrival();
    void begin_attempt(std::size_t number);
    void receive(const placement::to_entry& message);
    void on_message(request& r, const placement::placement_grant& m);
    void on_message(request& r, const placement::placement_refusal& m);
    void on_message(request& r, const placement::decode_bound& m);
    void on_message(request& r, const placement::placement_queued& m);
    void prefill_completed(std::size_t number,
                           base::attempt_id id,
                           const prefill_result& result);
    void start_import(std::size_t number, int decode);
    void import_completed(std::size_t number,
                          base::attempt_id id,
                          int decode,
                          engine_status result);
    void report_decode_loss(std::size_t number, placement::loss_reason reason);
    void start_decode(std::size_t number);
    void
    on_token(std::size_t number, base::attempt_id id, int position, bool last);
    void fail_attempt(std::size_t number, bool retryable);
    void cancel_at_engines(const request& r);
    void release(const request& r,
                 placement::release_reason reason,
                 std::uint32_t tokens);
    void disconnect_caller(std::size_t number, bool by_fault);
    void finish(std::size_t number, outcome how);
    [[nodiscard]] bool is_current(std::size_t number,
                                  base::attempt_id id) const;

    // Faults.
    void schedule_faults();
    void crash_engine(int engine, double at_ms, double downtime_ms);
    void crash_entry(int number);
    /// Means of the requests that arrived in the window.
    [[nodiscard]] workload_means window_means() const;
    [[nodiscard]] double goodput_bound() const;

    run_settings settings_;
    event_loop loop_;
    // Behavior of callers has its own generator, so that all policies receive
    // the same requests.
    std::mt19937_64 caller_random_;
    std::mt19937_64 random_;
    workload_means means_;
    double arrivals_per_s_{0};
    std::vector<std::unique_ptr<fake_engine>> engines_;
    std::vector<scheduler> schedulers_;
    std::vector<entry> entries_;
    std::vector<request> requests_;
    std::unordered_map<base::attempt_id, std::size_t> attempts_;
    double report_lag_ms_{0};
};

} // namespace internal

} // namespace pimentoferry::bench

#endif
