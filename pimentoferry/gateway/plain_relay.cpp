#include "pimentoferry/gateway/plain_relay.hpp"

#include "pimentoferry/base/hash.hpp"
#include "pimentoferry/gateway/call_permits.hpp"
#include "pimentoferry/gateway/call_placement.hpp"
#include "pimentoferry/gateway/crash_guard.hpp"
#include "pimentoferry/gateway/limit_guard.hpp"
#include "pimentoferry/gateway/peer_relay.hpp"
#include "pimentoferry/gateway/peers.hpp"
#include "pimentoferry/gateway/upstream_check.hpp"
#include "pimentoferry/gateway/upstream_statements.hpp"
#include "pimentoferry/http/proxy.hpp"
#include "pimentoferry/log/log.hpp"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <set>
#include <variant>

namespace pimentoferry::gateway {

namespace {

// A connection within the region takes a few ms; a replica that does not
// accept one within this time is down or unreachable.
constexpr base::milliseconds connect_timeout{250};
// The replica may close a connection that was idle for longer while a call is
// in transit, which leaves open whether the call ran.
constexpr base::milliseconds max_idle_for_non_idempotent{2000};
// Sends that the replica did not run do not count as attempts; this limits
// them.
constexpr std::size_t max_sends = 4;

constexpr base::milliseconds full_retry_after{300};
constexpr base::milliseconds no_replica_retry_after{500};
// A replica that has crashed is back after some seconds.
constexpr base::milliseconds suspect_retry_after{2000};
constexpr base::milliseconds suspect_retry_spread{2000};
// Callers that were refused for the limits of replicas return over this part of
// the time that they are told to wait, and over this time at least.
constexpr double limited_retry_spread = 1;
constexpr base::milliseconds least_limited_retry_spread{100};
// Callers of replicas that have paused do not return together.
constexpr base::milliseconds paused_retry_spread{300};

/// The result of one send.
struct send_result {
    answer_meaning meaning_{answer_meaning::foreign};
    std::optional<http::response> answer_;
    std::optional<http::call_failure> failure_;

    /// The replica certainly did not run the call.
    bool not_run() const {
        return meaning_ == answer_meaning::rejected ||
               meaning_ == answer_meaning::misrouted ||
               (failure_ && !failure_->sent_);
    }
    /// The answer is one of the replica to this call.
    bool is_of_replica() const {
        return meaning_ != answer_meaning::misrouted &&
               meaning_ != answer_meaning::foreign;
    }
    bool cancelled() const {
        return failure_ && failure_->kind_ == http::failure_kind::cancelled;
    }
    bool connection_refused() const {
        return failure_ && failure_->kind_ == http::failure_kind::refused;
    }
    /// The connection ended while the replica had the call.
    bool answer_lost() const {
        return failure_ && failure_->sent_ &&
               failure_->kind_ == http::failure_kind::broken;
    }
};

routing::call_result result_of(const send_result& outcome) {
    // A refused connection is recorded by itself.
    if (outcome.cancelled() || outcome.connection_refused()) {
        return routing::call_result::abandoned;
    }
    switch (outcome.meaning_) {
    case answer_meaning::success:
        return routing::call_result::answered;
    case answer_meaning::rejected:
        return routing::call_result::rejected;
    case answer_meaning::misrouted:
    case answer_meaning::failure:
    case answer_meaning::foreign:
        return routing::call_result::failed;
    }
    return routing::call_result::failed;
}

std::string outcome_text(const send_result& outcome) {
    if (outcome.failure_) {
        return std::string{to_string(outcome.failure_->kind_)} +
               (outcome.failure_->sent_ ? "" : "_not_sent");
    }
    switch (outcome.meaning_) {
    case answer_meaning::success:
        return "success";
    case answer_meaning::rejected:
        return "rejected";
    case answer_meaning::misrouted:
        return "misrouted";
    case answer_meaning::failure:
        return "failure";
    case answer_meaning::foreign:
        return "foreign";
    }
    return "unknown";
}

class plain_call {
public:
    plain_call(runtime& shared, routed_call& call)
        : shared_(shared), call_(call) {}

