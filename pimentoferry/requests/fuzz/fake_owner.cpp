#include "pimentoferry/requests/fuzz/fake_owner.hpp"

#include "pimentoferry/base/overloaded.hpp"

#include <algorithm>

namespace pimentoferry::requests::fuzz {

namespace {

constexpr std::uint32_t short_prompt = 1'000;

template <class Container>
const auto& pick_random(const Container& choices, std::mt19937_64& random) {
    return choices[random() % choices.size()];
}

} // namespace

std::vector<base::upstream_name> fake_owner::available_engines(
    const std::vector<engine_view>& engines, bool decode, bool suspect) const {
    std::vector<base::upstream_name> found;
    for (const engine_view& engine : engines) {
        std::uint32_t used = 0;
        bool has_suspect = false;
        for (const auto& [unused, r] : records_) {
            const bool here =
                r.decode_ == engine.name_ || r.prefill_ == engine.name_;
            used += here ? 1 : 0;
            has_suspect = has_suspect || (here && r.suspect_);
        }
        if (engine.decode_ == decode && used < engine.slots_ &&
            !(suspect && has_suspect)) {
            found.push_back(engine.name_);
        }
    }
    return found;
}

bool fake_owner::try_grant(const placement::placement_request& request,
                           const std::vector<engine_view>& engines,
                           base::time_point now,
                           std::mt19937_64& random,
                           owner_answers& answers) {
    if (request.suspect_ && now < admit_suspects_from_) {
        return false;
    }
    const auto prefills = available_engines(engines, false, request.suspect_);
    const auto decodes = available_engines(engines, true, request.suspect_);
    const bool at_decode =
        request.prompt_tokens_ < short_prompt && random() % 2 == 0;
    if (decodes.empty() || (prefills.empty() && !at_decode)) {
        return false;
    }
    placement::placement_grant grant{
        request.attempt_, {}, pick_random(decodes, random), at_decode};
    if (!at_decode) {
        grant.prefill_ = pick_random(prefills, random);
    }
    records_[request.attempt_] = {grant.prefill_, grant.decode_,
                                  request.suspect_};
    answers.emplace_back(request.attempt_.instance_, grant);
    return true;
}

void fake_owner::remove(base::attempt_id attempt) {
    records_.erase(attempt);
    std::erase_if(queue_, [&](const queued_request& w) {
        return w.request_.attempt_ == attempt;
    });
}

void fake_owner::remove_instance(base::instance_id instance) {
    std::erase_if(records_, [&](const auto& entry) {
        return entry.first.instance_ == instance;
    });
    std::erase_if(queue_, [&](const queued_request& w) {
        return w.request_.attempt_.instance_ == instance;
    });
}

void fake_owner::bind_decode(base::attempt_id attempt,
                             const std::vector<engine_view>& engines,
                             std::mt19937_64& random,
                             const base::upstream_name& lost_engine,
                             owner_answers& answers) {
    const auto found = records_.find(attempt);
    if (found == records_.end()) {
        return;
    }
    record& r = found->second;
    r.decode_ = {};
    auto choices = available_engines(engines, true, r.suspect_);
    std::erase(choices, lost_engine);
    if (choices.empty()) {
        answers.emplace_back(attempt.instance_,
                             placement::placement_refusal{attempt});
        remove(attempt);
        return;
    }
    r.decode_ = pick_random(choices, random);
    answers.emplace_back(attempt.instance_,
                         placement::decode_bound{attempt, r.decode_});
}

owner_answers fake_owner::handle(const placement::to_owner& message,
                                 const std::vector<engine_view>& engines,
                                 base::time_point now,
                                 std::mt19937_64& random) {
    owner_answers answers;
    std::visit(
        base::overloaded{
            [&](const placement::placement_request& m) {
                if (!try_grant(m, engines, now, random, answers)) {
                    queue_.push_back({m, now});
                    answers.emplace_back(
                        m.attempt_.instance_,
                        placement::placement_queued{m.attempt_});
                }
            },
            [&](const placement::prefill_finished& m) {
                bind_decode(m.attempt_, engines, random, {}, answers);
            },
            [&](const placement::engine_lost& m) {
                const auto found = records_.find(m.attempt_);
                if (found == records_.end()) {
                    return;
                }
                if (found->second.prefill_ == m.engine_) {
                    remove(m.attempt_);
                    return;
                }
                bind_decode(m.attempt_, engines, random, m.engine_, answers);
            },
            [&](const placement::decode_started& m) {
                const auto found = records_.find(m.attempt_);
                if (found != records_.end()) {
                    found->second.prefill_ = {};
                }
            },
            [&](const placement::placement_release& m) { remove(m.attempt_); },
            [&](const placement::attempt_announcement& m) {
                records_[m.attempt_] = {m.prefill_, m.decode_, m.suspect_};
            },
        },
        message);
    return answers;
}

owner_answers fake_owner::serve_queue(const std::vector<engine_view>& engines,
                                      base::time_point now,
                                      std::mt19937_64& random) {
    owner_answers answers;
    std::deque<queued_request> still_queued;
    for (const queued_request& w : queue_) {
        if (try_grant(w.request_, engines, now, random, answers)) {
            continue;
        }
        if (now - w.queued_at_ < w.request_.first_token_budget_) {
            still_queued.push_back(w);
            continue;
        }
        answers.emplace_back(
            w.request_.attempt_.instance_,
            placement::placement_refusal{w.request_.attempt_,
                                         base::refusal_code::overloaded,
                                         base::milliseconds{100}});
    }
    queue_ = std::move(still_queued);
    return answers;
}

} // namespace pimentoferry::requests::fuzz
