#include "pimentoferry/once/shard_log.hpp"

#include "pimentoferry/base/overloaded.hpp"

#include <algorithm>
#include <utility>

namespace pimentoferry::once::internal {

shard_log::shard_log(shard_number shard,
                     base::instance_id self,
                     std::size_t segment_bytes,
                     base::milliseconds store_retry_interval)
    : shard_(shard), self_(self), segment_bytes_(segment_bytes),
      store_retry_interval_(store_retry_interval) {}

bool shard_log::is_open() const {
    return step_ == step::idle || step_ == step::appending ||
           step_ == step::sealing || step_ == step::raising_low_watermark ||
           step_ == step::releasing;
}

void shard_log::read_head(context& ctx) {
    close();
    step_ = step::reading_head;
    send(store::get{head_key(shard_)}, ctx);
}

void shard_log::take_over(context& ctx) {
    next_head_ = head_;
    next_head_.owner_ = self_;
    ++next_head_.epoch_;
    write(step::writing_head,
          store::put{
              head_key(shard_), encode_head(next_head_), head_revision_, {}},
          ctx);
}

void shard_log::close() {
    *this = shard_log{shard_, self_, segment_bytes_, store_retry_interval_};
}

std::size_t shard_log::append(std::span<const log_record> queue, context& ctx) {
    auto number = number_;
    auto value = content_;
    auto expected = revision_;
    if (next_segment_) {
        number = *next_segment_;
        value = new_segment(shard_, number);
        expected = 0;
    }
    const auto start = value.size();
    std::size_t taken = 0;
    for (const auto& record : queue) {
        const auto before = value.size();
        append_record(value, record);
        if (value.size() > segment_bytes_ && (taken > 0 || !next_segment_)) {
            value.resize(before);
            break;
        }
        ++taken;
    }
    // If the queue does not fit, a segment that is more than half full is
    // sealed instead of splitting the queue over two write intervals; the new
    // segment then takes all of it.
    const bool splits = taken < queue.size();
    if (!next_segment_ && splits &&
        (taken == 0 || start > segment_bytes_ / 2)) {
        auto sealed = content_;
        append_seal(sealed, number_ + 1);
        append_mark(sealed, head_.epoch_, ++batch_);
        write(
            step::sealing,
            store::put{
                segment_key(shard_, number_), std::move(sealed), revision_, {}},
            ctx);
        return 0;
    }
    for (const auto& record : queue.first(taken)) {
        update_last_issue(record);
    }
    append_mark(value, head_.epoch_, ++batch_);
    write(
        step::appending,
        store::put{segment_key(shard_, number), std::move(value), expected, {}},
        ctx);
    return taken;
}

bool shard_log::raise_low_watermark(base::wall_time cutoff, context& ctx) {
    next_head_ = head_;
    for (const auto& old : sealed_) {
        if (old.last_issue_ >= cutoff) {
            break;
        }
        next_head_.low_watermark_ = std::max(
            next_head_.low_watermark_, old.last_issue_ + base::milliseconds{1});
        next_head_.first_segment_ = old.number_ + 1;
    }
    if (next_head_.first_segment_ == head_.first_segment_) {
        return false;
    }
    write(step::raising_low_watermark,
          store::put{
              head_key(shard_), encode_head(next_head_), head_revision_, {}},
          ctx);
    return true;
}

void shard_log::release(context& ctx) {
    next_head_ = head_;
    next_head_.owner_ = {};
    ++next_head_.epoch_;
    write(step::releasing,
          store::put{
              head_key(shard_), encode_head(next_head_), head_revision_, {}},
          ctx);
}

std::vector<log_event> shard_log::handle(const store::result& result,
                                         context& ctx) {
    events out;
    if (result.token_ == garbage_list_ && garbage_list_.value_ != 0) {
        garbage_list_ = {};
        if (const auto* listed = std::get_if<store::listed>(&result.outcome_)) {
            erase_garbage(*listed, ctx);
        }
        return out;
    }
    if (result.token_ != operation_ || operation_.value_ == 0) {
        return out;
    }
    operation_ = {};
    if (checking_head_) {
        on_head_checked(result.outcome_, out, ctx);
    } else if (reading_back_) {
        on_read_back(result.outcome_, out, ctx);
    } else if (is_writing()) {
        on_write(result.outcome_, out, ctx);
    } else {
        on_read(result.outcome_, out, ctx);
    }
    return out;
}

void shard_log::handle_time(context& ctx) {
    if (!retry_at_ || ctx.now_ < *retry_at_) {
        return;
    }
    retry_at_.reset();
    if (checking_head_) {
        check_head(ctx);
    } else if (reading_back_) {
        read_back(ctx);
    } else if (is_writing()) {
        write_again(ctx);
    } else if (step_ == step::reading_head) {
        send(store::get{head_key(shard_)}, ctx);
    } else if (step_ == step::reading_segment) {
        read_segment(number_, ctx);
    }
}

void shard_log::send(store::request request, context& ctx) {
    operation_ = ctx.out_.use_store(shard_, std::move(request));
}

void shard_log::write(step next, store::put put, context& ctx) {
    step_ = next;
    pending_ = pending_write{std::move(put), 0};
    write_again(ctx);
}

void shard_log::write_again(context& ctx) {
    ++pending_.tries_;
    send(pending_.put_, ctx);
}

void shard_log::read_back(context& ctx) {
    reading_back_ = true;
    send(store::get{pending_.put_.key_}, ctx);
}

void shard_log::retry_later(context& ctx) {
    retry_at_ = ctx.now_ + store_retry_interval_;
}

void shard_log::read_segment(segment_number number, context& ctx) {
    step_ = step::reading_segment;
    number_ = number;
    send(store::get{segment_key(shard_, number)}, ctx);
}

/// Writes the epoch of this owner into the open segment, which is created if
/// absent. Every later compare-and-swap of the previous owner fails.
void shard_log::fence(context& ctx) {
    auto value = content_;
    append_mark(value, head_.epoch_, batch_);
    write(step::fencing,
          store::put{
              segment_key(shard_, number_), std::move(value), revision_, {}},
          ctx);
}

/// Lists the segments for deletion that the head no longer refers to. An owner
/// that crashed after raising the low watermark may have left them behind.
void shard_log::list_garbage(context& ctx) {
    if (head_.first_segment_ > 1) {
        garbage_list_ =
            ctx.out_.use_store(shard_, store::list{shard_prefix(shard_)});
    }
}

void shard_log::erase_garbage(const store::listed& listed, context& ctx) {
    for (const auto& key : listed.keys_) {
        const auto number = parse_segment_number(shard_, key.key_);
        if (is_open() && number && *number < head_.first_segment_) {
            ctx.out_.use_store(shard_, store::erase{key.key_, key.revision_});
        }
    }
}

void shard_log::erase_sealed(context& ctx) {
    while (!sealed_.empty() && sealed_.front().number_ < head_.first_segment_) {
        const auto& old = sealed_.front();
        ctx.out_.use_store(
            shard_,
            store::erase{segment_key(shard_, old.number_), old.revision_});
        sealed_.erase(sealed_.begin());
    }
}

void shard_log::update_last_issue(const log_record& record) {
    last_issue_ = std::max(last_issue_, key_of(record).issued_);
}

void shard_log::on_read(const store::outcome& outcome,
                        events& out,
                        context& ctx) {
    if (std::holds_alternative<store::unavailable>(outcome)) {
        retry_later(ctx);
        return;
    }
    if (step_ == step::reading_head) {
        on_head(outcome, out);
    } else {
        on_segment(outcome, out, ctx);
    }
}

void shard_log::on_head(const store::outcome& outcome, events& out) {
    head_ = {};
    head_revision_ = 0;
    if (const auto* found = std::get_if<store::found>(&outcome)) {
        const auto decoded = decode_head(found->value_);
        if (std::holds_alternative<log_corrupt>(decoded)) {
            close_as_lost(out);
            return;
        }
        head_ = std::get<log_head>(decoded);
        head_revision_ = found->revision_;
    }
    step_ = step::head_loaded;
    out.emplace_back(head_read{head_.owner_, head_.epoch_});
}

void shard_log::on_segment(const store::outcome& outcome,
                           events& out,
                           context& ctx) {
    if (const auto* found = std::get_if<store::found>(&outcome)) {
        on_segment_found(*found, out, ctx);
        return;
    }
    // The previous owner sealed the predecessor and did not create this one.
    content_ = new_segment(shard_, number_);
    revision_ = 0;
    last_issue_ = {};
    fence(ctx);
}

void shard_log::on_segment_found(const store::found& found,
                                 events& out,
                                 context& ctx) {
    auto decoded = decode_segment(found.value_);
    auto* read = std::get_if<segment>(&decoded);
    if (read == nullptr || read->epoch_ > head_.epoch_) {
        close_as_lost(out);
        return;
    }
    last_issue_ = {};
    std::ranges::for_each(
        read->records_, [&](const auto& record) { update_last_issue(record); });
    out.emplace_back(segment_loaded{std::move(read->records_)});
    if (read->successor_) {
        sealed_.push_back(
            sealed_segment{number_, found.revision_, last_issue_});
        read_segment(*read->successor_, ctx);
        return;
    }
    content_ = found.value_;
    revision_ = found.revision_;
    fence(ctx);
}

void shard_log::on_write(const store::outcome& outcome,
                         events& out,
                         context& ctx) {
    if (const auto* written = std::get_if<store::written>(&outcome)) {
        on_written(written->revision_, out, ctx);
        return;
    }
    // A conflict is read back too: it may be with an earlier try of the same
    // write whose response was lost.
    read_back(ctx);
}

void shard_log::on_read_back(const store::outcome& outcome,
                             events& out,
                             context& ctx) {
    if (std::holds_alternative<store::unavailable>(outcome)) {
        out.emplace_back(store_blocked{});
        retry_later(ctx);
        return;
    }
    reading_back_ = false;
    const auto* found = std::get_if<store::found>(&outcome);
    const auto& put = pending_.put_;
    if (found != nullptr && found->value_ == put.value_) {
        on_written(found->revision_, out, ctx);
        return;
    }
    const auto revision = found != nullptr ? found->revision_ : 0;
    if (revision == put.expected_) {
        on_not_written(out, ctx);
    } else {
        on_superseded(out, ctx);
    }
}

void shard_log::on_not_written(events& out, context& ctx) {
    if (pending_.tries_ == 1) {
        write_again(ctx);
        return;
    }
    out.emplace_back(store_blocked{});
    retry_later(ctx);
}

void shard_log::on_superseded(events& out, context& ctx) {
    if (step_ == step::fencing) {
        // The previous owner appended between the read and this write.
        pending_ = {};
        read_segment(number_, ctx);
        return;
    }
    close_as_lost(out);
}

void shard_log::on_written(store::revision revision,
                           events& out,
                           context& ctx) {
    if (step_ != step::writing_head && pending_.put_.expected_ == 0) {
        created_revision_ = revision;
        check_head(ctx);
    } else {
        complete_write(revision, out, ctx);
    }
}

void shard_log::check_head(context& ctx) {
    checking_head_ = true;
    send(store::get{head_key(shard_)}, ctx);
}

void shard_log::on_head_checked(const store::outcome& outcome,
                                events& out,
                                context& ctx) {
    if (std::holds_alternative<store::unavailable>(outcome)) {
        out.emplace_back(store_blocked{});
        retry_later(ctx);
        return;
    }
    checking_head_ = false;
    const auto* found = std::get_if<store::found>(&outcome);
    if (found != nullptr && found->revision_ == head_revision_) {
        complete_write(created_revision_, out, ctx);
    } else {
        close_as_lost(out);
    }
}

void shard_log::complete_write(store::revision revision,
                               events& out,
                               context& ctx) {
    const auto written = step_;
    step_ = step::idle;
    switch (written) {
    case step::writing_head:
        on_head_written(revision);
        read_segment(head_.first_segment_, ctx);
        break;
    case step::raising_low_watermark:
        on_head_written(revision);
        erase_sealed(ctx);
        out.emplace_back(low_watermark_raised{});
        break;
    case step::fencing:
        on_segment_written(revision);
        list_garbage(ctx);
        out.emplace_back(log_opened{head_.epoch_});
        break;
    case step::appending:
        if (next_segment_) {
            number_ = *next_segment_;
            next_segment_.reset();
        }
        on_segment_written(revision);
        out.emplace_back(batch_durable{});
        break;
    case step::sealing:
        on_segment_written(revision);
        sealed_.push_back(sealed_segment{number_, revision_, last_issue_});
        last_issue_ = {};
        next_segment_ = number_ + 1;
        break;
    default:
        out.emplace_back(log_released{next_head_.epoch_});
        close();
        break;
    }
}

void shard_log::on_head_written(store::revision revision) {
    head_ = next_head_;
    head_revision_ = revision;
    pending_ = {};
}

void shard_log::on_segment_written(store::revision revision) {
    content_ = std::move(pending_.put_.value_);
    revision_ = revision;
    pending_ = {};
}

void shard_log::close_as_lost(events& out) {
    close();
    out.emplace_back(log_lost{});
}

} // namespace pimentoferry::once::internal
