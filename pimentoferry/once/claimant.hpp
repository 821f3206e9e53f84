/// The side of the entry that took the calls: claims each key, lets the call
/// be sent at most once, and settles every attempt with the shard's owner.
///
///     claimant calls{settings, self};
///     calls.arrive(call_arrived{request, key, body_hash}, ctx);
///     calls.receive(claim_answer{...}, ctx);   // send_call, or an answer
///
/// An attempt is forgotten only when nothing of it is open any more: it was
/// refused by the only owner that was asked, its result or loss is durable,
/// or its abandon is. A `run` for an attempt that is not waiting for one is
/// never followed.
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

    void arrive(const call_arrived& call, context& ctx);
    void leave(const caller_disconnected& gone, context& ctx);
    void on_answered(const upstream_answered& answered, context& ctx);
    void on_not_reached(const upstream_not_reached& failed, context& ctx);
    void on_answer_lost(const upstream_answer_lost& lost, context& ctx);
    void receive(const to_entry& message, context& ctx);
    /// Repeats what waits for an owner that is no longer the one to ask.
    void on_owners_changed(context& ctx);
    void handle_time(context& ctx);

    [[nodiscard]] std::optional<base::time_point> next_wakeup() const;
    [[nodiscard]] std::size_t open_calls() const { return calls_.size(); }

private:
    enum class call_state : std::uint8_t {
        asking,     ///< No verdict yet; not sent.
        sent,       ///< Told to be sent; only the upstream decides now.
        reporting,  ///< Its result or loss waits for its confirmation.
        abandoning, ///< Never sent, never will be; waits for confirmation.
    };

    struct call {
        base::request_id request_;
        key_id key_;
        std::uint64_t body_hash_{0};
        call_state state_{call_state::asking};
        int asked_{0}; ///< Messages sent for the present state.
        base::instance_id asked_of_;
        base::time_point deadline_; ///< Of `asking`.
        base::time_point due_;      ///< Next repeat; unused when `sent`.
        /// Only when `reporting`; none means that the result was lost.
        std::optional<stored_result> result_;
    };

    using sequence = std::uint64_t;

    call* find(base::attempt_id attempt);
    void on_answer(const claim_answer& told, context& ctx);
    void on_run(const claim_answer& told, context& ctx);
    void on_refused(sequence number, call& asked, verdict told, context& ctx);
    void confirm(base::attempt_id attempt, call_state state);
    void give_up(sequence number,
                 call& asked,
                 const base::refusal& refusal,
                 context& ctx);
    void report(base::attempt_id attempt,
                std::optional<stored_result> result,
                context& ctx);
    void start_abandon(sequence number, call& given_up, context& ctx);
    /// Sends what the call's state asks for and plans the repeat.
    void speak(sequence number, call& waiting, context& ctx);
    [[nodiscard]] to_owner message_of(sequence number,
                                      const call& waiting) const;
    [[nodiscard]] base::milliseconds pause_after(const call& waiting) const;
    void plan(sequence number, call& waiting, base::time_point due);
    void unplan(sequence number, const call& waiting);
    void forget(sequence number);

    settings limits_;
    base::instance_id self_;
    sequence last_sequence_{0};
    std::unordered_map<sequence, call> calls_;
    /// The attempt of each request that waits for its verdict.
    std::unordered_map<base::request_id, sequence> asking_;
    std::set<std::pair<base::time_point, sequence>> due_;
};

} // namespace pimentoferry::once::internal

#endif
