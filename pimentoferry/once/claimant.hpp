/// The role of the entry that accepted the calls. It claims each key, permits
/// the call to be sent at most once, and reports the outcome of every attempt
/// to the owner of the key's shard.
///
///     claimant calls{settings, self};
///     calls.on_call_arrived(call_arrived{request, key, body_hash}, ctx);
///     calls.receive(claim_answer{...}, ctx);   // send_call, or an answer
///
/// An attempt is erased only when no record of it can be left incomplete: the
/// only owner that received its claim refused it, or its result, its loss or
/// its abandon is durable. A `run` for an attempt that does not await one never
/// leads to `send_call`.
#ifndef PIMENTOFERRY_ONCE_CLAIMANT_HPP
#define PIMENTOFERRY_ONCE_CLAIMANT_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/refusal.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/once/context.hpp"
#include "pimentoferry/once/events.hpp"
#include "pimentoferry/once/messages.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace pimentoferry::once::internal {

class claimant {
public:
    claimant(const settings& limits, base::instance_id self);

    void on_call_arrived(const call_arrived& call, context& ctx);
    void on_caller_disconnected(const caller_disconnected& caller,
                                context& ctx);
    void on_answered(const upstream_answered& answered, context& ctx);
    void on_not_reached(const upstream_not_reached& failed, context& ctx);
    void on_answer_lost(const upstream_answer_lost& lost, context& ctx);
    void receive(const to_entry& message, context& ctx);
    /// Resends the messages whose shard is now routed to another owner.
    void on_owners_changed(context& ctx);
    void handle_time(context& ctx);

    [[nodiscard]] std::optional<base::time_point> next_wakeup() const;
    [[nodiscard]] std::size_t open_calls() const { return calls_.size(); }

private:
    enum class call_state : std::uint8_t {
        claiming,   ///< Awaits its verdict; not sent.
        sent,       ///< `send_call` was issued; the upstream outcome is open.
        reporting,  ///< Its result or loss awaits confirmation.
        abandoning, ///< Never sent; its abandon awaits confirmation.
    };

    struct call {
        base::request_id request_;
        key_id key_;
        std::uint64_t body_hash_{0};
        call_state state_{call_state::claiming};
        int send_count_{0};         ///< Messages sent in the current state.
        base::instance_id owner_;   ///< Recipient of the last message.
        base::time_point deadline_; ///< Of `claiming`.
        base::time_point due_;      ///< Next resend; unused when `sent`.
        /// Set only in `reporting`; none means that the result was lost.
        std::optional<stored_result> result_;
    };

    using sequence = std::uint64_t;

    call* find(base::attempt_id attempt);
    void on_answer(const claim_answer& answer, context& ctx);
    void on_run(const claim_answer& answer, context& ctx);
    void
    on_refused(sequence number, call& pending, verdict decision, context& ctx);
    void confirm(base::attempt_id attempt, call_state state);
    void refuse_and_abandon(sequence number,
                            call& pending,
                            const base::refusal& refusal,
                            context& ctx);
    void report(base::attempt_id attempt,
                std::optional<stored_result> result,
                context& ctx);
    void start_abandon(sequence number, call& pending, context& ctx);
    /// Sends the message for the call's state and schedules its resend.
    void send_message(sequence number, call& pending, context& ctx);
    [[nodiscard]] to_owner message_of(sequence number,
                                      const call& pending) const;
    [[nodiscard]] base::milliseconds resend_delay(const call& pending) const;
    void schedule(sequence number, call& pending, base::time_point due);
    void unschedule(sequence number, const call& pending);
    void erase_call(sequence number);

    settings limits_;
    base::instance_id self_;
    sequence last_sequence_{0};
    std::unordered_map<sequence, call> calls_;
    /// The attempt of each request that awaits its verdict.
    std::unordered_map<base::request_id, sequence> claiming_;
    std::set<std::pair<base::time_point, sequence>> due_;
};

} // namespace pimentoferry::once::internal

#endif
