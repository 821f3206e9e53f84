/// A cell scheduler on virtual time, for the tests of `placement`.
#ifndef PIMENTOFERRY_PLACEMENT_CELL_TEST_RIG_HPP
#define PIMENTOFERRY_PLACEMENT_CELL_TEST_RIG_HPP

#include "pimentoferry/placement/cell_scheduler.hpp"

#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace pimentoferry::placement {

struct cell_rig {
    cell_scheduler cell_;
    base::time_point now_{std::chrono::hours{1}};
    base::instance_id entry_{7};
    std::vector<action> last_actions_; ///< Actions of the last event.

    explicit cell_rig(const scheduler_settings& s) : cell_{s} {}

    /// Settings that reserve only decode slots that are free.
    static scheduler_settings conservative_settings() {
        scheduler_settings s;
        s.cell_ = base::cell_name{"c"};
        s.policy_ = reserved{1};
        return s;
    }

    static engine_description make_engine(const std::string& name,
                                          engine_role role,
                                          std::uint32_t slots,
                                          std::uint32_t kv_blocks) {
        return {base::upstream_name{name},
                role,
                base::failure_domain{"a"},
                false,
                slots,
                kv_blocks};
    }

    void feed(const event& e) { last_actions_ = cell_.handle(e, now_); }
    void advance(std::chrono::milliseconds time) {
        now_ += time;
        feed(tick{});
    }

    /// Becomes the owner of a cell of these engines, past the rebuild limit.
    void become_owner_of(const std::vector<engine_description>& engines) {
        feed(engines_changed{engines});
        feed(became_owner{});
        advance(std::chrono::milliseconds{1'000});
    }

    base::attempt_id id(std::uint64_t sequence) const {
        return {entry_, sequence};
    }

    placement_request make_request(std::uint64_t sequence,
                                   std::uint32_t prompt = 2'000) const {
        placement_request m;
        m.attempt_ = id(sequence);
        m.caller_ = base::caller_name{"caller"};
        m.prompt_tokens_ = prompt;
        m.max_output_tokens_ = 100;
        m.first_token_budget_ = std::chrono::milliseconds{1'600};
        return m;
    }

    void send(to_owner message) {
        feed(entry_message{entry_, std::move(message)});
    }
    void request_placement(std::uint64_t sequence,
                           std::uint32_t prompt = 2'000) {
        send(make_request(sequence, prompt));
    }
    void finish_prefill(std::uint64_t sequence, std::uint32_t prompt = 2'000) {
        send(prefill_finished{id(sequence), prompt, 0});
    }
    void release(std::uint64_t sequence) {
        send(placement_release{id(sequence), release_reason::completed, 50});
    }

    /// Messages of one type that the last event sent.
    template <class Message>
    std::vector<Message> sent() const {
        std::vector<Message> found;
        for (const action& a : last_actions_) {
            const auto* s = std::get_if<send_to_entry>(&a);
            if (s != nullptr && std::holds_alternative<Message>(s->message_)) {
                found.push_back(std::get<Message>(s->message_));
            }
        }
        return found;
    }
    /// Actions of one type that the last event returned.
    template <class Action>
    std::vector<Action> performed() const {
        std::vector<Action> found;
        for (const action& a : last_actions_) {
            if (const auto* one = std::get_if<Action>(&a)) {
                found.push_back(*one);
            }
        }
        return found;
    }
};

} // namespace pimentoferry::placement

#endif
