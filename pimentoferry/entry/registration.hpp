/// Registers this entry under `entries/` in the store and lists the peer
/// addresses of the other entries registered there.
///
/// The address is part of the key (`entries/<name>@<ip:port>`), so one list
/// call returns all seeds. The key is attached to a lease of 30 s.
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

    /// Returns the next operation, or nothing while one is pending or none is
    /// due. `no_other_entries` says that membership has no other live entry.
    std::optional<store::request> next(bool no_other_entries,
                                       base::time_point now);

    /// Handles the outcome of the operation that `next` returned. Returns the
    /// addresses of the entries if the operation listed them.
    std::optional<std::vector<base::endpoint>>
    finished(const store::outcome& outcome, base::time_point now);

    /// Returns the operation that revokes the lease, and so deletes the key, at
    /// the end of the process. Returns nothing without a lease.
    std::optional<store::request> release();

private:
    enum class step { none, list, grant, write, renew };

    std::string key_;
    step pending_step_{step::none};
    store::lease_id lease_;
    bool key_written_{false};
    base::time_point next_list_;
    base::time_point next_renewal_;
    base::time_point next_attempt_;
};

/// Parses `ip:port`. Returns nothing if the text has no valid port.
std::optional<base::endpoint> parse_endpoint(std::string_view text);

} // namespace pimentoferry::entry

#endif
