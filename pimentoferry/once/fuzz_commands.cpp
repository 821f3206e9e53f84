#include "pimentoferry/once/fuzz_commands.hpp"

#include "pimentoferry/base/hash.hpp"

#include <algorithm>
#include <ostream>
#include <regex>
#include <string>

namespace pimentoferry::once {
namespace {

using base::milliseconds;

constexpr milliseconds fuzz_window{60'000};
/// Small, so that segments are sealed and deleted frequently.
constexpr std::size_t fuzz_segment_bytes = 600;
/// Exceeds the claim timeout, the duration of a takeover and the longest resend
/// interval.
constexpr milliseconds settle_time{60'000};
constexpr milliseconds resubmit_interval{2'000};
constexpr int max_resubmissions = 10;

world_settings fuzz_settings(std::uint64_t seed) {
    world_settings settings;
    settings.entries_ = 3 + seed % 3;
    settings.seed_ = seed;
    settings.once_.shards_ = 2;
    settings.once_.segment_bytes_ = fuzz_segment_bytes;
    settings.once_.window_ = fuzz_window;
    return settings;
}

constexpr std::array<const char*, 20> command_names{
    "ask",     "new_key", "pass_moment", "pass_seconds", "pass_window",
    "leave",   "kill",    "start",       "pause",        "resume",
    "drain",   "cut",     "mend",        "cut_store",    "mend_store",
    "network", "store",   "upstream",    "flip_view",    "jump_clock"};

rc::Gen<fuzz_command> command_of(command_kind kind) {
    const auto operand = rc::gen::inRange<std::uint32_t>(0, 1000);
    return rc::gen::build<fuzz_command>(
        rc::gen::set(&fuzz_command::kind_, rc::gen::just(kind)),
        rc::gen::set(&fuzz_command::a_, operand),
        rc::gen::set(&fuzz_command::b_, operand),
        rc::gen::set(&fuzz_command::c_, operand));
}

} // namespace

std::ostream& operator<<(std::ostream& out, const fuzz_command& command) {
    return out << command_names[static_cast<std::size_t>(command.kind_)] << "("
               << command.a_ << "," << command.b_ << "," << command.c_ << ")";
}

std::vector<fuzz_command> parse_commands(const std::string& printed) {
    static const std::regex form{R"(([a-z_]+)\((\d+),(\d+),(\d+)\))"};
    std::vector<fuzz_command> commands;
    const std::sregex_iterator begin{printed.begin(), printed.end(), form};
    std::for_each(begin, std::sregex_iterator{}, [&](const auto& match) {
        const auto number = [&](std::size_t group) {
            return static_cast<std::uint32_t>(std::stoul(match[group].str()));
        };
        const auto* name = std::ranges::find(command_names, match[1].str());
        commands.push_back(
            {static_cast<command_kind>(name - command_names.begin()), number(2),
             number(3), number(4)});
    });
    return commands;
}

rc::Gen<fuzz_command> command_generator() {
    using kind = command_kind;
    const auto weighted = [](std::size_t weight, kind of) {
        return std::pair<std::size_t, rc::Gen<fuzz_command>>{weight,
                                                             command_of(of)};
    };
    return rc::gen::weightedOneOf<fuzz_command>(
        {weighted(30, kind::ask),         weighted(3, kind::new_key),
         weighted(24, kind::pass_moment), weighted(10, kind::pass_seconds),
         weighted(2, kind::pass_window),  weighted(2, kind::leave),
         weighted(1, kind::kill),         weighted(2, kind::start),
         weighted(3, kind::pause),        weighted(4, kind::resume),
         weighted(1, kind::drain),        weighted(2, kind::cut),
         weighted(3, kind::mend),         weighted(1, kind::cut_store),
         weighted(2, kind::mend_store),   weighted(4, kind::network),
         weighted(6, kind::store),        weighted(5, kind::upstream),
         weighted(5, kind::flip_view),    weighted(1, kind::jump_clock)});
}

fuzz_run::fuzz_run(std::uint64_t seed)
    : world_(fuzz_settings(seed)), allows_reordering_(seed % 2 == 0) {
    std::ranges::generate(keys_, [&] { return new_key(); });
}

key_id fuzz_run::new_key() {
    ++key_count_;
    return {base::hash_combine(key_count_, 1),
            base::hash_combine(key_count_, 2), world_.wall()};
}

void fuzz_run::run(const fuzz_command& command) {
    switch (command.kind_) {
    case command_kind::ask:
        submit_call(command);
        break;
    case command_kind::new_key:
        keys_[command.a_ % key_slots] = new_key();
        break;
    case command_kind::pass_moment:
        world_.advance(milliseconds{command.a_ % 300});
        break;
    case command_kind::pass_seconds:
        world_.advance(milliseconds{command.a_ * 7});
        break;
    case command_kind::pass_window:
        world_.advance(fuzz_window / 2 + milliseconds{command.a_ * 60});
        break;
    case command_kind::leave:
        if (!requests_.empty()) {
            world_.disconnect_caller(requests_.back());
        }
        break;
    default:
        run_entry_command(command);
        break;
    }
}

void fuzz_run::run_entry_command(const fuzz_command& command) {
    const auto entry = command.a_ % world_.size();
    const auto other = command.b_ % world_.size();
    switch (command.kind_) {
    case command_kind::kill:
        world_.kill(entry);
        break;
    case command_kind::start:
        if (world_.live_count() < max_entries) {
            world_.start_entry();
        }
        break;
    case command_kind::pause:
        world_.pause(entry);
        break;
    case command_kind::resume:
        world_.resume(entry);
        break;
    case command_kind::drain:
        draining_[entry % draining_.size()] = true;
        world_.drain(entry);
        break;
    case command_kind::cut:
        world_.set_cut(entry, other, true);
        break;
    case command_kind::mend:
        world_.set_cut(entry, other, false);
        break;
    case command_kind::cut_store:
    case command_kind::mend_store:
        world_.set_store_cut(entry, command.kind_ == command_kind::cut_store);
        break;
    case command_kind::flip_view:
        world_.flip_view(entry, other);
        break;
    default:
        run_fault_command(command);
        break;
    }
}

void fuzz_run::run_fault_command(const fuzz_command& command) {
    constexpr std::uint32_t kinds = 5;
    switch (command.kind_) {
    case command_kind::network:
        set_network(command);
        break;
    case command_kind::store:
        world_.set_store(static_cast<store_mode>(command.a_ % kinds));
        break;
    case command_kind::upstream:
        world_.set_upstream(static_cast<upstream_mode>(command.a_ % kinds));
        break;
    default: {
        const milliseconds jump{(static_cast<std::int64_t>(command.b_) - 500) *
                                100};
        max_clock_offset_ += std::max(jump, -jump);
        world_.jump_wall_clock(command.a_ % world_.size(), jump);
        break;
    }
    }
}

/// In half of the runs messages may be lost, but are neither duplicated nor
/// reordered, as on one connection; `may_have_run` is stricter for these runs.
void fuzz_run::set_network(const fuzz_command& command) {
    constexpr int percent_step = 20;
    network_faults faults;
    faults.drop_percent_ = static_cast<int>(command.a_ % 4) * percent_step;
    if (allows_reordering_) {
        faults.duplicate_percent_ =
            static_cast<int>(command.b_ % 4) * percent_step;
        faults.extra_delay_ = milliseconds{command.c_ * 8};
    }
    world_.set_network(faults);
}

void fuzz_run::submit_call(const fuzz_command& command) {
    const auto entry = command.a_ % world_.size();
    // One call in eight has another body for its key.
    const std::uint64_t body = command.c_ % 8 == 7 ? 2 : 1;
    if (world_.is_live(entry)) {
        requests_.push_back(
            world_.submit_call(entry, keys_[command.b_ % key_slots], body));
    }
}

std::size_t fuzz_run::accepting_entry() {
    for (std::size_t entry = 0; entry < world_.size(); ++entry) {
        if (world_.is_live(entry) && !draining_[entry % draining_.size()]) {
            return entry;
        }
    }
    return world_.start_entry();
}

void fuzz_run::settle() {
    accepting_entry();
    world_.heal();
    world_.advance(settle_time);
    world_.check_settled();
    std::vector<key_id> keys;
    for (const auto& [key, record] : world_.oracle().keys()) {
        keys.push_back(key);
    }
    for (const auto& key : keys) {
        settle_key(key);
    }
    world_.advance(settle_time);
    world_.check_settled();
}

void fuzz_run::settle_key(const key_id& key) {
    const auto body = body_of(key);
    const bool ran_before = may_have_run(key);
    for (int i = 0; i < max_resubmissions; ++i) {
        const auto request = world_.submit_call(accepting_entry(), key, body);
        world_.advance(resubmit_interval);
        const auto& last = world_.oracle().request(request);
        const bool is_pending =
            last.response_ == response_kind::none ||
            (last.response_ == response_kind::refused &&
             last.refusal_.code_ == base::refusal_code::in_progress);
        if (!is_pending) {
            const auto violation = unexpected_response(key, last, ran_before);
            if (!violation.empty()) {
                world_.oracle().fail(violation);
            }
            return;
        }
    }
    world_.oracle().fail("a key stays in progress after all faults have ended");
}

std::string fuzz_run::unexpected_response(const key_id& key,
                                          const request_record& last,
                                          bool ran_before) {
    const auto& record = world_.oracle().keys().at(key);
    if (last.response_ == response_kind::send) {
        return {};
    }
    if (last.response_ == response_kind::replay) {
        return {};
    }
    const auto code = last.refusal_.code_;
    if (code == base::refusal_code::key_expired && may_be_expired(key)) {
        return {};
    }
    if (code == base::refusal_code::key_reused && !record.bound_body_ &&
        has_two_bodies(key)) {
        return {};
    }
    const bool is_result_safe = record.result_entry_.value_ != 0 &&
                                !world_.was_killed(record.result_entry_);
    if (code == base::refusal_code::result_lost && ran_before &&
        !is_result_safe) {
        return {};
    }
    return "a key is refused after all faults have ended: " +
           std::string{base::to_string(code)};
}

std::uint64_t fuzz_run::body_of(const key_id& key) const {
    const auto& record = world_.oracle().keys().at(key);
    return record.bound_body_.value_or(1);
}

/// True if a call with the key was sent and not reported as unsent, or if its
/// entry was killed and its outcome is unknown. With reordered messages, also
/// if the entry stopped after a drain: the claim of the call may have reached
/// the owner after its abandon.
bool fuzz_run::may_have_run(const key_id& key) const {
    const auto& requests = world_.oracle().requests();
    return std::ranges::any_of(requests, [&](const auto& entry) {
        const auto& request = entry.second;
        const bool is_unsent = request.refused_ && request.refusal_.ran_ ==
                                                       base::ran_state::not_run;
        const auto call_entry = request.call_.entry_;
        const bool outcome_unknown = allows_reordering_
                                         ? world_.has_ended(call_entry)
                                         : world_.was_killed(call_entry);
        return request.call_.key_ == key &&
               (outcome_unknown ||
                (request.response_ == response_kind::send && !is_unsent));
    });
}

bool fuzz_run::may_be_expired(const key_id& key) const {
    return world_.wall() + max_clock_offset_ - key.issued_ > fuzz_window;
}

bool fuzz_run::has_two_bodies(const key_id& key) const {
    const auto& requests = world_.oracle().requests();
    return std::ranges::any_of(requests, [&](const auto& entry) {
        return entry.second.call_.key_ == key &&
               entry.second.call_.body_hash_ == 2;
    });
}

} // namespace pimentoferry::once
