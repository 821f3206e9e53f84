// Failures of processes under load: a killed and a paused entry, a killed
// engine, a store outage, a ticket missed during a pause, and invalid requests.

#include "standins/expected_answer.hpp"
#include "tests/process/fleet.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <map>
#include <thread>

namespace pimentoferry::process_tests {
namespace {

using namespace std::chrono_literals;

constexpr unsigned output_tokens = 100;
constexpr std::size_t request_count = 40;
constexpr std::size_t booking_count = 20;
constexpr int max_booking_attempts = 60;
constexpr const char* booking = R"({"visit":1})";
/// Decode steps of 10 ms make a response last about a second, so that requests
/// are in every stage when the failure occurs.
constexpr const char* slow_engines = R"({"step_base_us":10000})";

std::string prompt_of(std::size_t number) {
    return "lab sheet " + std::to_string(number) + " of clamp";
}

bool is_correct(const caller_result& result, std::size_t number) {
    return result.complete_ &&
           result.text_ ==
               standins::expected_answer(prompt_of(number), output_tokens);
}

// The received text must be a prefix of the request's expected answer, also
// if the stream was truncated.
bool is_own_prefix(const caller_result& result, std::size_t number) {
    return standins::expected_answer(prompt_of(number), output_tokens)
        .starts_with(result.text_);
}

std::vector<caller_result> run_load(const fleet& system,
                                    const std::vector<std::size_t>& entries,
                                    std::atomic<std::size_t>& started) {
    std::vector<caller_result> results(request_count);
    std::vector<std::jthread> callers;
    for (std::size_t i = 0; i < request_count; ++i) {
        callers.emplace_back([&, i] {
            ++started;
            results[i] = system.complete(entries[i % entries.size()],
                                         prompt_of(i), output_tokens);
        });
    }
    callers.clear();
    return results;
}

// Sends a booking to one entry after another until the response is final.
// Returns its status, or 0 if no attempt got a final response.
unsigned book_until_final(const fleet& system,
                          std::size_t first,
                          const std::string& key,
                          const std::string& body) {
    for (int attempt = 0; attempt < max_booking_attempts; ++attempt) {
        const auto answer = system.book(
            (first + static_cast<std::size_t>(attempt)) % system.entry_count(),
            key, body);
        const auto code = parse_json_text(answer.body_)["code"].asString();
        if (answer.status_ == 200 || code == "result_lost") {
            return answer.status_;
        }
        std::this_thread::sleep_for(200ms);
    }
    return 0;
}

class failure_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(failure_test);
    CPPUNIT_TEST(
        killed_entry_releases_engine_resources_and_affects_no_other_entry);
    CPPUNIT_TEST(paused_entry_releases_engine_resources_and_serves_again);
    CPPUNIT_TEST(no_request_is_lost_when_an_engine_is_killed);
    CPPUNIT_TEST(bookings_run_at_most_once_when_an_entry_is_killed);
    CPPUNIT_TEST(store_outage_refuses_bookings_and_serves_requests);
    CPPUNIT_TEST(paused_entry_applies_a_missed_ticket_before_it_serves);
    CPPUNIT_TEST(entry_serves_after_invalid_requests);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<fleet> system_;

    fleet& start(const fleet_options& options) {
        system_ = std::make_unique<fleet>(options);
        const bool started = system_->start();
        if (!started) {
            system_->keep_files();
        }
        CPPUNIT_ASSERT_MESSAGE("logs in " + system_->directory(), started);
        return *system_;
    }

    void check(bool condition, const std::string& what) {
        if (!condition) {
            system_->keep_files();
        }
        CPPUNIT_ASSERT_MESSAGE(what + ", logs in " + system_->directory(),
                               condition);
    }

    void check_resources_are_released() {
        check(wait_for([&] { return system_->held_resources() == 0; }, 15s),
              "engine memory is held: " +
                  std::to_string(system_->held_resources()));
    }

    void check_executions_at_most_once() {
        const auto executions = system_->executions();
        check(std::ranges::all_of(
                  executions,
                  [](const auto& execution) { return execution.second == 1; }),
              "a booking ran more than once");
    }

public:
    void tearDown() override { system_.reset(); }

