// Calls to engines and their execution.

#include "pimentoferry/requests/fuzz/world.hpp"

#include <algorithm>
#include <utility>

namespace pimentoferry::requests::fuzz {

using base::milliseconds;

namespace {

constexpr milliseconds token_time{20};
constexpr milliseconds result_hold{900};
constexpr milliseconds broken_stream_hold{5'000};
constexpr milliseconds unread_stream_hold{30'000};

milliseconds work_time(std::uint32_t tokens) {
    return milliseconds{10 + tokens / 100};
}

} // namespace

fake_engine& world::engine_named(const base::upstream_name& name) {
    return *std::ranges::find(engines_, name, &fake_engine::name_);
}

allocation world::make_allocation(allocation_kind kind,
                                  base::request_id request) {
    allocation memory;
    memory.kind_ = kind;
    memory.body_ = oracle_.request(request).body_;
    memory.kv_blocks_ = 1 + memory.body_.prompt_tokens_ / 1'000;
    memory.expires_at_ = base::time_point::max();
    memory.run_ = memory.body_.deterministic_ ? 0 : next_call_++;
    return memory;
}

void world::expire_allocations() {
    for (fake_engine& engine : engines_) {
        std::erase_if(engine.allocations_, [&](const auto& entry) {
            return entry.second.expires_at_ <= now_;
        });
    }
}

std::uint64_t world::open_call(std::size_t index, call c) {
    const std::uint64_t id = next_call_++;
    c.entry_ = index;
    c.entry_instance_ = entries_.at(index).instance_;
    calls_[id] = std::move(c);
    return id;
}

// Calls do not reach the next instance of an engine until the table has handled
// the crash of the previous one.
bool world::reachable(std::size_t index, const fake_engine& engine) {
    entry& e = entries_.at(index);
    const std::uint64_t viewed = e.viewed_instances_[engine.name_];
    return engine.alive_ && viewed == engine.instance_ &&
           e.last_reported_crash_[engine.name_] < viewed;
}

// Returns whether the engine receives the call.
bool world::deliver_call(std::uint64_t id) {
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
        return false;
    }
    call& c = found->second;
    fake_engine& engine = *c.engine_;
    const std::size_t index = c.entry_;
    if (!reachable(index, engine)) {
        fail_call(id, engine_failure::not_sent);
        report_crash(index, engine, true);
        return false;
    }
    c.engine_instance_ = engine.instance_;
    oracle_.record_call(c.request_, c.attempt_, engine.name_);
    return true;
}

void world::fail_call(std::uint64_t id, engine_failure failure) {
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
        return;
    }
    const call c = found->second;
    calls_.erase(found);
    if (!c.is_stream_) {
        post(c.entry_, c.failed_(failure));
        return;
    }
    allocation* memory = c.engine_->find(c.attempt_);
    if (memory != nullptr && memory->stream_ == id) {
        memory->stream_ = 0;
        memory->expires_at_ = now_ + broken_stream_hold;
        schedule_after(broken_stream_hold, [this] { expire_allocations(); });
    }
    const auto position = static_cast<std::uint32_t>(
        oracle_.request(c.request_).received_.size());
    const stream_broken report{c.attempt_, position, failure};
    post_stream(c.entry_, report);
    stream_broken& last = entries_.at(c.entry_).last_stream_broken_[c.request_];
    if (duplicates_ && last.position_ < position &&
        last.attempt_ != base::attempt_id{}) {
        // Delivers an old report late enough to arrive during the stream that
        // was opened since.
        const base::time_point due =
            entries_.at(c.entry_).last_stream_event_ + milliseconds{draw(800)};
        scheduled_.emplace(due, [this, c, old = last] {
            deliver(c.entry_, c.entry_instance_,
                    [this, c, old] { handle(c.entry_, old); });
        });
    }
    last = report;
}

void world::answer_call(std::uint64_t id, const event& e) {
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
        return;
    }
    const std::size_t index = found->second.entry_;
    calls_.erase(found);
    post(index, e);
}

