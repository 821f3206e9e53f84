// Request handling at an entry; a simplified form of the library `requests`.

#include "bench/cell_simulation.hpp"

#include <algorithm>
#include <cstdio>

namespace pimentoferry::bench::internal {

namespace {

constexpr double engine_call_ms = 0.5;
constexpr double stall_share = 0.02;
constexpr double stall_fixed_ms = 300;
constexpr int max_attempts = 3;

} // namespace

bool cell_simulation::is_current(std::size_t number,
                                 base::attempt_id id) const {
    const request& r = requests_.at(number);
    return !r.finished_ && r.attempt_ == id;
}

void cell_simulation::begin_attempt(std::size_t number) {
    request& r = requests_.at(number);
    entry& e = entries_.at(static_cast<std::size_t>(r.entry_));
    ++r.attempt_count_;
    r.attempt_ = {base::instance_id{static_cast<std::uint64_t>(r.entry_) + 1},
                  e.next_sequence_++};
    attempts_[r.attempt_] = number;
    r.stage_ = stage::placing;
    r.prefill_ = -1;
    r.decode_ = -1;
    r.inline_ = false;
    r.attempt_tokens_ = 0;
    const double elapsed = loop_.now_ms() - r.result_.arrived_ms_;
    const double remaining =
        std::max(settings_.workload_.budget_ms_ - elapsed, 0.0);
    placement::placement_request m;
    m.attempt_ = r.attempt_;
    m.request_ = base::request_id{number + 1};
    m.cell_.value_ = settings_.workload_.name_;
    m.caller_.value_ = "caller-" + std::to_string(r.sample_.caller_);
    m.failure_domain_.value_ = std::string(1, "abc"[r.entry_ % 3]);
    m.prompt_tokens_ = r.sample_.prompt_tokens_;
    m.max_output_tokens_ = settings_.workload_.max_output_tokens_;
    m.prefix_hashes_ = r.sample_.prefixes_;
    m.first_token_budget_ = base::milliseconds{static_cast<int>(remaining)};
    m.rerun_ = r.attempt_count_ > 1;
    send_to_scheduler(r.entry_, m);
}

void cell_simulation::receive(const placement::to_entry& message) {
    std::visit(
        [this](const auto& m) {
            const auto found = attempts_.find(m.attempt_);
            if (found == attempts_.end() ||
                !is_current(found->second, m.attempt_)) {
                return;
            }
            on_message(requests_.at(found->second), m);
        },
        message);
}

void cell_simulation::on_message(request& r,
                                 const placement::placement_grant& m) {
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
        if (!is_current(number, id)) {
            return;
        }
        request& current_request = requests_.at(number);
        auto done = [this, number, id](const prefill_result& result) {
            loop_.after(engine_call_ms, [this, number, id, result] {
                prefill_completed(number, id, result);
            });
        };
        engines_.at(static_cast<std::size_t>(current_request.prefill_))
            ->prefill(id, current_request.sample_, done);
    });
}

void cell_simulation::on_message(request& r,
                                 const placement::placement_refusal& m) {
    static_cast<void>(m);
    const std::size_t number = attempts_.at(r.attempt_);
    if (r.stage_ == stage::placing) {
        finish(number, outcome::refused);
        return;
    }
    fail_attempt(number, true);
}

void cell_simulation::on_message(request& r,
                                 const placement::placement_queued& m) {
    static_cast<void>(r);
    static_cast<void>(m);
}

void cell_simulation::on_message(request& r, const placement::decode_bound& m) {
    if (r.stage_ == stage::binding) {
        start_import(attempts_.at(r.attempt_), engine_index(m.decode_));
    }
}

