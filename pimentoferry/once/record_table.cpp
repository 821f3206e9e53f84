#include "pimentoferry/once/record_table.hpp"

#include "pimentoferry/base/overloaded.hpp"

#include <variant>

namespace pimentoferry::once::internal {

void record_table::apply(const log_record& durable) {
    if (const auto* claimed = std::get_if<claim>(&durable)) {
        claim_key(*claimed).state_ = record_state::claimed;
        return;
    }
    auto* found = find(key_of(durable));
    if (found == nullptr || found->attempt_ != attempt_of(durable)) {
        return;
    }
    std::visit(
        base::overloaded{
            [](const claim&) {},
            [&](const report_result& report) {
                store_result(*found, report.result_);
                found->state_ = record_state::stored;
            },
            [&](const report_lost&) { found->state_ = record_state::lost; },
            [&](const abandon&) { found->state_ = record_state::abandoned; }},
        durable);
}

record* record_table::find(const key_id& key) {
    const auto found = records_.find(key);
    return found == records_.end() ? nullptr : &found->second;
}

record& record_table::claim_key(const claim& from) {
    auto& claimed = records_[from.key_];
    drop_result(claimed);
    claimed.attempt_ = from.attempt_;
    claimed.body_hash_ = from.body_hash_;
    claimed.state_ = record_state::claiming;
    return claimed;
}

void record_table::store_result(record& into, const stored_result& result) {
    drop_result(into);
    into.result_ = std::make_unique<stored_result>(result);
    result_bytes_ += size_of(result);
}

void record_table::erase_issued_before(base::wall_time low_watermark) {
    for (auto next = records_.begin(); next != records_.end();) {
        if (next->first.issued_ < low_watermark) {
            drop_result(next->second);
            next = records_.erase(next);
        } else {
            ++next;
        }
    }
}

void record_table::drop_result(record& from) {
    if (from.result_) {
        result_bytes_ -= size_of(*from.result_);
        from.result_.reset();
    }
}

std::size_t size_of(const stored_result& result) {
    return result.content_type_.size() + result.body_.size();
}

} // namespace pimentoferry::once::internal
