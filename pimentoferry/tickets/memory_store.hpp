/// A stand-in for the platform's store, in memory, for tests and benchmarks.
#ifndef PIMENTOFERRY_TICKETS_MEMORY_STORE_HPP
#define PIMENTOFERRY_TICKETS_MEMORY_STORE_HPP

#include "pimentoferry/store/operations.hpp"

#include <map>
#include <string>

namespace pimentoferry::tickets::testing {

class memory_store {
public:
    /// The true outcome; what becomes of the answer is up to the caller.
    /// Leases are not supported and answer `unavailable`.
    store::outcome apply(const store::request& request);

    const std::map<std::string, store::found>& keys() const { return keys_; }

private:
    std::map<std::string, store::found> keys_;
    store::revision revision_{0};
};

} // namespace pimentoferry::tickets::testing

#endif
