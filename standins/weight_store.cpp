#include "standins/weight_store.hpp"

#include <algorithm>

namespace pimentoferry::standins {
namespace {

// Small enough that parallel downloads share the bandwidth evenly.
constexpr std::int64_t slice_bytes = 65'536;

} // namespace

void weight_store::apply(const json& switches) {
    weight_bytes_ = number_or(switches, "weight_bytes", weight_bytes_);
    bytes_per_s_ = number_or(switches, "bytes_per_s", bytes_per_s_);
    mode_ = text_or(switches, "mode", mode_);
}

json weight_store::stats() const {
    return json{json::object{
        {"downloads", json{downloads_}},
        {"active", json{active_}},
        {"bytes_sent", json{bytes_sent_}},
        {"mode", json{mode_}},
    }};
}

net::awaitable<void> weight_store::send(exchange& call) {
    ++downloads_;
    ++active_;
    try {
        co_await call.begin_chunks("application/octet-stream");
        for (auto remaining = weight_bytes_; remaining > 0 && mode_ == "up";) {
            const auto size = std::min(remaining, slice_bytes);
            co_await sleep_until(
                call.executor(),
                link_.reserve(static_cast<double>(size),
                              static_cast<double>(bytes_per_s_),
                              steady::now()));
            std::string slice(static_cast<std::size_t>(size), 'w');
            co_await call.write_chunk(std::move(slice));
            bytes_sent_ += size;
            remaining -= size;
        }
        if (mode_ == "up") {
            co_await call.end_chunks();
        }
    } catch (const std::exception&) {
        call.close_unanswered();
    }
    --active_;
}

net::awaitable<void> weight_store::handle(exchange& call) {
    if (call.path() == "/control" && call.method() == "POST") {
        apply(call.body_json());
        co_await call.reply(200, stats());
    } else if (call.path() == "/stats") {
        co_await call.reply(200, stats());
    } else if (mode_ == "down") {
        call.close_unanswered();
    } else if (!after_prefix(call.path(), "/v1/weights/").empty()) {
        co_await send(call);
    }
}

} // namespace pimentoferry::standins
