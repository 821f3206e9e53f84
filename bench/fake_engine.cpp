#include "bench/fake_engine.hpp"

#include <algorithm>
#include <utility>

namespace pimentoferry::bench {

namespace {

std::uint32_t kv_blocks_of(std::uint32_t tokens) {
    return std::max(1U, (tokens + 999) / 1'000);
}

} // namespace

fake_engine::fake_engine(event_loop& loop,
                         const machine_settings& settings,
                         placement::engine_description description,
                         std::uint64_t seed)
    : loop_{loop}, settings_{settings}, description_{std::move(description)},
      random_{seed} {}

double fake_engine::with_noise(double ms) {
    std::uniform_real_distribution<double> noise{1 - settings_.noise_,
                                                 1 + settings_.noise_};
    return ms * noise(random_);
}

void fake_engine::after(double ms, event_loop::callback work) {
    loop_.after(ms, [this, incarnation = incarnation_, work = std::move(work)] {
        if (incarnation == incarnation_) {
            work();
        }
    });
}

void fake_engine::prefill(base::attempt_id id,
                          const request_sample& s,
                          prefill_done done) {
    if (!up_ || cancelled_.contains(id)) {
        done({up_ ? engine_status::not_found : engine_status::crashed, 0, 0});
        return;
    }
    if (queue_.size() >= settings_.slots_) {
        done({engine_status::full, 0, 0});
        return;
    }
    queue_.push_back({id, s, std::move(done)});
    start_next_prefill();
}

void fake_engine::start_next_prefill() {
    if (running_ || queue_.empty()) {
        return;
    }
    running_ = std::move(queue_.front());
    queue_.pop_front();
    const request_sample& s = running_->sample_;
    const std::uint32_t cached =
        std::min(cached_blocks(s) * 1'000, s.prompt_tokens_);
    running_tokens_ = s.prompt_tokens_ - cached;
    running_since_ms_ = loop_.now_ms();
    running_time_ms_ =
        with_noise(settings_.prefill_fixed_ms_ +
                   running_tokens_ / settings_.prefill_tokens_per_ms_);
    const std::uint64_t number = ++prefill_number_;
    after(running_time_ms_, [this, cached, number] {
        if (number == prefill_number_) {
            finish_prefill(cached);
        }
    });
}

void fake_engine::finish_prefill(std::uint32_t cached) {
    const queued_prefill job = std::move(*running_);
    running_.reset();
    update_cache(job.sample_);
    on_computed_(job.id_, running_tokens_);
    const std::uint32_t tokens = job.sample_.prompt_tokens_;
    results_[job.id_] = {tokens, false};
    after(settings_.result_lifetime_ms_, [this, id = job.id_] {
        const auto found = results_.find(id);
        if (found != results_.end() && !found->second.exporting_) {
            results_.erase(found);
        }
    });
    start_next_prefill();
    job.done_({engine_status::done, tokens - cached, cached});
}

void fake_engine::count_partial_prefill() {
    const double elapsed = loop_.now_ms() - running_since_ms_;
    const double share = std::min(elapsed / running_time_ms_, 1.0);
    on_computed_(running_->id_, share * running_tokens_);
}

std::uint32_t fake_engine::cached_blocks(const request_sample& s) const {
    const auto miss = std::ranges::find_if(
        s.prefixes_, [this](std::uint64_t p) { return !cache_.contains(p); });
    return static_cast<std::uint32_t>(miss - s.prefixes_.begin());
}

void fake_engine::update_cache(const request_sample& s) {
    // Least recently used blocks are evicted first.
    for (const std::uint64_t p : s.prefixes_) {
        if (cache_.insert(p).second) {
            cache_changes_.push_back({++cache_sequence_, p, true});
        } else {
            std::erase(cache_order_, p);
        }
        cache_order_.push_back(p);
    }
    while (cache_order_.size() > settings_.cached_blocks_) {
        const std::uint64_t oldest = cache_order_.front();
        cache_order_.pop_front();
        cache_.erase(oldest);
        cache_changes_.push_back({++cache_sequence_, oldest, false});
    }
}

void fake_engine::import(base::attempt_id id,
                         fake_engine& source,
                         std::uint32_t kv_blocks,
                         bool stalled,
                         import_done done) {
    if (!up_ || cancelled_.contains(id)) {
        done(up_ ? engine_status::not_found : engine_status::crashed);
        return;
    }
    std::uint32_t used = 0;
    for (const auto& [slot_id, slot_kv_blocks] : decode_slots_) {
        used += slot_kv_blocks;
    }
    if (decode_slots_.size() >= settings_.slots_ ||
        used + kv_blocks > settings_.kv_blocks_) {
        done(engine_status::full);
        return;
    }
    const auto found = source.results_.find(id);
    if (!source.up_ || found == source.results_.end()) {
        done(engine_status::not_found);
        return;
    }
    decode_slots_[id] = kv_blocks;
    if (stalled) {
        return;
    }
    found->second.exporting_ = true;
    // The link of the source carries one transfer at a time.
    const double begin = std::max(source.link_free_ms_, loop_.now_ms());
    const double time = settings_.link_fixed_ms_ +
                        found->second.tokens_ / settings_.link_tokens_per_ms_;
    source.link_free_ms_ = begin + time;
    const double wait = begin + time - loop_.now_ms();
    after(wait, [this, id, &source, incarnation = source.incarnation_,
                 done = std::move(done)] {
        if (!decode_slots_.contains(id)) {
            return;
        }
        if (source.incarnation_ != incarnation) {
            decode_slots_.erase(id);
            done(engine_status::not_found);
            return;
        }
        source.results_.erase(id);
        done(engine_status::done);
    });
}

void fake_engine::decode(base::attempt_id id, int tokens, token on_token) {
    if (!up_ || !decode_slots_.contains(id)) {
        on_token(-1, true);
        return;
    }
    streams_[id] = {0, tokens, 0, std::move(on_token)};
    start_step();
}

void fake_engine::decode_inline(base::attempt_id id,
                                std::uint32_t kv_blocks,
                                std::uint32_t prompt_tokens,
                                int tokens,
                                token on_token) {
    if (!up_ || cancelled_.contains(id) ||
        decode_slots_.size() >= settings_.slots_) {
        on_token(-1, true);
        return;
    }
    decode_slots_[id] = kv_blocks;
    const double prefill = settings_.prefill_fixed_ms_ +
                           prompt_tokens / settings_.prefill_tokens_per_ms_;
    streams_[id] = {0, tokens, prefill, std::move(on_token)};
    start_step();
}

void fake_engine::start_step() {
    if (stepping_ || streams_.empty()) {
        return;
    }
    stepping_ = true;
    std::vector<base::attempt_id> batch;
    double inline_prefill_ms = 0;
    for (auto& [id, s] : streams_) {
        batch.push_back(id);
        inline_prefill_ms += std::exchange(s.inline_ms_, 0);
    }
    const double size = static_cast<double>(batch.size());
    const double time =
        settings_.step_fixed_ms_ + settings_.step_per_request_ms_ * size;
    after(with_noise(time) + inline_prefill_ms,
          [this, batch = std::move(batch)] { end_step(batch); });
}

void fake_engine::end_step(const std::vector<base::attempt_id>& batch) {
    stepping_ = false;
    for (const base::attempt_id id : batch) {
        const auto found = streams_.find(id);
        if (found == streams_.end()) {
            continue;
        }
        const int position = found->second.position_++;
        const bool last = found->second.position_ >= found->second.tokens_;
        const token on_token = found->second.on_token_;
        if (last) {
            streams_.erase(found);
            decode_slots_.erase(id);
        }
        on_token(position, last);
    }
    start_step();
}

void fake_engine::cancel(base::attempt_id id) {
    cancelled_.insert(id);
    std::erase_if(queue_, [id](const auto& job) { return job.id_ == id; });
    results_.erase(id);
    decode_slots_.erase(id);
    streams_.erase(id);
    if (running_ && running_->id_ == id) {
        count_partial_prefill();
        running_.reset();
        ++prefill_number_;
        start_next_prefill();
    }
}

void fake_engine::crash() {
    up_ = false;
    ++incarnation_;
    auto queue = std::exchange(queue_, {});
    if (running_) {
        count_partial_prefill();
        queue.push_back(std::move(*running_));
        running_.reset();
        ++prefill_number_;
    }
    const auto streams = std::exchange(streams_, {});
    results_.clear();
    decode_slots_.clear();
    cache_.clear();
    cache_order_.clear();
    cache_changes_.clear();
    cache_sequence_ = 0;
    stepping_ = false;
    link_free_ms_ = 0;
    for (const auto& [id, s] : streams) {
        s.on_token_(-1, true);
    }
    for (const queued_prefill& job : queue) {
        job.done_({engine_status::crashed, 0, 0});
    }
}

void fake_engine::restart() {
    up_ = true;
}

placement::load_report fake_engine::report() const {
    placement::load_report r;
    r.engine_ = description_.engine_;
    r.slots_ = settings_.slots_;
    r.kv_blocks_ = description_.kv_blocks_;
    std::uint32_t used = 0;
    for (const auto& [id, kv_blocks] : decode_slots_) {
        used += kv_blocks;
        r.attempts_.push_back(id);
    }
    for (const auto& [id, stored] : results_) {
        used += kv_blocks_of(stored.tokens_);
        r.attempts_.push_back(id);
    }
    for (const queued_prefill& job : queue_) {
        r.attempts_.push_back(job.id_);
    }
    if (running_) {
        r.attempts_.push_back(running_->id_);
    }
    r.running_ = static_cast<std::uint32_t>(streams_.size());
    r.queue_ = static_cast<std::uint32_t>(queue_.size());
    r.free_kv_blocks_ = r.kv_blocks_ - std::min(used, r.kv_blocks_);
    return r;
}

std::vector<placement::cache_change> fake_engine::take_cache_changes() {
    return std::exchange(cache_changes_, {});
}

} // namespace pimentoferry::bench
