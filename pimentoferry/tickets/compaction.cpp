#include "pimentoferry/tickets/compaction.hpp"

#include "pimentoferry/config/parse.hpp"

#include <utility>
#include <variant>

namespace pimentoferry::tickets {

bool compaction_due(const head& value, std::size_t tickets) {
    return value.tickets_.size() >= tickets ||
           ticket_bytes(value) >= compaction_bytes;
}

void compaction::begin(const head& due,
                       base::time_point now,
                       const replica& local,
                       call_table& calls,
                       std::vector<action>& out) {
    if (busy() || !compaction_due(due, tickets_) ||
        due.number_ != local.number()) {
        return;
    }
    base_number_ = due.number_;
    generation_ = generation_name(base_number_, self_);
    parts_ = 0;
    failures_ = 0;
    work_.clear();
    const auto text = config::to_json(*local.state());
    for (std::size_t offset = 0; offset < text.size(); offset += part_bytes) {
        work_.emplace_back(store::put{part_key(generation_, parts_),
                                      text.substr(offset, part_bytes),
                                      0,
                                      {}});
        ++parts_;
    }
    auto number = due.base_number_;
    for (const auto& ticket : due.tickets_) {
        ++number;
        work_.emplace_back(store::put{history_key(number), ticket, 0, {}});
    }
    step_ = step::writing;
    advance(now, calls, out);
}

void compaction::handle(const store::outcome& outcome,
                        base::time_point now,
                        call_table& calls,
                        std::vector<action>& out) {
    if (!busy()) {
        return;
    }
    if (std::holds_alternative<store::unavailable>(outcome)) {
        ++failures_;
        if (failures_ > compaction_failure_limit) {
            step_ = step::idle;
            return;
        }
        // The write may have taken effect; the head has to be read to find out.
        step_ = step_ == step::swapping ? step::reading : step_;
        advance(now, calls, out);
        return;
    }
    failures_ = 0;
    if (step_ == step::reading) {
        handle_head(outcome, now, calls, out);
        return;
    }
    if (step_ == step::writing || step_ == step::deleting) {
        // A conflict on a write means that the key already has the value: only
        // this instance writes these part keys, and a ticket never changes.
        work_.pop_front();
    } else if (step_ == step::swapping) {
        step_ = std::holds_alternative<store::written>(outcome) ? step::listing
                                                                : step::reading;
    } else if (const auto* listed = std::get_if<store::listed>(&outcome)) {
        collect_obsolete_parts(*listed);
        step_ = step::deleting;
    }
    advance(now, calls, out);
}

void compaction::advance(base::time_point now,
                         call_table& calls,
                         std::vector<action>& out) {
    if (step_ == step::writing && work_.empty()) {
        step_ = step::reading;
    }
    if (step_ == step::deleting && work_.empty()) {
        step_ = step::idle;
    }
    if (step_ == step::writing || step_ == step::deleting) {
        issue(work_.front(), now, calls, out);
    } else if (step_ == step::reading) {
        issue(store::get{std::string{head_key}}, now, calls, out);
    } else if (step_ == step::listing) {
        issue(store::list{std::string{state_prefix}}, now, calls, out);
    }
}

void compaction::issue(store::request request,
                       base::time_point now,
                       call_table& calls,
                       std::vector<action>& out) {
    calls.issue(call_purpose::compaction, std::move(request), now, out);
}

void compaction::handle_head(const store::outcome& outcome,
                             base::time_point now,
                             call_table& calls,
                             std::vector<action>& out) {
    const auto* found = std::get_if<store::found>(&outcome);
    auto value = found == nullptr ? std::nullopt : decode_head(found->value_);
    if (!value || value->number_ < base_number_) {
        step_ = step::idle;
        return;
    }
    current_base_ = value->base_number_;
    current_generation_ = value->generation_;
    if (value->base_number_ >= base_number_) {
        // Either the write succeeded and its result was lost, or another entry
        // has compacted this far.
        step_ = step::listing;
        advance(now, calls, out);
        return;
    }
    const auto dropped =
        static_cast<std::ptrdiff_t>(base_number_ - value->base_number_);
    value->tickets_.erase(value->tickets_.begin(),
                          value->tickets_.begin() + dropped);
    value->base_number_ = base_number_;
    value->generation_ = generation_;
    value->parts_ = parts_;
    current_base_ = base_number_;
    current_generation_ = generation_;
    step_ = step::swapping;
    issue(
        store::put{std::string{head_key}, encode(*value), found->revision_, {}},
        now, calls, out);
}

void compaction::collect_obsolete_parts(const store::listed& listed) {
    work_.clear();
    for (const auto& entry : listed.keys_) {
        const auto name = parse_part_key(entry.key_);
        // Another entry may still be writing a newer generation.
        if (name && name->base_number_ <= current_base_ &&
            name->generation_ != current_generation_) {
            work_.emplace_back(store::erase{entry.key_, entry.revision_});
        }
    }
}

} // namespace pimentoferry::tickets
