#include "pimentoferry/gateway/registration.hpp"

#include "pimentoferry/base/hash.hpp"
#include "pimentoferry/http/error_token.hpp"
#include "pimentoferry/http/mailbox.hpp"
#include "pimentoferry/log/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <charconv>
#include <memory>
#include <optional>

namespace pimentoferry::gateway {

namespace asio = boost::asio;

namespace {

// A crashed gateway stays registered for at most this long, which costs its
// peers an occasional connection attempt.
constexpr base::milliseconds lease_ttl{30'000};
// A third of the lease, so that two renewals may fail.
constexpr base::milliseconds renewal_interval{10'000};
constexpr base::milliseconds retry_interval{1'000};
// Tolerates the loss of two registered gateways and of all addresses in the
// settings.
constexpr std::size_t registered_gateway_count = 3;

std::optional<base::endpoint> parse_address(const std::string& text) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    boost::system::error_code error;
    const auto ip = text.substr(0, colon);
    asio::ip::make_address(ip, error);
    std::uint16_t port = 0;
    const char* const last = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, last, port);
    if (error || parsed.ec != std::errc{} || parsed.ptr != last || port == 0) {
        return std::nullopt;
    }
    return base::endpoint{ip, port};
}

} // namespace

registration::registration(asio::io_context& io,
                           store::http_store& store,
                           metrics& counters,
                           const std::string& name,
                           const base::endpoint& peer_address)
    : io_(io), store_(store), counters_(counters), key_(gateways_prefix + name),
      value_(base::to_string(peer_address)) {}

void registration::start(std::function<bool()> is_selected) {
    is_selected_ = std::move(is_selected);
    asio::co_spawn(
        io_, [this] { return run(); }, asio::detached);
}

http::awaitable<store::outcome> registration::call(store::request request,
                                                   const char* name) {
    auto answer = std::make_shared<http::mailbox<store::outcome>>(io_);
    store_.submit({store::token{1}, std::move(request)},
                  [answer](const store::result& result) {
                      answer->deliver(result.outcome_);
                  });
    auto outcome = co_await answer->next();
    const bool failed = std::holds_alternative<store::unavailable>(outcome) ||
                        std::holds_alternative<store::declined>(outcome);
    counters_.count_store_call(name, failed ? "unavailable" : "ok");
    co_return outcome;
}

http::awaitable<bool> registration::register_once() {
    if (lease_ == store::lease_id{}) {
        store::request request = store::grant_lease{lease_ttl};
        const auto granted = co_await call(std::move(request), "grant_lease");
        const auto* lease = std::get_if<store::lease_granted>(&granted);
        if (lease == nullptr) {
            co_return false;
        }
        lease_ = lease->lease_;
    }
    store::request request = store::put{key_, value_, key_revision_, lease_};
    const auto outcome = co_await call(std::move(request), "register");
    if (const auto* conflict = std::get_if<store::conflict>(&outcome)) {
        key_revision_ = conflict->current_;
        co_return false;
    }
    if (std::holds_alternative<store::lease_unknown>(outcome)) {
        lease_ = {};
        co_return false;
    }
    const auto* written = std::get_if<store::written>(&outcome);
    if (written == nullptr) {
        co_return false;
    }
    key_revision_ = written->revision_;
    log::log_info("registered",
                  {{"key", key_}, {"revision", std::to_string(key_revision_)}});
    co_return true;
}

http::awaitable<bool> registration::renew() {
    store::request request = store::renew_lease{lease_};
    const auto outcome = co_await call(std::move(request), "renew");
    if (std::holds_alternative<store::lease_unknown>(outcome)) {
        log::log_info("registration_lapsed", {{"key", key_}});
        lease_ = {};
        key_revision_ = 0;
        co_return false;
    }
    co_return true;
}

http::awaitable<void> registration::run() {
    while (!withdrawn_) {
        const auto forgotten = forgotten_;
        bool done = registered_;
        // This gateway may be selected later, when membership changes.
        if (!registered_ && is_selected_()) {
            done = co_await register_once();
        } else if (registered_ && base::clock::now() >= next_renewal_) {
            done = co_await renew();
            next_renewal_ = base::clock::now() + renewal_interval;
        }
        if (done && !registered_) {
            next_renewal_ = base::clock::now() + renewal_interval;
        }
        registered_ = done && forgotten == forgotten_;
        asio::steady_timer pause{io_, retry_interval};
        boost::system::error_code ignored;
        co_await pause.async_wait(http::internal::into(ignored));
    }
}

void registration::forget() {
    ++forgotten_;
    registered_ = false;
    lease_ = {};
    key_revision_ = 0;
}

void registration::withdraw() {
    withdrawn_ = true;
    if (lease_ != store::lease_id{}) {
        store_.submit({store::token{1}, store::revoke_lease{lease_}},
                      [](const store::result&) {
                          // If the call fails, the key is removed when its
                          // lease expires.
                      });
    }
}

bool is_selected_to_register(base::instance_id self,
                             const std::vector<membership::member>& live) {
    const auto score = [](base::instance_id instance) {
        return base::rendezvous_score(gateways_prefix, instance.value_);
    };
    const auto higher_scores =
        std::ranges::count_if(live, [&](const membership::member& member) {
            return !member.draining_ && score(member.instance_) > score(self);
        });
    return static_cast<std::size_t>(higher_scores) < registered_gateway_count;
}

std::vector<base::endpoint> registered_gateways(const store::mirror& replica) {
    std::vector<base::endpoint> addresses;
    const std::string prefix{gateways_prefix};
    for (auto at = replica.items().lower_bound(prefix);
         at != replica.items().end() && at->first.starts_with(prefix); ++at) {
        if (const auto address = parse_address(at->second.value_)) {
            addresses.push_back(*address);
        }
    }
    return addresses;
}

} // namespace pimentoferry::gateway
