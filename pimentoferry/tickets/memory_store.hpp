/// In-memory fake of the platform's store, for tests and benchmarks.
#ifndef PIMENTOFERRY_TICKETS_MEMORY_STORE_HPP
#define PIMENTOFERRY_TICKETS_MEMORY_STORE_HPP

#include "pimentoferry/store/operations.hpp"

#include <map>
#include <string>

namespace pimentoferry::tickets::testing {

class memory_store {
public:
    /// Executes the request and returns its outcome; the caller decides whether
    /// to deliver it. Lease operations are not supported and return
    /// `unavailable`.
    store::outcome apply(const store::request& request);

    const std::map<std::string, store::found>& keys() const { return keys_; }

private:
    std::map<std::string, store::found> keys_;
    store::revision revision_{0};
};

} // namespace pimentoferry::tickets::testing

#endif
