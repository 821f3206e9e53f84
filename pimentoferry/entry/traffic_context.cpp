#include "pimentoferry/entry/traffic_context.hpp"

#include "pimentoferry/base/hash.hpp"
#include "pimentoferry/entry/log.hpp"
#include "pimentoferry/entry/model_relay.hpp"
#include "pimentoferry/entry/service_relay.hpp"

namespace pimentoferry::entry {

namespace {

// Refusals after which another entry may serve the caller.
bool other_entry_may_help(base::refusal_code code) {
    using enum base::refusal_code;
    return code == draining || code == isolated || code == no_configuration ||
           code == store_unavailable || code == not_owner;
}

} // namespace

traffic_context::traffic_context(boost::asio::io_context& io,
                                 base::instance_id instance,
                                 std::uint8_t thread,
                                 base::failure_domain failure_domain,
                                 report_function report,
                                 metrics& counters)
    : io_(io), instance_(instance), failure_domain_(std::move(failure_domain)),
      report_(std::move(report)), metrics_(counters), client_(io),
      engines_(io, client_, report_), request_ids_(instance, thread),
      replicas_(base::hash_combine(instance.value_, thread)) {}

http::problem_context problem_context_of(const traffic_context& traffic,
                                         const base::refusal& refusal,
                                         base::request_id request) {
    http::problem_context context;
    context.request_id_ = log_id(request);
    if (other_entry_may_help(refusal.code_)) {
        for (const auto& entry : traffic.snapshot_->entries_) {
            context.entries_.push_back(entry.address_);
        }
    }
    return context;
}

http::awaitable<void> refuse_call(traffic_context& traffic,
                                  http::exchange& call,
                                  base::request_id request,
                                  base::refusal refusal) {
    traffic.metrics_.count_refusal(refusal.code_);
    log_info("refuse", {{"request", log_id(request)},
                        {"code", std::string{to_string(refusal.code_)}},
                        {"ran", std::string{to_string(refusal.ran_)}},
                        {"detail", refusal.detail_}});
    const auto context = problem_context_of(traffic, refusal, request);
    const auto answer = http::problem_response(refusal, context);
    co_await call.respond(answer);
}

} // namespace pimentoferry::entry