    http::awaitable<void> run();

    /// Whether a replica may have run the call.
    bool may_have_run() const { return possible_runs_ > 0; }

private:
    struct no_replica {};
    /// All replicas announced limits that are used up.
    struct limited_replicas {
        base::milliseconds wait_{0};
    };
    /// The owner of the service expects no place in time.
    struct no_place {
        base::milliseconds retry_after_{0};
    };
    /// All replicas have asked this gateway for a pause.
    struct paused_replicas {
        base::milliseconds wait_{0};
    };
    using choice = std::variant<routing::instance,
                                no_replica,
                                limited_replicas,
                                no_place,
                                paused_replicas>;

    http::awaitable<void> run_attempts();
    http::awaitable<choice> choose();
    /// Chooses among replicas that have not asked for a pause.
    http::awaitable<choice> choose_unpaused();
    /// Lets the owner of the service choose; unset if it does not reply.
    http::awaitable<std::optional<choice>> choose_by_owner();
    /// Chooses without the owner, and tells it.
    choice choose_in_its_place();
    /// Tells the owner of the service that the call has ended.
    void release_place(routing::call_result result,
                       base::milliseconds duration,
                       bool connection_refused);
    http::awaitable<choice>
    choose_limited(std::vector<const routing::instance*> limited);
    std::vector<const routing::instance*>
    untried_replicas(base::time_point now) const;
    /// The replica, unless it is gone or has asked for a pause meanwhile.
    const routing::instance* find_open(const base::upstream_name& id) const;
    http::awaitable<void> refuse_limited(base::milliseconds wait);
    http::awaitable<void> refuse_paused(base::milliseconds wait);
    http::awaitable<void> refuse_no_place(base::milliseconds retry_after);
    http::awaitable<send_result> send(routing::instance replica);
    /// Keeps calls of all gateways away from a replica that has ended.
    void report_ended(const base::upstream_name& replica);
    http::awaitable<void> examine_lost_answer(routing::instance replica,
                                              base::time_point sent_at);
    /// What the call is recognised by if it crashes replicas.
    const requests::prompt_parts& crash_parts();
    std::optional<base::milliseconds> quarantined_for();
    /// Whether the call is blamed for a crash and only one replica is left.
    bool risks_last_replica();
    http::awaitable<void> refuse_suspect();
    bool may_send_again(const send_result& last) const;
    http::awaitable<void> respond(send_result last);

