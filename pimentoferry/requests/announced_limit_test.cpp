// Allowances and permits, alone and as several gateways use them against the
// count of one replica.

#include "pimentoferry/requests/allowance.hpp"
#include "pimentoferry/requests/permit_queue.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <random>

namespace pimentoferry::requests {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::upstream_name replica{"i-1"};
const base::upstream_name other{"i-2"};
constexpr base::instance_id gateway{1};

class allowance_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(allowance_test);
    CPPUNIT_TEST(rate_is_kept_and_unused_requests_lapse);
    CPPUNIT_TEST(lower_rate_applies_at_once);
    CPPUNIT_TEST(urgent_calls_go_first_and_none_waits_for_good);
    CPPUNIT_TEST(call_that_cannot_be_granted_in_time_is_refused_at_once);
    CPPUNIT_TEST(call_that_waited_in_vain_is_refused);
    CPPUNIT_TEST(refused_callers_are_told_of_longer_waits_one_after_the_other);
    CPPUNIT_TEST_SUITE_END();

    base::time_point now_{std::chrono::hours{1}};
    allowance_table allowances_;
    permit_queue queue_;
    std::uint64_t last_{0};

    std::vector<std::uint64_t>
    granted(const permit_queue::decisions& decisions) const {
        std::vector<std::uint64_t> found;
        for (const auto& each : decisions) {
            if (const auto* grant = std::get_if<permit_grant>(&each)) {
                found.push_back(grant->attempt_.sequence_);
            }
        }
        return found;
    }

    permit_queue::decisions ask(std::uint32_t priority = 0,
                                milliseconds longest_wait = seconds{10}) {
        return queue_.request(
            {{gateway, ++last_}, {replica}, priority, longest_wait},
            allowances_, now_);
    }

    void rate_is_kept_and_unused_requests_lapse() {
        allowances_.set(replica, 20, 0, now_);
        CPPUNIT_ASSERT(!allowances_.available(replica, now_));
        now_ += seconds{60};
        int sent = 0;
        for (const auto end = now_ + seconds{4}; now_ < end;
             now_ += milliseconds{10}) {
            if (allowances_.available(replica, now_)) {
                allowances_.take(replica, now_);
                ++sent;
            }
        }
        CPPUNIT_ASSERT(sent >= 80 && sent <= 85);
        CPPUNIT_ASSERT(allowances_.available(other, now_));
    }

    void lower_rate_applies_at_once() {
        allowances_.set(replica, 100, 25, now_);
        allowances_.set(replica, 2, 25, now_);
        allowances_.take(replica, now_);
        CPPUNIT_ASSERT(!allowances_.available(replica, now_));
        now_ += milliseconds{510};
        CPPUNIT_ASSERT(allowances_.available(replica, now_));
    }

    void urgent_calls_go_first_and_none_waits_for_good() {
        allowances_.set(replica, 10, 0, now_);
        ask(2);
        ask(0);
        now_ += milliseconds{110};
        CPPUNIT_ASSERT(granted(queue_.tick(allowances_, now_)) ==
                       std::vector<std::uint64_t>{2});
        // Ten urgent calls a second arrive, as many as there are permits.
        bool passed = false;
        for (int i = 0; i < 20 && !passed; ++i) {
            now_ += milliseconds{100};
            const auto first = granted(ask(0));
            passed = std::ranges::count(first, 1U) > 0;
        }
        CPPUNIT_ASSERT(passed);
    }

    void call_that_cannot_be_granted_in_time_is_refused_at_once() {
        allowances_.set(replica, 2, 0, now_);
        CPPUNIT_ASSERT(ask(0, milliseconds{600}).empty());
        const auto decided = ask(0, milliseconds{600});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decided.size());
        // Two requests at two a second.
        CPPUNIT_ASSERT(std::get<permit_refusal>(decided.front()).wait_ ==
                       milliseconds{1000});
    }

    void call_that_waited_in_vain_is_refused() {
        allowances_.set(replica, 2, 0, now_);
        ask(0, milliseconds{600});
        allowances_.set(replica, 0.1, 0, now_);
        now_ += milliseconds{700};
        const auto decided = queue_.tick(allowances_, now_);
        CPPUNIT_ASSERT(std::holds_alternative<permit_refusal>(decided.at(0)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, queue_.size());
    }

    void refused_callers_are_told_of_longer_waits_one_after_the_other() {
        allowances_.set(replica, 10, 0, now_);
        for (int i = 0; i < 5; ++i) {
            ask(0, milliseconds{500});
        }
        const auto decided = ask(0, milliseconds{500});
        CPPUNIT_ASSERT(std::get<permit_refusal>(decided.at(0)).wait_ ==
                       milliseconds{600});
    }
};

