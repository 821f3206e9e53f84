#include "standins/engine.hpp"

#include "pimentoferry/base/hash.hpp"
#include "standins/expected_answer.hpp"
#include "standins/http_fetch.hpp"

#include <algorithm>

namespace pimentoferry::standins {
namespace {

// Bounds how late a stalled transfer notices that its peer is gone.
constexpr milliseconds transfer_check{10};

// Keeps a result in memory while an export of it runs.
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
    const auto which = attempts_.find_handle(handle);
    if (which == nullptr) {
        json body{json::object{{"code", json{"evicted"}}}};
        co_await call.reply(404, std::move(body));
        co_return;
    }
    const export_guard guard{which};
    const auto done = link_.reserve(
        which->prompt_tokens_, settings_.link_tokens_per_s_, steady::now());
    while (settings_.stall_transfers_ || steady::now() < done) {
        if (which->released_ || call.peer_closed()) {
            call.close_unanswered();
            co_return;
        }
        const auto next = steady::now() + transfer_check;
        co_await sleep_until(context_.get_executor(),
                             settings_.stall_transfers_ ? next
                                                        : std::min(next, done));
    }
    headers extra{{"X-Prompt-Tokens", std::to_string(which->prompt_tokens_)}};
    auto prompt = which->prompt_;
    co_await call.reply_bytes(200, "text/plain", std::move(prompt),
                              std::move(extra));
    which->exported_ = true;
}

net::awaitable<void> engine::import(exchange& call) {
    const auto body = call.body_json();
    if (!co_await accepts(call, "decode", body)) {
        co_return;
    }
    auto made = make_attempt(body);
    made->stage_ = attempt_stage::importing;
    made->prompt_tokens_ =
        static_cast<std::uint32_t>(number_or(body, "prompt_tokens", 0));
    made->length_ =
        static_cast<std::uint32_t>(number_or(body, "max_tokens", 0));
    made->pieces_ = pieces_for(made->prompt_tokens_ + made->length_);
    const auto deadline =
        steady::now() + milliseconds{number_or(body, "deadline_ms", 0)};
    made->release_at_ = deadline;
    if (!co_await admit(call, made)) {
        co_return;
    }
    const auto status = co_await pull(made, text_or(body, "source", ""),
                                      text_or(body, "handle", ""), deadline);
    if (steady::now() >= deadline) {
        release(made);
    }
    if (made->released_) {
        co_await refuse_released(call, made);
        co_return;
    }
    if (status != 200) {
        release(made);
        const bool evicted = status == 404;
        json reason{json::object{
            {"code", json{evicted ? "evicted" : "transfer_failed"}}}};
        co_await call.reply(evicted ? 404 : 502, std::move(reason));
        co_return;
    }
    made->stage_ = attempt_stage::ready;
    ++counters_.imports_;
    json answer{json::object{{"pieces", json{made->pieces_}}}};
    co_await call.reply(200, std::move(answer));
}

// Fetches the prompt that stands for the KV cache; 200 when it is here.
net::awaitable<unsigned> engine::pull(attempt_ptr which,
                                      std::string source,
                                      std::string handle,
                                      time_point deadline) {
    auto stream = std::make_shared<beast::tcp_stream>(context_.get_executor());
    which->transfer_ = stream;
    const auto done = link_.reserve(
        which->prompt_tokens_, settings_.link_tokens_per_s_, steady::now());
    auto target = "/v1/kv/" + handle;
    auto answer =
        co_await fetch(stream, std::move(source), std::move(target), deadline);
    const bool whole = answer.status_ == 200;
    while (whole && !which->released_ &&
           (settings_.stall_transfers_ || steady::now() < done)) {
        const auto next = steady::now() + transfer_check;
        co_await wait_until(which->wake_, settings_.stall_transfers_
                                              ? next
                                              : std::min(next, done));
    }
    which->prompt_ = std::move(answer.body_);
    which->prompt_hash_ = base::hash_bytes(which->prompt_);
    co_return answer.status_;
}

} // namespace pimentoferry::standins
