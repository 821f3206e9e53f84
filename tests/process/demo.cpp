// The demonstration run by `make demo`: a small system of processes under load,
// with every response checked. Exits 0 only if all checks passed.

#include "standins/expected_answer.hpp"
#include "tests/process/fleet.hpp"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <iostream>
#include <map>
#include <mutex>
#include <thread>

namespace pimentoferry::process_tests {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t entry_count = 3;
constexpr std::size_t request_count = 240;
constexpr std::size_t booking_count = 50;
constexpr unsigned output_tokens = 60;
constexpr std::size_t drained_entry = 1;
constexpr int max_attempts = 20;

struct check_results {
    bool passed_{true};

    void expect(bool condition, const std::string& what) {
        std::cout << (condition ? "  ok      " : "  FAILED  ") << what << '\n';
        passed_ = passed_ && condition;
    }
};

std::string prompt_of(std::size_t number) {
    std::string prompt = "field note " + std::to_string(number);
    // From 20 to about 2,000 words.
    const std::size_t words = 20 + (number * 37) % 2000;
    for (std::size_t i = 0; i < words; ++i) {
        prompt += " silage" + std::to_string((number + i) % 97);
    }
    return prompt;
}

// The last response to a request, after retries that the refusals allowed.
struct request_outcome {
    caller_result last_;
    int attempts_{0};
};

// Retries only after a refusal that reports `not_run` or without a response, at
// the next address, as the address list requires of callers.
request_outcome run_request(const fleet& system, std::size_t number) {
    request_outcome outcome;
    const std::string prompt = prompt_of(number);
    for (std::size_t entry = number; outcome.attempts_ < max_attempts;
         ++entry) {
        ++outcome.attempts_;
        outcome.last_ =
            system.complete(entry % entry_count, prompt, output_tokens);
        const bool refused =
            outcome.last_.status_ == 0 || outcome.last_.ran_ == "not_run";
        if (!refused) {
            break;
        }
        std::this_thread::sleep_for(50ms);
    }
    return outcome;
}

std::vector<request_outcome> run_load(const fleet& system,
                                      std::atomic<std::size_t>& started) {
    std::vector<request_outcome> outcomes(request_count);
    std::vector<std::jthread> callers;
    for (std::size_t i = 0; i < request_count; ++i) {
        callers.emplace_back([&, i] {
            ++started;
            outcomes[i] = run_request(system, i);
        });
    }
    callers.clear();
    return outcomes;
}

void check_answers(const std::vector<request_outcome>& outcomes,
                   check_results& result) {
    std::size_t correct = 0;
    for (std::size_t i = 0; i < outcomes.size(); ++i) {
        const auto& last = outcomes[i].last_;
        const auto expected =
            standins::expected_answer(prompt_of(i), output_tokens);
        if (last.complete_ && last.text_ == expected) {
            ++correct;
        } else {
            std::cout << "    request " << i << ": status " << last.status_
                      << " code " << last.refusal_code_ << " ran " << last.ran_
                      << " received " << last.text_.size() << " of "
                      << expected.size() << " bytes after "
                      << outcomes[i].attempts_ << " tries\n";
        }
    }
    result.expect(correct == outcomes.size(),
                  std::to_string(correct) + " of " +
                      std::to_string(outcomes.size()) +
                      " streamed answers are whole and byte for byte right");
}

// Sends each booking to every entry at once, with the same idempotency key.
void run_bookings(fleet& system, check_results& result) {
    std::atomic<std::size_t> answered = 0;
    std::vector<std::string> keys(booking_count);
    std::ranges::generate(keys, make_idempotency_key);
    {
        std::vector<std::jthread> callers;
        for (std::size_t i = 0; i < booking_count * entry_count; ++i) {
            callers.emplace_back([&, i] {
                const auto& key = keys[i / entry_count];
                for (int attempt = 0; attempt < max_attempts; ++attempt) {
                    const auto answer = system.book(
                        (i + static_cast<std::size_t>(attempt)) % entry_count,
                        key, R"({"visit":")" + key + R"("})");
                    if (answer.status_ == 200) {
                        ++answered;
                        return;
                    }
                    std::this_thread::sleep_for(100ms);
                }
            });
        }
    }
    result.expect(answered == booking_count * entry_count,
                  std::to_string(answered) + " of " +
                      std::to_string(booking_count * entry_count) +
                      " senders of bookings got the result");
    const auto executions = system.executions();
    const bool once =
        std::ranges::all_of(executions, [](const auto& execution) {
            return execution.second == 1;
        });
    result.expect(once && executions.size() == booking_count,
                  std::to_string(executions.size()) + " of " +
                      std::to_string(booking_count) +
                      " bookings ran, each exactly once");
}

void check_release_and_exit(fleet& system, check_results& result) {
    const bool freed =
        wait_for([&] { return system.held_resources() == 0; }, 5s);
    result.expect(freed, "engines hold no memory of any request");
    for (std::size_t i = 0; i < entry_count; ++i) {
        system.entry(i).signal(SIGTERM);
        const auto code = system.entry(i).wait(20s);
        result.expect(code == 0,
                      "entry " + std::to_string(i) + " ended with exit code 0");
    }
}

int run() {
    check_results result;
    fleet system{{.entries_ = entry_count}};
    std::cout << "starting a store, 2 prefill engines, 2 decode engines, a "
                 "plain service and 3 entries\n";
    if (!system.start()) {
        system.keep_files();
        std::cout << "the system did not start, logs are in "
                  << system.directory() << '\n';
        return 1;
    }
    std::cout << "sending " << request_count
              << " concurrent streamed requests; entry " << drained_entry
              << " is drained meanwhile\n";
    std::atomic<std::size_t> started = 0;
    std::jthread drain{[&] {
        wait_for([&] { return started == request_count; }, 10s);
        std::this_thread::sleep_for(200ms);
        system.entry(drained_entry).signal(SIGTERM);
    }};
    const auto outcomes = run_load(system, started);
    drain.join();
    check_answers(outcomes, result);
    const auto drained = system.entry(drained_entry).wait(20s);
    result.expect(drained == 0, "the drained entry ended with exit code 0");
    system.restart_entry(drained_entry);
    std::cout << "sending " << booking_count << " bookings, each to "
              << entry_count << " entries at once with one key\n";
    run_bookings(system, result);
    check_release_and_exit(system, result);
    if (!result.passed_) {
        system.keep_files();
        std::cout << "logs are in " << system.directory() << '\n';
    }
    std::cout << (result.passed_ ? "all checks held\n" : "a check FAILED\n");
    return result.passed_ ? 0 : 1;
}

} // namespace
} // namespace pimentoferry::process_tests

int main() {
    return pimentoferry::process_tests::run();
}
