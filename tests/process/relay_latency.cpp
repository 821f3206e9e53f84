// Measures the latency that an entry adds to a streamed response: the same
// stand-in engine is read directly and through one entry, with 20 concurrent
// streams. A token's delay is its gap to the previous token minus the engine's
// step time.

#include "tests/process/fleet.hpp"

#include <algorithm>
#include <cstdio>
#include <mutex>
#include <thread>

namespace pimentoferry::process_tests {
namespace {

using clock = std::chrono::steady_clock;
using milliseconds_f = std::chrono::duration<double, std::milli>;

constexpr std::size_t stream_count = 20;
constexpr std::size_t round_count = 5;
constexpr unsigned output_tokens = 200;
/// A constant step of 10 ms, independent of the batch size.
constexpr const char* switches =
    R"({"step_base_us":10000,"step_per_request_us":0})";

struct samples {
    std::vector<double> first_ms_;
    std::vector<double> gap_ms_;
};

double quantile(std::vector<double> values, double share) {
    if (values.empty()) {
        return 0;
    }
    std::ranges::sort(values);
    const auto last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(share * last)];
}

void read_stream(standins::http_stream stream,
                 clock::time_point begin,
                 samples& total,
                 std::mutex& mutex) {
    samples own;
    auto last = begin;
    for (auto event = stream.next_event(); event; event = stream.next_event()) {
        const auto now = clock::now();
        const double elapsed_ms = milliseconds_f{now - last}.count();
        (last == begin ? own.first_ms_ : own.gap_ms_).push_back(elapsed_ms);
        last = now;
    }
    const std::scoped_lock lock{mutex};
    total.first_ms_.insert(total.first_ms_.end(), own.first_ms_.begin(),
                           own.first_ms_.end());
    total.gap_ms_.insert(total.gap_ms_.end(), own.gap_ms_.begin(),
                         own.gap_ms_.end());
}

standins::http_stream
open_direct(const fleet&, std::uint16_t engine, std::size_t number) {
    Json::Value body;
    body["attempt"] = "00000000000000ff-" + std::string(8, '0') +
                      std::to_string(10000000 + number);
    body["position"] = 0;
    body["max_tokens"] = output_tokens;
    body["inline"] = "lab sheet " + std::to_string(number);
    return {engine,
            "/v1/decode",
            body.toStyledString(),
            {},
            std::chrono::seconds{20}};
}

standins::http_stream
open_routed(const fleet& system, std::uint16_t, std::size_t number) {
    Json::Value body;
    body["model"] = "verdicts";
    body["prompt"] = "lab sheet " + std::to_string(number);
    body["max_tokens"] = output_tokens;
    body["stream"] = true;
    return {system.ports(0).traffic_,
            "/v1/completions",
            body.toStyledString(),
            {{"Authorization", "Bearer caller-key"}},
            std::chrono::seconds{20}};
}

template <class Open>
samples measure(fleet& system, Open open) {
    samples all;
    std::mutex mutex;
    for (std::size_t round = 0; round < round_count; ++round) {
        std::vector<std::jthread> readers;
        for (std::size_t i = 0; i < stream_count; ++i) {
            readers.emplace_back([&, number = round * stream_count + i] {
                const auto begin = clock::now();
                read_stream(open(system, system.engine(1).port_, number), begin,
                            all, mutex);
            });
        }
    }
    return all;
}

void print(const char* name, const samples& measured) {
    std::printf("%-8s %8zu %10.2f %10.2f %10.2f %10.2f\n", name,
                measured.gap_ms_.size(), quantile(measured.first_ms_, 0.5),
                quantile(measured.first_ms_, 0.99),
                quantile(measured.gap_ms_, 0.5),
                quantile(measured.gap_ms_, 0.99));
}

int run() {
    fleet system{{.entries_ = 1,
                  .prefill_engines_ = 1,
                  .decode_engines_ = 1,
                  .services_ = 0,
                  .engine_switches_ = switches}};
    if (!system.start()) {
        return 1;
    }
    std::printf("%-8s %8s %10s %10s %10s %10s\n", "path", "gaps", "first p50",
                "first p99", "gap p50", "gap p99");
    print("direct", measure(system, open_direct));
    print("routed", measure(system, open_routed));
    return 0;
}

} // namespace
} // namespace pimentoferry::process_tests

int main() {
    return pimentoferry::process_tests::run();
}
