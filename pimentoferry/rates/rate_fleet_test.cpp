// The parts of a shared rate together: many gateways and the owner, with
// messages that take a step of time.

#include "pimentoferry/rates/fleet_size.hpp"
#include "pimentoferry/rates/rate_ledger.hpp"
#include "pimentoferry/rates/rate_share.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <deque>
#include <numeric>

namespace pimentoferry::rates {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds step{5};
constexpr milliseconds window{8000};
// After which a gateway knows that it reaches no other.
constexpr milliseconds detection_time{1500};
constexpr double overage = 0.1;
constexpr double slack = 73'000;
constexpr rate_tolerance tolerance{window, overage, slack};
constexpr double stream_cost = 14'000;

/// Some gateways and the owner of one rate.
class fleet {
public:
    fleet(std::size_t gateways, const rate_terms& quota)
        : terms_(with_tolerance(quota, tolerance)) {
        const auto& terms = terms_;
        for (std::size_t i = 0; i < gateways; ++i) {
            shares_.emplace_back(i + 1);
            shares_.back().set("a", terms, now_);
            shares_.back().set_fleet(static_cast<std::uint32_t>(gateways));
        }
        reached_.assign(gateways, true);
        size_.update(static_cast<std::uint32_t>(gateways), now_);
        ledger_.set("a", terms, now_ - seconds{60});
    }

    std::size_t gateways() const { return shares_.size(); }

    void set_terms(const rate_terms& quota) {
        const auto terms = with_tolerance(quota, tolerance);
        terms_ = terms;
        ledger_.set("a", terms, now_);
        std::ranges::for_each(
            shares_, [&](rate_share& each) { each.set("a", terms, now_); });
    }

    /// The gateway reaches neither the owner nor the other gateways.
    void cut(std::size_t gateway) {
        reached_[gateway] = false;
        cut_at_ = now_;
        size_.update(
            static_cast<std::uint32_t>(std::ranges::count(reached_, true)),
            now_);
        ledger_.set_part(size_.reachable_part(), now_);
    }

    /// All gateways lose their memory, the owner, too.
    void restart_all() {
        for (std::size_t i = 0; i < shares_.size(); ++i) {
            shares_[i] = rate_share{1000 + i};
            shares_[i].set("a", terms_, now_);
            shares_[i].set_fleet(static_cast<std::uint32_t>(shares_.size()));
        }
        ledger_ = rate_ledger{};
        ledger_.set("a", terms_, now_);
    }

    bool offer(std::size_t gateway, double amount) {
        auto& share = shares_[gateway];
        auto decided = share.admit("a", amount, now_);
        if (std::holds_alternative<ask_owner>(decided)) {
            decided = reached_[gateway] ? ask(share, amount)
                                        : share.admit_alone("a", amount, now_);
        }
        const bool is_admitted = std::holds_alternative<admitted>(decided);
        if (is_admitted) {
            used_.push_back({now_, amount});
        }
        return is_admitted;
    }

    void advance() {
        for (const auto& report : in_transit_) {
            ledger_.charge("a", report.second.amount_, now_);
            shares_[report.first].confirmed("a", report.second.sequence_);
        }
        in_transit_.clear();
        now_ += step;
        const bool scarce = ledger_.state("a", now_)->scarce_;
        for (std::size_t i = 0; i < shares_.size(); ++i) {
            if (!reached_[i]) {
                shares_[i].set_detached(cut_at_ + detection_time < now_);
                continue;
            }
            shares_[i].owner_said("a", scarce);
            for (const auto& report : shares_[i].take_reports(now_)) {
                in_transit_.emplace_back(i, report);
            }
        }
    }

    /// The most that was used in a window, relative to what the quota allows.
    double worst_window(const rate_terms& terms) const {
        const double allowed =
            (terms.per_second_ * 8 + terms.capacity_) * (1 + overage) + slack;
        double sum = 0;
        double most = 0;
        std::size_t first = 0;
        for (const auto& use : used_) {
            sum += use.amount_;
            while (used_[first].at_ + window < use.at_) {
                sum -= used_[first++].amount_;
            }
            most = std::max(most, sum);
        }
        return most / allowed;
    }

    double used() const {
        return std::accumulate(
            used_.begin(), used_.end(), 0.0,
            [](double sum, const use& each) { return sum + each.amount_; });
    }

private:
    struct use {
        base::time_point at_;
        double amount_{0};
    };

    share_decision ask(rate_share& share, double amount) {
        const auto decided = *ledger_.request("a", amount, now_);
        if (const auto* refused = std::get_if<rate_refused>(&decided)) {
            share.owner_refused("a", refused->wait_, now_);
            return over_rate{refused->wait_};
        }
        return admitted{};
    }

