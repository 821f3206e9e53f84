/// Entries, engines and cell owners in simulated time, for the invariant
/// tests of `request_table`.
///
/// Everything that happens later is a scheduled closure, so that any two events
/// can occur in either order. Each public function is one command of the tests.
/// Its numbers select among what exists, so that every sequence of commands is
/// valid and a failing sequence can be shrunk.
#ifndef PIMENTOFERRY_REQUESTS_FUZZ_WORLD_HPP
#define PIMENTOFERRY_REQUESTS_FUZZ_WORLD_HPP

#include "pimentoferry/requests/fuzz/fake_engine.hpp"
#include "pimentoferry/requests/fuzz/fake_owner.hpp"
#include "pimentoferry/requests/fuzz/oracle.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace pimentoferry::requests::fuzz {

/// Totals over all cases, to check that the tests reach each path.
struct coverage {
    std::uint64_t commands_{0};
    std::uint64_t requests_{0};
    std::uint64_t crashes_{0};
    std::uint64_t not_run_{0};
    std::uint64_t cancels_lost_{0};
    table_counts tables_;
};

class world {
public:
    explicit world(coverage& totals);

    // Commands. `seed` determines every random choice within a command.
    void seed(std::uint32_t seed) { random_.seed(seed); }
    void submit(unsigned entry, poison kind, bool deterministic);
    void resubmit(unsigned entry, unsigned which);
    void disconnect_caller(unsigned which);
    void advance(base::milliseconds time);
    void kill_entry(unsigned entry);
    void toggle_pause(unsigned entry);
    void drain_entry(unsigned entry);
    void crash_engine(unsigned engine);
    void toggle_stall(unsigned engine);
    void toggle_full(unsigned engine);
    void toggle_slow(unsigned engine);
    void evict_results(unsigned engine);
    void break_streams(unsigned engine);
    void lose_cancels(unsigned count) { cancels_to_lose_ = count; }
    void toggle_owner_unresponsive(unsigned rank);
    void change_owner();
    void toggle_duplicates() { duplicates_ = !duplicates_; }
    void set_jitter(unsigned ms) { jitter_ = ms; }

    /// Ends all faults, advances the time and checks that every request has an
    /// outcome and that every slot and KV block is free.
    void settle();

private:
    struct entry {
        std::unique_ptr<request_table> table_;
        base::instance_id instance_;
        bool alive_{false};
        bool paused_{false};
        bool draining_{false};
        base::time_point paused_at_;
        base::time_point last_stream_event_;
        std::deque<std::function<void()>> backlog_;
        /// The engine instances in the view of the entry.
        std::map<base::upstream_name, std::uint64_t> viewed_instances_;
        /// The latest engine instance whose crash was reported to the entry.
        std::map<base::upstream_name, std::uint64_t> last_reported_crash_;
        std::map<base::request_id, stream_broken> last_stream_broken_;
    };
    struct call {
        std::size_t entry_{0};
        base::instance_id entry_instance_;
        base::attempt_id attempt_;
        base::request_id request_;
        fake_engine* engine_{nullptr};
        std::uint64_t engine_instance_{0}; ///< 0 until delivered.
        bool is_stream_{false};
        std::function<event(engine_failure)> failed_;
        std::uint32_t next_token_{0};
        std::uint32_t relay_from_{0};
        bool with_prompt_{false};
        bool first_token_reported_{false};
        base::time_point last_read_at_; ///< Last read by the entry.
    };
    struct owner {
        base::instance_id instance_;
        fake_owner state_;
        bool unresponsive_{false};
        std::deque<std::pair<base::instance_id, placement::to_owner>>
            undelivered_;
        std::uint64_t generation_{0};
    };

    // Time.
    void schedule_after(base::milliseconds delay, std::function<void()> task);
    void run_until(base::time_point end);
    base::milliseconds latency(unsigned least = 1);
    std::uint32_t draw(std::uint32_t below) { return random_() % below; }

