/// Requests to the platform's key-value store and their results, as values.
///
/// Decision libraries perform no I/O: they return operations as actions and
/// receive results as events. Only `http_store` opens connections.
///
///     store::operation op{token, store::put{"once/3/head", bytes, revision}};
///     // later: store::result{token, store::written{revision}}
///
/// A write whose response is lost ends in `unavailable`. It may or may not have
/// taken effect, so the writer must read the key back and compare it with what
/// it wrote.
#ifndef PIMENTOFERRY_STORE_OPERATIONS_HPP
#define PIMENTOFERRY_STORE_OPERATIONS_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace pimentoferry::store {

/// Counter of the whole store that increases with each write. As the revision
/// of a key, 0 means that the key is absent.
using revision = std::uint64_t;
/// Counts how often the store came back from an older copy of its data; 0: not
/// known. Revisions are given out again after that, so they are ordered only
/// within an era.
using era = std::uint64_t;
using lease_id = base::strong_id<struct lease_tag>;
/// Chosen by the sender to match a result to its operation.
using token = base::strong_id<struct token_tag>;

/// A state of the store. Positions are ordered.
struct position {
    era era_{0};
    revision at_{0};

    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.era_, self.at_);
    }
    friend auto operator<=>(const position&, const position&) = default;
};

struct get {
    std::string key_;
};

/// Compare-and-swap: writes only if the key's revision equals `expected_`.
struct put {
    std::string key_;
    std::string value_;
    revision expected_{0};
    lease_id lease_; ///< None: the key does not expire.
};

/// Removes the key only if its revision equals `expected_`.
struct erase {
    std::string key_;
    revision expected_{0};
};

/// Requests the keys that start with a prefix, without their values.
struct list {
    std::string prefix_;
};

struct grant_lease {
    base::milliseconds ttl_{0};
};

struct renew_lease {
    lease_id lease_;
};

struct revoke_lease {
    lease_id lease_;
};

/// Requests one page of the items whose keys start with a prefix, with their
/// values. The pages of a scan are not a consistent snapshot; a watch from the
/// revision of the first page returns the changes made since.
struct scan {
    std::string prefix_;
    std::string after_; ///< Last key of the previous page; empty for the first.
};

/// Waits for changes to keys with the prefix after revision `after_`, for at
/// most `wait_`.
struct watch {
    std::string prefix_;
    revision after_{0};
    base::milliseconds wait_{0};
};

using request = std::variant<get,
                             put,
                             erase,
                             list,
                             grant_lease,
                             renew_lease,
                             revoke_lease,
                             scan,
                             watch>;

struct operation {
    token token_;
    request request_;
};

struct found {
    std::string value_;
    revision revision_{0};
};

struct not_found {};

struct written {
    revision revision_{0};
};

/// The compare-and-swap failed; `current_` is the key's present revision.
struct conflict {
    revision current_{0};
};

struct erased {};

struct key_revision {
    std::string key_;
    revision revision_{0};

    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.key_, self.revision_);
    }
    friend bool operator==(const key_revision&, const key_revision&) = default;
};

struct listed {
    std::vector<key_revision> keys_;
};

struct item {
    std::string key_;
    std::string value_;
    revision revision_{0}; ///< Revision of the item's last change.

    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.key_, self.value_, self.revision_);
    }
    friend bool operator==(const item&, const item&) = default;
};

struct scanned {
    std::vector<item> items_;
    bool truncated_{false}; ///< Whether items follow after the last key.
    revision at_{0};        ///< Revision of the store when the page was read.
};

/// Changes that a watch returned; empty when its waiting time elapsed.
struct changed {
    std::vector<item> written_;
    std::vector<key_revision> removed_; ///< With the revision of the removal.
    revision at_{0};                    ///< `after_` of the next watch.
};

/// The store no longer keeps the changes since the revision of the watch; the
/// reader must scan the prefix again.
struct history_lost {};

struct lease_granted {
    lease_id lease_;
};

/// The lease expired or was revoked.
struct lease_unknown {};

/// There was no valid response within the timeout, or the connection broke.
/// The operation may have taken effect.
struct unavailable {};

/// The store replied that it performed nothing, because a limit was reached or
/// it is not available.
struct declined {};

using outcome = std::variant<found,
                             not_found,
                             written,
                             conflict,
                             erased,
                             listed,
                             lease_granted,
                             lease_unknown,
                             unavailable,
                             scanned,
                             changed,
                             history_lost,
                             declined>;

struct result {
    token token_;
    outcome outcome_;
    /// The era of the store that answered; unset if it did not say.
    std::optional<era> era_{};
};

} // namespace pimentoferry::store

#endif