void cell_simulation::prefill_completed(std::size_t number,
                                        base::attempt_id id,
                                        const prefill_result& result) {
    if (!is_current(number, id)) {
        return;
    }
    request& r = requests_.at(number);
    if (result.status_ != engine_status::done) {
        fail_attempt(number, true);
        return;
    }
    r.stage_ = stage::binding;
    send_to_scheduler(r.entry_,
                      placement::prefill_finished{id, r.sample_.prompt_tokens_,
                                                  result.cached_tokens_});
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
        const request& current_request = requests_.at(number);
        if (!is_current(number, id) ||
            current_request.import_number_ != import) {
            return;
        }
        auto done = [this, number, id, decode](engine_status result) {
            loop_.after(engine_call_ms, [this, number, id, decode, result] {
                import_completed(number, id, decode, result);
            });
        };
        engines_.at(static_cast<std::size_t>(decode))
            ->import(id,
                     *engines_.at(
                         static_cast<std::size_t>(current_request.prefill_)),
                     kv_blocks, stalled, done);
    });
    loop_.after(stall_fixed_ms + 2 * expected, [=, this] {
        const request& current_request = requests_.at(number);
        if (is_current(number, id) &&
            current_request.import_number_ == import &&
            current_request.stage_ == stage::importing) {
            report_decode_loss(number, placement::loss_reason::stalled);
        }
    });
}

void cell_simulation::import_completed(std::size_t number,
                                       base::attempt_id id,
                                       int decode,
                                       engine_status result) {
    if (!is_current(number, id)) {
        return;
    }
    const request& r = requests_.at(number);
    if (r.stage_ != stage::importing || r.decode_ != decode) {
        return;
    }
    switch (result) {
    case engine_status::done:
        start_decode(number);
        break;
    case engine_status::full:
        report_decode_loss(number, placement::loss_reason::refused);
        break;
    case engine_status::not_found:
        fail_attempt(number, true);
        break;
    case engine_status::crashed:
        report_decode_loss(number, placement::loss_reason::crashed);
        break;
    }
}

void cell_simulation::report_decode_loss(std::size_t number,
                                         placement::loss_reason reason) {
    request& r = requests_.at(number);
    fake_engine& engine = *engines_.at(static_cast<std::size_t>(r.decode_));
    engine.cancel(r.attempt_);
    r.stage_ = stage::binding;
    send_to_scheduler(
        r.entry_, placement::engine_lost{r.attempt_,
                                         engine.description().engine_, reason});
}

void cell_simulation::start_decode(std::size_t number) {
    request& r = requests_.at(number);
    const base::attempt_id id = r.attempt_;
    r.stage_ = stage::decoding;
    loop_.after(engine_call_ms, [this, number, id] {
        if (!is_current(number, id)) {
            return;
        }
        const request& current_request = requests_.at(number);
        auto token = [this, number, id](int position, bool last) {
            on_token(number, id, position, last);
        };
        fake_engine& e =
            *engines_.at(static_cast<std::size_t>(current_request.decode_));
        const auto tokens =
            static_cast<int>(current_request.sample_.output_tokens_);
        if (current_request.inline_) {
            e.decode_inline(id, 1, current_request.sample_.prompt_tokens_,
                            tokens, token);
        } else {
            e.decode(id, tokens, token);
        }
    });
}

void cell_simulation::on_token(std::size_t number,
                               base::attempt_id id,
                               int position,
                               bool last) {
    if (!is_current(number, id)) {
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
        send_to_scheduler(r.entry_, placement::decode_started{id});
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

void cell_simulation::fail_attempt(std::size_t number, bool retryable) {
    request& r = requests_.at(number);
    entry& e = entries_.at(static_cast<std::size_t>(r.entry_));
    cancel_at_engines(r);
    release(r, placement::release_reason::failed, 0);
    const double elapsed = loop_.now_ms() - r.result_.arrived_ms_;
    const bool within_budget = elapsed < settings_.workload_.budget_ms_;
    if (retryable && within_budget && r.attempt_count_ < max_attempts &&
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
    send_to_scheduler(r.entry_,
                      placement::placement_release{r.attempt_, reason, tokens});
}

void cell_simulation::disconnect_caller(std::size_t number, bool by_fault) {
    request& r = requests_.at(number);
    if (r.finished_) {
        return;
    }
    r.result_.cancelled_by_fault_ = by_fault;
    cancel_at_engines(r);
    release(r, placement::release_reason::cancelled, 0);
    finish(number, outcome::left);
}

void cell_simulation::finish(std::size_t number, outcome how) {
    request& r = requests_.at(number);
    r.finished_ = true;
    r.result_.outcome_ = how;
    if (settings_.trace_ && how != outcome::answered) {
        std::fprintf(stderr, "%.1f request %zu outcome %d stage %d\n",
                     loop_.now_ms(), number, static_cast<int>(how),
                     static_cast<int>(r.stage_));
    }
}

} // namespace pimentoferry::bench::internal