    // Entries (world_entries.cpp).
    void start_entry(std::size_t index);
    void post(std::size_t index, const event& e);
    void post_stream(std::size_t index, const event& e);
    void deliver(std::size_t index,
                 base::instance_id instance,
                 std::function<void()> task);
    void handle(std::size_t index, const event& e);
    void arm_timer(std::size_t index);
    void accept(unsigned chosen, const body& content);
    void execute(std::size_t index, const action& a);
    void
    report_crash(std::size_t index, fake_engine& engine, bool call_refused);
    void check_memory(std::size_t index);
    void cancel_orphaned_attempts();
    bool entry_is_current(base::instance_id instance) const;
    entry* entry_of(base::instance_id instance);
    std::size_t index_of(const entry& e) const;

    // Cell owners (world_entries.cpp).
    void deliver_to_owner(std::size_t rank,
                          base::instance_id from,
                          const placement::to_owner& message);
    void deliver_answers(const owner& from, const owner_answers& answers);
    std::size_t rank_of(const send_to_owner& sent) const;
    static owner make_owner(std::uint64_t number);
    void serve_queues();
    std::vector<engine_view> views();

    // Calls and engines (world_engines.cpp).
    std::uint64_t open_call(std::size_t index, call c);
    bool reachable(std::size_t index, const fake_engine& engine);
    bool deliver_call(std::uint64_t id);
    void fail_call(std::uint64_t id, engine_failure failure);
    void answer_call(std::uint64_t id, const event& e);
    void close_calls(std::size_t index,
                     const base::upstream_name& engine,
                     base::attempt_id attempt);
    void do_prefill(std::size_t index, const start_prefill& a);
    void do_import(std::size_t index, const start_import& a);
    void do_decode(std::size_t index, const start_decode& a);
    void do_cancel(std::size_t index, const cancel_attempts& a);
    void prefill_arrived(std::uint64_t id, const start_prefill& a);
    void import_arrived(std::uint64_t id, const start_import& a);
    void decode_arrived(std::uint64_t id, const start_decode& a);
    void import_progress(std::uint64_t id,
                         const start_import& a,
                         base::time_point reserved_until);
    void advance_stream(std::uint64_t id);
    void crash(fake_engine& engine,
               std::optional<base::attempt_id> crashing_attempt = std::nullopt);
    std::vector<std::uint64_t> received_calls(const fake_engine& engine) const;
    void record_running(const fake_engine& engine);
    void expire_allocations();
    void break_calls(const fake_engine& engine);
    fake_engine& engine_named(const base::upstream_name& name);
    allocation make_allocation(allocation_kind kind, base::request_id request);

    void check_settled();

    static constexpr std::size_t entry_count = 3;

    coverage& totals_;
    std::mt19937_64 random_{1};
    base::time_point now_{std::chrono::hours{1}};
    base::time_point start_{now_};
    std::multimap<base::time_point, std::function<void()>> scheduled_;
    oracle oracle_;
    std::array<entry, entry_count> entries_;
    std::array<owner, 2> owners_{make_owner(1), make_owner(2)};
    std::uint64_t owners_made_{2};
    std::vector<fake_engine> engines_;
    std::map<std::uint64_t, call> calls_;
    std::vector<body> bodies_;
    std::vector<std::pair<std::size_t, base::request_id>> submitted_;
    std::map<base::instance_id, base::time_point> crashed_at_;
    /// The attempt that crashed each engine instance, if any.
    std::map<std::pair<base::upstream_name, std::uint64_t>,
             std::optional<base::attempt_id>>
        crashing_attempts_;
    /// Attempts that ran on an engine at a crash, over all its instances.
    std::map<base::upstream_name, std::set<base::attempt_id>> ran_at_crash_;
    std::uint64_t next_instance_{1};
    std::uint64_t next_request_{1};
    std::uint64_t next_call_{1};
    unsigned jitter_{0};
    unsigned cancels_to_lose_{0};
    bool duplicates_{false};
    bool queue_timer_{false};
};

} // namespace pimentoferry::requests::fuzz

#endif
