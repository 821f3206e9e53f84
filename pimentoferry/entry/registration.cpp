#include "pimentoferry/entry/registration.hpp"

#include <charconv>
#include <utility>

namespace pimentoferry::entry {

namespace {

constexpr std::string_view prefix = "entries/";
constexpr base::milliseconds lease_time{30000};
// A third of the lease, so that two renewals may fail.
constexpr base::milliseconds renewal_interval{10000};
constexpr base::milliseconds retry_interval{1000};
// While no other entry is known the list is the only way to find one.
constexpr base::milliseconds list_interval_alone{2000};
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

std::optional<store::request> registration::next(bool alone,
                                                 base::time_point now) {
    if (running_ != step::none || now < next_try_) {
        return std::nullopt;
    }
    if (now >= next_list_) {
        running_ = step::list;
        next_list_ = now + (alone ? list_interval_alone : list_interval);
        return store::list{std::string{prefix}};
    }
    if (lease_ == store::lease_id{}) {
        running_ = step::grant;
        return store::grant_lease{lease_time};
    }
    if (!written_) {
        running_ = step::write;
        return store::put{key_, {}, 0, lease_};
    }
    if (now >= next_renewal_) {
        running_ = step::renew;
        return store::renew_lease{lease_};
    }
    return std::nullopt;
}

std::optional<std::vector<base::endpoint>>
registration::finished(const store::outcome& outcome, base::time_point now) {
    const auto ended = std::exchange(running_, step::none);
    if (std::holds_alternative<store::unavailable>(outcome)) {
        next_try_ = now + retry_interval;
        return std::nullopt;
    }
    if (std::holds_alternative<store::lease_unknown>(outcome)) {
        lease_ = {};
        written_ = false;
        return std::nullopt;
    }
    if (const auto* granted = std::get_if<store::lease_granted>(&outcome)) {
        lease_ = granted->lease_;
        written_ = false;
        next_renewal_ = now + renewal_interval;
    } else if (ended == step::write) {
        // A conflict is the key of the previous run of this entry; it goes
        // with its lease, and the address in it is right.
        written_ = std::holds_alternative<store::written>(outcome);
        next_try_ = written_ ? now : now + renewal_interval;
    } else if (ended == step::renew) {
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
