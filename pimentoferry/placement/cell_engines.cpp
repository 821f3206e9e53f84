// Engine reports, changes of the engine set, and faults of engines and entries.

#include "pimentoferry/placement/cell_core.hpp"

#include <algorithm>
#include <chrono>

namespace pimentoferry::placement::internal {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t max_engines = 64; // Bits of `lost_engines_`.
constexpr std::size_t max_dead_entries = 1'024;
// A load report that was taken this long after a change must reflect it.
constexpr auto report_settle_time = 2s;
// Consecutive reports without an attempt after which its slot is freed.
constexpr std::uint8_t max_missed_reports = 3;
constexpr auto headroom_resend_interval = 1s;
constexpr auto balance_interval = 250ms;
// Shares of free decode slots: above the first one the prefill pool may be the
// bottleneck, below the second one the decode pool.
constexpr double prefill_shortage_free_share = 0.25;
constexpr double decode_shortage_free_share = 0.02;
constexpr double busy_backlog_ms = 40;
// The moving average reaches 1 - 1/e when a pool was short for the whole of
// `role_change_after_`.
constexpr double role_change_shortage = 0.63;

} // namespace

engine_index cell_core::index_of(const base::upstream_name& name) const {
    const auto found = std::ranges::find_if(
        engines_, [&name](const engine_view& e) { return e.name() == name; });
    return found == engines_.end()
               ? no_engine
               : static_cast<engine_index>(found - engines_.begin());
}

engine_view& cell_core::engine(engine_index index) {
    return engines_.at(static_cast<std::size_t>(index));
}

const engine_view& cell_core::engine(engine_index index) const {
    return engines_.at(static_cast<std::size_t>(index));
}

void cell_core::on(const engines_changed& e) {
    for (engine_view& old : engines_) {
        old.remove();
    }
    for (const engine_description& d : e.engines_) {
        const engine_index index = index_of(d.engine_);
        if (index != no_engine) {
            engine(index).update_description(d);
            continue;
        }
        engine_view fresh{d, settings_.prefix_limit_,
                          settings_.token_interval_target_};
        fresh.set_rebuilding(rebuilding_);
        const auto unused =
            std::ranges::find_if(engines_, [this](const engine_view& old) {
                const auto at =
                    static_cast<engine_index>(&old - engines_.data());
                return !old.present() &&
                       std::ranges::none_of(attempts_, [at](const auto& a) {
                           return a.second.prefill_ == at ||
                                  a.second.decode_ == at ||
                                  ((a.second.lost_engines_ >> at) & 1U) != 0;
                       });
            });
        if (unused != engines_.end()) {
            *unused = std::move(fresh);
        } else if (engines_.size() < max_engines) {
            engines_.push_back(std::move(fresh));
        }
    }
}

void cell_core::on(const cache_events& e) {
    const engine_index index = index_of(e.engine_);
    if (index != no_engine) {
        engine(index).prefixes().apply(e.changes_);
    }
}

void cell_core::on(const load_report& e) {
    const engine_index index = index_of(e.engine_);
    if (index == no_engine) {
        return;
    }
    cancel_attempts_of_dead_entries(e);
    detach_unlisted(index, e);
    engine(index).report(e, count_unknown_attempts(e), e.attempts_.size(),
                         now_);
    check_rebuild_complete();
}

void cell_core::cancel_attempts_of_dead_entries(const load_report& e) {
    std::vector<base::attempt_id> orphans;
    std::ranges::copy_if(e.attempts_, std::back_inserter(orphans),
                         [this](base::attempt_id id) {
                             return dead_entries_.contains(id.instance_);
                         });
    if (!orphans.empty()) {
        out_.emplace_back(cancel_attempts{e.engine_, std::move(orphans)});
    }
}

std::uint32_t cell_core::count_unknown_attempts(const load_report& e) const {
    return static_cast<std::uint32_t>(
        std::ranges::count_if(e.attempts_, [this](base::attempt_id id) {
            return !attempts_.contains(id) && !ended_attempts_.contains(id);
        }));
}

// The release of an attempt may be lost with its connection. Its decode slot is
// freed when the engine's reports stop listing the attempt.
void cell_core::detach_unlisted(engine_index index, const load_report& e) {
    const std::unordered_set<base::attempt_id> listed{e.attempts_.begin(),
                                                      e.attempts_.end()};
    const base::time_point measured_at = now_ - e.age_;
    for (auto& [id, a] : attempts_) {
        if (a.decode_ != index || a.stage_ != attempt_stage::decoding ||
            measured_at < a.stage_began_ + report_settle_time) {
            continue;
        }
        if (listed.contains(id)) {
            a.missed_reports_ = 0;
        } else if (++a.missed_reports_ >= max_missed_reports) {
            detach(a);
        }
    }
}

