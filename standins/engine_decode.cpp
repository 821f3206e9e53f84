#include "standins/engine.hpp"

#include "standins/crash.hpp"
#include "standins/expected_answer.hpp"

#include <algorithm>

namespace pimentoferry::standins {
namespace {

// Writes are small so that the write timeout ends only streams whose reader
// has stopped, not those of a slow reader.
constexpr std::uint32_t tokens_per_write = 64;

std::uint32_t count_of(const json& body, const char* name) {
    return static_cast<std::uint32_t>(number_or(body, name, 0));
}

std::string token_event(const attempt& state, std::uint32_t position) {
    // A token needs no escaping: it consists of letters, digits, '-' and a
    // space.
    return "data: {\"position\":" + std::to_string(position) + ",\"text\":\"" +
           answer_token(state.prompt_hash_, position) + "\"}\n\n";
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
    auto state = attempts_.find(id);
    if (state == nullptr && find_member(body, "inline") != nullptr) {
        state = co_await prefill_inline(call, body);
        if (state == nullptr) {
            co_return;
        }
    }
    if (state == nullptr) {
        co_await refuse(call, 404, std::move(reason));
        co_return;
    }
    if (state->stage_ == attempt_stage::ready) {
        crash_if_contains(state->prompt_, settings_.crash_on_);
        const auto limit =
            std::min(state->length_, count_of(body, "max_tokens"));
        state->length_ = answer_length(state->prompt_, limit);
        state->stage_ = attempt_stage::decoding;
        batch_wake_.cancel();
    }
    if (state->stage_ != attempt_stage::decoding) {
        json busy{json::object{{"code", json{"not_ready"}}}};
        co_await refuse(call, 409, std::move(busy));
        co_return;
    }
    co_await stream(call, state, count_of(body, "position"));
}

// Returns null after sending a refusal.
net::awaitable<attempt_ptr> engine::prefill_inline(exchange& call, json body) {
    json prompt = *find_member(body, "inline");
    if (std::holds_alternative<std::string>(prompt.value_)) {
        json::object members{{"prompt", prompt}};
        prompt = json{std::move(members)};
    }
    if (!co_await accepts(call, "decode", prompt)) {
        co_return nullptr;
    }
    auto created = make_attempt(prompt);
    created->id_ = text_or(body, "attempt", "");
    created->length_ = count_of(body, "max_tokens");
    created->kv_blocks_ =
        kv_blocks_for(created->prompt_tokens_ + created->length_);
    if (!co_await admit(call, created)) {
        co_return nullptr;
    }
    if (!co_await run_prefill(created)) {
        co_await refuse_released(call, created);
        co_return nullptr;
    }
    created->stage_ = attempt_stage::ready;
    co_return created;
}

net::awaitable<void>
engine::stream(exchange& call, attempt_ptr state, std::uint32_t position) {
    const auto number = ++next_stream_;
    state->stream_ = number;
    state->release_at_.reset();
    // Wakes the replaced stream, which stops because its number is outdated.
    state->wake_.cancel();
    call.set_write_timeout(milliseconds{settings_.write_stall_ms_});
    call.set_send_buffer(static_cast<int>(settings_.send_buffer_bytes_));
    bool stalled = false;
    try {
        const bool whole = co_await write_tokens(call, state, position);
        if (whole) {
            ++counters_.completed_;
            release(state);
            co_return;
        }
    } catch (const boost::system::system_error& failure) {
        stalled = failure.code() == beast::error::timeout;
    }
    call.close_unanswered();
    if (state->stream_ != number || state->released_) {
        co_return;
    }
    if (stalled) {
        cancel(state->id_);
        co_return;
    }
    state->release_at_ =
        steady::now() + milliseconds{settings_.broken_stream_hold_ms_};
}

// Returns true when the whole answer was written, false when the reader
// disconnected, the attempt was released or another stream replaced this one.
net::awaitable<bool> engine::write_tokens(exchange& call,
                                          attempt_ptr state,
                                          std::uint32_t position) {
    const auto number = state->stream_;
    co_await call.begin_chunks("text/event-stream");
    while (state->stream_ == number && !state->released_ &&
           !call.peer_closed()) {
        std::string events;
        const auto end =
            std::min(state->produced_, position + tokens_per_write);
        for (; position < end; ++position) {
            events += token_event(*state, position);
        }
        if (!events.empty()) {
            co_await call.write_chunk(std::move(events));
        } else if (position >= state->length_) {
            co_await call.write_chunk("data: [DONE]\n\n");
            co_await call.end_chunks();
            co_return true;
        } else {
            co_await wait_until(state->wake_, time_point::max());
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

// Runs decode steps one after the other. A step adds one token to each attempt
// in the batch, and its duration grows with the batch size.
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
        // A step whose timer fires late shortens the following one, by the
        // duration of one step at most.
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
