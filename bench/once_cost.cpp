// Cost of at-most-once execution in virtual time: store writes per call,
// added latency, takeover time, bytes per record. Usage: once_cost
//
// Simulates 9 entries, 8 shards, a store latency of 2 ms, 0.5 ms between
// entries and an upstream latency of 5 ms. Calls arrive as a Poisson process,
// each with a new key. The results are the same on every machine, except for
// the bytes in memory.

#include "pimentoferry/base/hash.hpp"
#include "pimentoferry/once/record_table.hpp"
#include "pimentoferry/once/simulated_world.hpp"

#include <malloc.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <random>
#include <vector>

namespace pimentoferry::once {
namespace {

using base::microseconds;
using base::milliseconds;

constexpr std::size_t entries = 9;
constexpr std::chrono::minutes record_window{15};

double milliseconds_of(base::time_point::duration time) {
    return std::chrono::duration<double, std::milli>(time).count();
}

double quantile(std::vector<double>& values, double probability) {
    if (values.empty()) {
        return 0;
    }
    const auto index = static_cast<std::size_t>(
        std::floor(probability * static_cast<double>(values.size() - 1)));
    std::ranges::nth_element(values, values.begin() +
                                         static_cast<std::ptrdiff_t>(index));
    return values[index];
}

world_settings bench_settings(milliseconds death_detection) {
    world_settings settings;
    settings.entries_ = entries;
    settings.message_delay_ = microseconds{500};
    settings.death_detection_ = death_detection;
    settings.once_.window_ = record_window;
    return settings;
}

/// Submits calls with new keys at a mean rate to random live entries.
class call_generator {
public:
    call_generator(simulated_world& world, double calls_per_second)
        : world_(world), interval_us_(calls_per_second / 1e6) {}

    void run(microseconds time) {
        const auto end = world_.now() + time;
        while (true) {
            const microseconds interval{
                static_cast<std::int64_t>(interval_us_(random_))};
            if (world_.now() + interval > end) {
                break;
            }
            world_.advance(interval);
            submit_new_call();
        }
        world_.advance(
            std::chrono::duration_cast<microseconds>(end - world_.now()));
    }

    /// Times from arrival to `send_call` in ms, of the calls sent so far.
    [[nodiscard]] std::vector<double> added_latency() const {
        std::vector<double> latency;
        for (const auto request : requests_) {
            const auto& record = world_.oracle().request(request);
            if (record.response_ == response_kind::send) {
                latency.push_back(milliseconds_of(record.responded_at_ -
                                                  record.call_.submitted_at_));
            }
        }
        return latency;
    }

    [[nodiscard]] std::size_t submitted_count() const {
        return requests_.size();
    }

private:
    void submit_new_call() {
        std::size_t entry = random_() % world_.size();
        while (!world_.is_live(entry)) {
            entry = random_() % world_.size();
        }
        ++keys_;
        const key_id key{base::hash_combine(keys_, 1),
                         base::hash_combine(keys_, 2), world_.wall()};
        requests_.push_back(world_.submit_call(entry, key, 1));
    }

