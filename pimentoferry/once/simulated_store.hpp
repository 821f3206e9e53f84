/// Test support: an in-memory model of the platform's store, a map with
/// revisions.
#ifndef PIMENTOFERRY_ONCE_SIMULATED_STORE_HPP
#define PIMENTOFERRY_ONCE_SIMULATED_STORE_HPP

#include "pimentoferry/store/operations.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace pimentoferry::once {

class simulated_store {
public:
    /// Applies the request immediately and returns its outcome.
    store::outcome apply(const store::request& request);

    [[nodiscard]] std::uint64_t reads() const { return reads_; }
    [[nodiscard]] std::uint64_t writes() const { return writes_; }
    /// Total size of all values whose key starts with the prefix.
    [[nodiscard]] std::size_t bytes(const std::string& prefix) const;

private:
    store::outcome get(const store::get& request);
    store::outcome put(const store::put& request);
    store::outcome erase(const store::erase& request);
    store::outcome list(const store::list& request);

    std::map<std::string, store::found> values_;
    store::revision last_revision_{0};
    std::uint64_t reads_{0};
    std::uint64_t writes_{0};
};

} // namespace pimentoferry::once

#endif
