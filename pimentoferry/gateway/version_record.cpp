#include "pimentoferry/gateway/version_record.hpp"

#include "pimentoferry/base/hash.hpp"
#include "pimentoferry/http/error_token.hpp"
#include "pimentoferry/log/log.hpp"
#include "pimentoferry/membership/ownership.hpp"
#include "pimentoferry/store/http_codec.hpp"
#include "pimentoferry/wire/codec.hpp"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <string>
#include <utility>

namespace pimentoferry::gateway {

namespace asio = boost::asio;

namespace {

constexpr const char* record_key = "pimentoferry/software-versions";
constexpr const char* era_key = "pimentoferry/software-versions-era";
// The callers of the gateway wait meanwhile.
constexpr base::milliseconds read_timeout{500};
// Bounds the reads in a burst of questions.
constexpr base::milliseconds read_spacing{20};
// A read whose answer may be lost does not hold up the next one for longer.
constexpr base::milliseconds longest_read{100};
// Between two writers. The first one has written the record by then, and the
// next one has received it.
constexpr base::milliseconds writer_delay{250};
constexpr base::milliseconds retry_interval{200};
// By then versions that a restored store has lost are recorded again.
constexpr base::milliseconds rewrite_time{2000};

} // namespace

std::string text_of(const std::vector<base::software_version>& versions) {
    std::string text;
    std::ranges::for_each(versions, [&text](const auto& version) {
        text += (text.empty() ? "" : ",") + version.value_;
    });
    return text.empty() ? "none" : text;
}

std::shared_ptr<version_record::shared_read> version_record::next_read() {
    const auto now = base::clock::now();
    if (!next_read_) {
        next_read_ = std::make_shared<shared_read>(io_, now + read_timeout);
    }
    auto read = next_read_;
    start_next_read(now);
    return read;
}

http::awaitable<std::optional<routing::recorded_versions>>
version_record::read() {
    const auto read = next_read();
    while (!read->finished_ && base::clock::now() < read->until_) {
        boost::system::error_code ignored;
        co_await read->finished_signal_.async_wait(
            http::internal::into(ignored));
    }
    co_return read->record_;
}

void version_record::start_next_read(base::time_point now) {
    const auto spacing = reads_in_progress_ > 0 ? longest_read : read_spacing;
    if (!next_read_ || now - last_read_ < spacing) {
        return;
    }
    auto read = std::exchange(next_read_, nullptr);
    ++reads_in_progress_;
    last_read_ = now;
    store_.submit({store::token{1}, store::get{record_key}},
                  [this, read](const store::result& result) {
                      --reads_in_progress_;
                      finish(*read, result);
                      start_next_read(base::clock::now());
                  });
}

void version_record::finish(shared_read& read, const store::result& result) {
    const auto* found = std::get_if<store::found>(&result.outcome_);
    const bool answered = found != nullptr && is_of_this_era(result);
    counters_.count_store_call("software_versions",
                               answered ? "ok" : "unavailable");
    if (answered) {
        take_value(found->value_, {follower_.era(), found->revision_}, "read");
        if (is_complete() && reaches_record()) {
            read.record_ = recorded_;
        }
    }
    read.finished_ = true;
    read.finished_signal_.cancel();
}

// An answer of another era is that of a store that has come back from an older
// copy, of which this gateway has not heard.
bool version_record::is_of_this_era(const store::result& result) const {
    return !result.era_ || *result.era_ == follower_.era();
}

bool version_record::reaches_record() const {
    const auto replica = follower_.replica().current();
    return routing::record_position{replica.era_, replica.at_} >=
           recorded_.position();
}

// A store without eras never loses what it has acknowledged.
bool version_record::is_complete() const {
    return follower_.era() == complete_in_;
}

void version_record::receive(const store::item& item) {
    if (item.key_ == era_key) {
        complete_in_ = store::internal::parse_era(item.value_).value_or(0);
    }
    if (item.key_ == record_key) {
        const auto era = follower_.replica().current().era_;
        take_value(item.value_, {era, item.revision_}, "replica");
    }
}

void version_record::receive(const store::item_removed& removed) {
    if (removed.key_ == record_key) {
        recorded_.clear(follower_.replica().current().era_);
    } else if (removed.key_ == era_key) {
        complete_in_ = 0;
    }
}

// A record that cannot be read is replaced by what this gateway knows.
void version_record::take_value(const std::string& value,
                                routing::record_position position,
                                std::string_view received_by) {
    const auto decoded = wire::decode<routing::versions_in_use>(value);
    const auto* record = std::get_if<routing::versions_in_use>(&decoded);
    if (record == nullptr) {
        log::log_warn("stream_origins_unreadable",
                      {{"key", record_key},
                       {"revision", std::to_string(position.revision_)}});
    }
    take(record != nullptr ? *record : routing::versions_in_use{}, position,
         received_by);
}

void version_record::take(const routing::versions_in_use& record,
                          routing::record_position position,
                          std::string_view received_by) {
    const bool is_new = position > recorded_.position();
    if (!recorded_.take(record, position) || !is_new) {
        return;
    }
    std::ranges::for_each(
        record.services_, [&](const routing::service_versions& each) {
            log::log_info("software_versions_recorded",
                          {{"service", each.service_.value_},
                           {"versions", text_of(each.versions_)},
                           {"received_by", std::string{received_by}},
                           {"era", std::to_string(position.era_)},
                           {"revision", std::to_string(position.revision_)}});
        });
    on_record_(record);
}

std::size_t version_record::rank() const {
    const auto watchers = peers_.watchers();
    const auto watcher = std::ranges::find(watchers, peers_.self());
    if (watcher != watchers.end()) {
        return static_cast<std::size_t>(watcher - watchers.begin());
    }
    auto others = membership::shard_candidates(
        static_cast<std::uint32_t>(base::hash_bytes(record_key)),
        peers_.live());
    std::erase_if(others, [&watchers](base::instance_id each) {
        return std::ranges::count(watchers, each) > 0;
    });
    return watchers.size() +
           static_cast<std::size_t>(std::ranges::find(others, peers_.self()) -
                                    others.begin());
}

void version_record::update(const routing::versions_in_use& known,
                            const routing::versions_in_use& in_use,
                            base::time_point now) {
    start_next_read(now);
    if (known_era_ != follower_.era()) {
        known_era_ = follower_.era();
        known_era_since_ = now;
    }
    // Versions are removed only by a gateway that the store itself has
    // confirmed and whose replica has the instances that were registered before
    // the record was written.
    const bool may_remove =
        follower_.current(now) && reaches_record() && rank() == 0;
    auto wanted = recorded_.update_for(known, in_use, may_remove);
    if (!wanted) {
        differs_since_.reset();
        record_era(now);
        return;
    }
    differs_since_ = differs_since_.value_or(now);
    const bool due =
        now - *differs_since_ >= writer_delay * static_cast<int>(rank()) &&
        now >= next_write_;
    if (due && !write_in_progress_) {
        next_write_ = now + retry_interval;
        write(std::move(*wanted));
    }
}

void version_record::record_era(base::time_point now) {
    const auto delay = rewrite_time + writer_delay * static_cast<int>(rank());
    const bool due = follower_.current(now) && reaches_record() &&
                     now - known_era_since_ >= delay && now >= next_write_;
    if (is_complete() || !due || write_in_progress_) {
        return;
    }
    const auto& items = follower_.replica().items();
    const auto stored = items.find(era_key);
    write_in_progress_ = true;
    next_write_ = now + retry_interval;
    store_.submit(
        {store::token{1},
         store::put{era_key, std::to_string(known_era_),
                    stored != items.end() ? stored->second.revision_ : 0,
                    store::lease_id{}}},
        [this](const store::result& result) {
            write_in_progress_ = false;
            const bool done =
                std::holds_alternative<store::written>(result.outcome_);
            counters_.count_store_call("software_versions_era",
                                       done ? "ok" : "unavailable");
        });
}

void version_record::write(routing::versions_in_use record) {
    write_in_progress_ = true;
    auto value = wire::encode(record);
    store_.submit(
        {store::token{1},
         store::put{record_key, std::move(value),
                    recorded_.position().revision_, store::lease_id{}}},
        [this, record = std::move(record)](const store::result& result) {
            write_in_progress_ = false;
            finish_write(record, result);
        });
}

void version_record::finish_write(const routing::versions_in_use& record,
                                  const store::result& result) {
    const auto* written = std::get_if<store::written>(&result.outcome_);
    counters_.count_store_call("software_versions_write",
                               written != nullptr ? "ok" : "unavailable");
    if (written != nullptr && is_of_this_era(result)) {
        take(record, {follower_.era(), written->revision_}, "write");
    } else if (std::holds_alternative<store::conflict>(result.outcome_)) {
        // Another gateway has written, and the replica does not have it yet.
        next_read();
    }
}

} // namespace pimentoferry::gateway