    rate_terms terms_;
    base::time_point now_{seconds{1000}};
    std::vector<rate_share> shares_;
    std::vector<bool> reached_;
    base::time_point cut_at_;
    fleet_size size_;
    rate_ledger ledger_;
    std::vector<std::pair<std::size_t, use_report>> in_transit_;
    std::deque<use> used_;
};

/// Sends requests at `per_second` units a second for `time`; `pick` chooses the
/// gateway. Returns the part of the requests that was refused.
template <class Pick>
double
play(fleet& gateways, double per_second, milliseconds time, const Pick& pick) {
    double due = 0;
    double offered = 0;
    double refused = 0;
    for (milliseconds at{0}; at < time; at += step) {
        due += per_second * std::chrono::duration<double>{step}.count();
        for (; due >= stream_cost; due -= stream_cost) {
            offered += 1;
            refused += gateways.offer(pick(at), stream_cost) ? 0 : 1;
        }
        gateways.advance();
    }
    return refused / std::max(offered, 1.0);
}

class rate_fleet_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(rate_fleet_test);
    CPPUNIT_TEST(usual_load_is_never_refused);
    CPPUNIT_TEST(a_hot_account_is_held_to_its_rate);
    CPPUNIT_TEST(gateways_that_are_cut_off_stay_within_the_rate);
    CPPUNIT_TEST(a_restart_of_all_gateways_grants_no_second_burst);
    CPPUNIT_TEST(a_lowered_rate_binds_in_the_next_window);
    CPPUNIT_TEST(random_loads_stay_within_the_rate);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::array<double, 3> rates{18'000, 150'000, 480'000};
    static constexpr std::array<std::size_t, 3> sizes{9, 84, 330};

    template <class Use>
    static void for_each_fleet(const Use& use) {
        for (const double rate : rates) {
            for (const auto size : sizes) {
                use(rate_terms{rate, rate}, size);
            }
        }
    }

    // A refusal below the quota is work lost.
    void usual_load_is_never_refused() {
        for_each_fleet([](const rate_terms& terms, std::size_t size) {
            fleet gateways{size, terms};
            std::size_t next = 0;
            const auto refused =
                play(gateways, terms.per_second_ / 1.8, milliseconds{12'000},
                     [&](milliseconds) { return next++ % size; });
            CPPUNIT_ASSERT_DOUBLES_EQUAL(0, refused, 1e-9);
        });
    }

    // Load: an account that sends 3.7 times its quota, at one gateway, at all,
    // and at one after the other.
    void a_hot_account_is_held_to_its_rate() {
        for_each_fleet([](const rate_terms& terms, std::size_t size) {
            for (const int pattern : {0, 1, 2}) {
                fleet gateways{size, terms};
                std::size_t next = 0;
                play(gateways, terms.per_second_ * 3.7, milliseconds{12'000},
                     [&](milliseconds at) {
                         return pattern == 0   ? 0
                                : pattern == 1 ? next++ % size
                                               : static_cast<std::size_t>(
                                                     at / seconds{1}) %
                                                     size;
                     });
                CPPUNIT_ASSERT(gateways.worst_window(terms) <= 1);
                // What the rate allows is used.
                CPPUNIT_ASSERT(gateways.used() >=
                               terms.per_second_ * 12 * 0.95);
            }
        });
    }

    // Failure: half of the gateways lose the owner and each other, but not the
    // upstreams.
    void gateways_that_are_cut_off_stay_within_the_rate() {
        for_each_fleet([](const rate_terms& terms, std::size_t size) {
            fleet gateways{size, terms};
            std::size_t next = 0;
            const auto all = [&](milliseconds) { return next++ % size; };
            play(gateways, terms.per_second_ * 3.7, milliseconds{4000}, all);
            for (std::size_t i = 0; i < size / 2; ++i) {
                gateways.cut(i);
            }
            play(gateways, terms.per_second_ * 3.7, milliseconds{9000}, all);
            CPPUNIT_ASSERT(gateways.worst_window(terms) <= 1);
        });
    }

    void a_restart_of_all_gateways_grants_no_second_burst() {
        for_each_fleet([](const rate_terms& terms, std::size_t size) {
            fleet gateways{size, terms};
            std::size_t next = 0;
            const auto all = [&](milliseconds) { return next++ % size; };
            play(gateways, terms.per_second_ * 3.7, milliseconds{3000}, all);
            gateways.restart_all();
            play(gateways, terms.per_second_ * 3.7, milliseconds{6000}, all);
            CPPUNIT_ASSERT(gateways.worst_window(terms) <= 1);
        });
    }

    void a_lowered_rate_binds_in_the_next_window() {
        for_each_fleet([](const rate_terms& terms, std::size_t size) {
            fleet gateways{size, terms};
            std::size_t next = 0;
            const auto all = [&](milliseconds) { return next++ % size; };
            play(gateways, terms.per_second_, milliseconds{4000}, all);
            const rate_terms low{terms.per_second_ / 5, terms.per_second_ / 5};
            gateways.set_terms(low);
            const double before = gateways.used();
            play(gateways, terms.per_second_, window, all);
            const double allowed =
                (low.per_second_ * 8 + low.capacity_) * (1 + overage) + slack;
            CPPUNIT_ASSERT(gateways.used() - before <= allowed);
        });
    }

    // Random gateways, loads, cuts and restarts never exceed the bound.
    void random_loads_stay_within_the_rate() {
        const bool held = rc::check("use stays within the rate", [] {
            const auto size =
                static_cast<std::size_t>(*rc::gen::inRange(2, 90));
            const double rate = *rc::gen::inRange(18, 500) * 1000.0;
            const rate_terms terms{rate, rate};
            fleet gateways{size, terms};
            for (int phase = 0; phase < 5; ++phase) {
                const double load = rate * *rc::gen::inRange(1, 60) / 10.0;
                const auto spread = static_cast<std::size_t>(
                    *rc::gen::inRange<std::size_t>(1, size + 1));
                const auto first = static_cast<std::size_t>(
                    *rc::gen::inRange<std::size_t>(0, size));
                std::size_t next = 0;
                play(gateways, load, milliseconds{2500}, [&](milliseconds) {
                    return (first + next++ % spread) % size;
                });
                if (*rc::gen::inRange(0, 4) == 0) {
                    gateways.cut(first);
                }
            }
            RC_ASSERT(gateways.worst_window(terms) <= 1);
        });
        CPPUNIT_ASSERT(held);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(rate_fleet_test);

} // namespace

} // namespace pimentoferry::rates
