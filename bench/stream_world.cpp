#include "bench/stream_world.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>
#include <optional>
#include <set>

namespace pimentoferry::bench {

namespace {

using placement::stream_decision;
using placement::stream_grant;
using placement::stream_refusal;

// Figures of played days; see docs/policy.md.
constexpr base::milliseconds step{5};
constexpr double prefill_tokens_per_ms = 55.6;
constexpr double reread_tokens_per_ms = 27.8;
constexpr double first_interval_ms = 46.5;
constexpr double interval_per_stream_ms = 1.3;
constexpr std::uint32_t tokens_per_event = 73;
constexpr double most_events = 130;
constexpr base::milliseconds transfer{15};
constexpr base::milliseconds objective{900};
constexpr base::milliseconds patience{14'000};
// What gateways count on; callers leave after four times the objective.
constexpr base::milliseconds first_event_patience{3200};
constexpr base::milliseconds gap_limit{300};
constexpr std::uint32_t shared_tokens = 200;
constexpr double large_share = 0.2;
// Price of a caller that returns and is refused again, of its worth.
constexpr double refused_again_price = 0.3;

struct caller {
    std::uint32_t prompt_{0};
    double events_{0};
    std::uint32_t hint_{0};
    base::time_point first_asked_;
    bool returned_{false};
    bool served_{false};
};

enum class stage : std::uint8_t {
    prefilling,
    transferring,
    decoding,
    preempted
};

struct running {
    std::size_t caller_{0};
    std::uint32_t prefill_{0};
    std::uint32_t decode_{0};
    stage stage_{stage::prefilling};
    base::time_point until_; ///< End of the stage, where it is known.
    double events_{0};
    bool reported_{false};
    base::time_point last_event_;
    bool late_{false};
    base::time_point joined_;
};

std::uint32_t number_of(const base::upstream_name& name) {
    return static_cast<std::uint32_t>(std::stoul(name.value_.substr(1)));
}

class world {
public:
    world(const scenario& load, std::uint64_t seed, stream_policy policy)
        : load_(load), policy_(std::move(policy)), random_(seed),
          prefill_free_(load.prefill_engines_) {}

    stream_outcome run() {
        make_callers();
        // Streams that are running at the end are finished without new ones.
        const auto end = base::time_point{} + load_.length_ + patience;
        for (now_ = base::time_point{}; now_ < end; now_ += step) {
            arrive();
            apply(policy_.tick_(now_));
            advance();
        }
        return finish();
    }

private:
    double factor_at(base::time_point at) const {
        double factor = 1;
        for (const auto& each : load_.bursts_) {
            const auto begin = base::time_point{} + each.at_;
            if (at >= begin && at < begin + each.lasts_) {
                factor *= each.factor_;
            }
        }
        return factor;
    }

    std::uint32_t draw_lognormal(double mean, double spread, double most) {
        const double sigma2 = std::log(1 + spread * spread);
        std::lognormal_distribution<double> draw{std::log(mean) - sigma2 / 2,
                                                 std::sqrt(sigma2)};
        return static_cast<std::uint32_t>(std::clamp(draw(random_), 1.0, most));
    }

    void make_callers() {
        constexpr double mean_prompt = 5000;
        constexpr double most_prompt = 11'000;
        constexpr double mean_events = 70;
        constexpr double spread = 0.5;
        std::uniform_real_distribution<double> point{0, 1};
        for (base::time_point at{}; at < base::time_point{} + load_.length_;
             at += step) {
            const double expected = load_.streams_per_second_ * factor_at(at) *
                                    std::chrono::duration<double>{step}.count();
            std::poisson_distribution<int> draw{expected};
            for (int i = draw(random_); i > 0; --i) {
                caller made;
                made.prompt_ = shared_tokens +
                               draw_lognormal(mean_prompt, spread, most_prompt);
                made.events_ = draw_lognormal(mean_events, spread, most_events);
                std::lognormal_distribution<double> error{0, spread};
                made.hint_ = static_cast<std::uint32_t>(
                    made.events_ * tokens_per_event * error(random_));
                made.first_asked_ = at;
                arrivals_.emplace(at, callers_.size());
                callers_.push_back(made);
            }
        }
    }

    void arrive() {
        while (!arrivals_.empty() && arrivals_.begin()->first <= now_) {
            const auto index = arrivals_.begin()->second;
            arrivals_.erase(arrivals_.begin());
            const auto& asked = callers_[index];
            const base::attempt_id attempt{base::instance_id{1}, ++sequence_};
            waiting_.emplace(attempt, index);
            placement::stream_request wanted;
            wanted.attempt_ = attempt;
            wanted.prompt_tokens_ = asked.prompt_;
            wanted.max_output_tokens_ =
                static_cast<std::uint32_t>(most_events) * tokens_per_event;
            wanted.expected_output_tokens_ = asked.hint_;
            wanted.budget_ = objective;
            wanted.patience_ = first_event_patience;
            wanted.prompt_id_ = index + 1;
            apply(policy_.request_(wanted, now_));
        }
    }

    void apply(const stream_policy::decisions& decisions) {
        for (const auto& each : decisions) {
            if (const auto* grant = std::get_if<stream_grant>(&each)) {
                granted(*grant);
            } else {
                refused(std::get<stream_refusal>(each));
            }
        }
    }

    void granted(const stream_grant& grant) {
        const auto found = waiting_.find(grant.attempt_);
        if (found == waiting_.end()) {
            return;
        }
        running stream;
        stream.caller_ = found->second;
        stream.prefill_ = number_of(grant.prefill_);
        stream.decode_ = number_of(grant.decode_);
        auto& free = prefill_free_[stream.prefill_];
        const auto reading = base::milliseconds{static_cast<std::int64_t>(
            callers_[stream.caller_].prompt_ / prefill_tokens_per_ms)};
        free = std::max(free, now_) + reading;
        stream.until_ = free;
        waiting_.erase(found);
        streams_.emplace(grant.attempt_, stream);
    }

    void refused(const stream_refusal& refusal) {
        const auto found = waiting_.find(refusal.attempt_);
        if (found == waiting_.end()) {
            return;
        }
        const auto index = found->second;
        waiting_.erase(found);
        send_away(index, refusal.retry_after_);
    }

    void send_away(std::size_t index, base::milliseconds retry_after) {
        auto& asked = callers_[index];
        if (asked.returned_ || retry_after == base::milliseconds{0}) {
            ++outcome_.refused_;
            refused_again_ += asked.returned_ ? 1 : 0;
            return;
        }
        asked.returned_ = true;
        constexpr int most_of_time_left = 3;
        const auto left = asked.first_asked_ + patience - now_;
        arrivals_.emplace(now_ + std::min<base::clock::duration>(
                                     retry_after, left / most_of_time_left),
                          index);
    }

    double tokens(const running& stream) const {
        return callers_[stream.caller_].prompt_ +
               tokens_per_event * stream.events_;
    }

    /// What the engines hold at the beginning of a step.
    void count_memory() {
        used_.assign(load_.decode_engines_, 0);
        batch_.assign(load_.decode_engines_, 0);
        for (const auto& [attempt, stream] : streams_) {
            if (stream.stage_ == stage::decoding) {
                used_[stream.decode_] += tokens(stream);
                ++batch_[stream.decode_];
            }
        }
    }

    void join(running& stream) {
        stream.stage_ = stage::decoding;
        stream.joined_ = now_;
        used_[stream.decode_] += tokens(stream);
        ++batch_[stream.decode_];
    }

    bool has_room(const running& stream) const {
        return used_[stream.decode_] + tokens(stream) <
                   static_cast<double>(load_.kv_tokens_) &&
               batch_[stream.decode_] < load_.slots_;
    }

    void advance() {
        std::vector<base::attempt_id> ids;
        ids.reserve(streams_.size());
        for (const auto& [attempt, stream] : streams_) {
            ids.push_back(attempt);
        }
        count_memory();
        for (const auto attempt : ids) {
            advance(attempt);
        }
        count_memory();
        for (std::uint32_t i = 0; i < load_.decode_engines_; ++i) {
            preempt(i);
        }
    }

    void advance(base::attempt_id attempt) {
        auto found = streams_.find(attempt);
        auto& stream = found->second;
        switch (stream.stage_) {
        case stage::prefilling:
            if (now_ >= stream.until_) {
                stream.stage_ = stage::transferring;
                stream.until_ = now_ + transfer;
                policy_.prefilled_(attempt, now_);
            }
            break;
        case stage::transferring:
            if (now_ >= stream.until_) {
                begin_decode(attempt, stream);
            }
            break;
        case stage::decoding:
            decode(attempt, stream);
            break;
        case stage::preempted:
            if (now_ >= stream.until_ && has_room(stream)) {
                join(stream);
            }
            break;
        }
    }

    void begin_decode(base::attempt_id attempt, running& stream) {
        if (has_room(stream)) {
            join(stream);
            return;
        }
        ++outcome_.rejections_;
        const auto decisions = policy_.rejected_(attempt, now_);
        const auto* grant = decisions.empty()
                                ? nullptr
                                : std::get_if<stream_grant>(&decisions.front());
        if (grant != nullptr) {
            stream.decode_ = number_of(grant->decode_);
            stream.until_ = now_ + transfer;
            return;
        }
        outcome_.wasted_tokens_ += callers_[stream.caller_].prompt_;
        const auto index = stream.caller_;
        streams_.erase(attempt);
        apply(policy_.ended_(attempt, 0, now_));
        constexpr base::milliseconds return_after{3000};
        send_away(index, return_after);
    }

    void decode(base::attempt_id attempt, running& stream) {
        const double interval =
            first_interval_ms + interval_per_stream_ms * batch_[stream.decode_];
        const double before = stream.events_;
        stream.events_ +=
            std::chrono::duration<double, std::milli>{step}.count() / interval;
        const bool event =
            std::floor(stream.events_) > std::floor(before) || before == 0;
        if (event) {
            const auto& asked = callers_[stream.caller_];
            if (!stream.reported_) {
                stream.reported_ = true;
                policy_.started_(attempt, now_);
                stream.late_ = now_ > asked.first_asked_ + objective;
            } else if (now_ - stream.last_event_ > gap_limit) {
                stream.late_ = true;
            }
            stream.last_event_ = now_;
        }
        if (stream.events_ >= callers_[stream.caller_].events_) {
            complete(attempt, stream);
        }
    }

    void complete(base::attempt_id attempt, const running& stream) {
        callers_[stream.caller_].served_ = true;
        ++(stream.late_ ? outcome_.late_ : outcome_.on_time_);
        const auto events = static_cast<std::uint32_t>(stream.events_);
        streams_.erase(attempt);
        apply(policy_.ended_(attempt, events, now_));
    }

    void preempt(std::uint32_t engine) {
        while (used_[engine] > static_cast<double>(load_.kv_tokens_)) {
            running* newest = nullptr;
            for (auto& [attempt, stream] : streams_) {
                if (stream.decode_ == engine &&
                    stream.stage_ == stage::decoding &&
                    (newest == nullptr || stream.joined_ > newest->joined_)) {
                    newest = &stream;
                }
            }
            newest->stage_ = stage::preempted;
            used_[engine] -= tokens(*newest);
            newest->until_ =
                now_ + base::milliseconds{static_cast<std::int64_t>(
                           tokens(*newest) / reread_tokens_per_ms)};
            outcome_.wasted_tokens_ += tokens(*newest);
            ++outcome_.preemptions_;
        }
    }

    stream_outcome finish() {
        outcome_.asked_ = static_cast<std::uint32_t>(callers_.size());
        std::vector<caller> by_size = callers_;
        std::ranges::sort(by_size, std::greater{}, &caller::prompt_);
        by_size.resize(static_cast<std::size_t>(
            static_cast<double>(by_size.size()) * large_share));
        outcome_.large_served_ = static_cast<double>(std::ranges::count(
                                     by_size, true, &caller::served_)) /
                                 static_cast<double>(by_size.size());
        constexpr double thousand = 1000;
        const double earned =
            outcome_.on_time_ * load_.worth_on_time_ +
            outcome_.late_ * load_.worth_late_ -
            outcome_.wasted_tokens_ / thousand * load_.waste_price_ -
            refused_again_ * refused_again_price * load_.worth_on_time_;
        outcome_.value_ = earned / (outcome_.asked_ * load_.worth_on_time_);
        return outcome_;
    }

    const scenario& load_;
    stream_policy policy_;
    std::mt19937_64 random_;
    base::time_point now_;
    std::vector<caller> callers_;
    std::multimap<base::time_point, std::size_t> arrivals_;
    std::map<base::attempt_id, std::size_t> waiting_;
    std::map<base::attempt_id, running> streams_;
    std::vector<base::time_point> prefill_free_;
    std::vector<double> used_;
    std::vector<std::uint32_t> batch_;
    std::uint64_t sequence_{0};
    std::uint32_t refused_again_{0};
    stream_outcome outcome_;
};

/// Baselines place at once and know only what they placed themselves.
class baseline {
public:
    baseline(const scenario& load, bool whole_answer)
        : load_(load), whole_answer_(whole_answer),
          committed_(load.decode_engines_), streams_(load.decode_engines_),
          prefills_(load.prefill_engines_) {}

    stream_policy::decisions request(const placement::stream_request& wanted) {
        const double size =
            wanted.prompt_tokens_ + wanted.expected_output_tokens_;
        const auto decode = static_cast<std::uint32_t>(std::distance(
            streams_.begin(), std::ranges::min_element(streams_)));
        if (whole_answer_ &&
            committed_[decode] + size > static_cast<double>(load_.kv_tokens_)) {
            constexpr base::milliseconds return_after{3000};
            return {stream_refusal{wanted.attempt_,
                                   placement::refusal_reason::no_room,
                                   return_after}};
        }
        const auto prefill = static_cast<std::uint32_t>(std::distance(
            prefills_.begin(), std::ranges::min_element(prefills_)));
        ++prefills_[prefill];
        ++streams_[decode];
        committed_[decode] += size;
        placed_.emplace(wanted.attempt_, entry{prefill, decode, size});
        return {stream_grant{
            wanted.attempt_, base::upstream_name{"p" + std::to_string(prefill)},
            base::upstream_name{"d" + std::to_string(decode)}}};
    }

    void prefilled(base::attempt_id attempt) {
        --prefills_[placed_.at(attempt).prefill_];
    }

    stream_policy::decisions ended(base::attempt_id attempt) {
        const auto found = placed_.find(attempt);
        --streams_[found->second.decode_];
        committed_[found->second.decode_] -= found->second.size_;
        placed_.erase(found);
        return {};
    }

private:
    struct entry {
        std::uint32_t prefill_{0};
        std::uint32_t decode_{0};
        double size_{0};
    };

    const scenario load_;
    bool whole_answer_;
    std::vector<double> committed_;
    std::vector<std::uint32_t> streams_;
    std::vector<std::uint32_t> prefills_;
    std::map<base::attempt_id, entry> placed_;
};

stream_policy baseline_policy(const scenario& load, bool whole_answer) {
    const auto state = std::make_shared<baseline>(load, whole_answer);
    stream_policy policy;
    policy.request_ = [state](const auto& wanted, base::time_point) {
        return state->request(wanted);
    };
    policy.prefilled_ = [state](base::attempt_id attempt, base::time_point) {
        state->prefilled(attempt);
    };
    policy.started_ = [](base::attempt_id, base::time_point) {};
    policy.rejected_ = [](base::attempt_id attempt, base::time_point) {
        return stream_policy::decisions{stream_refusal{attempt}};
    };
    policy.ended_ = [state](base::attempt_id attempt, std::uint32_t,
                            base::time_point) { return state->ended(attempt); };
    policy.tick_ = [](base::time_point) { return stream_policy::decisions{}; };
    return policy;
}

} // namespace

std::vector<placement::stream_engine> engines_of(const scenario& load) {
    std::vector<placement::stream_engine> engines;
    for (std::uint32_t i = 0; i < load.prefill_engines_; ++i) {
        engines.push_back({base::upstream_name{"p" + std::to_string(i)},
                           placement::engine_role::prefill,
                           {},
                           load.slots_,
                           load.kv_tokens_});
    }
    for (std::uint32_t i = 0; i < load.decode_engines_; ++i) {
        engines.push_back({base::upstream_name{"d" + std::to_string(i)},
                           placement::engine_role::decode,
                           {},
                           load.slots_,
                           load.kv_tokens_});
    }
    return engines;
}

stream_policy scheduler_policy(const scenario& load,
                               placement::stream_settings settings) {
    settings.tokens_per_event_ = tokens_per_event;
    const auto scheduler =
        std::make_shared<placement::stream_scheduler>(settings);
    scheduler->set_engines(engines_of(load), base::time_point{});
    stream_policy policy;
    policy.request_ = [scheduler](const auto& wanted, base::time_point now) {
        return scheduler->request(wanted, now);
    };
    policy.prefilled_ = [scheduler](base::attempt_id attempt,
                                    base::time_point now) {
        scheduler->prefill_finished(attempt, now);
    };
    policy.started_ = [scheduler](base::attempt_id attempt,
                                  base::time_point now) {
        scheduler->decode_started(attempt, now);
    };
    policy.rejected_ = [scheduler](base::attempt_id attempt,
                                   base::time_point now) {
        return scheduler->decode_rejected(
            attempt, placement::decode_rejection::full, now);
    };
    policy.ended_ = [scheduler](base::attempt_id attempt, std::uint32_t events,
                                base::time_point now) {
        return scheduler->ended(attempt, events, now);
    };
    policy.tick_ = [scheduler](base::time_point now) {
        return scheduler->tick(now);
    };
    return policy;
}

stream_policy fewest_streams_policy(const scenario& load) {
    return baseline_policy(load, false);
}

stream_policy whole_answer_policy(const scenario& load) {
    return baseline_policy(load, true);
}

stream_outcome
run_streams(const scenario& load, std::uint64_t seed, stream_policy policy) {
    world run{load, seed, std::move(policy)};
    return run.run();
}

scenario with_planned_split(scenario load) {
    placement::stream_settings settings;
    settings.tokens_per_event_ = tokens_per_event;
    placement::stream_scheduler scheduler{settings};
    scheduler.set_engines(engines_of(load), base::time_point{});
    const auto engines = load.prefill_engines_ + load.decode_engines_;
    load.prefill_engines_ =
        placement::plan_prefill_engines(scheduler.demand({}), engines);
    load.decode_engines_ = engines - load.prefill_engines_;
    return load;
}

std::vector<scenario> usual_scenarios() {
    using ms = base::milliseconds;
    // Three bursts of all callers, and one of the most frequent kind of
    // request that begins before the second and outlasts it.
    const std::vector<burst> bursts{{ms{6000}, ms{5000}, 1.8},
                                    {ms{17'000}, ms{4000}, 2.1},
                                    {ms{27'000}, ms{4000}, 1.7},
                                    {ms{16'300}, ms{5000}, 2.0}};
    std::vector<scenario> all(4);
    all[0].name_ = "gedeo";
    all[0].streams_per_second_ = 10.4;
    all[1].name_ = "autentica";
    all[1].streams_per_second_ = 12;
    all[1].kv_tokens_ = 107'085;
    all[1].worth_on_time_ = 54;
    all[1].worth_late_ = 11;
    all[2].name_ = "gedeo-grown";
    all[2].streams_per_second_ = 42;
    all[2].prefill_engines_ = 13;
    all[2].decode_engines_ = 25;
    all[2].slots_ = 16;
    all[2].kv_tokens_ = 66'784;
    all[2].worth_on_time_ = 35;
    all[2].worth_late_ = 7;
    all[3].name_ = "autentica-grown";
    all[3].streams_per_second_ = 48;
    all[3].prefill_engines_ = 15;
    all[3].decode_engines_ = 29;
    all[3].slots_ = 12;
    all[3].kv_tokens_ = 65'015;
    all[3].worth_on_time_ = 45;
    all[3].worth_late_ = 9;
    for (auto& each : all) {
        each.bursts_ = bursts;
    }
    return all;
}

} // namespace pimentoferry::bench
