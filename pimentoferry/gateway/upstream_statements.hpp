/// What upstream instances say of themselves in their answers.
///
/// An answer may announce a limit of requests (see `limit_guard`), that its
/// instance leaves, or that it wants a pause. All are read here, from the head
/// of every answer that the instance itself gave, whatever its status and
/// whether or not its body is ever complete:
///
///     statements.observe(options, call.request_, engine);
///     co_await client.call(engine.address_, request, std::move(options));
///
/// An instance that leaves is not used for new requests, see
/// `routing::instance_table::note_leaving`. The gateway that hears it first
/// tells all others at once, and each gateway tells one other what it knows
/// every 500 ms, so that gateways that start or were cut off have it soon.
///
/// An instance that asks for a pause gets no requests from this gateway until
/// the pause is over, see `routing::requested_pauses`. Others are not told.
#ifndef PIMENTOFERRY_GATEWAY_UPSTREAM_STATEMENTS_HPP
#define PIMENTOFERRY_GATEWAY_UPSTREAM_STATEMENTS_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/gateway/limit_guard.hpp"
#include "pimentoferry/gateway/peers.hpp"
#include "pimentoferry/gateway/runtime.hpp"

#include <functional>
#include <string_view>

namespace pimentoferry::gateway {

class upstream_statements {
public:
    /// `on_leaving` is called when an instance that is in use leaves.
    upstream_statements(peers& peer_gateways,
                        runtime& shared,
                        limit_guard& limits,
                        std::function<void()> on_leaving)
        : peers_(peer_gateways), shared_(shared), limits_(limits),
          on_leaving_(std::move(on_leaving)) {}

    /// Makes a call with `options` take note of what `instance` says in its
    /// answer to `request`, which has no id if the call is for a report or an
    /// order. Must be called just before the call is sent; `request` must
    /// outlive the call.
    void observe(http::call_options& options,
                 const caller_request& request,
                 routing::instance instance);

    void receive(base::instance_id from, const leaving_instances& message);

    /// Must be called at least every 100 ms.
    void tick(base::time_point now);

private:
    void read_leaving(const caller_request& request,
                      const routing::instance& instance,
                      const http::field_list& fields);
    void read_pause(const caller_request& request,
                    const routing::instance& instance,
                    const http::response_head& head);
    bool note_leaving(const routing::leaving_run& heard,
                      std::string_view told_by,
                      const std::string& request);

    peers& peers_;
    runtime& shared_;
    limit_guard& limits_;
    std::function<void()> on_leaving_;
    base::time_point next_exchange_;
    base::time_point next_unreadable_line_;
    base::time_point next_unreadable_pause_line_;
};

} // namespace pimentoferry::gateway

#endif
