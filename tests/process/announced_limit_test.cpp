// Runs gateways as processes between callers and replicas that announce how
// many requests a second they accept. Checks what arrives at the replicas,
// which is what the limit is about, and what callers receive.

#include "tests/process/checked_end.hpp"
#include "tests/process/fleet.hpp"
#include "tests/process/gateway_fleet.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <csignal>
#include <map>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace pimentoferry::process_tests {

namespace {

using namespace std::chrono_literals;
using standins::http_stream;

constexpr unsigned status_ok = 200;
constexpr unsigned status_unavailable = 503;

// The platform's bound on the requests in 4 s.
std::int64_t most_requests(double limit) {
    return static_cast<std::int64_t>(1.5 * 4 * limit + 5);
}

/// Number of answers by status.
using status_counts = std::map<unsigned, std::size_t>;

class announced_limit_process_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(announced_limit_process_test);
    CPPUNIT_TEST(limited_replicas_get_no_more_calls_than_they_announce);
    CPPUNIT_TEST(calls_go_to_replicas_without_a_limit);
    CPPUNIT_TEST(limit_that_one_gateway_heard_is_known_to_all);
    CPPUNIT_TEST(limited_engines_get_no_more_streams_than_they_announce);
    CPPUNIT_TEST(limit_holds_while_gateways_are_killed_and_stopped);
    CPPUNIT_TEST(replica_that_has_recovered_gets_its_share_again);
    CPPUNIT_TEST_SUITE_END();

    // Optional because CppUnit constructs all fixtures before the first test.
    std::optional<gateway_fleet> system_;

    void start(const gateway_fleet_options& options) {
        system_.emplace(options);
        CPPUNIT_ASSERT(system_->start());
    }

    std::int64_t arrivals(const platform_replica_process& replica,
                          const std::string& kind) const {
        return standins::number_or(
            standins::http_get(replica.port_, "/arrivals").body_json(), kind,
            0);
    }

    /// Sets the limits of the replicas of a stage, empty for plain ones; an
    /// empty text is no limit.
    void set_limits(const std::string& stage,
                    const std::vector<std::string>& limits) {
        std::size_t next = 0;
        for (const auto& replica : system_->replicas()) {
            if (replica.stage_ == stage && next < limits.size()) {
                CPPUNIT_ASSERT(gateway_fleet::control(
                    replica.port_, R"({"limit":")" + limits[next++] + "\"}"));
            }
        }
    }

    /// Sends a request every `interval` to each gateway, for `duration`.
    template <class Call>
    status_counts send_to_all(std::chrono::milliseconds interval,
                              std::chrono::milliseconds duration,
                              Call call) {
        std::vector<status_counts> counts(system_->gateway_count());
        {
            std::vector<std::jthread> callers;
            const auto until = std::chrono::steady_clock::now() + duration;
            for (std::size_t i = 0; i < counts.size(); ++i) {
                callers.emplace_back([=, this, &counts] {
                    auto next = std::chrono::steady_clock::now();
                    for (int n = 0; next < until; ++n, next += interval) {
                        std::this_thread::sleep_until(next);
                        const auto id = "request-" + std::to_string(i) + "-" +
                                        std::to_string(++requests_) + "-" +
                                        std::to_string(n);
                        ++counts[i][call(i, id)];
                    }
                });
            }
        }
        status_counts total;
        for (const auto& each : counts) {
            for (const auto& [status, count] : each) {
                total[status] += count;
            }
        }
        return total;
    }

    status_counts send_calls(std::chrono::milliseconds interval,
                             std::chrono::milliseconds duration) {
        return send_to_all(
            interval, duration, [this](std::size_t gateway, const auto& id) {
                return system_->call(gateway, "/book/1", id).status_;
            });
    }

    void check_arrivals(const std::string& stage, double limit) {
        for (const auto& replica : system_->replicas()) {
            if (replica.stage_ == stage) {
                CPPUNIT_ASSERT_LESSEQUAL(most_requests(limit),
                                         arrivals(replica, "busiest"));
            }
        }
    }

    std::atomic<std::size_t> requests_{0};

