/// In-memory keys, revisions and leases of the simulated store, without sockets
/// or a clock; the caller passes the time.
///
///     store_data data;
///     const auto written = data.put("once/0/head", "text", 0, 0, now);
///
/// The revision is global and grows by one with every write and deletion. Each
/// operation first removes expired leases together with their keys.
#ifndef PIMENTOFERRY_STANDINS_STORE_DATA_HPP
#define PIMENTOFERRY_STANDINS_STORE_DATA_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace pimentoferry::standins {

using revision = std::uint64_t;
/// Identifies a lease; 0: none.
using lease_number = std::uint64_t;

struct store_value {
    std::string bytes_;
    revision revision_{0};
    lease_number lease_{0};
};

/// The write took effect.
struct store_written {
    revision revision_{0};
};

/// The key has another revision than expected; 0 when the key is absent.
struct store_conflict {
    revision current_{0};
};

/// The lease has expired or never existed.
struct store_no_lease {};

using store_outcome =
    std::variant<store_written, store_conflict, store_no_lease>;

struct store_change {
    std::string key_;
    revision revision_{0};
    bool deleted_{false};
};

class store_data {
public:
    using time_point = std::chrono::steady_clock::time_point;
    using milliseconds = std::chrono::milliseconds;

    /// Returns null when absent; the pointer is valid until the next call.
    const store_value* get(const std::string& key, time_point now);
    store_outcome put(const std::string& key,
                      std::string bytes,
                      revision expected,
                      lease_number lease,
                      time_point now);
    store_outcome
    erase(const std::string& key, revision expected, time_point now);
    std::vector<store_change> list(const std::string& prefix, time_point now);
    /// Returns the changes under the prefix with a revision above `after`; a
    /// deleted key is reported with the revision of its deletion.
    std::vector<store_change>
    changes(const std::string& prefix, revision after, time_point now);

    lease_number grant(milliseconds ttl, time_point now);
    /// Returns false when the lease has expired or is unknown.
    bool renew(lease_number lease, time_point now);
    bool has_lease(lease_number lease, time_point now);
    /// Ends the lease and deletes its keys. Returns false when it is unknown.
    bool revoke(lease_number lease, time_point now);

    /// Forgets all leases with their keys, as a copy without them does.
    void drop_leases();

    /// Removes expired leases and their keys; returns true when a key was
    /// deleted.
    bool expire(time_point now);
    revision last_revision() const { return last_; }
    std::size_t key_count() const { return values_.size(); }
    std::size_t lease_count() const { return leases_.size(); }

private:
    struct lease {
        milliseconds ttl_{0};
        time_point expires_;
    };

    bool remove_lease_keys(lease_number number);
    revision current(const std::string& key) const;

    std::map<std::string, store_value> values_;
    std::map<std::string, revision> deleted_;
    std::map<lease_number, lease> leases_;
    revision last_{0};
    lease_number last_lease_{0};
};

} // namespace pimentoferry::standins

#endif
