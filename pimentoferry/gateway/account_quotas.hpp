/// Keeps the quotas of client accounts over all gateways.
///
/// The requests of an account are counted by one gateway, its owner, which all
/// gateways with the same view of the members compute. A gateway admits the
/// requests of an account that is far below its quota at once and reports them
/// to the owner; when little is left, it asks the owner first. A gateway that
/// gets no reply, or reaches less than half of the fleet, uses an equal share
/// of the quota. See `rates::rate_ledger` and `rates::rate_share`.
///
///     const auto decision = co_await quotas.admit(account, cost);
///     ...
///     quotas.give_back(account, cost);   // if the request has not run
///
/// No request waits for longer than the owner's reply timeout. All functions
/// run on the thread of the io_context.
#ifndef PIMENTOFERRY_GATEWAY_ACCOUNT_QUOTAS_HPP
#define PIMENTOFERRY_GATEWAY_ACCOUNT_QUOTAS_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/config/gateway_settings.hpp"
#include "pimentoferry/gateway/metrics.hpp"
#include "pimentoferry/gateway/peers.hpp"
#include "pimentoferry/http/awaitable.hpp"
#include "pimentoferry/http/mailbox.hpp"
#include "pimentoferry/rates/fleet_size.hpp"
#include "pimentoferry/rates/rate_ledger.hpp"
#include "pimentoferry/rates/rate_share.hpp"
#include "pimentoferry/routing/configuration.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace pimentoferry::gateway {

/// Who decided on a request.
enum class quota_decider : std::uint8_t {
    none,  ///< The account has no quota.
    share, ///< This gateway, by what the owner said last.
    owner,
    alone, ///< This gateway, by its equal share.
};
std::string_view to_string(quota_decider decider);

struct quota_admitted {
    quota_decider decider_{quota_decider::none};
};
/// The account is over its quota.
struct quota_exceeded {
    base::milliseconds wait_{0};
    quota_decider decider_{quota_decider::owner};
};
/// This gateway cannot tell; another one may.
struct quota_undecided {
    std::string reason_;
};
using quota_decision =
    std::variant<quota_admitted, quota_exceeded, quota_undecided>;

class account_quotas {
public:
    account_quotas(boost::asio::io_context& io,
                   peers& peer_gateways,
                   metrics& counters,
                   const config::quota_settings& settings,
                   std::uint64_t seed)
        : io_(io), peers_(peer_gateways), counters_(counters),
          tolerance_{settings.window_, settings.overage_, settings.slack_},
          share_(seed) {}

    /// Takes over the accounts of a new configuration.
    void set_accounts(const std::vector<routing::client_account>& accounts);

    /// Decides on a request that costs `amount` units. An admitted request
    /// counts as used.
    http::awaitable<quota_decision> admit(base::account_name account,
                                          double amount);

    /// Returns the cost of an admitted request that has not run.
    void give_back(const base::account_name& account, double amount);

    void receive(base::instance_id from, const account_use_report& message);
    void receive(const account_use_confirmation& message);
    void receive(base::instance_id from, const credit_request& message);
    void receive(const credit_reply& message);
    void receive(const account_levels& message);

    /// A gateway joined or left, so that owners may have changed. They are
    /// computed with the next tick, once for all changes.
    void member_changed() { members_changed_ = true; }

    /// Must be called at least every 100 ms.
    void tick();

    /// The use of each account as a JSON object, for operators.
    std::string use_as_json() const;

private:
    /// A request that waits for the decision of the owner.
    struct pending_credit {
        explicit pending_credit(boost::asio::io_context& io) : signal_(io) {}

        http::wake_signal signal_;
        std::optional<credit_reply> reply_;
    };
    /// An account with a quota, and what this gateway did for it.
    struct account_state {
        routing::account_quota quota_;
        base::instance_id owner_;
        double admitted_units_{0};
        std::uint64_t refused_{0};
        std::optional<base::time_point> owner_heard_; ///< By `boot_now`.
    };

    rates::rate_terms terms_of(const routing::account_quota& quota) const;
    bool knows_fleet() const;
    void update_fleet(std::size_t live, base::time_point boot_now);
    void update_owners(base::time_point boot_now);
    credit_reply decide_as_owner(base::attempt_id attempt,
                                 const base::account_name& account,
                                 double amount,
                                 base::time_point boot_now);
    http::awaitable<quota_decision> ask_owner_of(base::account_name account,
                                                 double amount);
    quota_decision decide_alone(const base::account_name& account,
                                double amount,
                                base::time_point boot_now);
    void send_reports(base::time_point boot_now);
    void send_levels(base::time_point boot_now);
    /// Time since the owner of an account was heard, for log lines.
    std::string owner_age_text(const base::account_name& account,
                               base::time_point boot_now) const;
    void log_refusal(const base::account_name& account,
                     double amount,
                     const quota_exceeded& exceeded,
                     base::time_point boot_now);

    boost::asio::io_context& io_;
    peers& peers_;
    metrics& counters_;
    const rates::rate_tolerance tolerance_;
    rates::rate_ledger ledger_;
    rates::rate_share share_;
    rates::fleet_size fleet_;
    std::map<base::account_name, account_state> accounts_;
    std::map<base::attempt_id, std::shared_ptr<pending_credit>> pending_;
    /// Owners that did not reply, and until when they are not asked.
    std::map<base::instance_id, base::time_point> bypassed_;
    /// Accounts that were scarce when the levels were sent last.
    std::vector<std::string> scarce_;
    base::time_point started_at_{base::clock::now()};
    base::time_point next_levels_;
    std::uint64_t last_attempt_{0};
    bool members_changed_{false};
};

} // namespace pimentoferry::gateway

#endif
