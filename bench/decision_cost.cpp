// Cost of a scheduling decision: time, allocations and memory.
//
// Arguments are replicas (in cells of at most 16 engines, a third of them for
// prefill) and requests in flight over all cells. One iteration covers the
// lifetime of a request: the choice of a cell, the placement request, the
// release of an older request, the end of the prefill and the first token.
// The counters:
//
//   place_p50_us, place_p99_us  choice of a cell and `placement_request`
//   event_p50_us, event_p99_us  handling of one event
//   allocs_event                allocations per event
//   bytes_request               scheduler memory per request in flight
//   bytes_replica               scheduler memory per replica

#include "pimentoferry/placement/cell_scheduler.hpp"

#include <benchmark/benchmark.h>

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <deque>
#include <new>
#include <random>
#include <string>
#include <vector>

namespace {

std::uint64_t allocations = 0;
std::int64_t live_bytes = 0;

} // namespace

// Not inlined, because otherwise the compiler reports `free` as a mismatched
// deallocation of `new`.
[[gnu::noinline]] void* operator new(std::size_t size) {
    void* memory = std::malloc(size);
    if (memory == nullptr) {
        throw std::bad_alloc{};
    }
    ++allocations;
    live_bytes += static_cast<std::int64_t>(malloc_usable_size(memory));
    return memory;
}

[[gnu::noinline]] void operator delete(void* memory) noexcept {
    if (memory != nullptr) {
        live_bytes -= static_cast<std::int64_t>(malloc_usable_size(memory));
        std::free(memory);
    }
}

[[gnu::noinline]] void operator delete(void* memory, std::size_t) noexcept {
    operator delete(memory);
}

namespace {

using namespace pimentoferry;
using namespace pimentoferry::placement;
using namespace std::chrono_literals;

constexpr int engines_per_cell = 16;
constexpr std::uint32_t slots = 20;
constexpr int callers = 40;
constexpr std::size_t samples_limit = 400'000;

struct cell {
    cell_scheduler scheduler_;
    std::uint32_t headroom_{0};
    std::deque<base::attempt_id> decoding_;
};

class fleet {
public:
    fleet(int replicas, int in_flight) {
        const std::int64_t before = live_bytes;
        const int count = (replicas + engines_per_cell - 1) / engines_per_cell;
        for (int i = 0; i < count; ++i) {
            cells_.push_back({cell_scheduler{settings()}, 0, {}});
            const int engines =
                replicas / count + (i < replicas % count ? 1 : 0);
            deliver(cells_.back(), engines_changed{describe_engines(engines)});
            deliver(cells_.back(), became_owner{});
        }
        now_ += 1s;
        for (cell& c : cells_) {
            deliver(c, tick{});
        }
        bytes_replica_ = static_cast<double>(live_bytes - before) / replicas;
        const std::int64_t empty = live_bytes;
        for (int i = 0; i < in_flight; ++i) {
            place_request(cells_[static_cast<std::size_t>(i) % cells_.size()]);
        }
        bytes_request_ = static_cast<double>(live_bytes - empty) / in_flight;
        // A request decodes for 6 s, and an iteration has about four events.
        constexpr auto decode_time = 6s;
        const std::uint32_t decode_slots =
            static_cast<std::uint32_t>(replicas) * slots * 2 / 3;
        event_gap_ = base::clock::duration{decode_time} / (4 * decode_slots);
    }

    /// Places a request and releases the oldest one of its cell.
    void replace_oldest_request() {
        cell& c = place_request(choose_cell());
        if (!c.decoding_.empty()) {
            const base::attempt_id oldest = c.decoding_.front();
            c.decoding_.pop_front();
            send_to_owner(
                c, placement_release{oldest, release_reason::completed, 80});
        }
        start_granted_requests(c);
    }

    void begin_measuring() {
        placement_ns_.reserve(samples_limit);
        event_ns_.reserve(samples_limit);
        measuring_ = true;
    }

    double bytes_request_{0};
    double bytes_replica_{0};
    std::uint64_t events_{0};
    std::uint64_t event_allocations_{0};
    std::vector<std::uint32_t> placement_ns_;
    std::vector<std::uint32_t> event_ns_;

private:
    static scheduler_settings settings() {
        scheduler_settings s;
        // Admits a queue of any length.
        s.first_token_target_ = base::milliseconds{100'000'000};
        return s;
    }

    static std::vector<engine_description> describe_engines(int engines) {
        std::vector<engine_description> all;
        for (int i = 0; i < engines; ++i) {
            const bool prefill = i % 3 == 0;
            all.push_back({base::upstream_name{"engine-" + std::to_string(i)},
                           prefill ? engine_role::prefill : engine_role::decode,
                           base::failure_domain{"domain"}, false, slots, 400});
        }
        return all;
    }

