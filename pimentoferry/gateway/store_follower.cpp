#include "pimentoferry/gateway/store_follower.hpp"

#include "pimentoferry/base/hash.hpp"
#include "pimentoferry/base/overloaded.hpp"
#include "pimentoferry/http/error_token.hpp"
#include "pimentoferry/http/mailbox.hpp"
#include "pimentoferry/log/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <algorithm>

namespace pimentoferry::gateway {

namespace asio = boost::asio;

namespace {

// Backoff after failures: it doubles, so that an outage of any length costs few
// calls, and is short enough that a change takes effect within 2 s of the
// store's recovery.
constexpr base::milliseconds initial_backoff{100};
constexpr base::milliseconds max_backoff{800};
constexpr std::uint32_t max_doublings = 3;

// While the store works, a watch completes at least every 1.5 s.
constexpr base::milliseconds response_validity{2500};
// Peers are queried every 500 ms; without a confirmation for this long the
// gateway watches the store itself.
constexpr base::milliseconds confirmation_validity{1300};
constexpr base::milliseconds confirmation_check_interval{100};
// The era rises by one with each restore. A higher step is a wrong header; it
// would make every true answer appear to be late.
constexpr store::era max_era_step = 1000;
constexpr std::uint32_t contradictions_to_refute = 3;
// Joining the reports of peers moves the beginning of a span by the times that
// messages travel; smaller moves are not logged.
constexpr base::milliseconds min_logged_move{100};

std::string_view outcome_name(const store::outcome& outcome) {
    return std::visit(
        base::overloaded{
            [](const store::unavailable&) { return "unavailable"; },
            [](const store::declined&) { return "declined"; },
            [](const store::history_lost&) { return "history_lost"; },
            [](const store::conflict&) { return "conflict"; },
            [](const auto&) { return "ok"; }},
        outcome);
}

} // namespace

store_follower::store_follower(asio::io_context& io,
                               store::http_store& store,
                               metrics& counters,
                               store_follower_options options,
                               changes_handler on_changes,
                               std::function<void()> on_restored)
    : io_(io), store_(store), counters_(counters), options_(std::move(options)),
      on_changes_(std::move(on_changes)), on_restored_(std::move(on_restored)) {
}

bool store_follower::current(base::time_point now) const {
    const auto& own_answer = availability_.last_own_answer();
    return listed_ && availability_.own_link_up() && own_answer &&
           now - *own_answer < response_validity;
}

bool store_follower::confirmed(base::time_point now) const {
    return current(now) || now - confirmed_at_ < confirmation_validity;
}

std::optional<base::time_point> store_follower::last_confirmed() const {
    const auto& own_answer = availability_.last_own_answer();
    const auto last =
        std::max(own_answer.value_or(base::time_point{}), confirmed_at_);
    return last > base::time_point{} ? std::optional{last} : std::nullopt;
}

void store_follower::start(std::function<bool()> should_watch) {
    should_watch_ = std::move(should_watch);
    asio::co_spawn(
        io_, [this] { return run(); }, asio::detached);
}

http::awaitable<void> store_follower::run() {
    while (true) {
        // Two statements instead of one conditional expression, and no
        // temporary aggregates as arguments in the functions below: GCC 12
        // miscompiles both in a co_await expression.
        bool done = false;
        const auto now = base::clock::now();
        const bool confirmed = now - confirmed_at_ < confirmation_validity ||
                               now < update_expected_until_;
        if (listed_ && confirmed && !should_watch_()) {
            asio::steady_timer pause{io_, confirmation_check_interval};
            boost::system::error_code ignored;
            co_await pause.async_wait(http::internal::into(ignored));
            continue;
        }
        if (listed_) {
            done = co_await watch_once();
        } else {
            done = co_await list_all();
        }
        if (!done) {
            asio::steady_timer pause{io_, next_backoff()};
            boost::system::error_code ignored;
            co_await pause.async_wait(http::internal::into(ignored));
        }
    }
}

base::milliseconds store_follower::next_backoff() {
    const auto doublings =
        std::min(std::max(failures_, lost_histories_), max_doublings);
    const auto pause =
        std::min(initial_backoff * (1U << doublings), max_backoff);
    constexpr std::uint64_t jitter_percent_bound = 50;
    ++backoff_count_;
    const auto jitter = base::hash_combine(options_.seed_, backoff_count_) %
                        jitter_percent_bound;
    return pause + pause * static_cast<int>(jitter) / 100;
}

http::awaitable<store::outcome> store_follower::call(store::request request,
                                                     std::string_view name) {
    const auto known_era = era_;
    auto answer = std::make_shared<http::mailbox<store::result>>(io_);
    store_.submit(
        {store::token{1}, std::move(request)},
        [answer](const store::result& result) { answer->deliver(result); });
    auto result = co_await answer->next();
    store::outcome outcome = store::unavailable{};
    if (is_of_this_era(result, known_era)) {
        outcome = std::move(result.outcome_);
    }
    counters_.count_store_call(name, outcome_name(outcome));
    record_result(!std::holds_alternative<store::unavailable>(outcome) &&
                      !std::holds_alternative<store::declined>(outcome),
                  name);
    co_return outcome;
}

bool store_follower::is_of_this_era(const store::result& answer,
                                    store::era known) {
    if (!answer.era_) {
        return true;
    }
    if (*answer.era_ >= era_) {
        contradictions_ = 0;
        note_era(*answer.era_, "own_call");
        return true;
    }
    log::log_warn("store_answer_late", {{"era", std::to_string(*answer.era_)},
                                        {"known_era", std::to_string(era_)}});
    if (known == era_ && ++contradictions_ >= contradictions_to_refute) {
        refute_era(*answer.era_);
    }
    return false;
}

void store_follower::refute_era(store::era actual) {
    log::log_error("store_era_refuted", {{"era", std::to_string(actual)},
                                         {"refuted", std::to_string(era_)}});
    refuted_era_ = era_;
    contradictions_ = 0;
    era_ = actual;
    replica_.forget_revisions(actual);
    give_up_replica();
}

void store_follower::give_up_replica() {
    counters_.set_gauge("store_era", static_cast<double>(era_));
    counters_.set_gauge("store_restores", ++restores_);
    listed_ = false;
    restored_at_ = base::clock::now();
    on_restored_();
}

void store_follower::note_era(store::era heard, std::string_view told_by) {
    if (heard <= era_ || (told_by == "peer" && heard == refuted_era_)) {
        return;
    }
    const bool plausible = era_ == 0 || heard - era_ <= max_era_step;
    // A gateway that knows nothing yet has nothing to give up.
    const bool restored = plausible && replica_.at() > 0;
    log::log_warn("store_era", {{"era", std::to_string(heard)},
                                {"before", std::to_string(era_)},
                                {"told_by", std::string{told_by}},
                                {"revision", std::to_string(replica_.at())},
                                {"taken", plausible ? "yes" : "no"},
                                {"restored", restored ? "yes" : "no"}});
    if (!plausible) {
        return;
    }
    era_ = heard;
    if (restored) {
        give_up_replica();
    }
    counters_.set_gauge("store_era", static_cast<double>(era_));
}

std::optional<base::time_point> store_follower::store_returned_at() const {
    return std::max(availability_.returned_at(), restored_at_);
}

void store_follower::record_result(bool responded, std::string_view operation) {
    const auto now = base::clock::now();
    failures_ = responded ? 0 : failures_ + 1;
    const bool link_was_up = availability_.own_link_up();
    const auto span_before = availability_.span();
    if (responded) {
        availability_.record_answer(now);
    } else {
        availability_.record_failure(now);
    }
    log_availability_change(span_before);
    const bool first_answer = responded && !span_before;
    if (responded == link_was_up || first_answer) {
        return;
    }
    log::log_info(responded ? "store_regained" : "store_lost",
                  {{"operation", std::string{operation}},
                   {"revision", std::to_string(replica_.at())}});
}

void store_follower::log_availability_change(
    const std::optional<store::answering_span>& before) const {
    const auto& span = availability_.span();
    const bool same =
        span && before && before->after_outage_ == span->after_outage_ &&
        std::chrono::abs(before->from_ - span->from_) < min_logged_move;
    if (!span || same) {
        return;
    }
    log::log_info("store_answering",
                  {{"since_ms", std::to_string(base::age_ms(
                                    span->from_, base::clock::now()))},
                   {"after_outage", span->after_outage_ ? "yes" : "no"},
                   {"told_by", std::string{to_string(availability_.source())}},
                   {"revision", std::to_string(replica_.at())}});
}

std::string_view store_follower::origin_of(store::position before,
                                           std::string_view source) const {
    const bool from_copy =
        before.at_ > 0 && before.era_ != replica_.current().era_;
    return from_copy ? "copy" : source;
}

http::awaitable<bool> store_follower::list_all() {
    std::vector<store::item> items;
    store::revision at = 0;
    std::string after;
    store::era listed_era = 0;
    while (true) {
        store::request page_request = store::scan{options_.prefix_, after};
        const auto outcome = co_await call(std::move(page_request), "list");
        const auto* page = std::get_if<store::scanned>(&outcome);
        if (page == nullptr) {
            co_return false;
        }
        listed_era = at == 0 ? era_ : listed_era;
        at = at == 0 ? page->at_ : at;
        if (listed_era != era_) {
            co_return false;
        }
        items.insert(items.end(), page->items_.begin(), page->items_.end());
        if (!page->truncated_ || page->items_.empty()) {
            break;
        }
        after = page->items_.back().key_;
    }
    log::log_info("store_listed", {{"items", std::to_string(items.size())},
                                   {"era", std::to_string(listed_era)},
                                   {"revision", std::to_string(at)}});
    listed_ = true;
    const auto before = replica_.current();
    const auto changes = replica_.replace(items, at, listed_era);
    on_changes_(changes, origin_of(before, "list"));
    co_return true;
}

http::awaitable<bool> store_follower::watch_once() {
    const auto asked_from = replica_.current();
    store::request request =
        store::watch{options_.prefix_, asked_from.at_, options_.watch_wait_};
    const auto outcome = co_await call(std::move(request), "watch");
    if (asked_from.era_ != era_ || asked_from.era_ != replica_.current().era_) {
        // The revision meant another state of the store than the answer.
        listed_ = listed_ && era_ == replica_.current().era_;
        co_return true;
    }
    if (std::holds_alternative<store::history_lost>(outcome)) {
        log::log_info("store_history_lost",
                      {{"revision", std::to_string(replica_.at())}});
        listed_ = false;
        // A listing at once, but a pause if it did not help.
        co_return ++lost_histories_ <= 1;
    }
    const auto* changes = std::get_if<store::changed>(&outcome);
    if (changes == nullptr) {
        co_return false;
    }
    lost_histories_ = 0;
    on_changes_(replica_.apply(*changes), "watch");
    co_return true;
}

replica_update store_follower::update_since(store::position since,
                                            base::time_point now) const {
    replica_update update{replica_.since(since), current(now), std::nullopt};
    const auto age = [now](base::time_point at) {
        return std::chrono::duration_cast<base::milliseconds>(now - at);
    };
    if (const auto span = availability_.report()) {
        update.answering_ = answering_report{
            age(span->from_), age(span->last_answer_), span->after_outage_};
    }
    return update;
}

void store_follower::merge(const replica_update& update) {
    const auto now = base::clock::now();
    if (const auto& report = update.answering_) {
        const auto span_before = availability_.span();
        availability_.merge({now - report->from_, now - report->last_answer_,
                             report->after_outage_});
        log_availability_change(span_before);
    }
    if (update.delta_.from_ == 0 && update.delta_.to_ > 0) {
        note_era(update.delta_.era_, "peer");
    }
    const auto before = replica_.current();
    const auto changes = update.delta_.era_ <= era_
                             ? replica_.merge(update.delta_)
                             : std::vector<store::mirror_change>{};
    const auto known = replica_.current();
    if (update.current_ && update.delta_.era_ == era_ && known.era_ == era_ &&
        known >= update.delta_.end()) {
        confirmed_at_ = now;
        listed_ = listed_ || replica_.at() > 0;
    }
    if (changes.empty()) {
        return;
    }
    log::log_info("peer_copy_taken",
                  {{"before", std::to_string(before.at_)},
                   {"revision", std::to_string(replica_.at())},
                   {"changes", std::to_string(changes.size())}});
    on_changes_(changes, origin_of(before, "peer"));
}

} // namespace pimentoferry::gateway