void world::close_calls(std::size_t index,
                        const base::upstream_name& engine,
                        base::attempt_id attempt) {
    std::vector<std::uint64_t> closed;
    for (const auto& [id, c] : calls_) {
        if (c.entry_ == index && c.attempt_ == attempt &&
            c.engine_->name_ == engine) {
            closed.push_back(id);
        }
    }
    for (const std::uint64_t id : closed) {
        const bool sent = calls_.at(id).engine_instance_ != 0;
        fail_call(id, sent ? engine_failure::broken : engine_failure::not_sent);
    }
}

void world::do_prefill(std::size_t index, const start_prefill& a) {
    call c;
    c.attempt_ = a.attempt_;
    c.request_ = a.request_;
    c.engine_ = &engine_named(a.engine_);
    c.failed_ = [attempt = a.attempt_](engine_failure f) {
        return prefill_failed{attempt, f};
    };
    const std::uint64_t id = open_call(index, std::move(c));
    schedule_after(latency(), [this, id, a] { prefill_arrived(id, a); });
}

void world::prefill_arrived(std::uint64_t id, const start_prefill& a) {
    if (!deliver_call(id)) {
        return;
    }
    fake_engine& engine = engine_named(a.engine_);
    const allocation requested =
        make_allocation(allocation_kind::prefill, a.request_);
    if (const auto failure = engine.admit(a.attempt_, requested)) {
        fail_call(id, *failure);
        return;
    }
    milliseconds time = work_time(requested.body_.prompt_tokens_);
    if (engine.slow_) {
        time += milliseconds{2'000 + requested.body_.prompt_tokens_};
    }
    schedule_after(time, [this, id, a, &engine, instance = engine.instance_] {
        if (engine.instance_ != instance || !engine.alive_) {
            return;
        }
        allocation* memory = engine.find(a.attempt_);
        if (memory == nullptr) {
            fail_call(id, engine_failure::gone);
            return;
        }
        if (memory->body_.poison_ == poison::in_prefill) {
            crash(engine, a.attempt_);
            return;
        }
        memory->kind_ = allocation_kind::result;
        memory->expires_at_ = now_ + result_hold;
        schedule_after(result_hold, [this] { expire_allocations(); });
        answer_call(id, prefill_done{a.attempt_, "result",
                                     memory->body_.prompt_tokens_, 0});
    });
}

void world::do_import(std::size_t index, const start_import& a) {
    call c;
    c.attempt_ = a.attempt_;
    c.request_ = a.request_;
    c.engine_ = &engine_named(a.decode_);
    c.failed_ = [a](engine_failure f) {
        return import_failed{a.attempt_, f, a.decode_};
    };
    const std::uint64_t id = open_call(index, std::move(c));
    schedule_after(latency(), [this, id, a] { import_arrived(id, a); });
}

void world::import_arrived(std::uint64_t id, const start_import& a) {
    if (!deliver_call(id)) {
        return;
    }
    fake_engine& engine = engine_named(a.decode_);
    const allocation* source = engine_named(a.prefill_).find(a.attempt_);
    if (source == nullptr || source->kind_ != allocation_kind::result) {
        fail_call(id, engine_failure::gone);
        return;
    }
    allocation requested = make_allocation(allocation_kind::import, a.request_);
    requested.expires_at_ = now_ + a.deadline_;
    if (const auto failure = engine.admit(a.attempt_, requested)) {
        fail_call(id, *failure);
        return;
    }
    schedule_after(a.deadline_, [this] { expire_allocations(); });
    schedule_after(work_time(a.prompt_tokens_),
                   [this, id, a, until = requested.expires_at_] {
                       import_progress(id, a, until);
                   });
}

void world::import_progress(std::uint64_t id,
                            const start_import& a,
                            base::time_point reserved_until) {
    fake_engine& engine = engine_named(a.decode_);
    allocation* memory = engine.find(a.attempt_);
    if (memory == nullptr || memory->kind_ != allocation_kind::import) {
        if (now_ >= reserved_until) {
            fail_call(id, engine_failure::error);
        } else if (engine.alive_) {
            fail_call(id, engine_failure::gone);
        }
        return;
    }
    if (engine.stalled_) {
        schedule_after(milliseconds{40}, [this, id, a, reserved_until] {
            import_progress(id, a, reserved_until);
        });
        return;
    }
    memory->kind_ = allocation_kind::decode;
    memory->expires_at_ = now_ + broken_stream_hold;
    schedule_after(broken_stream_hold, [this] { expire_allocations(); });
    answer_call(id, import_done{a.attempt_, a.decode_});
}

void world::do_decode(std::size_t index, const start_decode& a) {
    for (const auto& [unused, open] : calls_) {
        if (open.is_stream_ && open.request_ == a.request_) {
            throw violation{"two streams of a request are open"};
        }
    }
    call c;
    c.attempt_ = a.attempt_;
    c.request_ = a.request_;
    c.engine_ = &engine_named(a.engine_);
    c.is_stream_ = true;
    c.relay_from_ = a.position_;
    c.with_prompt_ = a.with_prompt_;
    const std::uint64_t id = open_call(index, std::move(c));
    schedule_after(latency(), [this, id, a] { decode_arrived(id, a); });
}

void world::decode_arrived(std::uint64_t id, const start_decode& a) {
    if (!deliver_call(id)) {
        return;
    }
    fake_engine& engine = engine_named(a.engine_);
    allocation* memory = engine.find(a.attempt_);
    milliseconds time = token_time;
    // A retained stream continues at the caller's position; a new run starts
    // at the first token.
    std::uint32_t from = a.position_;
    if (memory == nullptr) {
        if (!a.with_prompt_) {
            fail_call(id, engine_failure::gone);
            return;
        }
        const allocation requested =
            make_allocation(allocation_kind::decode, a.request_);
        if (const auto failure = engine.admit(a.attempt_, requested)) {
            fail_call(id, *failure);
            return;
        }
        memory = engine.find(a.attempt_);
        time += work_time(requested.body_.prompt_tokens_);
    }
    if (!memory->streamed_) {
        from = 0;
        // Close to the first-token limit of the table, so that tokens arrive
        // around the time of its decision.
        time += engine.slow_ ? milliseconds{4'940 + draw(80)} : milliseconds{};
    }
    memory->streamed_ = true;
    memory->stream_ = id;
    memory->expires_at_ = base::time_point::max();
    call& c = calls_.at(id);
    c.next_token_ = from;
    c.last_read_at_ = now_;
    schedule_after(time, [this, id] { advance_stream(id); });
}

void world::advance_stream(std::uint64_t id) {
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
        return;
    }
    call& c = found->second;
    fake_engine& engine = *c.engine_;
    allocation* memory = engine.find(c.attempt_);
    if (memory == nullptr || memory->stream_ != id) {
        fail_call(id, engine_failure::gone);
        return;
    }
    if (entries_.at(c.entry_).paused_) {
        if (now_ - c.last_read_at_ >= unread_stream_hold) {
            engine.allocations_.erase(c.attempt_);
            fail_call(id, engine_failure::broken);
            return;
        }
        schedule_after(milliseconds{500}, [this, id] { advance_stream(id); });
        return;
    }
    c.last_read_at_ = now_;
    const body& content = memory->body_;
    const std::uint32_t fatal_position = content.fingerprint_ % 3;
    if (content.poison_ == poison::in_decode &&
        c.next_token_ >= fatal_position) {
        crash(engine, c.attempt_);
        return;
    }
    const std::uint32_t length = output_length(content, memory->run_);
    if (c.next_token_ >= length) {
        const stream_ended report{c.attempt_, length};
        const std::size_t index = c.entry_;
        engine.allocations_.erase(c.attempt_);
        calls_.erase(id);
        post_stream(index, report);
        return;
    }
    const bool open = oracle_.request(c.request_).outcome_ == outcome::none;
    if (c.next_token_ >= c.relay_from_ && open) {
        oracle_.record_token(
            c.request_, {content.fingerprint_, memory->run_, c.next_token_});
    }
    ++c.next_token_;
    if (!c.first_token_reported_) {
        c.first_token_reported_ = true;
        post_stream(c.entry_, first_token{c.attempt_});
    }
    schedule_after(token_time, [this, id] { advance_stream(id); });
}

void world::do_cancel(std::size_t index, const cancel_attempts& a) {
    for (const base::attempt_id attempt : a.attempts_) {
        close_calls(index, a.engine_, attempt);
    }
    if (cancels_to_lose_ > 0) {
        --cancels_to_lose_;
        ++totals_.cancels_lost_;
        return;
    }
    const base::instance_id from = entries_.at(index).instance_;
    schedule_after(latency(), [this, index, from, a] {
        const entry& e = entries_.at(index);
        if (!e.alive_ || e.instance_ != from) {
            return;
        }
        fake_engine& engine = engine_named(a.engine_);
        if (!reachable(index, engine)) {
            report_crash(index, engine, true);
            return;
        }
        for (const base::attempt_id attempt : a.attempts_) {
            engine.cancel(attempt);
        }
        post(index, cancel_confirmed{a.engine_, a.attempts_});
    });
}

// Reports each crashed engine instance to an entry once.
void world::report_crash(std::size_t index,
                         fake_engine& engine,
                         bool call_refused) {
    entry& e = entries_.at(index);
    const std::uint64_t crashed_instance = e.viewed_instances_[engine.name_];
    if (e.last_reported_crash_[engine.name_] >= crashed_instance) {
        return;
    }
    e.last_reported_crash_[engine.name_] = crashed_instance;
    const milliseconds delay =
        call_refused ? latency() : milliseconds{draw(200)};
    const base::instance_id instance = e.instance_;
    const auto deliver_report = [this, index, crashed_instance, &engine] {
        entry& to = entries_.at(index);
        std::vector<std::uint64_t> unsent;
        for (const auto& [id, c] : calls_) {
            if (c.entry_ == index && c.engine_ == &engine &&
                c.engine_instance_ == 0) {
                unsent.push_back(id);
            }
        }
        for (const std::uint64_t id : unsent) {
            fail_call(id, engine_failure::not_sent);
        }
        to.viewed_instances_[engine.name_] = std::max(
            crashed_instance + 1, engine.alive_ ? engine.instance_ : 0);
        const auto crashing_attempt =
            crashing_attempts_.find({engine.name_, crashed_instance});
        oracle_.record_crash_report(to.instance_, engine.name_,
                                    crashing_attempt == crashing_attempts_.end()
                                        ? std::nullopt
                                        : crashing_attempt->second,
                                    to.table_->memory_holds(),
                                    ran_at_crash_[engine.name_]);
        handle(index, engine_crashed{engine.name_});
    };
    schedule_after(delay, [this, index, instance, deliver_report] {
        deliver(index, instance, deliver_report);
    });
}

// Calls that the engine has received and not yet answered.
std::vector<std::uint64_t>
world::received_calls(const fake_engine& engine) const {
    std::vector<std::uint64_t> received;
    for (const auto& [id, c] : calls_) {
        if (c.engine_ == &engine && c.engine_instance_ != 0) {
            received.push_back(id);
        }
    }
    return received;
}

void world::record_running(const fake_engine& engine) {
    std::set<base::attempt_id>& ran = ran_at_crash_[engine.name_];
    for (const auto& [attempt, memory] : engine.allocations_) {
        if (memory.kind_ != allocation_kind::result) {
            ran.insert(attempt);
        }
    }
}

void world::crash(fake_engine& engine,
                  std::optional<base::attempt_id> crashing_attempt) {
    ++totals_.crashes_;
    crashing_attempts_[{engine.name_, engine.instance_}] = crashing_attempt;
    oracle_.record_crash(crashing_attempt, now_);
    record_running(engine);
    engine.crash();
    std::set<std::size_t> callers;
    for (const std::uint64_t id : received_calls(engine)) {
        callers.insert(calls_.at(id).entry_);
        fail_call(id, engine_failure::broken);
    }
    for (const std::size_t index : callers) {
        report_crash(index, engine, false);
    }
    schedule_after(milliseconds{1'000 + draw(3'000)},
                   [&engine, crashed_instance = engine.instance_] {
                       if (!engine.alive_ &&
                           engine.instance_ == crashed_instance) {
                           engine.restart();
                       }
                   });
}

} // namespace pimentoferry::requests::fuzz
