#include "pimentoferry/entry/registration.hpp"

#include <charconv>
#include <utility>

namespace pimentoferry::entry {

namespace {

constexpr std::string_view prefix = "entries/";
constexpr base::milliseconds lease_ttl{30000};
// A third of the lease, so that two renewals may fail.
constexpr base::milliseconds renewal_interval{10000};
constexpr base::milliseconds retry_interval{1000};
// While no other entry is known, the list is the only way to find one.
constexpr base::milliseconds list_interval_without_peers{2000};
constexpr base::milliseconds list_interval{60000};

} // namespace

std::optional<base::endpoint> parse_endpoint(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    base::endpoint address{std::string{text.substr(0, colon)}, 0};
    const auto port = text.substr(colon + 1);
    const auto* end = port.data() + port.size();
    const auto result = std::from_chars(port.data(), end, address.port_);
    if (result.ec != std::errc{} || result.ptr != end) {
        return std::nullopt;
    }
    return address;
}

registration::registration(std::string name, const base::endpoint& peer_address)
    : key_(std::string{prefix} + std::move(name) + "@" +
           base::to_string(peer_address)) {}

std::optional<store::request> registration::next(bool no_other_entries,
                                                 base::time_point now) {
    if (pending_step_ != step::none || now < next_attempt_) {
        return std::nullopt;
    }
    if (now >= next_list_) {
        pending_step_ = step::list;
        next_list_ = now + (no_other_entries ? list_interval_without_peers
                                             : list_interval);
        return store::list{std::string{prefix}};
    }
    if (lease_ == store::lease_id{}) {
        pending_step_ = step::grant;
        return store::grant_lease{lease_ttl};
    }
    if (!key_written_) {
        pending_step_ = step::write;
        return store::put{key_, {}, 0, lease_};
    }
    if (now >= next_renewal_) {
        pending_step_ = step::renew;
        return store::renew_lease{lease_};
    }
    return std::nullopt;
}

std::optional<std::vector<base::endpoint>>
registration::finished(const store::outcome& outcome, base::time_point now) {
    const auto finished_step = std::exchange(pending_step_, step::none);
    if (std::holds_alternative<store::unavailable>(outcome)) {
        next_attempt_ = now + retry_interval;
        return std::nullopt;
    }
    if (std::holds_alternative<store::lease_unknown>(outcome)) {
        lease_ = {};
        key_written_ = false;
        return std::nullopt;
    }
    if (const auto* granted = std::get_if<store::lease_granted>(&outcome)) {
        lease_ = granted->lease_;
        key_written_ = false;
        next_renewal_ = now + renewal_interval;
    } else if (finished_step == step::write) {
        // A conflict means that the key of the previous run of this entry still
        // exists. It expires with its lease, and the address in it is right.
        key_written_ = std::holds_alternative<store::written>(outcome);
        next_attempt_ = key_written_ ? now : now + renewal_interval;
    } else if (finished_step == step::renew) {
        next_renewal_ = now + renewal_interval;
    }
    const auto* listed = std::get_if<store::listed>(&outcome);
    if (listed == nullptr) {
        return std::nullopt;
    }
    std::vector<base::endpoint> addresses;
    for (const auto& key : listed->keys_) {
        const auto at = key.key_.rfind('@');
        const auto address = parse_endpoint(key.key_.substr(at + 1));
        if (at != std::string::npos && address) {
            addresses.push_back(*address);
        }
    }
    return addresses;
}

std::optional<store::request> registration::release() {
    if (lease_ == store::lease_id{}) {
        return std::nullopt;
    }
    return store::revoke_lease{std::exchange(lease_, {})};
}

} // namespace pimentoferry::entry
