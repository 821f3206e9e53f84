// Schedulers, engines, reports and faults of a run.

#include "bench/cell_simulation.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace pimentoferry::bench {

namespace internal {

namespace {

constexpr int entry_count = 9;
constexpr int owner_entry = 0;
constexpr double begin_ms = 20'000;
constexpr double end_ms = 80'000;
// Arrivals continue after the window, so that its last requests are served
// under the same load.
constexpr double arrivals_end_ms = 90'000;
constexpr double run_end_ms = 125'000;
constexpr double tick_ms = 100;
constexpr double cache_poll_ms = 500;
constexpr double lost_cache_event_share = 0.02;

// Faults, all within the window.
constexpr double prefill_crash_ms = 26'000;
constexpr double prefill_downtime_ms = 5'000;
constexpr double decode_crash_ms = 35'000;
constexpr double decode_downtime_ms = 15'000;
constexpr double entry_crash_ms = 48'000;
constexpr double entry_dead_delay_ms = 2'800;
constexpr double delayed_reports_ms = 52'000;
constexpr double delayed_reports_end_ms = 60'000;
constexpr double delayed_reports_lag_ms = 1'000;
constexpr double leaving_ms = 64'000;
constexpr int crashed_entry = 8;
constexpr double crash_report_delay_ms = 50;
constexpr double cancelled_share = 0.03;

const std::array<std::string, 3> domains{"a", "b", "c"};

} // namespace

cell_simulation::cell_simulation(const run_settings& settings)
    : settings_{settings}, caller_random_{settings.seed_},
      random_{settings.seed_ + 1'000'000}, means_{means_of(settings.workload_)},
      report_lag_ms_{settings.machines_.report_lag_ms_} {
    const double capacity = decode_capacity(
        settings_.machines_, means_, settings_.machines_.decode_engines_);
    arrivals_per_s_ = settings_.load_ * capacity;
    entries_.resize(entry_count);
    requests_.reserve(static_cast<std::size_t>(arrivals_per_s_ * 100));
    build_engines();
    build_schedulers();
}

void cell_simulation::build_engines() {
    for (int i = 0; i < settings_.machines_.prefill_engines_; ++i) {
        add_engine(placement::engine_role::prefill, i);
    }
    for (int i = 0; i < settings_.machines_.decode_engines_; ++i) {
        add_engine(placement::engine_role::decode, i);
    }
}

int cell_simulation::add_engine(placement::engine_role role, int number) {
    const bool decode = role == placement::engine_role::decode;
    placement::engine_description d;
    d.engine_.value_ = (decode ? "d" : "p") + std::to_string(number);
    d.role_ = role;
    d.failure_domain_.value_ =
        domains.at(static_cast<std::size_t>(number) % domains.size());
    d.slots_ = settings_.machines_.slots_;
    // A prefill engine processes one prompt at a time besides its cache, so its
    // memory is not the bottleneck.
    d.kv_blocks_ = decode ? settings_.machines_.kv_blocks_ : 400;
    engines_.push_back(std::make_unique<fake_engine>(loop_, settings_.machines_,
                                                     d, random_()));
    engines_.back()->on_computed_ = [this](base::attempt_id id, double tokens) {
        request& r = requests_.at(attempts_.at(id));
        r.result_.computed_tokens_ += tokens;
        r.attempt_tokens_ = tokens;
    };
    return static_cast<int>(engines_.size()) - 1;
}

void cell_simulation::build_schedulers() {
    placement::scheduler_settings s;
    s.cell_.value_ = settings_.workload_.name_;
    s.policy_ = settings_.policy_;
    s.record_decisions_ = false;
    const int count = has_central_scheduler() ? 1 : entry_count;
    for (int i = 0; i < count; ++i) {
        schedulers_.push_back(
            {std::make_unique<placement::cell_scheduler>(s), -1});
    }
    deliver_to_all(0, placement::engines_changed{descriptions()});
    deliver_to_all(0, placement::became_owner{});
}

bool cell_simulation::has_central_scheduler() const {
    return std::holds_alternative<placement::reserved>(settings_.policy_);
}

int cell_simulation::scheduler_of(int entry) const {
    return has_central_scheduler() ? 0 : entry;
}

std::vector<placement::engine_description>
cell_simulation::descriptions() const {
    std::vector<placement::engine_description> all;
    all.reserve(engines_.size());
    for (const auto& e : engines_) {
        all.push_back(e->description());
    }
    return all;
}

void cell_simulation::deliver(int scheduler, const placement::event& e) {
    auto& target = schedulers_.at(static_cast<std::size_t>(scheduler));
    perform(target.cell_->handle(e, loop_.now()));
    schedule_wakeup(scheduler);
}

void cell_simulation::deliver_to_all(double delay_ms,
                                     const placement::event& e) {
    loop_.after(delay_ms, [this, e] {
        for (std::size_t i = 0; i < schedulers_.size(); ++i) {
            deliver(static_cast<int>(i), e);
        }
    });
}

void cell_simulation::schedule_wakeup(int scheduler) {
    auto& s = schedulers_.at(static_cast<std::size_t>(scheduler));
    const auto next = s.cell_->next_wakeup();
    if (!next) {
        return;
    }
    const double at = std::max(event_loop::to_ms(*next), loop_.now_ms() + 0.1);
    const bool already_scheduled =
        s.wakeup_ms_ > loop_.now_ms() && s.wakeup_ms_ <= at;
    if (already_scheduled) {
        return;
    }
    s.wakeup_ms_ = at;
    loop_.at(at, [this, scheduler] { deliver(scheduler, placement::tick{}); });
}

double cell_simulation::arrival_ms(int entry, double& last) {
    const bool local = !has_central_scheduler() || entry == owner_entry;
    std::uniform_real_distribution<double> delay{0.5, 1.0};
    const double delay_ms = local ? 0.02 : delay(random_);
    last = std::max(last, loop_.now_ms() + delay_ms);
    return last;
}

void cell_simulation::send_to_scheduler(int entry,
                                        placement::to_owner message) {
    auto& sender = entries_.at(static_cast<std::size_t>(entry));
    loop_.at(arrival_ms(entry, sender.to_owner_ms_), [this, entry,
                                                      message =
                                                          std::move(message)] {
        const base::instance_id from{static_cast<std::uint64_t>(entry) + 1};
        deliver(scheduler_of(entry), placement::entry_message{from, message});
    });
}

void cell_simulation::perform(const std::vector<placement::action>& actions) {
    for (const placement::action& a : actions) {
        if (const auto* m = std::get_if<placement::send_to_entry>(&a)) {
            const int entry = static_cast<int>(m->to_.value_) - 1;
            auto& to = entries_.at(static_cast<std::size_t>(entry));
            loop_.at(arrival_ms(entry, to.from_owner_ms_),
                     [this, message = m->message_] { receive(message); });
        } else if (const auto* c =
                       std::get_if<placement::cancel_attempts>(&a)) {
            const int engine = engine_index(c->engine_);
            for (const base::attempt_id id : c->attempts_) {
                engines_.at(static_cast<std::size_t>(engine))->cancel(id);
            }
        }
    }
}

int cell_simulation::engine_index(const base::upstream_name& name) const {
    const auto found = std::ranges::find_if(engines_, [&](const auto& e) {
        return e->description().engine_ == name;
    });
    return static_cast<int>(found - engines_.begin());
}

void cell_simulation::poll_reports() {
    for (const auto& e : engines_) {
        if (!e->up()) {
            continue;
        }
        placement::load_report r = e->report();
        r.age_ = base::milliseconds{static_cast<int>(report_lag_ms_)};
        deliver_to_all(report_lag_ms_, r);
    }
    loop_.after(settings_.machines_.report_interval_ms_,
                [this] { poll_reports(); });
}

void cell_simulation::poll_caches() {
    std::uniform_real_distribution<double> draw{0, 1};
    for (const auto& e : engines_) {
        std::vector<placement::cache_change> changes = e->take_cache_changes();
        std::erase_if(changes, [&](const auto&) {
            return draw(random_) < lost_cache_event_share;
        });
        if (!changes.empty()) {
            deliver_to_all(200,
                           placement::cache_events{e->description().engine_,
                                                   std::move(changes)});
        }
    }
    loop_.after(cache_poll_ms, [this] { poll_caches(); });
}

void cell_simulation::tick_schedulers() {
    deliver_to_all(0, placement::tick{});
    loop_.after(tick_ms, [this] { tick_schedulers(); });
}

void cell_simulation::schedule_faults() {
    const int first_decode = settings_.machines_.prefill_engines_;
    crash_engine(first_decode - 1, prefill_crash_ms, prefill_downtime_ms);
    crash_engine(first_decode + 5, decode_crash_ms, decode_downtime_ms);
    loop_.at(entry_crash_ms, [this] { crash_entry(crashed_entry); });
    loop_.at(delayed_reports_ms,
             [this] { report_lag_ms_ = delayed_reports_lag_ms; });
    loop_.at(delayed_reports_end_ms,
             [this] { report_lag_ms_ = settings_.machines_.report_lag_ms_; });
    loop_.at(leaving_ms, [this, first_decode] {
        const auto leaving_engine = static_cast<std::size_t>(first_decode) + 4;
        engines_.at(leaving_engine)->set_leaving();
        deliver_to_all(0, placement::engines_changed{descriptions()});
    });
}

void cell_simulation::crash_engine(int engine,
                                   double at_ms,
                                   double downtime_ms) {
    loop_.at(at_ms, [this, engine] {
        fake_engine& e = *engines_.at(static_cast<std::size_t>(engine));
        e.crash();
        deliver_to_all(crash_report_delay_ms,
                       placement::engine_crashed{e.description().engine_});
    });
    loop_.at(at_ms + downtime_ms, [this, engine] {
        engines_.at(static_cast<std::size_t>(engine))->restart();
    });
}

void cell_simulation::crash_entry(int number) {
    entries_.at(static_cast<std::size_t>(number)).up_ = false;
    for (request& r : requests_) {
        if (!r.finished_ && r.entry_ == number) {
            r.finished_ = true;
            r.result_.outcome_ = outcome::lost;
        }
    }
    const base::instance_id dead{static_cast<std::uint64_t>(number) + 1};
    deliver_to_all(entry_dead_delay_ms, placement::entry_dead{dead});
}

workload_means cell_simulation::window_means() const {
    workload_means means;
    double count = 0;
    for (const request& r : requests_) {
        if (r.in_window_) {
            count += 1;
            means.output_tokens_ += r.sample_.output_tokens_;
            means.uncached_tokens_ +=
                r.sample_.prompt_tokens_ - r.sample_.shared_blocks_ * 1'000.0;
        }
    }
    means.output_tokens_ /= std::max(count, 1.0);
    means.uncached_tokens_ /= std::max(count, 1.0);
    return means;
}

// Upper bound, computed for each second from the decode and prefill capacity
// of the engines that are up and from the arrivals that are not cancelled; see
// `docs/policy.md`.
double cell_simulation::goodput_bound() const {
    constexpr double second = 1'000;
    std::vector<double> arrived(
        static_cast<std::size_t>((end_ms - begin_ms) / second));
    for (const request& r : requests_) {
        if (r.in_window_ && !r.result_.cancelled_by_fault_) {
            const double at = (r.result_.arrived_ms_ - begin_ms) / second;
            arrived.at(static_cast<std::size_t>(at)) += 1;
        }
    }
    const machine_settings& m = settings_.machines_;
    const workload_means means = window_means();
    double answers = 0;
    // Requests may wait up to their budget and run in a later second.
    double carried = 0;
    for (std::size_t i = 0; i < arrived.size(); ++i) {
        const double at = begin_ms + static_cast<double>(i) * second;
        int prefill = m.prefill_engines_;
        int decode = m.decode_engines_;
        if (settings_.faults_) {
            prefill -= at >= prefill_crash_ms &&
                       at < prefill_crash_ms + prefill_downtime_ms;
            decode -= at >= decode_crash_ms &&
                      at < decode_crash_ms + decode_downtime_ms;
            decode -= at >= leaving_ms;
        }
        const double capacity = std::min(decode_capacity(m, means, decode),
                                         prefill_capacity(m, means, prefill));
        const double offered = arrived[i] + carried;
        const double served = std::min(offered, capacity);
        answers += served;
        carried = std::min(offered - served, 1.6 * capacity);
    }
    return answers / static_cast<double>(arrived.size());
}

run_result cell_simulation::run() {
    poll_reports();
    poll_caches();
    tick_schedulers();
    if (settings_.faults_) {
        schedule_faults();
    }
    loop_.after(0, [this] { handle_arrival(); });
    loop_.run_until(run_end_ms);
    run_result result;
    result.window_s_ = (end_ms - begin_ms) / 1'000;
    result.bound_per_s_ = goodput_bound();
    result.engines_ = settings_.machines_.prefill_engines_ +
                      settings_.machines_.decode_engines_;
    for (request& r : requests_) {
        if (r.in_window_) {
            result.requests_.push_back(std::move(r.result_));
        }
    }
    return result;
}

void cell_simulation::handle_arrival() {
    if (loop_.now_ms() > arrivals_end_ms) {
        return;
    }
    std::exponential_distribution<double> gap{arrivals_per_s_ / 1'000};
    loop_.after(gap(caller_random_), [this] { handle_arrival(); });
    const std::size_t number = requests_.size();
    request r;
    r.sample_ = sample(settings_.workload_, caller_random_);
    r.result_.arrived_ms_ = loop_.now_ms();
    r.result_.caller_ = r.sample_.caller_;
    r.in_window_ = loop_.now_ms() >= begin_ms && loop_.now_ms() < end_ms;
    std::uniform_int_distribution<int> any{0, entry_count - 1};
    do {
        r.entry_ = any(caller_random_);
    } while (!entries_.at(static_cast<std::size_t>(r.entry_)).up_);
    entries_.at(static_cast<std::size_t>(r.entry_)).retries_left_ = std::min(
        24.0,
        entries_.at(static_cast<std::size_t>(r.entry_)).retries_left_ + 0.1);
    std::uniform_real_distribution<double> draw{0, 1};
    const bool cancels =
        settings_.faults_ && draw(caller_random_) < cancelled_share;
    const double cancel_after = 3'000 * draw(caller_random_);
    const double disconnects_after = r.sample_.disconnects_after_ms_;
    requests_.push_back(std::move(r));
    if (cancels) {
        loop_.after(cancel_after,
                    [this, number] { disconnect_caller(number, true); });
    }
    loop_.after(disconnects_after, [this, number] {
        if (requests_.at(number).result_.first_token_ms_ < 0) {
            disconnect_caller(number, false);
        }
    });
    begin_attempt(number);
}

} // namespace internal

run_result run(const run_settings& settings) {
    return internal::cell_simulation{settings}.run();
}

} // namespace pimentoferry::bench
