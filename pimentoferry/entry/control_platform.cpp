// Polls the platform's list of instances.

#include "pimentoferry/entry/control.hpp"
#include "pimentoferry/entry/log.hpp"
#include "pimentoferry/http/error_token.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace pimentoferry::entry {

namespace {

// On average one entry of the fleet reads the list each second, and gossip
// spreads which upstreams are leaving. If every entry read the list each
// second, the traffic would exceed the limit of 9 KB/s.
constexpr base::milliseconds fleet_poll_interval{1000};
constexpr base::milliseconds min_poll_interval{2000};
constexpr base::milliseconds list_timeout{1000};
constexpr int status_ok = 200;

} // namespace

void control::start_platform_poll() {
    if (settings_.instance_list_address_) {
        boost::asio::co_spawn(
            io_, [this] { return poll_platform(); }, boost::asio::detached);
    }
}

http::awaitable<void> control::poll_platform() {
    while (true) {
        http::call_options options;
        options.deadline_ = base::clock::now() + list_timeout;
        http::request call;
        call.target_ = "/v1/instances";
        const auto result = co_await client_.call(
            *settings_.instance_list_address_, call, options);
        const auto* answer = std::get_if<http::response>(&result);
        if (answer != nullptr && answer->status_ == status_ok) {
            if (const auto list = parse_instances(answer->body_)) {
                use_platform_list(*list);
                handle_queue();
            }
        }
        const auto entries = static_cast<int>(swim_.live().size());
        boost::asio::steady_timer timer{
            io_, std::max(min_poll_interval, fleet_poll_interval * entries)};
        boost::system::error_code ignored;
        co_await timer.async_wait(http::internal::into(ignored));
    }
}

void control::use_platform_list(const std::vector<platform_instance>& list) {
    std::vector<base::endpoint> seeds;
    for (const auto& instance : list) {
        const base::upstream_name name{instance.name_};
        const auto found = routing_->state_.upstreams_.find(name);
        if (found == routing_->state_.upstreams_.end()) {
            seeds.push_back(instance.address_);
            continue;
        }
        // The list lags, so one of its items may be an earlier upstream of the
        // same name at another address.
        const bool same = found->second.address_ == instance.address_;
        if (instance.leaving_ && same && !swim_.gossip().is_leaving(name)) {
            log_info("leaving", {{"upstream", name.value_}});
            raise(membership::event{membership::publish{
                membership::leaving_upstream{name, instance.address_}}});
            handle_queue();
            refresh_leaving();
        }
    }
    if (!std::ranges::equal(seeds, platform_seeds_)) {
        platform_seeds_ = std::move(seeds);
        set_seeds();
    }
}

} // namespace pimentoferry::entry