/// Several gateways that send to one replica as fast as they are allowed to.
/// The owner grants permits; a gateway that does not reach it sends on its own
/// account.
class fleet_limit_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(fleet_limit_test);
    CPPUNIT_TEST(steady_fleet_uses_the_limit_and_no_more);
    CPPUNIT_TEST(large_fleet_shares_one_request_a_second);
    CPPUNIT_TEST(new_owner_does_not_start_from_a_full_allowance);
    CPPUNIT_TEST(gateways_without_owner_stay_within_the_bound);
    CPPUNIT_TEST(divided_fleet_stays_within_the_bound);
    CPPUNIT_TEST(halved_limit_is_kept_when_the_news_has_arrived);
    CPPUNIT_TEST_SUITE_END();

    static constexpr milliseconds step{10};
    static constexpr seconds window{4};

    struct simulated_gateway {
        allowance_table allowances_;
        permit_queue queue_;
        bool owns_{false};
        bool live_{true};
        std::size_t owner_{0}; ///< Whom it asks.
        bool reaches_owner_{true};
    };

    base::time_point now_{std::chrono::hours{1}};
    std::vector<simulated_gateway> fleet_;
    std::vector<base::time_point> arrivals_;
    std::mt19937_64 random_{7};

    void make_fleet(std::size_t size, double limit) {
        fleet_.resize(size);
        now_ = base::time_point{std::chrono::hours{1}};
        arrivals_.clear();
        for (std::size_t i = 0; i < size; ++i) {
            fleet_[i].owns_ = i == 0;
            learn(i, limit, static_cast<std::uint32_t>(size));
        }
    }

    /// A gateway learns the limit, or of a change of the owner.
    void learn(std::size_t each, double limit, std::uint32_t live) {
        auto& one = fleet_[each];
        const auto size = static_cast<std::uint32_t>(fleet_.size());
        const double first =
            one.owns_ ? 0
                      : std::uniform_real_distribution<double>{0, 1}(random_);
        one.allowances_.set(replica, limit * limit_share(one.owns_, live, size),
                            first, now_);
    }

    void set_owner(std::size_t owner, double limit, std::uint32_t live) {
        for (std::size_t i = 0; i < fleet_.size(); ++i) {
            fleet_[i].owner_ = owner;
            if (fleet_[i].owns_ != (i == owner)) {
                fleet_[i].owns_ = i == owner;
                fleet_[i].allowances_.erase(replica);
                learn(i, limit, live);
            }
        }
    }

    void send_if_allowed(simulated_gateway& one) {
        if (!one.live_) {
            return;
        }
        auto& owner = fleet_[one.owner_];
        if (one.reaches_owner_ && owner.live_) {
            const auto decided = owner.queue_.request(
                {{gateway, 1}, {replica}, 0, milliseconds{0}},
                owner.allowances_, now_);
            if (std::holds_alternative<permit_grant>(decided.front())) {
                arrivals_.push_back(now_);
            }
        } else if (one.allowances_.available(replica, now_)) {
            one.allowances_.take(replica, now_);
            arrivals_.push_back(now_);
        }
    }

    void run_for(milliseconds duration) {
        for (const auto end = now_ + duration; now_ < end; now_ += step) {
            std::ranges::for_each(
                fleet_, [this](auto& each) { send_if_allowed(each); });
        }
    }

    std::size_t busiest(base::time_point since) const {
        std::size_t most = 0;
        for (auto first = arrivals_.begin(); first != arrivals_.end();
             ++first) {
            if (*first >= since) {
                const auto last = std::ranges::lower_bound(
                    first, arrivals_.end(), *first + window);
                most = std::max(most, static_cast<std::size_t>(last - first));
            }
        }
        return most;
    }

    /// The platform's bound on the requests in 4 s.
    static std::size_t bound(double limit) {
        return static_cast<std::size_t>(1.5 * limit * 4 + 5);
    }

    void steady_fleet_uses_the_limit_and_no_more() {
        make_fleet(8, 14);
        run_for(seconds{20});
        CPPUNIT_ASSERT(busiest({}) <= 14 * 4 + 4);
        CPPUNIT_ASSERT(arrivals_.size() >= 14 * 20 * 9 / 10);
    }

    // Guards against shares of less than one request that nobody can use.
    void large_fleet_shares_one_request_a_second() {
        make_fleet(195, 1);
        run_for(seconds{20});
        CPPUNIT_ASSERT(arrivals_.size() >= 18 && arrivals_.size() <= 21);
    }

    void new_owner_does_not_start_from_a_full_allowance() {
        make_fleet(8, 14);
        for (std::size_t owner = 1; owner < 8; ++owner) {
            run_for(milliseconds{900});
            set_owner(owner, 14, 8);
        }
        CPPUNIT_ASSERT(busiest({}) <= 14 * 4 + 4);
    }

    // Guards against gateways that save permits for the loss of the owner.
    void gateways_without_owner_stay_within_the_bound() {
        for (const double limit : {1.0, 14.0}) {
            make_fleet(87, limit);
            run_for(seconds{10});
            fleet_[0].live_ = false;
            run_for(milliseconds{1500});
            set_owner(1, limit, 86);
            run_for(seconds{6});
            CPPUNIT_ASSERT(busiest({}) <= bound(limit));
        }
    }

    void divided_fleet_stays_within_the_bound() {
        make_fleet(8, 14);
        run_for(seconds{5});
        // Three gateways are cut off and elect an owner of their own.
        for (std::size_t i = 5; i < 8; ++i) {
            fleet_[i].reaches_owner_ = false;
        }
        run_for(milliseconds{1500});
        fleet_[5].owns_ = true;
        fleet_[5].allowances_.erase(replica);
        learn(5, 14, 3);
        learn(0, 14, 5);
        for (std::size_t i = 5; i < 8; ++i) {
            fleet_[i].owner_ = 5;
            fleet_[i].reaches_owner_ = true;
        }
        run_for(seconds{10});
        CPPUNIT_ASSERT(busiest({}) <= bound(14));
    }

    void halved_limit_is_kept_when_the_news_has_arrived() {
        make_fleet(8, 28);
        run_for(seconds{10});
        // The owner hears late.
        run_for(milliseconds{300});
        for (std::size_t i = 0; i < 8; ++i) {
            learn(i, 14, 8);
        }
        const auto known = now_;
        run_for(seconds{10});
        CPPUNIT_ASSERT(busiest(known) <= 14 * 4 + 4);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(allowance_test);
CPPUNIT_TEST_SUITE_REGISTRATION(fleet_limit_test);

} // namespace
} // namespace pimentoferry::requests
