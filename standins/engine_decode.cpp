#include "standins/engine.hpp"

#include "standins/crash.hpp"
#include "standins/expected_answer.hpp"

#include <algorithm>

namespace pimentoferry::standins {
namespace {

// Small writes let the time limit tell a slow reader from a stopped one.
constexpr std::uint32_t tokens_per_write = 64;

std::uint32_t count_of(const json& body, const char* name) {
    return static_cast<std::uint32_t>(number_or(body, name, 0));
}

std::string token_event(const attempt& which, std::uint32_t position) {
    // The token needs no escaping: it is letters, digits, '-' and a space.
    return "data: {\"position\":" + std::to_string(position) + ",\"text\":\"" +
           answer_token(which.prompt_hash_, position) + "\"}\n\n";
}

} // namespace

net::awaitable<void> engine::decode(exchange& call) {
    const auto body = call.body_json();
    const auto id = text_or(body, "attempt", "");
    json reason{json::object{{"code", json{"not_held"}}}};
    if (attempts_.is_cancelled(id)) {
        co_await refuse(call, 410, std::move(reason));
        co_return;
    }
    auto which = attempts_.find(id);
    if (which == nullptr && find_member(body, "inline") != nullptr) {
        which = co_await prefill_inline(call, body);
        if (which == nullptr) {
            co_return;
        }
    }
    if (which == nullptr) {
        co_await refuse(call, 404, std::move(reason));
        co_return;
    }
    if (which->stage_ == attempt_stage::ready) {
        crash_if_contains(which->prompt_, settings_.crash_on_);
        const auto limit =
            std::min(which->length_, count_of(body, "max_tokens"));
        which->length_ = answer_length(which->prompt_, limit);
        which->stage_ = attempt_stage::decoding;
        batch_wake_.cancel();
    }
    if (which->stage_ != attempt_stage::decoding) {
        json busy{json::object{{"code", json{"not_ready"}}}};
        co_await refuse(call, 409, std::move(busy));
        co_return;
    }
    co_await stream(call, which, count_of(body, "position"));
}

// Null when the call has been answered with a refusal.
net::awaitable<attempt_ptr> engine::prefill_inline(exchange& call, json body) {
    json prompt = *find_member(body, "inline");
    if (std::holds_alternative<std::string>(prompt.value_)) {
        json::object members{{"prompt", prompt}};
        prompt = json{std::move(members)};
    }
    if (!co_await accepts(call, "decode", prompt)) {
        co_return nullptr;
    }
    auto made = make_attempt(prompt);
    made->id_ = text_or(body, "attempt", "");
    made->length_ = count_of(body, "max_tokens");
    made->pieces_ = pieces_for(made->prompt_tokens_ + made->length_);
    if (!co_await admit(call, made)) {
        co_return nullptr;
    }
    if (!co_await compute(made)) {
        co_await refuse_released(call, made);
        co_return nullptr;
    }
    made->stage_ = attempt_stage::ready;
    co_return made;
}

net::awaitable<void>
engine::stream(exchange& call, attempt_ptr which, std::uint32_t position) {
    const auto number = ++next_stream_;
    which->stream_ = number;
    which->release_at_.reset();
    // The stream that this one takes over from looks at its number.
    which->wake_.cancel();
    call.set_write_limit(milliseconds{settings_.write_stall_ms_});
    call.set_send_buffer(static_cast<int>(settings_.send_buffer_bytes_));
    bool stalled = false;
    try {
        const bool whole = co_await write_tokens(call, which, position);
        if (whole) {
            ++counters_.completed_;
            release(which);
            co_return;
        }
    } catch (const boost::system::system_error& failure) {
        stalled = failure.code() == beast::error::timeout;
    }
    call.close_unanswered();
    if (which->stream_ != number || which->released_) {
        co_return;
    }
    if (stalled) {
        cancel(which->id_);
        co_return;
    }
    which->release_at_ =
        steady::now() + milliseconds{settings_.broken_stream_hold_ms_};
}

// True when the whole answer was written; false when the reader is gone, the
// attempt was released or another stream took over.
net::awaitable<bool> engine::write_tokens(exchange& call,
                                          attempt_ptr which,
                                          std::uint32_t position) {
    const auto number = which->stream_;
    co_await call.begin_chunks("text/event-stream");
    while (which->stream_ == number && !which->released_ &&
           !call.peer_closed()) {
        std::string events;
        const auto end =
            std::min(which->produced_, position + tokens_per_write);
        for (; position < end; ++position) {
            events += token_event(*which, position);
        }
        if (!events.empty()) {
            co_await call.write_chunk(std::move(events));
        } else if (position >= which->length_) {
            co_await call.write_chunk("data: [DONE]\n\n");
            co_await call.end_chunks();
            co_return true;
        } else {
            co_await wait_until(which->wake_, time_point::max());
        }
    }
    co_return false;
}

std::vector<attempt_ptr> engine::batch() const {
    std::vector<attempt_ptr> result;
    for (const auto& [id, held] : attempts_.all()) {
        if (held->stage_ == attempt_stage::decoding &&
            held->produced_ < held->length_) {
            result.push_back(held);
        }
    }
    return result;
}

// One step at a time: each request in the batch gets one token per step, and
// a step takes longer the more requests there are.
net::awaitable<void> engine::run_batch(std::shared_ptr<engine> self) {
    auto step_end = steady::now();
    for (;;) {
        const auto running = self->batch();
        if (running.empty()) {
            co_await wait_until(self->batch_wake_, time_point::max());
            step_end = steady::now();
            continue;
        }
        const microseconds step{self->settings_.step_base_us_ +
                                self->settings_.step_per_request_us_ *
                                    std::ssize(running)};
        // A late timer shortens the next step, by one step at most.
        step_end = std::max(step_end + step, steady::now());
        co_await sleep_until(self->context_.get_executor(), step_end);
        for (const auto& member : running) {
            ++member->produced_;
            ++self->counters_.decode_tokens_;
            member->wake_.cancel();
        }
    }
}

} // namespace pimentoferry::standins
