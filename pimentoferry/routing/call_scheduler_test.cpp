#include "pimentoferry/routing/call_scheduler.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <tuple>

namespace pimentoferry::routing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t slots = 6;
constexpr milliseconds objective{150};
constexpr milliseconds deadline{1500};

std::vector<instance> make_replicas(std::size_t count) {
    std::vector<instance> replicas(count);
    for (std::size_t i = 0; i < count; ++i) {
        replicas[i].id_ = base::upstream_name{"r" + std::to_string(i)};
        replicas[i].failure_domain_ =
            base::failure_domain{"d" + std::to_string(i)};
        replicas[i].slots_ = slots;
    }
    return replicas;
}

std::vector<const instance*> pointers(const std::vector<instance>& replicas) {
    std::vector<const instance*> all;
    std::ranges::transform(replicas, std::back_inserter(all),
                           [](const instance& each) { return &each; });
    return all;
}

place_request make_call(std::uint64_t number, std::uint64_t gateway = 1) {
    place_request call;
    call.attempt_ = {base::instance_id{gateway}, number};
    call.failure_domain_ = base::failure_domain{"d0"};
    call.budget_ = objective;
    call.time_left_ = deadline;
    call.retry_window_ = deadline / 3;
    return call;
}

std::uint64_t number_of(const place_decision& decision) {
    return std::visit([](const auto& d) { return d.attempt_.sequence_; },
                      decision);
}

bool is_grant(const place_decision& decision) {
    return std::holds_alternative<place_grant>(decision);
}

