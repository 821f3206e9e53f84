/// What streams ask of engines: learned means, and the memory that a stream is
/// expected to hold at a later time.
///
/// A stream holds its prompt and grows by a constant rate until it ends. The
/// length of an answer is known only as an estimate that is right at the
/// median, so the memory at a later time is weighted with the probability that
/// the stream still lasts.
///
///     auto stream = model.describe(request, now);
///     const auto outlook = model.outlook_of(stream, now);
///     ...
///     model.note_answer(stream, events, now);
#ifndef PIMENTOFERRY_PLACEMENT_STREAM_MODEL_HPP
#define PIMENTOFERRY_PLACEMENT_STREAM_MODEL_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/placement/stream_messages.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace pimentoferry::placement {

/// Prompt tokens that a prefill engine reads in a ms, until it is measured;
/// that of the users' usual engines.
inline constexpr double usual_prefill_rate = 50;

/// Tokens in memory.
struct memory_estimate {
    double mean_{0};
    double variance_{0};
};

/// Points in the near future at which memory is estimated.
inline constexpr std::size_t horizon_count = 6;
using memory_outlook = std::array<memory_estimate, horizon_count>;

/// A stream that has a place.
struct placed_stream {
    base::upstream_name prefill_;
    base::upstream_name decode_;
    std::uint32_t prompt_tokens_{0};
    double expected_events_{0};
    double max_events_{0};
    bool prefilling_{true};
    /// When the first event came; none before.
    std::optional<base::time_point> started_;
    base::time_point granted_;
};

class stream_model {
public:
    /// Output tokens that one event of a stream stands for.
    void set_tokens_per_event(std::uint32_t tokens);

    /// The stream of a request that is placed now.
    placed_stream describe(const stream_request& wanted,
                           base::time_point now) const;

    memory_estimate expected_tokens(const placed_stream& stream,
                                    base::time_point now,
                                    base::time_point at) const;
    memory_outlook outlook_of(const placed_stream& stream,
                              base::time_point now) const;

    /// Time that a prompt takes at a usual engine.
    base::milliseconds prefill_time(std::uint32_t tokens) const;
    /// From a grant to the first event, when nothing else is read before.
    base::milliseconds first_event_time(std::uint32_t tokens) const;
    base::milliseconds answer_time(const placed_stream& stream) const;

    void note_arrival(std::uint32_t prompt_tokens, base::time_point now);
    /// A prompt was read at this many tokens in a ms.
    void note_prefill(double rate);
    void note_answer(const placed_stream& stream,
                     std::uint32_t events,
                     base::time_point now);

    double mean_prompt() const { return mean_prompt_; }
    double prefill_rate() const { return prefill_rate_; }
    /// Prompt tokens that arrive in a ms.
    double arrival_rate() const { return arrival_rate_; }
    /// Memory of a stream over its life, in tokens times ms.
    double token_ms() const;

private:
    double events_at(const placed_stream& stream, base::time_point at) const;

    // The first values are those of the users' usual requests; they hold until
    // enough streams were seen.

    std::uint32_t tokens_per_event_{1};
    /// Mean time between two events of a stream.
    double event_interval_ms_{50};
    /// Mean events of complete answers.
    double mean_events_{70};
    /// Mean tokens of the prompts.
    double mean_prompt_{5200};
    double prefill_rate_{usual_prefill_rate};
    double arrival_rate_{0};
    base::time_point last_arrival_;
};

} // namespace pimentoferry::placement

#endif
