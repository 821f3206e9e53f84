#include "pimentoferry/http/peer_silence.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <optional>
#include <vector>

namespace pimentoferry::http::internal {
namespace {

using base::milliseconds;
using base::time_point;

/// A peer that acknowledges at some times, and the kernel's repetitions.
struct connection_history {
    std::vector<milliseconds> probes_;
    std::vector<milliseconds> retransmissions_;
    std::vector<milliseconds> acknowledgements_;
    bool outstanding_{true};

    transmission_state at(milliseconds now) const {
        const auto until = [now](const std::vector<milliseconds>& times) {
            return std::ranges::upper_bound(times, now);
        };
        const auto acknowledged = until(acknowledgements_);
        const auto last = acknowledged == acknowledgements_.begin()
                              ? milliseconds{0}
                              : *(acknowledged - 1);
        transmission_state state;
        state.awaits_acknowledgement_ = outstanding_;
        state.unanswered_probes_ =
            static_cast<std::uint32_t>(std::ranges::count_if(
                probes_, [&](auto at) { return at > last && at <= now; }));
        state.retransmissions_ = static_cast<std::uint32_t>(
            until(retransmissions_) - retransmissions_.begin());
        state.since_acknowledgement_ = now - last;
        return state;
    }

    /// When the peer counts as gone, sampled each 500 ms for a minute.
    std::optional<milliseconds> gone_at() const {
        peer_silence silence;
        const time_point start{std::chrono::hours{1}};
        for (milliseconds now{0}; now < std::chrono::minutes{1};
             now += milliseconds{500}) {
            if (silence.observe(at(now), start + now)) {
                return now;
            }
        }
        return std::nullopt;
    }
};

std::vector<milliseconds> doubling_from(milliseconds first) {
    std::vector<milliseconds> times;
    milliseconds at{0};
    for (auto gap = first; at < std::chrono::minutes{1}; gap *= 2) {
        at += gap;
        times.push_back(at);
    }
    return times;
}

std::vector<milliseconds> soon_after(std::vector<milliseconds> times) {
    std::ranges::for_each(times, [](auto& each) { each += milliseconds{3}; });
    return times;
}

class peer_silence_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(peer_silence_test);
    CPPUNIT_TEST(peer_that_answers_probes_of_a_closed_window_is_kept);
    CPPUNIT_TEST(peer_that_answers_retransmissions_is_kept);
    CPPUNIT_TEST(peer_whose_answer_to_one_probe_is_lost_is_kept);
    CPPUNIT_TEST(peer_that_leaves_segments_unacknowledged_is_gone);
    CPPUNIT_TEST(peer_that_stops_answering_probes_is_gone);
    CPPUNIT_TEST(connection_without_outstanding_bytes_is_kept);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a slow reader that is taken for a dead one, also when the
    // kernel's probes are many seconds apart.
    void peer_that_answers_probes_of_a_closed_window_is_kept() {
        const auto probes = doubling_from(milliseconds{200});
        const connection_history history{probes, {}, soon_after(probes)};
        CPPUNIT_ASSERT(!history.gone_at());
    }

    // Guards against the same if the window closed while segments were in
    // flight: the kernel then sends these again instead of probes.
    void peer_that_answers_retransmissions_is_kept() {
        const auto repeated = doubling_from(milliseconds{200});
        const connection_history history{{}, repeated, soon_after(repeated)};
        CPPUNIT_ASSERT(!history.gone_at());
    }

    // Guards against a link with losses that ends the answer of a slow reader.
    void peer_whose_answer_to_one_probe_is_lost_is_kept() {
        const auto probes = doubling_from(milliseconds{200});
        auto answers = soon_after(probes);
        constexpr std::ptrdiff_t lost = 5;
        answers.erase(answers.begin() + lost);
        const connection_history history{probes, {}, answers};
        CPPUNIT_ASSERT(!history.gone_at());
    }

    // Guards against a caller without power that keeps its engine for minutes.
    void peer_that_leaves_segments_unacknowledged_is_gone() {
        const connection_history history{
            {}, doubling_from(milliseconds{200}), {}};
        const auto gone = history.gone_at();
        CPPUNIT_ASSERT(gone && *gone <= milliseconds{3500});
    }

    // Guards against the same for a caller that had stopped reading before.
    void peer_that_stops_answering_probes_is_gone() {
        const auto probes = doubling_from(milliseconds{200});
        const connection_history history{
            probes, {}, {milliseconds{203}, milliseconds{603}}};
        const auto gone = history.gone_at();
        CPPUNIT_ASSERT(gone && *gone <= milliseconds{4500});
    }

    // Guards against an idle connection that is ended for its silence.
    void connection_without_outstanding_bytes_is_kept() {
        const connection_history history{{}, {}, {}, false};
        CPPUNIT_ASSERT(!history.gone_at());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(peer_silence_test);

} // namespace
} // namespace pimentoferry::http::internal
