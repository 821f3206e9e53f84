#include "bench/workload.hpp"

#include <algorithm>
#include <cmath>

namespace pimentoferry::bench {

namespace {

std::uint32_t
uniform(std::mt19937_64& random, std::uint32_t low, std::uint32_t high) {
    return std::uniform_int_distribution<std::uint32_t>{low, high}(random);
}

double uniform_fraction(std::mt19937_64& random) {
    return std::uniform_real_distribution<double>{0, 1}(random);
}

std::uint32_t draw_mixed_prompt_tokens(std::mt19937_64& random) {
    const double size_class = uniform_fraction(random);
    if (size_class < 0.45) {
        return uniform(random, 100, 900);
    }
    if (size_class < 0.80) {
        return uniform(random, 1'000, 5'000);
    }
    return uniform(random, 6'000, 14'000);
}

std::uint32_t draw_mixed_output_tokens(const workload& load,
                                       std::mt19937_64& random) {
    const double tail = std::exponential_distribution<double>{1.0 / 62}(random);
    const auto tokens = static_cast<std::uint32_t>(10 + tail);
    return std::min(tokens, load.max_output_tokens_);
}

} // namespace

workload gedeo() {
    workload w;
    w.name_ = "gedeo";
    w.budget_ms_ = 10'000;
    return w;
}

workload autentica() {
    workload w;
    w.name_ = "autentica";
    w.callers_ = 40;
    w.max_output_tokens_ = 256;
    w.impatient_ = true;
    w.prefix_families_ = 60;
    return w;
}

request_sample sample(const workload& load, std::mt19937_64& random) {
    request_sample s;
    const bool heavy = uniform_fraction(random) < load.heavy_share_;
    const auto last = static_cast<std::uint32_t>(load.callers_ - 1);
    s.caller_ = heavy ? 0 : static_cast<int>(uniform(random, 1, last));
    if (load.impatient_) {
        s.prompt_tokens_ = draw_mixed_prompt_tokens(random);
        s.output_tokens_ = draw_mixed_output_tokens(load, random);
        s.shared_blocks_ = uniform_fraction(random) < 0.5 ? 1 : 0;
        s.disconnects_after_ms_ = 1'500 + 500 * uniform_fraction(random);
    } else {
        s.prompt_tokens_ = uniform(random, 2'000, 8'000);
        s.output_tokens_ = uniform(random, 20, 140);
        s.shared_blocks_ = uniform(random, 1, 2);
        s.disconnects_after_ms_ = load.budget_ms_;
    }
    const std::uint32_t kv_blocks = s.prompt_tokens_ / 1'000;
    s.shared_blocks_ = std::min(s.shared_blocks_, kv_blocks);
    const auto families = static_cast<std::uint32_t>(load.prefix_families_);
    const std::uint64_t family = uniform(random, 1, families);
    for (std::uint64_t p = 0; p < kv_blocks; ++p) {
        s.prefixes_.push_back(p < s.shared_blocks_ ? family * 16 + p
                                                   : random());
    }
    return s;
}

workload_means means_of(const workload& load) {
    constexpr int samples = 100'000;
    std::mt19937_64 random{1};
    workload_means means;
    for (int i = 0; i < samples; ++i) {
        const request_sample s = sample(load, random);
        means.output_tokens_ += s.output_tokens_;
        means.uncached_tokens_ += s.prompt_tokens_ - s.shared_blocks_ * 1'000.0;
    }
    means.output_tokens_ /= samples;
    means.uncached_tokens_ /= samples;
    return means;
}

double decode_capacity(const machine_settings& m,
                       const workload_means& means,
                       int engines) {
    const double step = m.step_fixed_ms_ + m.step_per_request_ms_ * m.slots_;
    const double tokens_per_second = 1'000 * engines * m.slots_ / step;
    return tokens_per_second / means.output_tokens_;
}

double prefill_capacity(const machine_settings& m,
                        const workload_means& means,
                        int engines) {
    const double time_ms =
        m.prefill_fixed_ms_ + means.uncached_tokens_ / m.prefill_tokens_per_ms_;
    return 1'000 * engines / time_ms;
}

} // namespace pimentoferry::bench
