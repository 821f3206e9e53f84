/// Shared fixture of the engine tests: engine calls and checks of held
/// resources.
#ifndef PIMENTOFERRY_STANDINS_ENGINE_TEST_FIXTURE_HPP
#define PIMENTOFERRY_STANDINS_ENGINE_TEST_FIXTURE_HPP

#include "pimentoferry/base/ids.hpp"
#include "standins/expected_answer.hpp"
#include "standins/http_client.hpp"
#include "standins/standin.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <thread>

namespace pimentoferry::standins {

using std::chrono::milliseconds;

/// Returns a prompt of `words` words that differs for each `seed`.
inline std::string prompt_of(int words, const std::string& seed = "w") {
    std::string prompt;
    for (int i = 0; i < words; ++i) {
        prompt += (i == 0 ? "" : " ") + seed + std::to_string(i);
    }
    return prompt;
}

/// Runs one simulated engine and sends it the calls of section 9.3.
struct test_engine {
    running_standin server_;

    explicit test_engine(const std::string& role,
                         const std::string& switches = "")
        : server_(R"({"standin":"engine","role":")" + role + "\"" + switches +
                  "}") {}

    std::uint16_t port() const { return server_.port(); }

    http_answer post(const std::string& path, const json::object& body) const {
        return http_post(port(), path, to_text(json{body}));
    }
    json stats() const { return http_get(port(), "/stats").body_json(); }
    std::int64_t stat(const std::string& name) const {
        return number_or(stats(), name, -1);
    }
    void control(const std::string& switches) const {
        http_post(port(), "/control", switches);
    }
    http_answer prefill(const std::string& attempt,
                        const std::string& prompt,
                        int hold_ms = 900,
                        int priority = 0) const {
        return post("/v1/prefill", {{"attempt", json{attempt}},
                                    {"prompt", json{prompt}},
                                    {"priority", json{priority}},
                                    {"hold_ms", json{hold_ms}}});
    }
    /// Imports the result of a prefill from `source`.
    http_answer import(const std::string& attempt,
                       const test_engine& source,
                       const http_answer& prefilled,
                       int max_tokens,
                       int deadline_ms = 2000) const {
        const auto result = prefilled.body_json();
        const auto address = "127.0.0.1:" + std::to_string(source.port());
        return post(
            "/v1/import",
            {{"attempt", json{attempt}},
             {"source", json{address}},
             {"handle", json{text_or(result, "handle", "")}},
             {"prompt_tokens", json{number_or(result, "prompt_tokens", 0)}},
             {"max_tokens", json{max_tokens}},
             {"deadline_ms", json{deadline_ms}}});
    }
    http_stream
    decode(const std::string& attempt, int position, int max_tokens) const {
        return http_stream{
            port(), "/v1/decode",
            to_text(json{json::object{{"attempt", json{attempt}},
                                      {"position", json{position}},
                                      {"max_tokens", json{max_tokens}}}})};
    }
    http_stream decode_inline(const std::string& attempt,
                              const std::string& prompt,
                              int max_tokens) const {
        return http_stream{
            port(), "/v1/decode",
            to_text(json{json::object{{"attempt", json{attempt}},
                                      {"position", json{0}},
                                      {"max_tokens", json{max_tokens}},
                                      {"inline", json{prompt}}}})};
    }
    http_answer cancel(const std::string& attempt) const {
        return post("/v1/cancel",
                    {{"attempts", json{json::array{json{attempt}}}}});
    }
    bool holds_nothing() const {
        return stat("slots_held") == 0 && stat("pieces_held") == 0;
    }
    /// Waits up to 2 s until the engine holds no slots and KV blocks.
    bool becomes_empty() const {
        constexpr int tries = 200;
        for (int i = 0; i < tries && !holds_nothing(); ++i) {
            std::this_thread::sleep_for(milliseconds{10});
        }
        return holds_nothing();
    }
};

/// Tokens received from a stream.
struct received {
    std::string text_;
    std::int64_t first_position_{-1};
    std::int64_t tokens_{0};
    bool done_{false}; ///< Ended by `data: [DONE]`.
};

/// Reads up to `limit` tokens from a stream.
inline received read_tokens(http_stream& stream, std::int64_t limit = 1 << 30) {
    constexpr std::size_t prefix_size = 6; // "data: "
    received result;
    while (result.tokens_ < limit) {
        const auto event = stream.next_event();
        if (!event) {
            break;
        }
        if (*event == "data: [DONE]") {
            result.done_ = true;
            break;
        }
        const auto body =
            parse_json(event->substr(prefix_size)).value_or(json{});
        result.text_ += text_or(body, "text", "");
        if (result.tokens_ == 0) {
            result.first_position_ = number_or(body, "position", -1);
        }
        ++result.tokens_;
    }
    return result;
}

} // namespace pimentoferry::standins

#endif
