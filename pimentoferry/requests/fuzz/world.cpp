#include "pimentoferry/requests/fuzz/world.hpp"

#include <algorithm>
#include <utility>

namespace pimentoferry::requests::fuzz {

using base::milliseconds;

namespace {

// Crash marks do not expire within a case: the oracle keeps them for 10
// minutes.
constexpr std::chrono::minutes max_case_duration{8};

} // namespace

world::world(coverage& totals) : totals_(totals) {
    for (const char* name : {"p1", "p2", "d1", "d2", "d3"}) {
        engines_.emplace_back(base::upstream_name{name}, name[0] == 'd');
    }
    for (std::size_t index = 0; index < entry_count; ++index) {
        start_entry(index);
    }
    cancel_orphaned_attempts();
}

void world::schedule_after(milliseconds delay, std::function<void()> task) {
    scheduled_.emplace(now_ + delay, std::move(task));
}

void world::run_until(base::time_point end) {
    while (!scheduled_.empty() && scheduled_.begin()->first <= end) {
        const auto next = scheduled_.extract(scheduled_.begin());
        now_ = std::max(now_, next.key());
        next.mapped()();
    }
    now_ = end;
}

milliseconds world::latency(unsigned least) {
    return milliseconds{least + (jitter_ > 0 ? draw(jitter_) : 0)};
}

void world::submit(unsigned entry, poison kind, bool deterministic) {
    constexpr std::array<std::uint32_t, 3> prompts{500, 2'000, 5'000};
    body content;
    content.fingerprint_ = bodies_.size() + 1;
    content.deterministic_ = deterministic;
    content.poison_ = kind;
    content.prompt_tokens_ = prompts[draw(prompts.size())];
    bodies_.push_back(content);
    accept(entry, content);
}

void world::resubmit(unsigned entry, unsigned which) {
    if (!bodies_.empty()) {
        accept(entry, bodies_[which % bodies_.size()]);
    }
}

void world::advance(milliseconds time) {
    if (now_ + time - start_ < max_case_duration) {
        run_until(now_ + time);
    }
    for (std::size_t index = 0; index < entry_count; ++index) {
        if (entries_.at(index).alive_) {
            check_memory(index);
        }
    }
}

void world::crash_engine(unsigned engine) {
    fake_engine& chosen = engines_[engine % engines_.size()];
    if (chosen.alive_) {
        crash(chosen);
    } else {
        chosen.restart();
    }
}

void world::toggle_stall(unsigned engine) {
    fake_engine& chosen = engines_[engine % engines_.size()];
    chosen.stalled_ = !chosen.stalled_;
}

void world::toggle_full(unsigned engine) {
    fake_engine& chosen = engines_[engine % engines_.size()];
    chosen.full_ = !chosen.full_;
}

void world::toggle_slow(unsigned engine) {
    fake_engine& chosen = engines_[engine % engines_.size()];
    chosen.slow_ = !chosen.slow_;
}

void world::evict_results(unsigned engine) {
    fake_engine& chosen = engines_[engine % engines_.size()];
    std::erase_if(chosen.allocations_, [](const auto& entry) {
        return entry.second.kind_ == allocation_kind::result;
    });
}

void world::break_calls(const fake_engine& engine) {
    for (const std::uint64_t id : received_calls(engine)) {
        fail_call(id, draw(2) == 0 ? engine_failure::broken
                                   : engine_failure::timed_out);
    }
}

// A faulty link also breaks the streams that are resumed over it.
void world::break_streams(unsigned engine) {
    const fake_engine& chosen = engines_[engine % engines_.size()];
    break_calls(chosen);
    for (const unsigned again : {170 + draw(100), 400 + draw(200)}) {
        schedule_after(milliseconds{again},
                       [this, &chosen] { break_calls(chosen); });
    }
}

void world::settle() {
    jitter_ = 0;
    duplicates_ = false;
    cancels_to_lose_ = 0;
    for (fake_engine& engine : engines_) {
        engine.full_ = engine.stalled_ = engine.slow_ = false;
        if (!engine.alive_) {
            engine.restart();
        }
    }
    for (unsigned rank = 0; rank < owners_.size(); ++rank) {
        if (owners_.at(rank).unresponsive_) {
            toggle_owner_unresponsive(rank);
        }
    }
    for (unsigned index = 0; index < entry_count; ++index) {
        if (entries_.at(index).paused_) {
            toggle_pause(index);
        }
    }
    // Cancels are repeated after 5 s at the latest.
    run_until(now_ + milliseconds{8'000});
    for (const entry& e : entries_) {
        for (const memory_hold& memory : e.table_->memory_holds()) {
            const auto& engine = engine_named(memory.engine_);
            if (memory.cancelling_ &&
                engine.allocations_.contains(memory.attempt_)) {
                throw violation{
                    "an engine still holds memory of a cancelled attempt"};
            }
        }
    }
    for (int i = 0; i < 80; ++i) {
        const bool idle = std::ranges::all_of(
            entries_, [](const entry& e) { return e.table_->idle(); });
        if (idle) {
            break;
        }
        run_until(now_ + milliseconds{5'000});
    }
    check_settled();
    for (unsigned index = 0; index < entry_count; ++index) {
        kill_entry(index);
    }
}

void world::check_settled() {
    for (const auto& [id, record] : oracle_.requests()) {
        if (record.outcome_ == outcome::none) {
            throw violation{"request " + std::to_string(id.value_) +
                            " has no outcome"};
        }
    }
    for (const entry& e : entries_) {
        if (!e.table_->idle() || !e.table_->memory_holds().empty()) {
            throw violation{"an entry does not become idle"};
        }
    }
    for (const fake_engine& engine : engines_) {
        if (!engine.allocations_.empty()) {
            throw violation{"a slot is never freed at " + engine.name_.value_};
        }
    }
}

} // namespace pimentoferry::requests::fuzz
