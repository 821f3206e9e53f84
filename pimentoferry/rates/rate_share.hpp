/// What one gateway may use of rates that the whole fleet shares.
///
/// While a rate is far from used up, a gateway admits requests at once and
/// reports them to the owner of the rate, see `rate_ledger`. When the owner has
/// said that the rate is scarce, each request needs its decision. A gateway
/// that gets no reply uses an equal share of the rate.
///
///     rate_share share{seed};
///     share.set(id, terms, now);
///     share.set_fleet(largest_fleet);
///     const auto decided = share.admit(id, amount, now);
///     for (const auto& report : share.take_reports(now)) { /* send */ }
///     share.confirmed(id, report.sequence_);
///
/// How far the fleet may exceed a rate: what a gateway has admitted without a
/// confirmation is limited to one request, or to the use of its equal share in
/// half a second if that is more.
///
/// The caller passes the current time, which must never decrease and should
/// advance while the machine is suspended.
#ifndef PIMENTOFERRY_RATES_RATE_SHARE_HPP
#define PIMENTOFERRY_RATES_RATE_SHARE_HPP

#include "pimentoferry/base/time.hpp"
#include "pimentoferry/rates/rate_ledger.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace pimentoferry::rates {

struct admitted {};
/// The owner has to decide.
struct ask_owner {};
/// The owner said that nothing is left, or the own share is used up.
struct over_rate {
    base::milliseconds wait_{0};
};
using share_decision = std::variant<admitted, ask_owner, over_rate>;

/// Use to be reported to the owner of a rate.
struct use_report {
    std::string id_;
    double amount_{0};
    std::uint64_t sequence_{0};
};

class rate_share {
public:
    explicit rate_share(std::uint64_t seed) : random_(seed) {}

    void
    set(const std::string& id, const rate_terms& terms, base::time_point now);
    void retain(const std::function<bool(const std::string&)>& is_known);

    /// Sets the largest number of gateways that may be using the rates.
    void set_fleet(std::uint32_t gateways) { fleet_ = gateways; }

    /// Whether this gateway reaches less than half of the others. Each request
    /// needs a decision then: many gateways that are cut off would exceed a
    /// small rate if each admitted one request.
    void set_detached(bool detached) { detached_ = detached; }

    /// Decides on a request. An admitted one counts as used. An unknown rate
    /// does not limit.
    share_decision
    admit(const std::string& id, double amount, base::time_point now);

    /// Decides on a request without the owner, which does not reply.
    share_decision
    admit_alone(const std::string& id, double amount, base::time_point now);

    /// Counts use, or gives it back if `amount` is negative, without a
    /// decision.
    void note_use(const std::string& id, double amount, base::time_point now);

    /// Returns the use that is due to be reported.
    std::vector<use_report> take_reports(base::time_point now);

    /// The owner has received the reports up to `sequence`.
    void confirmed(const std::string& id, std::uint64_t sequence);

    /// The owner said whether the rate is scarce. That holds until it says
    /// otherwise: a gateway that loses the owner of a scarce rate must not
    /// begin to admit on its own.
    void owner_said(const std::string& id, bool is_scarce);

    /// The owner refused a request; the next ones until `until` would be, too.
    void owner_refused(const std::string& id,
                       base::milliseconds wait,
                       base::time_point now);

    /// Rates with a report that has not been confirmed in time. Their reports
    /// are due again.
    std::vector<std::string> take_unconfirmed(base::time_point now);

private:
    struct reported {
        std::uint64_t sequence_{0};
        double amount_{0};
        base::time_point sent_;
    };
    struct entry {
        rate_terms terms_;
        double unreported_{0};
        base::time_point unreported_since_;
        std::vector<reported> unconfirmed_;
        bool scarce_{false};
        base::time_point refused_until_;
        base::time_point credit_at_; ///< When the owner expects credit.
        /// Of the equal share; unset while the owner decides.
        std::optional<double> alone_level_;
        base::time_point alone_updated_;

        double outstanding() const;
    };

    double equal_share(const entry& of) const;

    std::map<std::string, entry> rates_;
    std::uint32_t fleet_{1};
    bool detached_{false};
    std::uint64_t last_sequence_{0};
    std::mt19937_64 random_;
};

} // namespace pimentoferry::rates

#endif