    void killed_entry_releases_engine_resources_and_affects_no_other_entry() {
        auto& system = start({.engine_switches_ = slow_engines});
        std::atomic<std::size_t> started = 0;
        std::jthread killer{[&] {
            wait_for([&] { return started == request_count; }, 10s);
            std::this_thread::sleep_for(300ms);
            system.entry(1).signal(SIGKILL);
        }};
        const auto results = run_load(system, {0, 1, 2}, started);
        killer.join();
        for (std::size_t i = 0; i < results.size(); ++i) {
            check(is_own_prefix(results[i], i), "foreign or repeated tokens");
            if (i % 3 != 1) {
                check(is_correct(results[i], i),
                      "request " + std::to_string(i) +
                          " at a living entry: status " +
                          std::to_string(results[i].status_) + " code " +
                          results[i].refusal_code_);
            }
        }
        check_resources_are_released();
    }

    void paused_entry_releases_engine_resources_and_serves_again() {
        auto& system = start({.engine_switches_ = slow_engines});
        std::atomic<std::size_t> started = 0;
        std::jthread stopper{[&] {
            wait_for([&] { return started == request_count; }, 10s);
            std::this_thread::sleep_for(300ms);
            system.entry(1).signal(SIGSTOP);
            // The pause outlasts failure detection: the other entries must have
            // released the engine resources before the paused entry resumes.
            wait_for([&] { return system.held_resources() == 0; }, 15s);
            system.entry(1).signal(SIGCONT);
        }};
        const auto results = run_load(system, {0, 1, 2}, started);
        stopper.join();
        for (std::size_t i = 0; i < results.size(); ++i) {
            check(is_own_prefix(results[i], i), "foreign or repeated tokens");
            if (i % 3 != 1) {
                check(is_correct(results[i], i), "request at another entry");
            }
        }
        check_resources_are_released();
        check(wait_for(
                  [&] {
                      return is_correct(
                          system.complete(1, prompt_of(0), output_tokens), 0);
                  },
                  10s),
              "the stopped entry does not serve again");
    }

    void no_request_is_lost_when_an_engine_is_killed() {
        auto& system = start({.engine_switches_ = slow_engines});
        std::atomic<std::size_t> started = 0;
        std::jthread killer{[&] {
            wait_for([&] { return started == request_count; }, 10s);
            std::this_thread::sleep_for(300ms);
            system.engine(3).process_.signal(SIGKILL);
        }};
        const auto results = run_load(system, {0, 1, 2}, started);
        killer.join();
        for (std::size_t i = 0; i < results.size(); ++i) {
            check(is_correct(results[i], i),
                  "request " + std::to_string(i) + ": status " +
                      std::to_string(results[i].status_) + " code " +
                      results[i].refusal_code_ + " received " +
                      std::to_string(results[i].text_.size()) + " bytes");
        }
        check_resources_are_released();
    }

    void bookings_run_at_most_once_when_an_entry_is_killed() {
        auto& system = start({});
        std::vector<std::string> keys(booking_count);
        std::ranges::generate(keys, make_idempotency_key);
        std::vector<unsigned> answers(booking_count);
        std::vector<std::jthread> callers;
        for (std::size_t i = 0; i < booking_count; ++i) {
            callers.emplace_back([&, i] {
                // Spread over all entries, so that claims of every kind are in
                // flight.
                std::this_thread::sleep_for(i * 20ms);
                answers[i] = book_until_final(system, i, keys[i], booking);
            });
        }
        std::this_thread::sleep_for(200ms);
        system.entry(0).signal(SIGKILL);
        callers.clear();
        check(std::ranges::none_of(answers,
                                   [](unsigned status) { return status == 0; }),
              "a booking has no final answer");
        check_executions_at_most_once();
        const auto executions = system.executions();
        for (std::size_t i = 0; i < booking_count; ++i) {
            const bool ran =
                std::ranges::any_of(executions, [&](const auto& execution) {
                    return execution.first == keys[i];
                });
            check(answers[i] != 200 || ran, "a result without an execution");
        }
    }

