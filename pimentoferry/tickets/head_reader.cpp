#include "pimentoferry/tickets/head_reader.hpp"

#include <utility>

namespace pimentoferry::tickets {

void head_reader::begin(base::time_point now,
                        call_table& calls,
                        std::vector<action>& out) {
    if (busy_) {
        return;
    }
    busy_ = true;
    sent_ = now;
    head_.reset();
    calls.issue(call_purpose::head, store::get{std::string{head_key}}, now,
                out);
}

read_progress head_reader::handle(const store::outcome& outcome,
                                  base::time_point now,
                                  replica& local,
                                  call_table& calls,
                                  std::vector<action>& out) {
    return head_ ? handle_part(outcome, now, local, calls, out)
                 : handle_head(outcome, now, local, calls, out);
}

read_progress head_reader::handle_head(const store::outcome& outcome,
                                       base::time_point now,
                                       replica& local,
                                       call_table& calls,
                                       std::vector<action>& out) {
    if (std::holds_alternative<store::not_found>(outcome)) {
        head_ = head{};
        revision_ = 0;
        return finish(local);
    }
    const auto* found = std::get_if<store::found>(&outcome);
    if (found == nullptr) {
        return fail();
    }
    head_ = decode_head(found->value_);
    revision_ = found->revision_;
    if (!head_) {
        return fail();
    }
    if (head_->base_number_ <= local.number()) {
        return finish(local);
    }
    state_text_.clear();
    next_part_ = 0;
    calls.issue(call_purpose::head,
                store::get{part_key(head_->generation_, next_part_)}, now, out);
    return read_continues{};
}

read_progress head_reader::handle_part(const store::outcome& outcome,
                                       base::time_point now,
                                       replica& local,
                                       call_table& calls,
                                       std::vector<action>& out) {
    const auto* found = std::get_if<store::found>(&outcome);
    if (found == nullptr || !head_) {
        return fail();
    }
    state_text_ += found->value_;
    ++next_part_;
    if (next_part_ < head_->parts_) {
        calls.issue(call_purpose::head,
                    store::get{part_key(head_->generation_, next_part_)}, now,
                    out);
        return read_continues{};
    }
    local.adopt_state(head_->base_number_, state_text_);
    return finish(local);
}

read_progress head_reader::finish(replica& local) {
    busy_ = false;
    caught_up result{std::move(head_).value_or(head{}), revision_, sent_};
    head_.reset();
    for (const auto& text : result.head_.tickets_) {
        local.add_ticket(text);
    }
    // A head with a different number than the replica, for example one that was
    // read before the last ticket, can't confirm the current state.
    if (local.number() != result.head_.number_) {
        return read_failed{};
    }
    local.set_head_revision(result.revision_);
    return result;
}

read_progress head_reader::fail() {
    busy_ = false;
    head_.reset();
    return read_failed{};
}

} // namespace pimentoferry::tickets
