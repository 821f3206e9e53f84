/// Relays one model request: executes the commands of the request table for it
/// and streams the tokens to its caller. Tokens do not leave the traffic
/// thread.
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

/// A model request that has passed admission.
struct model_request {
    requests::request_arrived arrival_;
    engine_request engine_;
    http::completion_context completion_context_;
    bool stream_{false};
};

class model_relay : public std::enable_shared_from_this<model_relay> {
public:
    model_relay(traffic_context& traffic,
                http::exchange& call,
                model_request request);

    /// Runs until the caller has its answer or has disconnected.
    http::awaitable<void> run();

    /// Queues a command of the request table for this request.
    void deliver(request_command command);

    /// Cancels the open calls to the engine for the attempt.
    void close_call(const base::upstream_name& engine,
                    base::attempt_id attempt);

private:
    struct caller_disconnected {};
    using inbox_message = std::variant<request_command, caller_disconnected>;
    using call_key = std::pair<base::upstream_name, base::attempt_id>;

    void start_call(const requests::start_prefill& action);
    void start_call(const requests::start_import& action);
    void start_call(const requests::start_decode& action);
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
    relay_events(http::open_answer& answer,
                 const requests::start_decode& action);
    http::awaitable<bool> relay_token(token_event token);

    /// Address of the engine; nothing while it is unknown or blocked after a
    /// crash.
    std::optional<base::endpoint>
    address_of(const base::upstream_name& engine) const;
    http::awaitable<std::variant<http::response, requests::engine_failure>>
    call_engine(base::upstream_name engine,
                http::request call,
                http::call_options options);
    // The functions below log why a call to an engine failed, and return the
    // failure that the request table is told.
    requests::engine_failure log_failure(const base::upstream_name& engine,
                                         const http::call_failure& failure);
    requests::engine_failure log_failure(const base::upstream_name& engine,
                                         requests::engine_failure outcome,
                                         std::string failure,
                                         bool sent);
    /// For an engine without a usable address.
    requests::engine_failure log_unavailable(const base::upstream_name& engine);
    /// Nothing for a status of success.
    std::optional<requests::engine_failure>
    log_status(const base::upstream_name& engine, int status);

    http::awaitable<void> cancel_open_calls();
    http::awaitable<void> send_refusal(base::refusal refusal);
    http::awaitable<void> send_completion();

    traffic_context& traffic_;
    http::exchange& call_;
    model_request request_;
    base::time_point arrival_time_;
    http::mailbox<inbox_message> inbox_;
    std::multimap<call_key, std::shared_ptr<http::cancellation>> open_calls_;
    http::wake_signal call_ended_;
    std::uint32_t position_{0}; ///< Tokens relayed or buffered so far.
    std::uint32_t prompt_tokens_{0};
    std::string buffered_text_; ///< Only used when not streaming.
    base::time_point last_token_time_;
};

} // namespace pimentoferry::entry

#endif
