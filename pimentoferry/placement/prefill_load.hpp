/// What one prefill engine has to read, and how fast it reads.
///
/// Pattern of load: engines of one service read at speeds that differ by
/// several times, and an engine may turn slow or fall silent at any moment.
/// What an engine was given and has not read yet says how long a further
/// prompt waits there, whatever the reason, so a slow engine gets fewer
/// prompts and a silent one gets none after the first.
///
///     if (load.wait(now) < limit) {
///         load.begin(tokens, now);
///     }
///     ...
///     load.finish(tokens, now);   // or load.abandon(tokens, now)
#ifndef PIMENTOFERRY_PLACEMENT_PREFILL_LOAD_HPP
#define PIMENTOFERRY_PLACEMENT_PREFILL_LOAD_HPP

#include "pimentoferry/base/time.hpp"
#include "pimentoferry/placement/stream_model.hpp"

#include <cstdint>

namespace pimentoferry::placement {

class prefill_load {
public:
    /// A prompt is sent to the engine.
    void begin(std::uint32_t tokens, base::time_point now);

    /// A prompt was read.
    void finish(std::uint32_t tokens, base::time_point now);

    /// A prompt is not waited for any more.
    void abandon(std::uint32_t tokens, base::time_point now);

    /// Time until the engine begins a prompt that is sent now.
    base::milliseconds wait(base::time_point now) const;

    /// Time that the engine takes to read a prompt.
    base::milliseconds read_time(std::uint32_t tokens,
                                 base::time_point now) const;

    /// Prompt tokens that the engine reads in a ms.
    double rate(base::time_point now) const;

    std::uint32_t prompts() const { return prompts_; }

private:
    void remove(std::uint32_t tokens, base::time_point now);
    void measure(base::time_point now);

    std::uint32_t prompts_{0};
    std::uint64_t tokens_{0}; ///< Of these prompts.
    /// When the engine began what it reads now.
    base::time_point reading_since_;
    /// Tokens that were read since `measured_`.
    std::uint64_t read_{0};
    base::time_point measured_;
    double rate_{default_prefill_rate};
    base::time_point rate_at_; ///< When `rate_` was measured last.
};

} // namespace pimentoferry::placement

#endif