    runtime& shared_;
    routed_call& call_;
    std::set<base::upstream_name> tried_;
    std::uint32_t possible_runs_{0}; ///< Sends that may have run.
    /// The place that the owner of the service counts for the call.
    std::optional<base::attempt_id> place_;
    /// Unset until needed: it costs a hash of the whole body.
    std::optional<requests::prompt_parts> crash_parts_;
};

http::awaitable<send_result> plain_call::send(routing::instance replica) {
    const auto began = base::clock::now();
    const bool idempotent =
        call_.route_.kind_ == routing::call_kind::idempotent;
    http::call_options options;
    options.deadline_ = call_.deadline_;
    options.connect_timeout_ = connect_timeout;
    if (!idempotent) {
        options.longest_idle_ = max_idle_for_non_idempotent;
    }
    const bool fresh = call_.needs_fresh_connection(replica.address_);
    options.fresh_connection_ = fresh;
    options.cancel_ = call_.exchange_.caller_gone();
    options.is_answer_ = [this](const http::response_head& head) {
        return shared_.protocol_.is_answer_to_(call_.request_, head);
    };
    shared_.statements_->observe(options, call_.request_, replica);
    auto request = shared_.protocol_.plain_call_(
        call_.exchange_.call(), {replica.id_, time_left(call_, began),
                                 std::nullopt, call_.account_name()});
    shared_.picker_.started(replica.id_);
    auto received = co_await shared_.client_.call(
        replica.address_, std::move(request), std::move(options));
    const auto now = base::clock::now();
    send_result outcome;
    if (const auto* failure = std::get_if<http::call_failure>(&received)) {
        outcome.failure_ = *failure;
        shared_.relay_->send_failed(replica, *failure);
    } else {
        outcome.answer_ = std::get<http::response>(std::move(received));
        outcome.meaning_ = shared_.protocol_.meaning_of_(
            call_.request_,
            {outcome.answer_->status_, outcome.answer_->fields_});
    }
    const auto duration =
        std::chrono::duration_cast<base::milliseconds>(now - began);
    shared_.picker_.ended(replica.id_, result_of(outcome), duration, now);
    // To an isolated gateway every replica seems to refuse connections.
    release_place(result_of(outcome), duration,
                  outcome.connection_refused() && !shared_.relay_->isolated());
    if (outcome.connection_refused()) {
        report_ended(replica.id_);
    }
    shared_.metrics_.count_send("call", outcome_text(outcome));
    log::log_info(
        "send",
        {{"request", call_.request_.id_},
         {"service", call_.service_.value_},
         {"configuration", std::to_string(call_.routes_->version())},
         {"instance", replica.id_.value_},
         {"address", base::to_string(replica.address_)},
         {"fresh_connection", fresh ? "yes" : "no"},
         {"send", std::to_string(tried_.size())},
         {"view_ms", shared_.view_age(began)},
         {"limit", shared_.limits_->limit_text(replica.id_)},
         {"outcome", outcome_text(outcome)},
         {"status",
          outcome.answer_ ? std::to_string(outcome.answer_->status_) : "none"},
         {"ms", std::to_string(duration.count())}});
    possible_runs_ += outcome.not_run() ? 0 : 1;
    co_return outcome;
}

void plain_call::report_ended(const base::upstream_name& replica) {
    if (shared_.picker_.connection_refused(replica, base::clock::now()) &&
        !shared_.relay_->isolated()) {
        log::log_info(
            "replica_refuses_connections",
            {{"request", call_.request_.id_}, {"instance", replica.value_}});
        shared_.peers_->send_to_all(refusing_instance{replica});
    }
}

const requests::prompt_parts& plain_call::crash_parts() {
    if (!crash_parts_) {
        crash_parts_ = shared_.crashes_->parts_of(call_.exchange_.call());
    }
    return *crash_parts_;
}

// The replica crashed, or broke off this answer alone.
http::awaitable<void>
plain_call::examine_lost_answer(routing::instance replica,
                                base::time_point sent_at) {
    const auto state = co_await check_upstream(shared_, replica);
    log::log_warn("answer_lost",
                  {{"request", call_.request_.id_},
                   {"instance", replica.id_.value_},
                   {"upstream", std::string{to_string(state)}},
                   {"own_part", base::to_hex(crash_parts().own_)}});
    if (state == upstream_state::gone || state == upstream_state::left) {
        report_ended(replica.id_);
    }
    if (state == upstream_state::gone) {
        shared_.crashes_->upstream_crashed(call_.request_.id_, crash_parts(),
                                           replica.id_, sent_at);
    }
}

// For a call that is sent for the first time, and for one that is sent again:
// its own run, or one elsewhere, may have crashed a replica meanwhile.
std::optional<base::milliseconds> plain_call::quarantined_for() {
    auto& crashes = *shared_.crashes_;
    if (!crashes.any_marks()) {
        return std::nullopt;
    }
    return tried_.empty()
               ? crashes.admit(crash_parts(), call_.arrived_)
               : crashes.refused_for(crash_parts(), base::clock::now());
}

bool plain_call::may_send_again(const send_result& last) const {
    if (last.cancelled() || tried_.size() >= max_sends) {
        return false;
    }
    if (last.not_run()) {
        return true;
    }
    const bool idempotent =
        call_.route_.kind_ == routing::call_kind::idempotent;
    const bool timed_out =
        last.failure_ && last.failure_->kind_ == http::failure_kind::timed_out;
    const bool broken = last.meaning_ == answer_meaning::foreign ||
                        last.meaning_ == answer_meaning::failure;
    return idempotent && broken && !timed_out &&
           possible_runs_ < call_.route_.max_attempts_;
}

bool plain_call::risks_last_replica() {
    const auto now = base::clock::now();
    auto& crashes = *shared_.crashes_;
    return crashes.any_marks() && crashes.is_blamed(crash_parts(), now) &&
           shared_.picker_.is_last_running(
               shared_.registry_.instances().usable(call_.service_, now));
}

http::awaitable<void> plain_call::refuse_suspect() {
    const auto spread = std::chrono::duration_cast<base::milliseconds>(
        suspect_retry_spread * shared_.random_fraction());
    base::refusal refusal{
        base::refusal_code::quarantined, base::ran_state::not_run,
        suspect_retry_after + spread, "it may crash the last running replica"};
    co_await refuse(shared_, call_, std::move(refusal));
}

std::vector<const routing::instance*>
plain_call::untried_replicas(base::time_point now) const {
    auto replicas = shared_.registry_.instances().usable(call_.service_, now);
    std::erase_if(replicas, [this, now](const routing::instance* each) {
        return each->stage_ == routing::engine_stage::prefill ||
               tried_.contains(each->id_) || shared_.pauses_.paused(*each, now);
    });
    return replicas;
}

const routing::instance*
plain_call::find_open(const base::upstream_name& id) const {
    const auto now = base::clock::now();
    const auto* found = shared_.registry_.instances().find_usable(id, now);
    return found != nullptr && !shared_.pauses_.paused(*found, now) ? found
                                                                    : nullptr;
}

http::awaitable<plain_call::choice> plain_call::choose() {
    const auto now = base::clock::now();
    auto replicas = shared_.registry_.instances().usable(call_.service_, now);
    std::erase_if(replicas, [](const routing::instance* each) {
        return each->stage_ == routing::engine_stage::prefill;
    });
    if (const auto wait = shared_.pauses_.wait_for_any(replicas, now)) {
        co_return paused_replicas{*wait};
    }
    co_return co_await choose_unpaused();
}

// Replicas without a limit take the calls that limited ones cannot. A limited
// replica is used when the others are failing or full, and now and then to
// learn whether its limit has ended.
http::awaitable<plain_call::choice> plain_call::choose_unpaused() {
    const auto now = base::clock::now();
    auto open = untried_replicas(now);
    std::vector<const routing::instance*> limited;
    std::ranges::copy_if(open, std::back_inserter(limited),
                         [this](const routing::instance* each) {
                             return shared_.allowances_.limited(each->id_);
                         });
    if (limited.empty() && shared_.call_places_->places(call_.service_)) {
        auto placed = co_await choose_by_owner();
        co_return placed ? std::move(*placed) : choose_in_its_place();
    }
    if (const auto* spare = shared_.permits_->take_spare(limited, now)) {
        shared_.metrics_.count_limited(call_.service_.value_, "spare");
        co_return *spare;
    }
    std::erase_if(open, [this](const routing::instance* each) {
        return shared_.allowances_.limited(each->id_);
    });
    const auto* chosen = shared_.picker_.choose(
        open, tried_, shared_.settings_.failure_domain_,
        call_.route_.kind_ == routing::call_kind::idempotent, now);
    if (limited.empty() ||
        (chosen != nullptr && shared_.picker_.accepts(*chosen, open, now))) {
        co_return chosen != nullptr ? choice{*chosen} : choice{no_replica{}};
    }
    // The table of instances may change during the wait for a permit.
    const auto fallback =
        chosen != nullptr ? std::optional{*chosen} : std::nullopt;
    auto permitted = co_await choose_limited(std::move(limited));
    const bool use_fallback =
        fallback && !std::holds_alternative<routing::instance>(permitted) &&
        find_open(fallback->id_) != nullptr;
    co_return use_fallback ? choice{*fallback} : std::move(permitted);
}

http::awaitable<std::optional<plain_call::choice>>
plain_call::choose_by_owner() {
    const auto now = base::clock::now();
    const auto until = [now](base::time_point at) {
        return std::max(
            std::chrono::duration_cast<base::milliseconds>(at - now),
            base::milliseconds{0});
    };
    routing::place_request request;
    request.failure_domain_ = shared_.settings_.failure_domain_;
    request.priority_ = call_.priority();
    if (call_.account_) {
        request.account_ =
            base::hash_bytes(call_.account_->account_.name_.value_);
    }
    request.budget_ = until(std::min(
        call_.arrived_ + call_.route_.latency_objective_, call_.deadline_));
    request.time_left_ = time_left(call_, now);
    request.retry_window_ = shared_.protocol_.retry_window_(request.time_left_);
    request.excluded_ = {tried_.begin(), tried_.end()};
    for (const auto* each :
         shared_.registry_.instances().usable(call_.service_, now)) {
        if (shared_.pauses_.paused(*each, now)) {
            request.excluded_.push_back(each->id_);
        }
    }
    request.may_repeat_ = call_.route_.kind_ == routing::call_kind::idempotent;
    auto cancel = call_.exchange_.caller_gone();
    const auto outcome = co_await shared_.call_places_->acquire(
        call_.service_, request, std::move(cancel));
    const auto* grant = std::get_if<routing::place_grant>(&outcome);
    const auto* refused = std::get_if<routing::place_refusal>(&outcome);
    log::log_info(
        "place_call",
        {{"request", call_.request_.id_},
         {"service", call_.service_.value_},
         {"replica", grant != nullptr ? grant->replica_.value_ : "none"},
         {"left_domain", grant != nullptr ? std::string{routing::to_string(
                                                grant->left_domain_)}
                                          : "none"},
         {"budget_ms", std::to_string(request.budget_.count())},
         {"waiting_before",
          refused != nullptr ? std::to_string(refused->waiting_) : "none"},
         {"ms", std::to_string(base::age_ms(now, base::clock::now()))}});
    if (grant != nullptr) {
        place_ = grant->attempt_;
        if (const auto* replica = find_open(grant->replica_)) {
            co_return choice{*replica};
        }
        // This gateway knows of its end, or of a pause, before the owner.
        release_place(routing::call_result::abandoned, {}, false);
        co_return std::nullopt;
    }
    if (refused != nullptr) {
        co_return refused->no_replica_
            ? choice{no_replica{}}
            : choice{no_place{refused->retry_after_}};
    }
    if (std::holds_alternative<place_abandoned>(outcome)) {
        co_return choice{no_replica{}};
    }
    co_return std::nullopt;
}

plain_call::choice plain_call::choose_in_its_place() {
    const auto now = base::clock::now();
    const auto* chosen = shared_.picker_.choose(
        untried_replicas(now), tried_, shared_.settings_.failure_domain_,
        call_.route_.kind_ == routing::call_kind::idempotent, now);
    if (chosen == nullptr) {
        return no_replica{};
    }
    place_ = shared_.call_places_->taken(call_.service_, chosen->id_,
                                         time_left(call_, now));
    return *chosen;
}

void plain_call::release_place(routing::call_result result,
                               base::milliseconds duration,
                               bool connection_refused) {
    if (place_) {
        shared_.call_places_->released(
            call_.service_, {*place_, result, duration, connection_refused});
        place_.reset();
    }
}

http::awaitable<plain_call::choice>
plain_call::choose_limited(std::vector<const routing::instance*> limited) {
    const auto now = base::clock::now();
    const auto healthy =
        std::ranges::partition(limited, [&](const routing::instance* each) {
            return shared_.picker_.accepts(*each, limited, now);
        });
    const auto healthy_count =
        static_cast<std::size_t>(healthy.begin() - limited.begin());
    if (healthy_count > 0) {
        limited.resize(healthy_count);
    }
    // Of many limited replicas, each call names others.
    const auto first = static_cast<std::ptrdiff_t>(
        shared_.random_fraction() * static_cast<double>(limited.size()));
    std::ranges::rotate(limited, limited.begin() + first);
    limited.resize(std::min(limited.size(), requests::max_permit_candidates));
    requests::permit_request request;
    std::ranges::transform(limited, std::back_inserter(request.candidates_),
                           &routing::instance::id_);
    request.priority_ = call_.priority();
    const auto objective = std::min(
        call_.arrived_ + call_.route_.latency_objective_, call_.deadline_);
    request.longest_wait_ = std::max(
        std::chrono::duration_cast<base::milliseconds>(objective - now),
        base::milliseconds{0});
    auto cancel = call_.exchange_.caller_gone();
    const auto decision = co_await shared_.permits_->acquire(
        call_.service_, std::move(request), std::move(cancel));
    const auto* grant = std::get_if<requests::permit_grant>(&decision);
    const auto* replica =
        grant != nullptr ? find_open(grant->replica_) : nullptr;
    const auto& service = call_.service_.value_;
    shared_.metrics_.count_limited(service,
                                   grant != nullptr ? "granted" : "refused");
    log::log_info(
        "permit",
        {{"request", call_.request_.id_},
         {"service", service},
         {"replica", grant != nullptr ? grant->replica_.value_ : "none"},
         {"ms", std::to_string(base::age_ms(now, base::clock::now()))}});
    if (replica != nullptr) {
        co_return *replica;
    }
    const auto* refused = std::get_if<requests::permit_refusal>(&decision);
    co_return refused != nullptr ? choice{limited_replicas{refused->wait_}}
                                 : choice{no_replica{}};
}

http::awaitable<void> plain_call::refuse_limited(base::milliseconds wait) {
    const auto spread = std::max<base::milliseconds>(
        std::chrono::duration_cast<base::milliseconds>(wait *
                                                       limited_retry_spread),
        least_limited_retry_spread);
    base::refusal refusal{base::refusal_code::upstream_limited,
                          base::ran_state::not_run,
                          wait + std::chrono::duration_cast<base::milliseconds>(
                                     spread * shared_.random_fraction()),
                          "the replicas accept no more requests yet"};
    co_await refuse(shared_, call_, std::move(refusal));
}

http::awaitable<void> plain_call::refuse_paused(base::milliseconds wait) {
    const auto spread = std::chrono::duration_cast<base::milliseconds>(
        paused_retry_spread * shared_.random_fraction());
    base::refusal refusal{base::refusal_code::overloaded,
                          base::ran_state::not_run, wait + spread,
                          "the replicas have asked for a pause"};
    co_await refuse(shared_, call_, std::move(refusal));
}

http::awaitable<void>
plain_call::refuse_no_place(base::milliseconds retry_after) {
    base::refusal refusal{base::refusal_code::overloaded,
                          base::ran_state::not_run, retry_after,
                          "no replica has a place in time"};
    co_await refuse(shared_, call_, std::move(refusal));
}

http::awaitable<void> plain_call::run() {
    co_await run_attempts();
    release_place(routing::call_result::abandoned, {}, false);
}

http::awaitable<void> plain_call::run_attempts() {
    auto& budget = shared_.retries(call_.service_);
    budget.note_request(call_.arrived_);
    send_result last;
    last.failure_ = http::call_failure{http::failure_kind::unreachable, false};
    while (true) {
        if (const auto left = quarantined_for()) {
            if (possible_runs_ == 0) {
                co_await refuse_quarantined(shared_, call_, *left);
                co_return;
            }
            break;
        }
        if (risks_last_replica()) {
            if (possible_runs_ == 0) {
                co_await refuse_suspect();
                co_return;
            }
            break;
        }
        const auto chosen = co_await choose();
        if (!is_authorized(shared_, call_)) {
            if (possible_runs_ == 0) {
                co_await refuse_unauthorized(shared_, call_);
                co_return;
            }
            break;
        }
        const auto now = base::clock::now();
        const bool caller_gone = call_.exchange_.caller_gone()->requested();
        const auto* limited = std::get_if<limited_replicas>(&chosen);
        if (limited != nullptr && possible_runs_ == 0 && !caller_gone) {
            co_await refuse_limited(limited->wait_);
            co_return;
        }
        const auto* crowded = std::get_if<no_place>(&chosen);
        if (crowded != nullptr && possible_runs_ == 0 && !caller_gone) {
            co_await refuse_no_place(crowded->retry_after_);
            co_return;
        }
        const auto* paused = std::get_if<paused_replicas>(&chosen);
        if (paused != nullptr && possible_runs_ == 0 && !caller_gone) {
            co_await refuse_paused(paused->wait_);
            co_return;
        }
        const auto* replica = std::get_if<routing::instance>(&chosen);
        const bool is_retry = !tried_.empty();
        if (caller_gone) {
            last.failure_ =
                http::call_failure{http::failure_kind::cancelled, false};
        }
        if (replica == nullptr || caller_gone || now >= call_.deadline_ ||
            (is_retry && !budget.take(now))) {
            break;
        }
        tried_.insert(replica->id_);
        last = co_await send(*replica);
        if (last.answer_lost()) {
            co_await examine_lost_answer(*replica, now);
        } else if (last.is_of_replica() && !last.not_run() &&
                   shared_.crashes_->any_marks()) {
            shared_.crashes_->answer_began(call_.request_.id_, crash_parts());
        }
        if (!may_send_again(last)) {
            break;
        }
    }
    co_await respond(std::move(last));
}

http::awaitable<void> plain_call::respond(send_result last) {
    if (last.cancelled()) {
        record_end(shared_, call_, "caller_gone", 0);
        co_return;
    }
    const bool has_answer =
        last.answer_ && (last.meaning_ == answer_meaning::success ||
                         last.meaning_ == answer_meaning::failure);
    if (has_answer) {
        const int status = last.answer_->status_;
        const auto forwarded =
            http::forwarded_response(std::move(*last.answer_));
        const auto result = co_await call_.exchange_.respond(forwarded);
        record_end(shared_, call_,
                   result == http::write_result::gone         ? "caller_gone"
                   : last.meaning_ == answer_meaning::success ? "answered"
                                                              : "failed",
                   status);
        co_return;
    }
    const bool unreached = last.failure_ && !last.failure_->sent_;
    if (possible_runs_ == 0 && unreached && !tried_.empty() &&
        co_await shared_.relay_->relay(call_)) {
        co_return;
    }
    base::refusal refusal;
    if (possible_runs_ == 0) {
        const bool full = last.meaning_ == answer_meaning::rejected;
        refusal = {full ? base::refusal_code::overloaded
                        : base::refusal_code::no_upstream,
                   base::ran_state::not_run,
                   full ? full_retry_after : no_replica_retry_after,
                   full ? "every replica that was asked is full"
                        : "no replica could be reached"};
    } else {
        const bool timed_out =
            last.failure_ &&
            last.failure_->kind_ == http::failure_kind::timed_out;
        refusal = {timed_out ? base::refusal_code::upstream_timeout
                             : base::refusal_code::upstream_failed,
                   base::ran_state::unknown, std::nullopt,
                   timed_out ? "the replica did not answer in time"
                             : "the replica's answer was lost"};
    }
    co_await refuse(shared_, call_, std::move(refusal));
}

} // namespace

http::awaitable<bool> relay_plain(runtime& shared, routed_call call) {
    plain_call relay{shared, call};
    co_await relay.run();
    co_return relay.may_have_run();
}

} // namespace pimentoferry::gateway
