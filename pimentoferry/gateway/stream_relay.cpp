#include "pimentoferry/gateway/stream_relay.hpp"

#include "pimentoferry/base/hash.hpp"
#include "pimentoferry/gateway/crash_guard.hpp"
#include "pimentoferry/gateway/origin_exchange.hpp"
#include "pimentoferry/gateway/peer_relay.hpp"
#include "pimentoferry/gateway/stream_call.hpp"
#include "pimentoferry/http/error_token.hpp"
#include "pimentoferry/http/proxy.hpp"
#include "pimentoferry/log/log.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <iterator>
#include <variant>

namespace pimentoferry::gateway {

namespace {

// Placements of one request; each may prefill the prompt again.
constexpr std::uint32_t max_placements = 3;

constexpr base::milliseconds no_engine_retry_after{1500};
// The version of an instance is recorded soon after its registration.
constexpr base::milliseconds longest_record_wait{500};
constexpr base::milliseconds record_poll_interval{10};
constexpr base::milliseconds unrecorded_retry_after{500};
// Callers of engines that have paused do not return together.
constexpr base::milliseconds paused_retry_spread{300};
// Allows for the delivery to the caller and for the error of the prefill
// estimate.
constexpr base::milliseconds patience_margin{400};

/// Accounts share scarce engines in proportion to their quotas.
std::uint32_t share_weight(const std::optional<routing::account_quota>& quota) {
    constexpr double unit = 1000;
    constexpr double largest = 1e6;
    return quota ? static_cast<std::uint32_t>(
                       std::clamp(quota->per_second_ / unit, 1.0, largest))
                 : 1;
}

} // namespace

http::awaitable<placement::stream_decision>
stream_call::request_placement(base::attempt_id attempt) {
    const auto now = base::clock::now();
    const auto prompt = call_.request_.prompt_.value_or(model_prompt{});
    const auto objective = std::min(
        call_.arrived_ + call_.route_.latency_objective_, call_.deadline_);
    placement::stream_request request;
    request.attempt_ = attempt;
    request.failure_domain_ = shared_.settings_.failure_domain_;
    request.prompt_tokens_ = prompt.prompt_tokens_;
    request.max_output_tokens_ = prompt.max_output_tokens_;
    request.expected_output_tokens_ = prompt.expected_output_tokens_;
    request.budget_ = std::max(
        std::chrono::duration_cast<base::milliseconds>(objective - now),
        base::milliseconds{0});
    // A caller that has received events starts a new wait for the next one.
    const auto wait_began = any_event_sent_ ? now : call_.arrived_;
    const auto patience = shared_.protocol_.first_event_patience_(
        call_.route_.latency_objective_, call_.route_.gap_objective_);
    request.patience_ = std::max(
        std::chrono::duration_cast<base::milliseconds>(
            std::min(wait_began + patience - patience_margin, call_.deadline_) -
            now),
        base::milliseconds{0});
    request.prompt_id_ = prompt.id_;
    request.time_left_ = time_left(call_, now);
    request.retry_window_ = shared_.protocol_.retry_window_(request.time_left_);
    request.priority_ = call_.priority();
    request.resumed_ = resumed();
    request.software_version_ = origin_;
    for (const auto* each :
         shared_.registry_.instances().usable(call_.service_, now)) {
        if (shared_.pauses_.paused(*each, now) || awaits_record(*each)) {
            request.excluded_.push_back(each->id_);
        }
    }
    std::ranges::copy(unknown_engines_, std::back_inserter(request.excluded_));
    if (call_.account_ && call_.account_->key_) {
        const auto& account = call_.account_->account_;
        request.account_ = base::hash_bytes(account.name_.value_);
        request.account_weight_ = share_weight(account.quota_);
    }
    auto cancel = call_.exchange_.caller_gone();
    auto decision = co_await shared_.streams_->place(call_.service_, request,
                                                     std::move(cancel));
    const auto* grant = std::get_if<placement::stream_grant>(&decision);
    log::log_info(
        "place",
        {{"request", call_.request_.id_},
         {"attempt", base::to_string(attempt)},
         {"service", call_.service_.value_},
         {"configuration", std::to_string(call_.routes_->version())},
         {"prompt_tokens", std::to_string(request.prompt_tokens_)},
         {"expected_output", std::to_string(request.expected_output_tokens_)},
         {"budget_ms", std::to_string(request.budget_.count())},
         {"after_event",
          last_event_sent_ ? std::to_string(*last_event_sent_) : "none"},
         {"resumes", call_.request_.resumes_.value_or("none")},
         {"software_version", origin_ ? origin_->value_ : "any"},
         {"prefill", grant != nullptr ? grant->prefill_.value_ : "none"},
         {"decode", grant != nullptr ? grant->decode_.value_ : "none"},
         {"ms", std::to_string(std::chrono::duration_cast<base::milliseconds>(
                                   base::clock::now() - now)
                                   .count())}});
    if (const auto* refused =
            std::get_if<placement::stream_refusal>(&decision)) {
        log_no_room(*refused);
    }
    count_limited(decision);
    co_return decision;
}

void stream_call::count_limited(
    const placement::stream_decision& decision) const {
    const auto& service = call_.service_.value_;
    const auto* refused = std::get_if<placement::stream_refusal>(&decision);
    if (refused != nullptr) {
        if (refused->reason_ == placement::refusal_reason::limited) {
            shared_.metrics_.count_limited(service, "refused");
        }
        return;
    }
    const auto& grant = std::get<placement::stream_grant>(decision);
    if (shared_.allowances_.limited(grant.prefill_) ||
        shared_.allowances_.limited(grant.decode_)) {
        shared_.metrics_.count_limited(service, "granted");
    }
}

void stream_call::log_no_room(const placement::stream_refusal& refused) const {
    const auto& room = refused.room_;
    log::log_info(
        "place_refused",
        {{"request", call_.request_.id_},
         {"attempt", base::to_string(refused.attempt_)},
         {"free_decode_tokens", std::to_string(room.free_decode_tokens_)},
         {"needed_decode_tokens", std::to_string(room.needed_decode_tokens_)},
         {"free_prefill_ms", std::to_string(room.free_prefill_.count())},
         {"needed_prefill_ms", std::to_string(room.needed_prefill_.count())},
         {"withheld_decode_tokens",
          std::to_string(room.withheld_decode_tokens_)},
         {"withheld_prefill_ms",
          std::to_string(room.withheld_prefill_.count())},
         {"queued", std::to_string(room.queued_)}});
}

bool stream_call::may_continue(const stream_outcome& outcome) const {
    if (std::holds_alternative<stream_not_run>(outcome)) {
        return !call_.exchange_.begun() || call_.route_.resumable_;
    }
    return std::holds_alternative<stream_broken>(outcome) &&
           call_.route_.resumable_ &&
           possible_runs_ < call_.route_.max_attempts_ &&
           (any_event_sent_ ||
            !shared_.crashes_->is_suspect(parts_of(call_.request_),
                                          base::clock::now()));
}

http::awaitable<void> stream_call::run() {
    auto& budget = shared_.retries(call_.service_);
    budget.note_request(call_.arrived_);
    last_event_sent_ = call_.request_.last_event_;
    if (last_event_sent_) {
        const auto origin = co_await shared_.origins_->resolve(
            call_.service_, call_.request_.resumes_);
        if (const auto* unknown = std::get_if<unknown_origin>(&origin)) {
            auto refusal = refusal_of(*unknown);
            co_await refuse(shared_, call_, std::move(refusal));
            co_return;
        }
        origin_ = std::get<known_origin>(origin).version_;
    } else {
        co_await await_record();
    }
    stream_outcome outcome = stream_not_run{"no place"};
    for (std::uint32_t i = 0; i < max_placements; ++i) {
        const bool is_retry = i > 0;
        const auto quarantined =
            is_retry ? quarantined_for()
                     : shared_.crashes_->admit(parts_of(call_.request_),
                                               call_.arrived_);
        if (quarantined) {
            if (!call_.exchange_.begun() && possible_runs_ == 0) {
                co_await refuse_quarantined(shared_, call_, *quarantined);
                co_return;
            }
            break;
        }
        if (is_retry && !budget.take(base::clock::now(), repeated_sends())) {
            break;
        }
        const auto attempt = shared_.streams_->next_attempt();
        const auto decision = co_await request_placement(attempt);
        if (!is_authorized(shared_, call_)) {
            shared_.streams_->ended(attempt, 0);
            if (!call_.exchange_.begun() && possible_runs_ == 0) {
                co_await refuse_unauthorized(shared_, call_);
                co_return;
            }
            break;
        }
        if (caller_disconnected()) {
            outcome = caller_disconnect{};
        } else if (const auto* refused =
                       std::get_if<placement::stream_refusal>(&decision)) {
            if (unreached_) {
                break;
            }
            if (!call_.exchange_.begun() && possible_runs_ == 0) {
                co_await refuse_placement(*refused);
                co_return;
            }
            break;
        } else {
            placement_guard guard{*shared_.streams_, attempt};
            auto grant = std::get<placement::stream_grant>(decision);
            outcome = co_await run_attempt(std::move(grant), guard);
        }
        if (unreached_ && shared_.relay_->isolated()) {
            break;
        }
        if (!may_continue(outcome) || base::clock::now() >= call_.deadline_) {
            break;
        }
    }
    co_await finish(std::move(outcome));
}

bool stream_call::is_in_service(const base::software_version& version) const {
    return std::ranges::any_of(shared_.registry_.instances().usable(
                                   call_.service_, base::clock::now()),
                               [&version](const routing::instance* each) {
                                   return each->software_version_ == version;
                               });
}

bool stream_call::all_engines_await_record() const {
    auto engines = shared_.registry_.instances().usable(call_.service_,
                                                        base::clock::now());
    std::erase_if(engines, [](const routing::instance* each) {
        return each->stage_ == routing::engine_stage::prefill;
    });
    return !engines.empty() &&
           std::ranges::all_of(engines, [this](const routing::instance* each) {
               return awaits_record(*each);
           });
}

http::awaitable<void> stream_call::await_record() {
    const auto until =
        std::min(call_.arrived_ + longest_record_wait, call_.deadline_);
    while (all_engines_await_record() && !caller_disconnected() &&
           base::clock::now() < until) {
        boost::asio::steady_timer pause{shared_.io_, record_poll_interval};
        boost::system::error_code ignored;
        co_await pause.async_wait(http::internal::into(ignored));
    }
}

base::milliseconds stream_call::wait_for_pauses() const {
    const auto now = base::clock::now();
    const auto engines =
        shared_.registry_.instances().usable(call_.service_, now);
    const auto wait_for = [&](routing::engine_stage stage) {
        auto of_stage = engines;
        std::erase_if(of_stage, [stage](const routing::instance* each) {
            return each->stage_ != stage;
        });
        return shared_.pauses_.wait_for_any(of_stage, now)
            .value_or(base::milliseconds{0});
    };
    const auto spread = std::chrono::duration_cast<base::milliseconds>(
        paused_retry_spread * shared_.random_fraction());
    return std::max(wait_for(routing::engine_stage::prefill),
                    wait_for(routing::engine_stage::decode)) +
           spread;
}

http::awaitable<void>
stream_call::refuse_placement(const placement::stream_refusal& refused) {
    using reason = placement::refusal_reason;
    base::refusal refusal{base::refusal_code::overloaded,
                          base::ran_state::not_run, refused.retry_after_,
                          "no engine has room in time"};
    if (refused.reason_ == reason::no_engine) {
        refusal.code_ = base::refusal_code::no_upstream;
        refusal.detail_ = "no engine serves";
    } else if (refused.reason_ == reason::no_version) {
        refusal.code_ = base::refusal_code::no_upstream;
        refusal.detail_ =
            "no engine of the version that began the stream serves";
        if (origin_ && !is_in_service(*origin_)) {
            refusal.retry_after_ = std::nullopt;
        }
    } else if (refused.reason_ == reason::limited) {
        refusal.code_ = base::refusal_code::upstream_limited;
        refusal.detail_ = "the engines with room accept no more requests yet";
    } else if (refused.reason_ == reason::excluded) {
        refusal.retry_after_ = wait_for_pauses();
        refusal.detail_ = "the engines have asked for a pause";
        if (all_engines_await_record()) {
            refusal.retry_after_ =
                std::max(*refusal.retry_after_, unrecorded_retry_after);
            refusal.detail_ = "the version of the engines is not recorded yet";
        }
    } else if (refused.reason_ == reason::too_large) {
        refusal.retry_after_ = std::nullopt;
        refusal.detail_ = "the request exceeds the memory of every engine";
    }
    co_await refuse(shared_, call_, std::move(refusal));
}

http::awaitable<void> stream_call::finish(stream_outcome outcome) {
    if (std::holds_alternative<caller_disconnect>(outcome)) {
        record_end(shared_, call_, "caller_gone", 0);
        co_return;
    }
    if (std::holds_alternative<stream_completed>(outcome)) {
        const auto result = co_await call_.exchange_.end_stream();
        record_end(shared_, call_,
                   result == http::write_result::gone ? "caller_gone"
                                                      : "answered",
                   200);
        co_return;
    }
    if (call_.exchange_.begun()) {
        const auto* broken = std::get_if<stream_broken>(&outcome);
        log::log_warn(
            "stream_broken",
            {{"request", call_.request_.id_},
             {"after_event",
              last_event_sent_ ? std::to_string(*last_event_sent_) : "none"},
             {"detail",
              broken != nullptr ? broken->detail_ : "no further placement"}});
        // Returning without the end of the stream closes the connection.
        record_end(shared_, call_, "broken", 200);
        co_return;
    }
    if (auto* answer = std::get_if<engine_error_response>(&outcome)) {
        const int status = answer->response_.status_;
        const auto forwarded =
            http::forwarded_response(std::move(answer->response_));
        co_await call_.exchange_.respond(forwarded);
        record_end(shared_, call_, "failed", status);
        co_return;
    }
    if (possible_runs_ == 0 && !is_authorized(shared_, call_)) {
        co_await refuse_unauthorized(shared_, call_);
        co_return;
    }
    if (possible_runs_ == 0 && unreached_ &&
        co_await shared_.relay_->relay(call_)) {
        co_return;
    }
    base::refusal refusal;
    if (const auto* not_run = std::get_if<stream_not_run>(&outcome);
        not_run != nullptr && possible_runs_ == 0) {
        refusal = {base::refusal_code::no_upstream, base::ran_state::not_run,
                   no_engine_retry_after, not_run->detail_};
    } else {
        const bool past_deadline = base::clock::now() >= call_.deadline_;
        refusal = {past_deadline ? base::refusal_code::upstream_timeout
                                 : base::refusal_code::upstream_failed,
                   base::ran_state::unknown, std::nullopt,
                   "the engine's answer was lost"};
    }
    co_await refuse(shared_, call_, std::move(refusal));
}

http::awaitable<bool> relay_stream(runtime& shared, routed_call call) {
    stream_call relay{shared, call};
    co_await relay.run();
    co_return relay.may_have_run();
}

} // namespace pimentoferry::gateway
