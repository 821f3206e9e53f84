/// The key of this entry under `entries/` in the store, and the peer addresses
/// of the others found there.
///
/// The address is part of the key (`entries/<name>@<ip:port>`), so that one
/// list call gives all seeds. The key is held by a lease of 30 s.
#ifndef PIMENTOFERRY_ENTRY_REGISTRATION_HPP
#define PIMENTOFERRY_ENTRY_REGISTRATION_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/store/operations.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pimentoferry::entry {

class registration {
public:
    registration(std::string name, const base::endpoint& peer_address);

    /// The next operation; nothing while one is under way or none is due.
    /// `alone` tells that no other entry is known.
    std::optional<store::request> next(bool alone, base::time_point now);

    /// Takes the outcome of the operation that `next` returned. The result is
    /// the addresses of entries when they were listed.
    std::optional<std::vector<base::endpoint>>
    finished(const store::outcome& outcome, base::time_point now);

    /// Gives the key up at the end of the process; nothing without a lease.
    std::optional<store::request> release();

private:
    enum class step { none, list, grant, write, renew };

    std::string key_;
    step running_{step::none};
    store::lease_id lease_;
    bool written_{false};
    base::time_point next_list_;
    base::time_point next_renewal_;
    base::time_point next_try_;
};

/// Parses `ip:port`.
std::optional<base::endpoint> parse_endpoint(std::string_view text);

} // namespace pimentoferry::entry

#endif
