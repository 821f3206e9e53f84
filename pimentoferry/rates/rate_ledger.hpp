/// Counts the use of rates that the whole fleet shares, at the owner of each.
///
/// A rate allows a number of units a second and a number of units at once. The
/// owner of a rate is one gateway; it counts what all gateways use. Gateways
/// that use little admit requests first and report them, see `rate_share`, so
/// the level of a rate may be negative.
///
///     rate_ledger ledger;
///     ledger.set(id, {18'000, 18'000}, now);
///     ledger.charge(id, 6400, now);              // admitted elsewhere
///     const auto decided = ledger.request(id, 6400, now);
///
/// A new owner does not know what the one before it granted, so a new entry
/// starts with a quarter of a second of its rate.
///
/// The caller passes the current time, which must never decrease and should
/// advance while the machine is suspended.
#ifndef PIMENTOFERRY_RATES_RATE_LEDGER_HPP
#define PIMENTOFERRY_RATES_RATE_LEDGER_HPP

#include "pimentoferry/base/time.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace pimentoferry::rates {

/// What a rate allows.
struct rate_terms {
    double per_second_{0};
    double capacity_{0}; ///< Units that may be used at once.

    friend bool operator==(const rate_terms&, const rate_terms&) = default;
};

/// How far the use of a rate may exceed it in a window of time.
struct rate_tolerance {
    std::chrono::duration<double> window_{0};
    double overage_{0}; ///< Share of what the rate allows in a window.
    double slack_{0};   ///< Units.
};

/// The terms with a capacity that uses half of the tolerance. Requests are
/// coarse: a prompt may cost almost as much as a small account may use in a
/// second, and would be refused although the account is within its quota. The
/// other half is for what gateways admit without the owner's knowledge.
rate_terms with_tolerance(const rate_terms& terms,
                          const rate_tolerance& tolerance);

/// A rate as its owner sees it.
struct rate_state {
    double level_{0}; ///< Units that may be used now.
    /// Too little is left for requests to be admitted without the owner.
    bool scarce_{true};

    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.level_, self.scarce_);
    }
};

struct rate_granted {};
/// `wait_`: when the request would be granted, behind those that were told to
/// wait before it.
struct rate_refused {
    base::milliseconds wait_{0};
};
using rate_decision = std::variant<rate_granted, rate_refused>;

class rate_ledger {
public:
    /// Adds a rate or changes its terms. A lower capacity takes effect at once.
    void
    set(const std::string& id, const rate_terms& terms, base::time_point now);

    void retain(const std::function<bool(const std::string&)>& is_owned);
    bool contains(const std::string& id) const { return rates_.contains(id); }

    /// Sets the part of each rate that the owner may let through, see
    /// `fleet_size::reachable_part`.
    void set_part(double part, base::time_point now);

    /// Records use that a gateway has admitted already; a negative amount gives
    /// back what was not used. No effect on an unknown rate.
    void charge(const std::string& id, double amount, base::time_point now);

    /// Grants a request if enough is left, or if the rate has not been used for
    /// long enough and the amount exceeds the capacity. Unset for an unknown
    /// rate.
    std::optional<rate_decision>
    request(const std::string& id, double amount, base::time_point now);

    /// Unset for an unknown rate.
    std::optional<rate_state> state(const std::string& id,
                                    base::time_point now) const;

    /// Scarce rates that were used recently.
    std::vector<std::string> scarce(base::time_point now) const;

private:
    struct entry {
        rate_terms terms_;
        double level_{0}; ///< At `updated_`.
        base::time_point updated_;
        base::time_point used_;
        /// When the last request that was told to wait is due.
        base::time_point promised_;
        bool scarce_{true};
    };

    double level(const entry& of, base::time_point now) const;
    /// Takes `amount` from the entry, which is brought up to date.
    void update(entry& of, double amount, base::time_point now) const;

    std::map<std::string, entry> rates_;
    double part_{1};
};

} // namespace pimentoferry::rates

#endif
