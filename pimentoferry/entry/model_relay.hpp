/// Relays one model request: executes the actions of the request table on it
/// and passes tokens to its caller. Tokens do not leave the traffic thread.
#ifndef PIMENTOFERRY_ENTRY_MODEL_RELAY_HPP
#define PIMENTOFERRY_ENTRY_MODEL_RELAY_HPP

#include "pimentoferry/entry/engine_api.hpp"
#include "pimentoferry/entry/traffic_context.hpp"
#include "pimentoferry/http/completion.hpp"
#include "pimentoferry/http/exchange.hpp"
#include "pimentoferry/http/mailbox.hpp"

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>

namespace pimentoferry::entry {

/// A model request that may start.
struct model_request {
    requests::request_arrived arrival_;
    engine_request engine_;
    http::completion_context answer_;
    bool stream_{false};
};

class model_relay : public std::enable_shared_from_this<model_relay> {
public:
    model_relay(traffic_context& traffic,
                http::exchange& call,
                model_request request);

    /// Runs until the caller has its answer or is gone.
    http::awaitable<void> run();

    void deliver(request_command command);

    /// Closes the open calls of an attempt to an engine.
    void close_call(const base::upstream_name& engine,
                    base::attempt_id attempt);

private:
    struct caller_left {};
    using item = std::variant<request_command, caller_left>;
    using call_key = std::pair<base::upstream_name, base::attempt_id>;

    void begin(const requests::start_prefill& action);
    void begin(const requests::start_import& action);
    void begin(const requests::start_decode& action);
    template <class Work>
    void spawn(const call_key& key, Work work);

    http::awaitable<void> prefill(requests::start_prefill action,
                                  http::call_options options);
    http::awaitable<void> import(requests::start_import action,
                                 http::call_options options);
    http::awaitable<void> decode(requests::start_decode action,
                                 http::call_options options);
    http::awaitable<std::optional<requests::engine_failure>>
    relay_stream(requests::start_decode action, http::call_options options);
    http::awaitable<std::optional<requests::engine_failure>>
    relay_events(http::open_answer& answer, base::attempt_id attempt);
    http::awaitable<bool> relay_token(token_event token);

    /// Address of an engine that may be called now.
    std::optional<base::endpoint>
    address_of(const base::upstream_name& engine) const;
    http::awaitable<std::variant<http::response, requests::engine_failure>>
    call_engine(base::upstream_name engine,
                http::request call,
                http::call_options options);
    requests::engine_failure note_failure(const base::upstream_name& engine,
                                          const http::call_failure& failure);

    http::awaitable<void> end_calls();
    http::awaitable<void> answer_refusal(base::refusal refusal);
    http::awaitable<void> answer_finish();

    traffic_context& traffic_;
    http::exchange& call_;
    model_request request_;
    base::time_point arrived_;
    http::mailbox<item> items_;
    std::multimap<call_key, std::shared_ptr<http::cancellation>> open_calls_;
    http::wake_signal call_ended_;
    std::uint32_t position_{0}; ///< Tokens that the caller has.
    std::uint32_t prompt_tokens_{0};
    std::string text_; ///< Of an answer that is not streamed.
    base::time_point last_token_;
};

} // namespace pimentoferry::entry

#endif
