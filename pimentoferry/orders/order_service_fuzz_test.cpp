// Stateful property test of several order services against a fake store and
// fake engines. The checks use only which instance sent which order when, under
// which fencing number, and what engines that verify the number executed.

#include "pimentoferry/base/overloaded.hpp"
#include "pimentoferry/orders/order_service.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <iostream>
#include <map>
#include <memory>
#include <utility>

namespace pimentoferry::orders {
namespace {

using base::milliseconds;
using base::time_point;

constexpr std::size_t entry_count = 3;
constexpr std::size_t engine_count = 4;

enum class kind : std::uint8_t {
    time,
    pause,
    resume,
    store_down,
    store_up,
    lose_answers,
    deliver_answers,
    change_version,
    restart_engine,
    restart_entry,
    change_candidate,
};
constexpr int kind_count = 11;

struct command {
    kind kind_{kind::time};
    std::size_t entry_{0};
    int amount_{0};
};

std::ostream& operator<<(std::ostream& out, const command& step) {
    return out << "{kind " << static_cast<int>(step.kind_) << " who "
               << step.entry_ << " amount " << step.amount_ << "}";
}

rc::Gen<command> any_command() {
    // Half of the commands advance time, so that leases expire and are renewed.
    return rc::gen::apply(
        [](int kind_number, std::size_t target, int amount) {
            const int chosen = kind_number < kind_count ? kind_number : 0;
            return command{static_cast<kind>(chosen), target % entry_count,
                           amount};
        },
        rc::gen::inRange(0, 2 * kind_count),
        rc::gen::inRange<std::size_t>(0, 12), rc::gen::inRange(1, 4000));
}

/// Fake of the platform's store with one key that is bound to a lease.
class fake_store {
public:
    bool up_{true};
    bool lose_answers_{false};

    store::outcome apply(const store::request& request, time_point now) {
        if (!up_) {
            return store::unavailable{};
        }
        expire(now);
        auto outcome = run(request, now);
        return lose_answers_ ? store::outcome{store::unavailable{}} : outcome;
    }

private:
    void expire(time_point now) {
        std::erase_if(leases_,
                      [&](const auto& entry) { return entry.second <= now; });
        if (revision_ != 0 && !leases_.contains(key_lease_)) {
            revision_ = 0;
        }
    }

    store::outcome run(const store::request& request, time_point now) {
        return std::visit(
            base::overloaded{
                [&](const store::get&) {
                    return revision_ == 0 ? store::outcome{store::not_found{}}
                                          : store::outcome{store::found{
                                                value_, revision_}};
                },
                [&](const store::put& op) {
                    if (op.expected_ != revision_) {
                        return store::outcome{store::conflict{revision_}};
                    }
                    if (!leases_.contains(op.lease_.value_)) {
                        return store::outcome{store::lease_unknown{}};
                    }
                    value_ = op.value_;
                    key_lease_ = op.lease_.value_;
                    revision_ = ++last_revision_;
                    return store::outcome{store::written{revision_}};
                },
                [&](const store::grant_lease& op) {
                    leases_[++last_lease_] = now + op.ttl_;
                    return store::outcome{
                        store::lease_granted{store::lease_id{last_lease_}}};
                },
                [&](const store::renew_lease& op) {
                    if (!leases_.contains(op.lease_.value_)) {
                        return store::outcome{store::lease_unknown{}};
                    }
                    leases_[op.lease_.value_] = now + lease_ttl;
                    return store::outcome{store::lease_granted{op.lease_}};
                },
                [&](const store::revoke_lease& op) {
                    leases_.erase(op.lease_.value_);
                    return store::outcome{store::erased{}};
                },
                [&](const auto&) {
                    return store::outcome{store::unavailable{}};
                }},
            request);
    }

    std::string value_;
    std::uint64_t revision_{0};
    std::uint64_t last_revision_{0};
    std::uint64_t key_lease_{0};
    std::uint64_t last_lease_{0};
    std::map<std::uint64_t, time_point> leases_;
};

struct fake_engine {
    std::uint64_t instance_{1};
    std::string version_{"0"};
    std::uint64_t highest_fencing_{0};
};

struct entry {
    std::unique_ptr<order_service> service_;
    bool paused_{false};
    bool candidate_{true};
    /// Store results that are delivered at the next step.
    std::vector<store::result> inbox_;
};

class simulated_fleet {
public:
    simulated_fleet() {
        served_.name_ = {"verdicts"};
        served_.target_ = {"silage", "", "1"};
        state_.deployments_[served_.name_] = served_;
        for (std::size_t i = 0; i < engine_count; ++i) {
            config::upstream engine;
            engine.name_ = {"engine-" + std::to_string(i)};
            engine.deployment_ = served_.name_;
            engine.cell_ = {"verdicts"};
            state_.upstreams_[engine.name_] = engine;
            engines_[engine.name_] = {};
        }
        for (std::size_t i = 0; i < entry_count; ++i) {
            restart(i);
        }
    }