void cell_core::on(const engine_crashed& e) {
    const engine_index index = index_of(e.engine_);
    if (index == no_engine) {
        return;
    }
    std::vector<base::attempt_id> lost_results;
    for (auto& [id, a] : attempts_) {
        if (a.decode_ == index) {
            // A baseline chose the decode engine early; the prefill goes on.
            const bool prefilling =
                a.stage_ == attempt_stage::prefilling && !a.inline_;
            const bool had_result =
                a.prefilled_ && a.stage_ == attempt_stage::bound;
            if (prefilling) {
                release_decode(a);
            } else if (had_result) {
                release_decode(a);
                a.stage_ = attempt_stage::detached;
                a.stage_began_ = now_;
            } else {
                detach(a);
            }
        } else if (a.prefill_ == index) {
            if (a.stage_ == attempt_stage::unbound) {
                lost_results.push_back(id);
            } else if (a.stage_ == attempt_stage::prefilling) {
                detach(a);
            } else {
                // The transfer will fail, and the entry will report that.
                a.holds_prefill_memory_ = false;
                a.prefilled_ = false;
            }
        }
    }
    for (const base::attempt_id id : lost_results) {
        refuse(attempts_.at(id), base::refusal_code::upstream_failed,
               base::milliseconds{100}, "the prefill result is lost");
        erase_attempt(id);
    }
    engine(index).crash(now_);
}

void cell_core::on(const entry_dead& e) {
    if (dead_entries_.insert(e.instance_).second) {
        dead_order_.push_back(e.instance_);
        if (dead_order_.size() > max_dead_entries) {
            dead_entries_.erase(dead_order_.front());
            dead_order_.pop_front();
        }
    }
    std::map<engine_index, std::vector<base::attempt_id>> held;
    std::vector<base::attempt_id> all;
    for (const auto& [id, a] : attempts_) {
        if (id.instance_ != e.instance_) {
            continue;
        }
        all.push_back(id);
        if (a.prefill_ != no_engine) {
            held[a.prefill_].push_back(id);
        }
        if (a.decode_ != no_engine) {
            held[a.decode_].push_back(id);
        }
    }
    for (auto& [index, ids] : held) {
        out_.emplace_back(
            cancel_attempts{engine(index).name(), std::move(ids)});
    }
    std::ranges::for_each(all, [this](auto id) { erase_attempt(id); });
}

// A new owner's state is complete when every serving engine has sent a report
// since the takeover and lists only attempts that entries have announced.
void cell_core::check_rebuild_complete() {
    if (!rebuilding_) {
        return;
    }
    const bool complete =
        std::ranges::all_of(engines_, [this](const engine_view& e) {
            return !e.serving() || (e.reported() > owner_since_ &&
                                    e.used_slots() == e.held().slots_);
        });
    if (complete || now_ >= owner_since_ + settings_.rebuild_limit_) {
        rebuilding_ = false;
        for (engine_view& e : engines_) {
            e.set_rebuilding(false);
        }
    }
}

void cell_core::publish_free_slots() {
    if (!owner_ || now_ < headroom_sent_ + settings_.headroom_interval_) {
        return;
    }
    const std::uint32_t free = free_decode_resources().slots_;
    const std::uint32_t free_unreserved =
        free > reserved_.slots_ ? free - reserved_.slots_ : 0;
    const auto queued =
        static_cast<std::uint32_t>(queue_.size() + parked_.size());
    const bool same =
        headroom_.slots_ == free_unreserved && headroom_.kv_blocks_ == queued;
    if (same && now_ < headroom_sent_ + headroom_resend_interval) {
        return;
    }
    headroom_ = {free_unreserved, queued};
    headroom_sent_ = now_;
    out_.emplace_back(publish_headroom{settings_.cell_, ++headroom_version_,
                                       free_unreserved, queued});
}

void cell_core::check_pool_balance() {
    if (!owner_ || now_ < balance_checked_ + balance_interval) {
        return;
    }
    balance_checked_ = now_;
    const cell_capacity c = capacity();
    const double free =
        c.free_decode_slots_ / std::max<double>(c.decode_slots_, 1);
    const bool waiting = queue_.size() > 0;
    const bool prefill_busy = c.prefill_backlog_ms_ > busy_backlog_ms;
    const bool prefill_short =
        waiting && prefill_busy && free > prefill_shortage_free_share;
    const bool decode_short =
        waiting && !prefill_busy && free < decode_shortage_free_share;
    update_average(prefill_shortage_, prefill_short);
    update_average(decode_shortage_, decode_short);
    if (prefill_shortage_ >= role_change_shortage) {
        propose(engine_role::decode, engine_role::prefill,
                "prefills wait while decode slots are free");
    } else if (decode_shortage_ >= role_change_shortage) {
        propose(engine_role::prefill, engine_role::decode,
                "decode slots are scarce while prefill engines are idle");
    }
}

// A moving average is used instead of the time since the shortage began,
// because a pool that is short is still idle for an instant now and then.
void cell_core::update_average(double& share, bool short_now) const {
    const double gain = std::chrono::duration<double>(balance_interval) /
                        settings_.role_change_after_;
    share += std::min(gain, 1.0) * ((short_now ? 1.0 : 0.0) - share);
}

void cell_core::propose(engine_role from,
                        engine_role to,
                        std::string_view reason) {
    const bool early =
        role_change_proposed_ != base::time_point{} &&
        now_ < role_change_proposed_ + settings_.role_change_pause_;
    int engines = 0;
    each_serving(from, [&](engine_index, const engine_view&) { ++engines; });
    if (early || engines < 2) {
        return;
    }
    role_change_proposed_ = now_;
    prefill_shortage_ = 0;
    decode_shortage_ = 0;
    const engine_index chosen = least_used(from, 0);
    out_.emplace_back(propose_role_change{engine(chosen).name(), to, reason});
}

} // namespace pimentoferry::placement::internal