class call_scheduler_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(call_scheduler_test);
    CPPUNIT_TEST(replicas_get_as_many_calls_as_they_have_places);
    CPPUNIT_TEST(urgent_calls_go_first);
    CPPUNIT_TEST(calls_that_can_be_in_time_go_before_late_ones);
    CPPUNIT_TEST(accounts_share_the_places);
    CPPUNIT_TEST(no_call_waits_for_good);
    CPPUNIT_TEST(a_call_without_hope_is_refused_at_once);
    CPPUNIT_TEST(replicas_that_were_tried_are_left_out);
    CPPUNIT_TEST(places_of_a_lost_gateway_are_free_again);
    CPPUNIT_TEST(a_call_whose_end_was_lost_is_forgotten);
    CPPUNIT_TEST(many_gateways_use_few_places_well);
    CPPUNIT_TEST_SUITE_END();

    const base::time_point start_{seconds{100}};
    const std::vector<instance> replicas_{make_replicas(3)};
    std::unique_ptr<call_scheduler> scheduler_;

    /// Fills all places of one replica with calls 1000, 1001 and so on.
    void fill(std::size_t replicas) {
        scheduler_ = std::make_unique<call_scheduler>(1);
        scheduler_->set_replicas(
            pointers(
                {replicas_.begin(),
                 replicas_.begin() + static_cast<std::ptrdiff_t>(replicas)}),
            start_);
        for (std::uint64_t i = 0; i < replicas * (slots + 1); ++i) {
            const auto made = scheduler_->request(make_call(1000 + i), start_);
            CPPUNIT_ASSERT(made.size() == 1 && is_grant(made.front()));
        }
    }

    call_scheduler::decisions release(std::uint64_t number,
                                      base::time_point at,
                                      std::uint64_t gateway = 1) {
        return scheduler_->released({{base::instance_id{gateway}, number},
                                     call_result::answered,
                                     milliseconds{30},
                                     false},
                                    at);
    }

    void replicas_get_as_many_calls_as_they_have_places() {
        fill(3);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3} * (slots + 1),
                             scheduler_->usage().running_);
        CPPUNIT_ASSERT(scheduler_->request(make_call(1), start_).empty());
        const auto made = release(1003, start_);
        CPPUNIT_ASSERT(is_grant(made.at(0)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, number_of(made.at(0)));
    }

    void urgent_calls_go_first() {
        fill(1);
        auto ordinary = make_call(1);
        ordinary.priority_ = 2;
        CPPUNIT_ASSERT(scheduler_->request(ordinary, start_).empty());
        CPPUNIT_ASSERT(scheduler_->request(make_call(2), start_).empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2},
                             number_of(release(1000, start_).at(0)));
    }

    // Guards against a queue in which, under overload, every call is served
    // just too late.
    void calls_that_can_be_in_time_go_before_late_ones() {
        fill(1);
        CPPUNIT_ASSERT(scheduler_->request(make_call(1), start_).empty());
        const auto later = start_ + objective;
        CPPUNIT_ASSERT(scheduler_->request(make_call(2), later).empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2},
                             number_of(release(1000, later).at(0)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                             number_of(release(1001, later).at(0)));
    }

    // Guards against an account that sends many calls at once and delays those
    // of the others.
    void accounts_share_the_places() {
        fill(1);
        for (std::uint64_t i = 0; i < 4; ++i) {
            auto call = make_call(i);
            call.account_ = 7;
            scheduler_->request(call, start_);
        }
        auto other = make_call(50);
        other.account_ = 8;
        scheduler_->request(other, start_);
        CPPUNIT_ASSERT(number_of(release(1000, start_).at(0)) < 4);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{50},
                             number_of(release(1001, start_).at(0)));
    }

    void no_call_waits_for_good() {
        fill(1);
        auto ordinary = make_call(1);
        ordinary.priority_ = 9;
        scheduler_->request(ordinary, start_);
        bool served = false;
        for (std::uint64_t i = 0; i < 8; ++i) {
            scheduler_->request(make_call(2000 + i), start_);
            const auto replaced = i <= slots ? 1000 + i : 2000;
            served = served || number_of(release(replaced, start_).at(0)) == 1;
        }
        CPPUNIT_ASSERT(served);
    }

    // Guards against calls that are held until their deadline and then refused.
    void a_call_without_hope_is_refused_at_once() {
        fill(1);
        for (std::uint64_t i = 0; i < 400; ++i) {
            const auto made = scheduler_->request(make_call(i), start_);
            if (made.empty()) {
                continue;
            }
            const auto& refused = std::get<place_refusal>(made.at(0));
            CPPUNIT_ASSERT(!refused.no_replica_);
            CPPUNIT_ASSERT(refused.retry_after_ >= milliseconds{100});
            CPPUNIT_ASSERT(refused.retry_after_ <= deadline / 3);
            return;
        }
        CPPUNIT_FAIL("400 calls wait for 6 places");
    }

    void replicas_that_were_tried_are_left_out() {
        scheduler_ = std::make_unique<call_scheduler>(1);
        scheduler_->set_replicas(pointers(replicas_), start_);
        auto call = make_call(1);
        call.excluded_ = {base::upstream_name{"r0"}, base::upstream_name{"r2"}};
        const auto made = scheduler_->request(call, start_);
        CPPUNIT_ASSERT_EQUAL(std::string{"r1"},
                             std::get<place_grant>(made.at(0)).replica_.value_);
        call.attempt_.sequence_ = 2;
        call.excluded_.emplace_back(base::upstream_name{"r1"});
        CPPUNIT_ASSERT(
            std::get<place_refusal>(scheduler_->request(call, start_).at(0))
                .no_replica_);
    }

    void places_of_a_lost_gateway_are_free_again() {
        fill(1);
        CPPUNIT_ASSERT(scheduler_->request(make_call(1, 2), start_).empty());
        const auto made =
            scheduler_->gateway_lost(base::instance_id{1}, start_);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, number_of(made.at(0)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, scheduler_->usage().running_);
    }

    void a_call_whose_end_was_lost_is_forgotten() {
        fill(1);
        scheduler_->tick(start_ + deadline + seconds{2});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, scheduler_->usage().running_);
    }

    /// Calls that arrive at `per_second` at random gateways for 10 s; replicas
    /// take 30 ms a call, and in each 2 s one of them 2.5 times as long for
    /// 0.6 s. `pick` and `ended` decide and learn. Returns the share of the
    /// calls that are answered within the objective.
    template <class Pick, class Ended>
    double in_time(double per_second, const Pick& pick, const Ended& ended) {
        struct replica_queue {
            std::deque<std::uint64_t> waiting_;
            std::size_t running_{0};
        };
        struct event {
            milliseconds at_;
            std::size_t replica_;
            std::uint64_t call_;
            bool operator>(const event& other) const { return at_ > other.at_; }
        };
        std::map<std::size_t, replica_queue> queues;
        std::map<std::uint64_t, milliseconds> arrived;
        std::priority_queue<event, std::vector<event>, std::greater<>> ends;
        std::mt19937_64 random{5};
        std::size_t good = 0;
        const auto run = [&](std::size_t replica, std::uint64_t call,
                             milliseconds at) {
            const bool slow =
                at % seconds{2} < milliseconds{600} &&
                static_cast<std::size_t>(at / seconds{2}) % 3 == replica;
            std::exponential_distribution<double> extra{1 / 15.0};
            const auto work =
                milliseconds{15 + static_cast<std::int64_t>(extra(random))};
            ends.push({at + (slow ? work * 5 / 2 : work), replica, call});
            ++queues[replica].running_;
        };
        const auto send = [&](std::size_t replica, std::uint64_t call,
                              milliseconds at) {
            if (queues[replica].running_ < slots) {
                run(replica, call, at);
            } else {
                queues[replica].waiting_.push_back(call);
            }
        };
        double due = 0;
        std::uint64_t calls = 0;
        for (milliseconds at{0}; at < seconds{10}; at += milliseconds{1}) {
            while (!ends.empty() && ends.top().at_ <= at) {
                const auto done = ends.top();
                ends.pop();
                auto& queue = queues[done.replica_];
                --queue.running_;
                if (!queue.waiting_.empty()) {
                    const auto next = queue.waiting_.front();
                    queue.waiting_.pop_front();
                    run(done.replica_, next, at);
                }
                const auto took = at - arrived[done.call_];
                good += took <= objective ? 1 : 0;
                for (const auto& [call, replica] :
                     ended(done.call_, done.replica_, took, at)) {
                    send(replica, call, at);
                }
            }
            for (due += per_second / 1000; due >= 1; due -= 1) {
                arrived[calls] = at;
                for (const auto& [call, replica] : pick(calls, at)) {
                    send(replica, call, at);
                }
                ++calls;
            }
        }
        return static_cast<double>(good) / static_cast<double>(calls);
    }

    using placed = std::vector<std::pair<std::uint64_t, std::size_t>>;

    double in_time_by_owner(double per_second, std::uint64_t gateways) {
        call_scheduler owner{3};
        owner.set_replicas(pointers(replicas_), start_);
        const auto place = [](const call_scheduler::decisions& made) {
            placed sends;
            for (const auto& each : made) {
                if (const auto* grant = std::get_if<place_grant>(&each)) {
                    sends.emplace_back(grant->attempt_.sequence_,
                                       grant->replica_.value_.back() - '0');
                }
            }
            return sends;
        };
        return in_time(
            per_second,
            [&](std::uint64_t call, milliseconds at) {
                auto request = make_call(call, call % gateways + 1);
                request.failure_domain_ = base::failure_domain{
                    "d" + std::to_string(call % gateways % 3)};
                return place(owner.request(request, start_ + at));
            },
            [&](std::uint64_t call, std::size_t, milliseconds took,
                milliseconds at) {
                return place(owner.released(
                    {{base::instance_id{call % gateways + 1}, call},
                     call_result::answered,
                     took,
                     false},
                    start_ + at));
            });
    }

    double in_time_by_each(double per_second, std::uint64_t gateways) {
        std::vector<replica_picker> pickers;
        for (std::uint64_t i = 0; i < gateways; ++i) {
            pickers.emplace_back(i + 1);
        }
        return in_time(
            per_second,
            [&](std::uint64_t call, milliseconds at) {
                const auto gateway = call % gateways;
                const auto* chosen = pickers[gateway].choose(
                    pointers(replicas_), {},
                    base::failure_domain{"d" + std::to_string(gateway % 3)},
                    false, start_ + at);
                pickers[gateway].started(chosen->id_);
                return placed{{call, chosen->id_.value_.back() - '0'}};
            },
            [&](std::uint64_t call, std::size_t replica, milliseconds took,
                milliseconds at) {
                pickers[call % gateways].ended(
                    base::upstream_name{"r" + std::to_string(replica)},
                    call_result::answered, took, start_ + at);
                return placed{};
            });
    }

    // Load: 18 places of which spells of slowness take some, at three quarters
    // of what the replicas can do without them, and beyond. The bound: a call
    // of 15 ms and more that gets a place at once is in time.
    void many_gateways_use_few_places_well() {
        for (const std::uint64_t gateways : {9, 84, 330}) {
            const double usual = in_time_by_owner(450, gateways);
            CPPUNIT_ASSERT(usual >= 0.95);
            CPPUNIT_ASSERT(usual > in_time_by_each(450, gateways));
            const double most = 600.0 / 800;
            const double overload = in_time_by_owner(800, gateways);
            CPPUNIT_ASSERT(overload >= most * 0.8);
            CPPUNIT_ASSERT(overload > in_time_by_each(800, gateways));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(call_scheduler_test);

} // namespace

} // namespace pimentoferry::routing