    void apply(const command& step) {
        entry& target = entries_.at(step.entry_);
        switch (step.kind_) {
        case kind::time:
            advance(milliseconds{step.amount_});
            break;
        case kind::pause:
            target.paused_ = true;
            break;
        case kind::resume:
            target.paused_ = false;
            break;
        case kind::store_down:
            store_.up_ = false;
            break;
        case kind::store_up:
            store_.up_ = true;
            break;
        case kind::lose_answers:
            store_.lose_answers_ = true;
            break;
        case kind::deliver_answers:
            store_.lose_answers_ = false;
            break;
        case kind::change_version:
            set_version(std::to_string(step.amount_));
            break;
        case kind::restart_engine:
            restart_engine(static_cast<std::size_t>(step.amount_));
            break;
        case kind::restart_entry:
            restart(step.entry_);
            break;
        case kind::change_candidate:
            target.candidate_ = !target.candidate_;
            break;
        }
        ++commands_;
    }

    /// Ends all faults and advances time until the lease of a lost holder has
    /// expired and the rate-limited loads are done.
    void settle() {
        store_.up_ = true;
        store_.lose_answers_ = false;
        for (auto& target : entries_) {
            target.paused_ = false;
            target.candidate_ = true;
        }
        advance(std::chrono::seconds{60});
    }

    void check_settled() const {
        for (const auto& [name, engine] : engines_) {
            RC_ASSERT(engine.version_ ==
                      state_.deployments_.begin()->second.target_.version_);
        }
        const auto holders =
            std::ranges::count_if(entries_, [&](const entry& target) {
                return target.service_->holds_lease(now_);
            });
        RC_ASSERT(holders == 1);
    }

    static std::uint64_t commands() { return commands_; }

private:
    void restart(std::size_t number) {
        entry& target = entries_.at(number);
        target.service_ = std::make_unique<order_service>(
            base::instance_id{++last_instance_});
        target.paused_ = false;
        target.inbox_.clear();
        execute(number, target.service_->handle(state_changed{state_}, now_));
    }

    void restart_engine(std::size_t number) {
        auto position = engines_.begin();
        std::advance(position, number % engine_count);
        ++position->second.instance_;
        position->second.version_ = "0";
    }

    void set_version(const std::string& version) {
        state_.deployments_.begin()->second.target_.version_ = version;
        for (std::size_t i = 0; i < entry_count; ++i) {
            execute(i, entries_.at(i).service_->handle(state_changed{state_},
                                                       now_));
        }
    }

    void advance(milliseconds time) {
        constexpr milliseconds step{250};
        const auto end = now_ + time;
        while (now_ < end) {
            now_ = std::min(now_ + step, end);
            for (std::size_t i = 0; i < entry_count; ++i) {
                run_entry(i);
            }
        }
    }

    void run_entry(std::size_t number) {
        entry& target = entries_.at(number);
        if (target.paused_) {
            return;
        }
        for (const auto& result : std::exchange(target.inbox_, {})) {
            execute(number,
                    target.service_->handle(store_answered{result}, now_));
        }
        execute(number, target.service_->handle(
                            candidate_changed{target.candidate_}, now_));
        for (const auto& [name, engine] : engines_) {
            const observation seen{
                name,     engine.instance_, config::engine_role::decode,
                "silage", engine.version_,  {},
                0};
            execute(number,
                    target.service_->handle(engine_observed{seen}, now_));
        }
        execute(number, target.service_->handle(tick{}, now_));
    }

    void execute(std::size_t number, const std::vector<action>& actions) {
        for (const auto& next : actions) {
            std::visit(
                base::overloaded{[&](const store::operation& op) {
                                     entries_.at(number).inbox_.push_back(
                                         {op.token_,
                                          store_.apply(op.request_, now_)});
                                 },
                                 [&](const send_order& sent) {
                                     receive_order(number, sent);
                                 }},
                next);
        }
    }

    void receive_order(std::size_t number, const send_order& sent) {
        // Orders of different instances never overlap: the later holder has a
        // higher number, and the earlier one sends no more orders.
        RC_ASSERT(sent.fencing_ >= highest_fencing_number_);
        if (sent.fencing_ == highest_fencing_number_) {
            RC_ASSERT(last_sender_ == number);
        }
        highest_fencing_number_ = sent.fencing_;
        last_sender_ = number;
        fake_engine& engine = engines_.at(sent.order_.engine_);
        RC_ASSERT(sent.fencing_ >= engine.highest_fencing_);
        engine.highest_fencing_ = sent.fencing_;
        if (const auto* load = std::get_if<load_model>(&sent.order_.body_)) {
            engine.version_ = load->version_;
        }
    }

    inline static std::uint64_t commands_ = 0;
    time_point now_{std::chrono::seconds{1000}};
    config::deployment served_;
    config::state state_;
    fake_store store_;
    std::map<base::upstream_name, fake_engine> engines_;
    std::array<entry, entry_count> entries_;
    std::uint64_t last_instance_{0};
    std::uint64_t highest_fencing_number_{0};
    std::size_t last_sender_{0};
};

class order_service_fuzz_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(order_service_fuzz_test);
    CPPUNIT_TEST(one_instance_sends_orders_at_a_time);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two instances that send orders concurrently, and against a
    // state in force that is never established after all faults have ended.
    void one_instance_sends_orders_at_a_time() {
        const bool passed = rc::check([] {
            const auto commands =
                *rc::gen::container<std::vector<command>>(any_command());
            simulated_fleet fleet;
            for (const auto& next : commands) {
                fleet.apply(next);
            }
            fleet.settle();
            fleet.check_settled();
        });
        std::cout << "commands run: " << simulated_fleet::commands() << '\n';
        CPPUNIT_ASSERT(passed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(order_service_fuzz_test);

} // namespace
} // namespace pimentoferry::orders
