// What an entry does with its requests; a short form of library `requests`.

#include "bench/cell_simulation.hpp"

#include <algorithm>
#include <cstdio>

namespace pimentoferry::bench::internal {

namespace {

constexpr double engine_call_ms = 0.5;
constexpr double stall_share = 0.02;
constexpr double stall_fixed_ms = 300;
constexpr int most_runs = 3;

} // namespace

bool cell_simulation::current(std::size_t number, base::attempt_id id) const {
    const request& r = requests_.at(number);
    return !r.over_ && r.attempt_ == id;
}

void cell_simulation::begin_attempt(std::size_t number) {
    request& r = requests_.at(number);
    entry& e = entries_.at(static_cast<std::size_t>(r.entry_));
    ++r.runs_;
    r.attempt_ = {base::instance_id{static_cast<std::uint64_t>(r.entry_) + 1},
                  e.next_sequence_++};
    attempts_[r.attempt_] = number;
    r.stage_ = stage::placing;
    r.prefill_ = -1;
    r.decode_ = -1;
    r.inline_ = false;
    r.attempt_tokens_ = 0;
    const double waited = loop_.now_ms() - r.result_.arrived_ms_;
    const double left = std::max(settings_.workload_.budget_ms_ - waited, 0.0);
    placement::placement_request m;
    m.attempt_ = r.attempt_;
    m.request_ = base::request_id{number + 1};
    m.cell_.value_ = settings_.workload_.name_;
    m.caller_.value_ = "caller-" + std::to_string(r.sample_.caller_);
    m.failure_domain_.value_ = std::string(1, "abc"[r.entry_ % 3]);
    m.prompt_tokens_ = r.sample_.prompt_tokens_;
    m.max_output_tokens_ = settings_.workload_.max_output_tokens_;
    m.prefix_hashes_ = r.sample_.prefixes_;
    m.first_token_budget_ = base::milliseconds{static_cast<int>(left)};
    m.rerun_ = r.runs_ > 1;
    tell_scheduler(r.entry_, m);
}

void cell_simulation::receive(const placement::to_entry& message) {
    std::visit(
        [this](const auto& m) {
            const auto found = attempts_.find(m.attempt_);
            if (found == attempts_.end() ||
                !current(found->second, m.attempt_)) {
                return;
            }
            on(requests_.at(found->second), m);
        },
        message);
}

void cell_simulation::on(request& r, const placement::placement_grant& m) {
    if (r.stage_ != stage::placing) {
        return;
    }
    const std::size_t number = attempts_.at(r.attempt_);
    const base::attempt_id id = r.attempt_;
    r.stage_ = stage::prefilling;
    if (m.prefill_at_decode_) {
        r.inline_ = true;
        r.decode_ = engine_index(m.decode_);
        start_decode(number);
        return;
    }
    r.prefill_ = engine_index(m.prefill_);
    loop_.after(engine_call_ms, [this, number, id] {
        if (!current(number, id)) {
            return;
        }
        request& one = requests_.at(number);
        auto done = [this, number, id](const prefill_result& answer) {
            loop_.after(engine_call_ms, [this, number, id, answer] {
                prefill_answered(number, id, answer);
            });
        };
        engines_.at(static_cast<std::size_t>(one.prefill_))
            ->prefill(id, one.sample_, done);
    });
}

void cell_simulation::on(request& r, const placement::placement_refusal& m) {
    static_cast<void>(m);
    const std::size_t number = attempts_.at(r.attempt_);
    if (r.stage_ == stage::placing) {
        finish(number, outcome::refused);
        return;
    }
    fail_attempt(number, true);
}

void cell_simulation::on(request& r, const placement::placement_queued& m) {
    static_cast<void>(r);
    static_cast<void>(m);
}

void cell_simulation::on(request& r, const placement::decode_bound& m) {
    if (r.stage_ == stage::binding) {
        start_import(attempts_.at(r.attempt_), engine_index(m.decode_));
    }
}

void cell_simulation::prefill_answered(std::size_t number,
                                       base::attempt_id id,
                                       const prefill_result& answer) {
    if (!current(number, id)) {
        return;
    }
    request& r = requests_.at(number);
    if (answer.answer_ != engine_answer::done) {
        fail_attempt(number, true);
        return;
    }
    r.stage_ = stage::binding;
    tell_scheduler(r.entry_,
                   placement::prefill_finished{id, r.sample_.prompt_tokens_,
                                               answer.cached_tokens_});
}

void cell_simulation::start_import(std::size_t number, int decode) {
    request& r = requests_.at(number);
    const base::attempt_id id = r.attempt_;
    r.stage_ = stage::importing;
    r.decode_ = decode;
    const int import = ++r.import_number_;
    std::uniform_real_distribution<double> draw{0, 1};
    const bool stalled = settings_.faults_ && draw(random_) < stall_share;
    const machine_settings& m = settings_.machines_;
    const double expected =
        m.link_fixed_ms_ + r.sample_.prompt_tokens_ / m.link_tokens_per_ms_;
    const std::uint32_t tokens =
        r.sample_.prompt_tokens_ + settings_.workload_.max_output_tokens_;
    const std::uint32_t kv_blocks = (tokens + 999) / 1'000;
    loop_.after(engine_call_ms, [=, this] {
        const request& one = requests_.at(number);
        if (!current(number, id) || one.import_number_ != import) {
            return;
        }
        auto done = [this, number, id, decode](engine_answer answer) {
            loop_.after(engine_call_ms, [this, number, id, decode, answer] {
                import_answered(number, id, decode, answer);
            });
        };
        engines_.at(static_cast<std::size_t>(decode))
            ->import(id, *engines_.at(static_cast<std::size_t>(one.prefill_)),
                     kv_blocks, stalled, done);
    });
    loop_.after(stall_fixed_ms + 2 * expected, [=, this] {
        const request& one = requests_.at(number);
        if (current(number, id) && one.import_number_ == import &&
            one.stage_ == stage::importing) {
            lose_decode(number, placement::loss_reason::stalled);
        }
    });
}

void cell_simulation::import_answered(std::size_t number,
                                      base::attempt_id id,
                                      int decode,
                                      engine_answer answer) {
    if (!current(number, id)) {
        return;
    }
    const request& r = requests_.at(number);
    if (r.stage_ != stage::importing || r.decode_ != decode) {
        return;
    }
    switch (answer) {
    case engine_answer::done:
        start_decode(number);
        break;
    case engine_answer::full:
        lose_decode(number, placement::loss_reason::refused);
        break;
    case engine_answer::gone:
        fail_attempt(number, true);
        break;
    case engine_answer::crashed:
        lose_decode(number, placement::loss_reason::crashed);
        break;
    }
}

void cell_simulation::lose_decode(std::size_t number,
                                  placement::loss_reason reason) {
    request& r = requests_.at(number);
    fake_engine& lost = *engines_.at(static_cast<std::size_t>(r.decode_));
    lost.cancel(r.attempt_);
    r.stage_ = stage::binding;
    tell_scheduler(
        r.entry_,
        placement::engine_lost{r.attempt_, lost.description().engine_, reason});
}

void cell_simulation::start_decode(std::size_t number) {
    request& r = requests_.at(number);
    const base::attempt_id id = r.attempt_;
    r.stage_ = stage::decoding;
    loop_.after(engine_call_ms, [this, number, id] {
        if (!current(number, id)) {
            return;
        }
        const request& one = requests_.at(number);
        auto token = [this, number, id](int position, bool last) {
            on_token(number, id, position, last);
        };
        fake_engine& e = *engines_.at(static_cast<std::size_t>(one.decode_));
        const auto tokens = static_cast<int>(one.sample_.output_tokens_);
        if (one.inline_) {
            e.decode_inline(id, 1, one.sample_.prompt_tokens_, tokens, token);
        } else {
            e.decode(id, tokens, token);
        }
    });
}

void cell_simulation::on_token(std::size_t number,
                               base::attempt_id id,
                               int position,
                               bool last) {
    if (!current(number, id)) {
        return;
    }
    request& r = requests_.at(number);
    if (position < 0) {
        fail_attempt(number, r.result_.first_token_ms_ < 0);
        return;
    }
    const double now = loop_.now_ms();
    if (position == 0) {
        r.result_.first_token_ms_ = now - r.result_.arrived_ms_;
        r.result_.used_tokens_ = r.attempt_tokens_;
        if (r.inline_) {
            r.result_.computed_tokens_ += r.sample_.prompt_tokens_;
            r.result_.used_tokens_ = r.sample_.prompt_tokens_;
        }
        tell_scheduler(r.entry_, placement::decode_started{id});
    } else {
        r.result_.intervals_ms_.push_back(
            static_cast<float>(now - r.last_token_ms_));
    }
    r.last_token_ms_ = now;
    if (last) {
        release(r, placement::release_reason::completed,
                r.sample_.output_tokens_);
        finish(number, outcome::answered);
    }
}

void cell_simulation::fail_attempt(std::size_t number, bool may_run_again) {
    request& r = requests_.at(number);
    entry& e = entries_.at(static_cast<std::size_t>(r.entry_));
    cancel_at_engines(r);
    release(r, placement::release_reason::failed, 0);
    const double waited = loop_.now_ms() - r.result_.arrived_ms_;
    const bool in_time = waited < settings_.workload_.budget_ms_;
    if (may_run_again && in_time && r.runs_ < most_runs &&
        e.retries_left_ >= 1) {
        e.retries_left_ -= 1;
        begin_attempt(number);
        return;
    }
    finish(number, outcome::lost);
}

void cell_simulation::cancel_at_engines(const request& r) {
    for (const int engine : {r.prefill_, r.decode_}) {
        if (engine >= 0) {
            engines_.at(static_cast<std::size_t>(engine))->cancel(r.attempt_);
        }
    }
}

void cell_simulation::release(const request& r,
                              placement::release_reason reason,
                              std::uint32_t tokens) {
    tell_scheduler(r.entry_,
                   placement::placement_release{r.attempt_, reason, tokens});
}

void cell_simulation::leave(std::size_t number, bool by_fault) {
    request& r = requests_.at(number);
    if (r.over_) {
        return;
    }
    r.result_.cancelled_by_fault_ = by_fault;
    cancel_at_engines(r);
    release(r, placement::release_reason::cancelled, 0);
    finish(number, outcome::left);
}

void cell_simulation::finish(std::size_t number, outcome how) {
    request& r = requests_.at(number);
    r.over_ = true;
    r.result_.outcome_ = how;
    if (settings_.trace_ && how != outcome::answered) {
        std::fprintf(stderr, "%.1f request %zu outcome %d stage %d\n",
                     loop_.now_ms(), number, static_cast<int>(how),
                     static_cast<int>(r.stage_));
    }
}

} // namespace pimentoferry::bench::internal