    simulated_world& world_;
    std::mt19937_64 random_{1};
    std::exponential_distribution<double> interval_us_;
    std::vector<base::request_id> requests_;
    std::uint64_t keys_{0};
};

void measure_rate(double rate, std::chrono::seconds time) {
    simulated_world world{bench_settings(milliseconds{2800})};
    const auto writes_before = world.store().writes();
    call_generator calls{world, rate};
    calls.run(time);
    const auto writes =
        static_cast<double>(world.store().writes() - writes_before);
    auto latency = calls.added_latency();
    std::printf("%8.0f %9zu %9zu %12.4f %10.1f %8.1f %8.1f %8.1f\n", rate,
                calls.submitted_count(), latency.size(),
                writes / static_cast<double>(calls.submitted_count()),
                writes / static_cast<double>(time.count()),
                quantile(latency, 0.5), quantile(latency, 0.99),
                quantile(latency, 1));
}

std::size_t entry_with_most_shards(const simulated_world& world) {
    std::size_t best_entry = 0;
    std::size_t max_shards = 0;
    for (std::size_t entry = 0; entry < world.size(); ++entry) {
        const auto owned = world.service(entry).owned_shards().size();
        if (owned > max_shards) {
            max_shards = owned;
            best_entry = entry;
        }
    }
    return best_entry;
}

std::size_t count_owned_shards(const simulated_world& world) {
    std::size_t sum = 0;
    for (std::size_t entry = 0; entry < world.size(); ++entry) {
        if (world.is_live(entry)) {
            sum += world.service(entry).owned_shards().size();
        }
    }
    return sum;
}

void measure_takeover(double rate,
                      std::chrono::seconds before,
                      milliseconds death_detection) {
    simulated_world world{bench_settings(death_detection)};
    call_generator calls{world, rate};
    calls.run(before);
    const auto killed_entry = entry_with_most_shards(world);
    const auto shards = world.service(killed_entry).owned_shards().size();
    const auto records = world.service(killed_entry).record_count();
    const auto reads_before = world.store().reads();
    world.kill(killed_entry);
    const auto killed_at = world.now();
    const auto all = settings{}.shards_;
    while (count_owned_shards(world) < all &&
           world.now() - killed_at < std::chrono::seconds{30}) {
        world.advance(milliseconds{1});
    }
    std::printf(
        "%8.0f %7zu %9zu %11lld %12.0f %9llu\n", rate, shards, records,
        static_cast<long long>(death_detection.count()),
        milliseconds_of(world.now() - killed_at),
        static_cast<unsigned long long>(world.store().reads() - reads_before));
}

/// Heap bytes per record of a table, with results of `result_size` bytes, or
/// without results if it is 0.
double heap_per_record(std::size_t result_size) {
    constexpr std::uint64_t count = 112'500;
    const auto before = mallinfo2().uordblks;
    internal::record_table table;
    for (std::uint64_t i = 0; i < count; ++i) {
        const key_id key{
            base::hash_combine(i, 1), base::hash_combine(i, 2), {}};
        const base::attempt_id attempt{{1}, i};
        table.apply(claim{attempt, 0, key, 1});
        if (result_size > 0) {
            table.apply(report_result{
                attempt, 0, key, {200, "", std::string(result_size, 'x')}});
        }
    }
    const auto used = mallinfo2().uordblks - before;
    return static_cast<double>(used) / static_cast<double>(count);
}

void measure_store_bytes(double rate, std::chrono::seconds time) {
    simulated_world world{bench_settings(milliseconds{2800})};
    call_generator calls{world, rate};
    calls.run(time);
    std::printf("store, result of about 20 B: %.0f B per record "
                "(claim, result and marks)\n",
                static_cast<double>(world.store().bytes("once/")) /
                    static_cast<double>(calls.submitted_count()));
}

} // namespace
} // namespace pimentoferry::once

int main() {
    using namespace pimentoferry::once;
    using std::chrono::seconds;
    std::printf("Store writes and added latency (arrival to send)\n");
    std::printf("%8s %9s %9s %12s %10s %8s %8s %8s\n", "calls/s", "calls",
                "sent", "writes/call", "writes/s", "p50 ms", "p99 ms",
                "max ms");
    measure_rate(1, seconds{1000});
    measure_rate(100, seconds{60});
    measure_rate(1000, seconds{60});

    std::printf("\nTakeover: death of the owner of most shards\n");
    std::printf("%8s %7s %9s %11s %12s %9s\n", "calls/s", "shards", "records",
                "detected ms", "takeover ms", "reads");
    for (const int detected : {2300, 2800, 3300}) {
        measure_takeover(100, seconds{60}, milliseconds{detected});
    }
    measure_takeover(1000, record_window, milliseconds{2800});

    std::printf("\nBytes per record\n");
    std::printf("memory: %.0f B, with a result of 100 B: %.0f B\n",
                heap_per_record(0), heap_per_record(100));
    measure_store_bytes(1000, seconds{60});
    return 0;
}