    /// Power of two choices by the headroom that was last published.
    cell& choose_cell() {
        std::uniform_int_distribution<std::size_t> any{0, cells_.size() - 1};
        cell& a = cells_[any(random_)];
        cell& b = cells_[any(random_)];
        return a.headroom_ >= b.headroom_ ? a : b;
    }

    void deliver(cell& c, const event& e) {
        const std::uint64_t before = allocations;
        const auto begin = std::chrono::steady_clock::now();
        std::vector<action> actions = c.scheduler_.handle(e, now_);
        const auto end = std::chrono::steady_clock::now();
        if (measuring_ && event_ns_.size() < samples_limit) {
            event_allocations_ += allocations - before;
            ++events_;
            event_ns_.push_back(static_cast<std::uint32_t>(
                std::chrono::nanoseconds{end - begin}.count()));
        }
        for (const action& a : actions) {
            apply_action(c, a);
        }
    }

    void apply_action(cell& c, const action& a) {
        if (const auto* h = std::get_if<publish_headroom>(&a)) {
            c.headroom_ = h->free_decode_slots_;
        }
        const auto* s = std::get_if<send_to_entry>(&a);
        if (s == nullptr) {
            return;
        }
        if (const auto* g = std::get_if<placement_grant>(&s->message_)) {
            granted_.push_back(g->attempt_);
        }
    }

    void send_to_owner(cell& c, to_owner message) {
        now_ += event_gap_;
        deliver(c, entry_message{entry_, std::move(message)});
    }

    cell& place_request(cell& c) {
        placement_request m;
        m.attempt_ = {entry_, ++sequence_};
        m.caller_.value_ = "caller-" + std::to_string(sequence_ % callers);
        m.prompt_tokens_ = 500 + sequence_ % 4'000;
        m.max_output_tokens_ = 160;
        for (std::uint32_t i = 1; i <= m.prompt_tokens_ / 1'000; ++i) {
            m.prefix_hashes_.push_back(sequence_ * 64 + i);
        }
        m.first_token_budget_ = base::milliseconds{100'000'000};
        send_to_owner(c, std::move(m));
        if (measuring_ && placement_ns_.size() < samples_limit &&
            !event_ns_.empty()) {
            placement_ns_.push_back(event_ns_.back());
        }
        start_granted_requests(c);
        return c;
    }

    /// Reports the end of prefill and the first token of each granted request.
    void start_granted_requests(cell& c) {
        while (!granted_.empty()) {
            const base::attempt_id id = granted_.back();
            granted_.pop_back();
            send_to_owner(c, prefill_finished{id, 0, 0});
            send_to_owner(c, decode_started{id});
            c.decoding_.push_back(id);
        }
    }

    std::vector<cell> cells_;
    base::time_point now_{1h};
    base::instance_id entry_{3};
    std::uint64_t sequence_{0};
    std::vector<base::attempt_id> granted_;
    std::mt19937_64 random_{1};
    bool measuring_{false};
    base::clock::duration event_gap_{0}; ///< Zero while the cells are filled.
};

double percentile_us(std::vector<std::uint32_t>& values, double share) {
    if (values.empty()) {
        return 0;
    }
    const auto at = static_cast<std::ptrdiff_t>(
        share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + at, values.end());
    return values[static_cast<std::size_t>(at)] / 1e3;
}

void decision(benchmark::State& state) {
    fleet f{static_cast<int>(state.range(0)), static_cast<int>(state.range(1))};
    f.begin_measuring();
    for (auto _ : state) {
        f.replace_oldest_request();
    }
    const double events = std::max<double>(static_cast<double>(f.events_), 1);
    state.counters["place_p50_us"] = percentile_us(f.placement_ns_, 0.50);
    state.counters["place_p99_us"] = percentile_us(f.placement_ns_, 0.99);
    state.counters["event_p50_us"] = percentile_us(f.event_ns_, 0.50);
    state.counters["event_p99_us"] = percentile_us(f.event_ns_, 0.99);
    state.counters["allocs_event"] =
        static_cast<double>(f.event_allocations_) / events;
    state.counters["bytes_request"] = f.bytes_request_;
    state.counters["bytes_replica"] = f.bytes_replica_;
}

BENCHMARK(decision)
    ->ArgNames({"replicas", "in_flight"})
    ->ArgsProduct({{9, 90, 860}, {20, 1'000, 10'000}})
    ->Unit(benchmark::kMicrosecond);

} // namespace

BENCHMARK_MAIN();