public:
    void tearDown() override { end_checked(system_); }

    // Guards against gateways that each take the limit of a replica for their
    // own, or ignore it.
    void limited_replicas_get_no_more_calls_than_they_announce() {
        start({.gateways_ = 4, .plain_replicas_ = 3});
        set_limits("", {"4", "4", "4"});
        const auto counts = send_calls(50ms, 7000ms);
        check_arrivals("", 4);
        // Most of what the replicas accept is used, and nothing else fails.
        const auto served =
            counts.contains(status_ok) ? counts.at(status_ok) : 0;
        CPPUNIT_ASSERT_GREATER(std::size_t{3 * 4 * 7 * 7 / 10}, served);
        for (const auto& [status, count] : counts) {
            CPPUNIT_ASSERT(status == status_ok || status == status_unavailable);
        }
    }

    void calls_go_to_replicas_without_a_limit() {
        start({.gateways_ = 3, .plain_replicas_ = 3});
        set_limits("", {"1.5", "1.5", ""});
        const auto counts = send_calls(60ms, 6000ms);
        for (std::size_t i = 0; i < 2; ++i) {
            CPPUNIT_ASSERT_LESSEQUAL(
                most_requests(1.5),
                arrivals(system_->replicas()[i], "busiest"));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, counts.size());
        CPPUNIT_ASSERT(counts.contains(status_ok));
    }

    // Guards against limits that are lost between gateways.
    void limit_that_one_gateway_heard_is_known_to_all() {
        start({.gateways_ = 3, .plain_replicas_ = 1});
        set_limits("", {"2"});
        for (int i = 0; i < 3; ++i) {
            system_->call(0, "/book/1", "request-" + std::to_string(i));
        }
        const std::string line =
            "event=announced_limit instance=" + system_->replicas()[0].id_ +
            " change=begun requests_per_s=2 ";
        for (std::size_t i = 0; i < 3; ++i) {
            CPPUNIT_ASSERT(wait_for(
                [&] {
                    return system_->gateway_log(i).find(line) !=
                           std::string::npos;
                },
                500ms));
        }
    }

    // Guards against a scheduler that places streams by memory alone.
    void limited_engines_get_no_more_streams_than_they_announce() {
        start({.gateways_ = 3, .decode_engines_ = 2});
        set_limits("decode", {"1", "1"});
        for (const auto& replica : system_->replicas()) {
            gateway_fleet::control(replica.port_,
                                   R"({"events":5,"event_ms":5})");
        }
        const auto counts = send_to_all(
            250ms, 7000ms, [this](std::size_t gateway, const auto& id) {
                http_stream stream{system_->ports(gateway).traffic_, "/chat/1",
                                   "", caller_fields("/chat/1", id, 8000ms)};
                while (stream.next_event()) {
                }
                return stream.status();
            });
        check_arrivals("decode", 1);
        CPPUNIT_ASSERT(counts.contains(status_ok));
        CPPUNIT_ASSERT_GREATER(std::size_t{2 * 7 * 6 / 10},
                               counts.at(status_ok));
    }

    // Guards against a new owner of the count that starts from a full
    // allowance, and against gateways that count alone meanwhile.
    void limit_holds_while_gateways_are_killed_and_stopped() {
        start({.gateways_ = 4, .plain_replicas_ = 3});
        set_limits("", {"2", "2", "2"});
        std::jthread faults{[this] {
            std::this_thread::sleep_for(1500ms);
            for (std::size_t i = 0; i < 2; ++i) {
                system_->gateway(i).signal(SIGKILL);
                system_->gateway(i).wait(2s);
                system_->restart_gateway(i);
                std::this_thread::sleep_for(700ms);
                system_->gateway(i + 2).signal(SIGSTOP);
                std::this_thread::sleep_for(700ms);
                system_->gateway(i + 2).signal(SIGCONT);
            }
        }};
        send_calls(60ms, 8000ms);
        check_arrivals("", 2);
    }

    // Guards against a limit that never ends because its replica gets no
    // request whose answer could say so.
    void replica_that_has_recovered_gets_its_share_again() {
        start({.gateways_ = 2, .plain_replicas_ = 2});
        set_limits("", {"1", ""});
        send_calls(50ms, 2000ms);
        set_limits("", {"", ""});
        send_calls(50ms, 3000ms);
        const auto before = arrivals(system_->replicas()[0], "run");
        send_calls(50ms, 2000ms);
        // 80 calls for two replicas that are alike.
        CPPUNIT_ASSERT_GREATER(
            std::int64_t{20}, arrivals(system_->replicas()[0], "run") - before);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(announced_limit_process_test);

} // namespace

} // namespace pimentoferry::process_tests
