#include "standins/engine.hpp"

#include "pimentoferry/base/hash.hpp"
#include "standins/expected_answer.hpp"
#include "standins/http_fetch.hpp"

#include <algorithm>

namespace pimentoferry::standins {
namespace {

// Upper bound on the delay until a stalled transfer detects that its peer has
// disconnected.
constexpr milliseconds transfer_poll_interval{10};

// Prevents the eviction of a result while it is being exported.
class export_guard {
public:
    explicit export_guard(attempt_ptr exported)
        : exported_(std::move(exported)) {
        ++exported_->exports_;
    }
    ~export_guard() { --exported_->exports_; }
    export_guard(const export_guard&) = delete;
    export_guard& operator=(const export_guard&) = delete;

private:
    attempt_ptr exported_;
};

} // namespace

net::awaitable<void> engine::export_result(exchange& call, std::string handle) {
    const auto state = attempts_.find_handle(handle);
    if (state == nullptr) {
        json body{json::object{{"code", json{"evicted"}}}};
        co_await call.reply(404, std::move(body));
        co_return;
    }
    const export_guard guard{state};
    const auto done = link_.reserve(
        state->prompt_tokens_, settings_.link_tokens_per_s_, steady::now());
    while (settings_.stall_transfers_ || steady::now() < done) {
        if (state->released_ || call.peer_closed()) {
            call.close_unanswered();
            co_return;
        }
        const auto next = steady::now() + transfer_poll_interval;
        co_await sleep_until(context_.get_executor(),
                             settings_.stall_transfers_ ? next
                                                        : std::min(next, done));
    }
    headers extra{{"X-Prompt-Tokens", std::to_string(state->prompt_tokens_)}};
    auto prompt = state->prompt_;
    co_await call.reply_bytes(200, "text/plain", std::move(prompt),
                              std::move(extra));
    state->exported_ = true;
}

net::awaitable<void> engine::import(exchange& call) {
    const auto body = call.body_json();
    if (!co_await accepts(call, "decode", body)) {
        co_return;
    }
    auto created = make_attempt(body);
    created->stage_ = attempt_stage::importing;
    created->prompt_tokens_ =
        static_cast<std::uint32_t>(number_or(body, "prompt_tokens", 0));
    created->length_ =
        static_cast<std::uint32_t>(number_or(body, "max_tokens", 0));
    created->kv_blocks_ =
        kv_blocks_for(created->prompt_tokens_ + created->length_);
    const auto deadline =
        steady::now() + milliseconds{number_or(body, "deadline_ms", 0)};
    created->release_at_ = deadline;
    if (!co_await admit(call, created)) {
        co_return;
    }
    const auto status = co_await pull(created, text_or(body, "source", ""),
                                      text_or(body, "handle", ""), deadline);
    if (steady::now() >= deadline) {
        release(created);
    }
    if (created->released_) {
        co_await refuse_released(call, created);
        co_return;
    }
    if (status != 200) {
        release(created);
        const bool evicted = status == 404;
        json reason{json::object{
            {"code", json{evicted ? "evicted" : "transfer_failed"}}}};
        co_await call.reply(evicted ? 404 : 502, std::move(reason));
        co_return;
    }
    created->stage_ = attempt_stage::ready;
    ++counters_.imports_;
    json answer{json::object{{"pieces", json{created->kv_blocks_}}}};
    co_await call.reply(200, std::move(answer));
}

// Fetches the prompt, which represents the KV cache, and returns the HTTP
// status; 200 means that the transfer is complete.
net::awaitable<unsigned> engine::pull(attempt_ptr state,
                                      std::string source,
                                      std::string handle,
                                      time_point deadline) {
    auto stream = std::make_shared<beast::tcp_stream>(context_.get_executor());
    state->transfer_ = stream;
    const auto done = link_.reserve(
        state->prompt_tokens_, settings_.link_tokens_per_s_, steady::now());
    auto target = "/v1/kv/" + handle;
    auto answer =
        co_await fetch(stream, std::move(source), std::move(target), deadline);
    const bool whole = answer.status_ == 200;
    while (whole && !state->released_ &&
           (settings_.stall_transfers_ || steady::now() < done)) {
        const auto next = steady::now() + transfer_poll_interval;
        co_await wait_until(state->wake_, settings_.stall_transfers_
                                              ? next
                                              : std::min(next, done));
    }
    state->prompt_ = std::move(answer.body_);
    state->prompt_hash_ = base::hash_bytes(state->prompt_);
    co_return answer.status_;
}

} // namespace pimentoferry::standins