    void store_outage_refuses_bookings_and_serves_requests() {
        auto& system = start({});
        const std::string recorded_key = make_idempotency_key();
        check(book_until_final(system, 0, recorded_key, booking) == 200,
              "first booking");
        check(fleet::control(system.store_port(), R"({"mode":"down"})"),
              "store switch");
        const auto end = std::chrono::steady_clock::now() + 60s;
        std::vector<std::string> refused;
        while (std::chrono::steady_clock::now() < end) {
            for (std::size_t entry = 0; entry < system.entry_count(); ++entry) {
                check(is_correct(system.complete(entry, prompt_of(entry),
                                                 output_tokens),
                                 entry),
                      "model request during the outage");
            }
            const std::string key = make_idempotency_key();
            const auto answer = system.book(refused.size() % 3, key, booking);
            const auto problem = parse_json_text(answer.body_);
            check(answer.status_ != 200 &&
                      problem["ran"].asString() == "not_run",
                  "a booking during the outage: " + answer.body_);
            refused.push_back(key);
            check(system.book(1, recorded_key, booking).status_ == 200,
                  "replay of a known result");
        }
        check(system.executions().size() == 1,
              "a refused booking ran during the outage");
        fleet::control(system.store_port(), R"({"mode":"up"})");
        for (const auto& key : refused) {
            check(book_until_final(system, 0, key, booking) != 0,
                  "a booking after the outage");
        }
        check_executions_at_most_once();
    }

    void paused_entry_applies_a_missed_ticket_before_it_serves() {
        auto& system = start({});
        system.entry(2).signal(SIGSTOP);
        auto ticket = system.first_ticket();
        ticket["number"] = 2;
        ticket["nonce"] = "fleet-2";
        ticket["reason"] = "the farmers' deployment gets another name";
        ticket["deployments"][0]["name"] = "renamed";
        ticket["remove"].append("deployments/verdicts");
        for (auto& upstream : ticket["upstreams"]) {
            if (upstream["kind"].asString() == "engine") {
                upstream["deployment"] = "renamed";
            }
        }
        const auto answer = system.apply(0, ticket);
        check(answer.status_ == 200, "ticket 2: " + answer.body_);
        const auto accepted = std::chrono::steady_clock::now();
        check(wait_for(
                  [&] {
                      return system.complete(1, "x", 1).refusal_code_ ==
                             "unknown_deployment";
                  },
                  2s),
              "a running entry serves by the old ticket after 2 s");
        std::this_thread::sleep_until(accepted + 8s);
        system.entry(2).signal(SIGCONT);
        // The old name must not be served once the target time has passed,
        // not even to the first request after the entry resumes.
        for (int i = 0; i < 20; ++i) {
            const auto result = system.complete(2, "x", 1);
            check(result.status_ != 200,
                  "the returned entry serves by the old ticket");
            std::this_thread::sleep_for(50ms);
        }
        check(wait_for(
                  [&] {
                      return system.complete(2, "x", 1).refusal_code_ ==
                             "unknown_deployment";
                  },
                  8s),
              "the returned entry does not serve by the new ticket");
    }

    void entry_serves_after_invalid_requests() {
        auto& system = start({.entries_ = 1});
        const auto port = system.ports(0).traffic_;
        const standins::request_headers key{
            {"Authorization", "Bearer caller-key"}};
        const auto status = [&](const standins::http_call& call) {
            return standins::send_http(port, call).status_;
        };
        check(status({"POST", "/v1/completions", "{", key}) == 400,
              "broken JSON");
        check(status({"POST", "/v1/completions", R"({"model":7})", key}) == 400,
              "wrong type");
        check(status({"POST", "/v1/completions",
                      R"({"model":"none","prompt":"x"})", key}) == 404,
              "unknown deployment");
        check(status({"POST", "/v1/completions", "{}", {}}) == 401,
              "no caller key");
        check(status({"POST", "/svc/desk/bookings", "{}", key}) == 400,
              "no idempotency key");
        check(status({"POST", "/v1/completions",
                      std::string((4U << 20U) + 1, 'x'), key}) == 413,
              "too long a body");
        check(is_correct(system.complete(0, prompt_of(1), output_tokens), 1),
              "a good request after bad ones");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(failure_test);

} // namespace
} // namespace pimentoferry::process_tests
