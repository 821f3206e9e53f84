/// Typed identifiers.
///
/// Each kind of object has its own type, so that the compiler rejects, for
/// example, a request id where an instance id is expected.
///
///     base::caller_name caller{"desk-hawassa"};
///     base::attempt_id attempt{instance, 7};
///
/// All types are comparable, hashable and usable as map keys. The header is
/// valid C++17, because the `config` library is compiled as C++17.
#ifndef PIMENTOFERRY_BASE_IDS_HPP
#define PIMENTOFERRY_BASE_IDS_HPP

#include <cstdint>
#include <functional>
#include <string>
#include <tuple>

namespace pimentoferry::base {

/// A 64-bit number that names one kind of object. Zero means "none".
template <class Tag>
struct strong_id {
    std::uint64_t value_{0};

    friend bool operator==(strong_id a, strong_id b) {
        return a.value_ == b.value_;
    }
    friend bool operator!=(strong_id a, strong_id b) { return !(a == b); }
    friend bool operator<(strong_id a, strong_id b) {
        return a.value_ < b.value_;
    }
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.value_);
    }
};

/// A string that names one kind of object. Empty means "none".
template <class Tag>
struct strong_name {
    std::string value_;

    friend bool operator==(const strong_name& a, const strong_name& b) {
        return a.value_ == b.value_;
    }
    friend bool operator!=(const strong_name& a, const strong_name& b) {
        return !(a == b);
    }
    friend bool operator<(const strong_name& a, const strong_name& b) {
        return a.value_ < b.value_;
    }
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.value_);
    }
};

/// One run of an entry process. A restarted process has a new id.
using instance_id = strong_id<struct instance_tag>;
/// One request of a caller, unique over all entries.
using request_id = strong_id<struct request_tag>;

using upstream_name = strong_name<struct upstream_tag>;
using deployment_name = strong_name<struct deployment_tag>;
using service_name = strong_name<struct service_tag>;
using caller_name = strong_name<struct caller_tag>;
/// A client account of the gateways' configuration.
using account_name = strong_name<struct account_tag>;
using cell_name = strong_name<struct cell_tag>;
using failure_domain = strong_name<struct failure_domain_tag>;

/// One attempt to run a model request on engines. It contains the instance that
/// made it, so that all attempts of a crashed instance can be cancelled.
struct attempt_id {
    instance_id instance_;
    std::uint64_t sequence_{0};

    friend bool operator==(attempt_id a, attempt_id b) {
        return a.instance_ == b.instance_ && a.sequence_ == b.sequence_;
    }
    friend bool operator!=(attempt_id a, attempt_id b) { return !(a == b); }
    friend bool operator<(attempt_id a, attempt_id b) {
        return std::tie(a.instance_, a.sequence_) <
               std::tie(b.instance_, b.sequence_);
    }
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.instance_, self.sequence_);
    }
};

/// A TCP address with a numeric IP address; names are never resolved.
struct endpoint {
    std::string ip_;
    std::uint16_t port_{0};

    friend bool operator==(const endpoint& a, const endpoint& b) {
        return a.ip_ == b.ip_ && a.port_ == b.port_;
    }
    friend bool operator<(const endpoint& a, const endpoint& b) {
        return std::tie(a.ip_, a.port_) < std::tie(b.ip_, b.port_);
    }
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.ip_, self.port_);
    }
};

/// Returns `ip:port`.
inline std::string to_string(const endpoint& address) {
    return address.ip_ + ":" + std::to_string(address.port_);
}

/// Returns an id as 16 hexadecimal digits, the form used in logs and headers.
std::string to_hex(std::uint64_t value);

/// Returns `<instance>-<sequence>`, both as 16 hexadecimal digits.
std::string to_string(attempt_id attempt);

} // namespace pimentoferry::base

namespace std {

template <class Tag>
struct hash<pimentoferry::base::strong_id<Tag>> {
    size_t operator()(pimentoferry::base::strong_id<Tag> id) const {
        return hash<uint64_t>{}(id.value_);
    }
};

template <class Tag>
struct hash<pimentoferry::base::strong_name<Tag>> {
    size_t operator()(const pimentoferry::base::strong_name<Tag>& name) const {
        return hash<string>{}(name.value_);
    }
};

template <>
struct hash<pimentoferry::base::attempt_id> {
    size_t operator()(pimentoferry::base::attempt_id id) const {
        // Spreads sequence numbers, which are dense, over the hash range.
        constexpr uint64_t multiplier = 0x9E3779B97F4A7C15ULL;
        return hash<uint64_t>{}(id.instance_.value_ ^
                                (id.sequence_ * multiplier));
    }
};

} // namespace std

#endif
