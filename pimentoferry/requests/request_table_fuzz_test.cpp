// Runs random commands against several request tables with fake engines and
// cell owners. The oracle checks the invariants of the tables after each event.
//
// The seed is fixed in CMakeLists.txt. A longer run with a new seed, which is
// printed:
//     make build && tools/fuzz_requests.sh [cases] [seed]

#include "pimentoferry/requests/fuzz/world.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <array>
#include <cstdint>
#include <iostream>
#include <ostream>

namespace pimentoferry::requests::fuzz {
namespace {

using base::milliseconds;

enum class kind : std::uint8_t {
    advance,
    advance_long,
    submit,
    submit_poison,
    resubmit,
    disconnect_caller,
    kill_entry,
    toggle_pause,
    drain_entry,
    crash_engine,
    toggle_stall,
    toggle_full,
    toggle_slow,
    evict_results,
    break_streams,
    lose_cancels,
    toggle_owner_unresponsive,
    change_owner,
    toggle_duplicates,
    set_jitter,
};

constexpr std::array<const char*, 20> kind_names{"advance",
                                                 "advance_long",
                                                 "submit",
                                                 "submit_poison",
                                                 "resubmit",
                                                 "disconnect_caller",
                                                 "kill_entry",
                                                 "toggle_pause",
                                                 "drain_entry",
                                                 "crash_engine",
                                                 "toggle_stall",
                                                 "toggle_full",
                                                 "toggle_slow",
                                                 "evict_results",
                                                 "break_streams",
                                                 "lose_cancels",
                                                 "toggle_owner_unresponsive",
                                                 "change_owner",
                                                 "toggle_duplicates",
                                                 "set_jitter"};

/// Every command is valid in every state, so the model is empty.
struct model {};

struct command : rc::state::Command<model, world> {
    kind kind_{*rc::gen::weightedElement<kind>({
        {30, kind::advance},
        {3, kind::advance_long},
        {30, kind::submit},
        {3, kind::submit_poison},
        {6, kind::resubmit},
        {4, kind::disconnect_caller},
        {1, kind::kill_entry},
        {2, kind::toggle_pause},
        {1, kind::drain_entry},
        {2, kind::crash_engine},
        {2, kind::toggle_stall},
        {2, kind::toggle_full},
        {2, kind::toggle_slow},
        {2, kind::evict_results},
        {4, kind::break_streams},
        {3, kind::lose_cancels},
        {3, kind::toggle_owner_unresponsive},
        {2, kind::change_owner},
        {2, kind::toggle_duplicates},
        {2, kind::set_jitter},
    })};
    std::uint32_t which_{*rc::gen::inRange<std::uint32_t>(0, 60)};
    std::uint32_t amount_{*rc::gen::inRange<std::uint32_t>(0, 400)};
    std::uint32_t seed_{*rc::gen::inRange<std::uint32_t>(0, 1'000'000)};

    void run(const model&, world& w) const override {
        w.seed(seed_);
        issue(w);
        w.advance(milliseconds{0});
    }

    void issue(world& w) const {
        const bool even = amount_ % 2 == 0;
        switch (kind_) {
        case kind::advance:
            return w.advance(milliseconds{amount_});
        case kind::advance_long:
            return w.advance(milliseconds{amount_ * 100});
        case kind::submit:
            return w.submit(which_, poison::none, even);
        case kind::submit_poison:
            return w.submit(
                which_, seed_ % 2 == 0 ? poison::in_prefill : poison::in_decode,
                even);
        case kind::resubmit:
            return w.resubmit(amount_, which_);
        case kind::disconnect_caller:
            return w.disconnect_caller(which_);
        case kind::kill_entry:
            return w.kill_entry(which_);
        case kind::toggle_pause:
            return w.toggle_pause(which_);
        case kind::drain_entry:
            return w.drain_entry(which_);
        case kind::crash_engine:
            return w.crash_engine(which_);
        case kind::toggle_stall:
            return w.toggle_stall(which_);
        case kind::toggle_full:
            return w.toggle_full(which_);
        case kind::toggle_slow:
            return w.toggle_slow(which_);
        case kind::evict_results:
            return w.evict_results(which_);
        case kind::break_streams:
            return w.break_streams(which_);
        case kind::lose_cancels:
            return w.lose_cancels(which_ % 4);
        case kind::toggle_owner_unresponsive:
            return w.toggle_owner_unresponsive(which_);
        case kind::change_owner:
            return w.change_owner();
        case kind::toggle_duplicates:
            return w.toggle_duplicates();
        case kind::set_jitter:
            return w.set_jitter(amount_ / 8);
        }
    }

    void show(std::ostream& out) const override {
        out << kind_names.at(static_cast<std::size_t>(kind_)) << '(' << which_
            << ", " << amount_ << ", " << seed_ << ')';
    }
};

class request_table_fuzz_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(request_table_fuzz_test);
    CPPUNIT_TEST(invariants_hold);
    CPPUNIT_TEST_SUITE_END();

public:
    void invariants_hold() {
        coverage totals;
        const bool holds = rc::check("request tables keep their promises", [&] {
            const auto commands =
                *rc::state::gen::commands(model{}, [](const model&) {
                    return rc::gen::exec([] {
                        return std::shared_ptr<
                            const rc::state::Command<model, world>>(
                            std::make_shared<const command>());
                    });
                });
            totals.commands_ += commands.size();
            world w{totals};
            rc::state::runAll(commands, model{}, w);
            w.settle();
        });
        const table_counts& tables = totals.tables_;
        std::cout << "commands " << totals.commands_ << ", requests "
                  << totals.requests_ << ", completed " << tables.completed_
                  << ", refused " << tables.refused_ << " (not_run "
                  << totals.not_run_ << ", quarantined " << tables.quarantined_
                  << ", budget " << tables.budget_denied_
                  << "), callers disconnected " << tables.cancelled_
                  << ", re-runs " << tables.reruns_ << ", resumes "
                  << tables.resumes_ << ", autonomous " << tables.autonomous_
                  << ", dropped events " << tables.dropped_events_
                  << ", engine crashes " << totals.crashes_ << ", cancels lost "
                  << totals.cancels_lost_ << std::endl;
        CPPUNIT_ASSERT(holds);
        // Guards against commands that no longer reach some path of the table.
        constexpr std::uint64_t long_run = 100'000;
        const bool reached =
            tables.completed_ > 0 && totals.not_run_ > 0 &&
            tables.quarantined_ > 0 && tables.budget_denied_ > 0 &&
            tables.cancelled_ > 0 && tables.reruns_ > 0 &&
            tables.resumes_ > 0 && tables.autonomous_ > 0 &&
            tables.dropped_events_ > 0 && totals.cancels_lost_ > 0;
        CPPUNIT_ASSERT(totals.commands_ < long_run || reached);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_table_fuzz_test);

} // namespace
} // namespace pimentoferry::requests::fuzz
