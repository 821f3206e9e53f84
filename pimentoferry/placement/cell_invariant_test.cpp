// Invariants of a cell scheduler under random events, with RapidCheck.

#include "pimentoferry/placement/cell_test_rig.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>

namespace {

using namespace pimentoferry;
using namespace pimentoferry::placement;
using namespace std::chrono_literals;

/// One random step. `size_` serves as a size, a time or an index.
struct step {
    int kind_{0};
    std::uint64_t attempt_{0};
    std::uint32_t size_{0};
};

std::ostream& operator<<(std::ostream& out, const step& s) {
    return out << '{' << s.kind_ << ' ' << s.attempt_ << ' ' << s.size_ << '}';
}

constexpr int first_fault_kind = 9; // Kinds from here on are faults.
constexpr int kind_count = 13;
constexpr std::uint64_t attempts = 40;

rc::Gen<std::vector<step>> steps(int kind_limit) {
    return rc::gen::container<std::vector<step>>(rc::gen::build<step>(
        rc::gen::set(&step::kind_, rc::gen::inRange(0, kind_limit)),
        rc::gen::set(&step::attempt_,
                     rc::gen::inRange<std::uint64_t>(1, attempts + 1)),
        rc::gen::set(&step::size_,
                     rc::gen::inRange<std::uint32_t>(100, 12'000))));
}

/// Sends the messages of entries to a cell, in any order.
struct driver {
    cell_rig rig_{cell_rig::conservative_settings()};
    std::map<std::uint64_t, std::uint32_t> prompts_;

    driver() {
        std::vector<engine_description> engines;
        for (const char* name : {"p0", "p1"}) {
            engines.push_back(
                cell_rig::make_engine(name, engine_role::prefill, 4, 60));
        }
        for (const char* name : {"d0", "d1", "d2"}) {
            engines.push_back(
                cell_rig::make_engine(name, engine_role::decode, 3, 20));
        }
        rig_.become_owner_of(engines);
    }

    void request_placement(const step& s) {
        prompts_.try_emplace(s.attempt_, s.size_);
        placement_request m =
            rig_.make_request(s.attempt_, prompts_.at(s.attempt_));
        m.caller_.value_ = std::to_string(s.attempt_ % 5);
        m.suspect_ = s.attempt_ % 7 == 0;
        const bool patient = s.attempt_ % 2 == 0;
        m.first_token_budget_ = patient ? 1'600ms : 20'000ms;
        rig_.send(m);
    }

    static base::upstream_name engine(const step& s) {
        static const std::vector<std::string> names{"d0", "d1", "d2", "p0",
                                                    "p1"};
        return base::upstream_name{names.at(s.size_ % names.size())};
    }

    void apply(const step& s) {
        const base::attempt_id id = rig_.id(s.attempt_);
        const auto prompt = prompts_.find(s.attempt_);
        switch (s.kind_) {
        case 0:
        case 1:
        case 2:
            request_placement(s);
            break;
        case 3:
        case 4:
            rig_.finish_prefill(s.attempt_, prompt == prompts_.end()
                                                ? s.size_
                                                : prompt->second);
            break;
        case 5:
            rig_.send(decode_started{id});
            break;
        case 6:
            rig_.release(s.attempt_);
            break;
        case 7:
            rig_.advance(std::chrono::milliseconds{s.size_ % 400});
            break;
        case 8:
            rig_.send(engine_lost{id, engine(s), loss_reason::stalled});
            break;
        case first_fault_kind:
            rig_.feed(engine_crashed{engine(s)});
            break;
        case 10:
            report(s);
            break;
        case 11:
            rig_.feed(entry_dead{rig_.entry_});
            break;
        default:
            rig_.send(attempt_announcement{
                id,
                {},
                {},
                base::upstream_name{"p0"},
                engine(s),
                announced_stage{static_cast<std::uint8_t>(s.size_ % 3)},
                s.size_,
                100,
                false});
            break;
        }
    }

    void report(const step& s) {
        load_report r;
        r.engine_ = engine(s);
        if (s.attempt_ % 2 == 0) {
            r.attempts_ = {rig_.id(s.attempt_)};
        }
        rig_.now_ += 1ms;
        rig_.feed(r);
    }

    void end_all() {
        for (std::uint64_t i = 1; i <= attempts; ++i) {
            rig_.release(i);
        }
        for (std::uint32_t i = 0; i < 5; ++i) {
            report({10, 1, i}); // Crashed engines serve again.
        }
    }
};

bool same(const cell_usage& a, const cell_usage& b) {
    const auto fields = [](const cell_usage& u) {
        return std::tie(u.queued_, u.prefilling_, u.unbound_, u.bound_,
                        u.slots_held_, u.kv_blocks_held_, u.reserved_slots_,
                        u.reserved_kv_blocks_, u.prefill_kv_blocks_held_,
                        u.attempts_);
    };
    return fields(a) == fields(b);
}

class cell_invariant_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(cell_invariant_test);
    CPPUNIT_TEST(reservations_fit_into_slots_and_kv_blocks);
    CPPUNIT_TEST(ended_attempts_hold_no_resources);
    CPPUNIT_TEST(unknown_attempts_change_nothing);
    CPPUNIT_TEST_SUITE_END();

    // Guards against reserving a slot or memory twice, which wastes a prefill.
    void reservations_fit_into_slots_and_kv_blocks() {
        const bool held = rc::check("promised places exist", [] {
            driver d;
            for (const step& s : *steps(first_fault_kind)) {
                d.apply(s);
                const cell_usage u = d.rig_.cell_.usage();
                RC_ASSERT(u.slots_held_ + u.reserved_slots_ <= u.slots_);
                RC_ASSERT(u.kv_blocks_held_ + u.reserved_kv_blocks_ <=
                          u.kv_blocks_);
            }
        });
        CPPUNIT_ASSERT(held);
    }

    // Guards against leaked slots, which shrink the cell until it refuses every
    // request.
    void ended_attempts_hold_no_resources() {
        const bool held = rc::check("no leak", [] {
            driver d;
            for (const step& s : *steps(kind_count)) {
                d.apply(s);
            }
            d.end_all();
            const cell_usage u = d.rig_.cell_.usage();
            cell_usage none;
            RC_ASSERT(same(u, none));
            RC_ASSERT(u.slots_ == 9U);
        });
        CPPUNIT_ASSERT(held);
    }

    // Guards against a delayed message of an ended attempt that frees the slot
    // of another attempt.
    void unknown_attempts_change_nothing() {
        const bool held = rc::check("late messages are dropped", [] {
            driver d;
            for (const step& s : *steps(kind_count)) {
                d.apply(s);
            }
            d.rig_.advance(1ms);
            const cell_usage before = d.rig_.cell_.usage();
            const auto unknown = *rc::gen::inRange<std::uint64_t>(100, 200);
            const base::attempt_id id = d.rig_.id(unknown);
            const base::upstream_name engine{"d0"};
            const std::vector<to_owner> late{
                prefill_finished{id, 1'000, 0},
                engine_lost{id, engine, loss_reason::failed},
                decode_started{id},
                placement_release{id, release_reason::completed, 10}};
            for (const to_owner& m : late) {
                d.rig_.send(m);
                RC_ASSERT(d.rig_.last_actions_.empty());
                RC_ASSERT(same(before, d.rig_.cell_.usage()));
            }
            // Every message that entries send, for ended attempts.
            d.end_all();
            for (std::uint64_t i = 1; i <= attempts; ++i) {
                if (!d.prompts_.contains(i)) {
                    continue;
                }
                d.apply({0, i, 1'000});
                d.apply({3, i, 1'000});
                d.apply({5, i, 1'000});
                d.apply({8, i, 1'000});
                RC_ASSERT(same(cell_usage{}, d.rig_.cell_.usage()));
            }
        });
        CPPUNIT_ASSERT(held);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(cell_invariant_test);

} // namespace
