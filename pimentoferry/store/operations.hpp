/// Operations on the platform's key-value store, as data.
///
/// Decision libraries return these as actions and receive results as events;
/// only the client in this library opens a connection.
///
///     store::operation op{token, store::put{"once/3/head", bytes, revision}};
///     // later: store::result{token, store::written{revision}}
///
/// A write whose answer is lost ends in `unavailable`: it may or may not have
/// taken effect, so the writer must read its own mark back.
#ifndef PIMENTOFERRY_STORE_OPERATIONS_HPP
#define PIMENTOFERRY_STORE_OPERATIONS_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace pimentoferry::store {

/// Grows over the whole store with each write. 0 means "key is absent".
using revision = std::uint64_t;
using lease_id = base::strong_id<struct lease_tag>;
/// Chosen by the sender to match a result with its operation.
using token = base::strong_id<struct token_tag>;

struct get {
    std::string key_;
};

/// Writes only if the key's revision is still `expected_`.
struct put {
    std::string key_;
    std::string value_;
    revision expected_{0};
    lease_id lease_; ///< None: the key does not expire.
};

struct erase {
    std::string key_;
    revision expected_{0};
};

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

/// One page of the items below a prefix, with their values. Pages are no
/// snapshot; a watch from the revision of the first page brings the rest.
struct scan {
    std::string prefix_;
    std::string after_; ///< The last key of the page before; empty: the first.
};

/// Waits until something below the prefix changes after a revision.
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

/// Compare-and-swap failed; `current_` is the key's revision.
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
    revision revision_{0}; ///< Of its last change.

    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.key_, self.value_, self.revision_);
    }
    friend bool operator==(const item&, const item&) = default;
};

struct scanned {
    std::vector<item> items_;
    bool truncated_{false}; ///< More follow after the last key.
    revision at_{0};        ///< Of the store.
};

/// What a watch saw; empty when its time ran out.
struct changed {
    std::vector<item> written_;
    std::vector<key_revision> removed_; ///< With the revision of the removal.
    revision at_{0};                    ///< Continue from here.
};

/// The store no longer knows what changed since the revision of the watch.
struct history_lost {};

struct lease_granted {
    lease_id lease_;
};

/// The lease expired or was revoked.
struct lease_unknown {};

/// No answer within the timeout, or a broken connection. The operation may
/// have taken effect.
struct unavailable {};

/// The store answered that it did nothing: a limit, or it is not available.
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
};

} // namespace pimentoferry::store

#endif
