/// Writes streams and their versions into a ring of keys in the store, which
/// every gateway follows.
///
///     if (!ring.writing()) { ring.write(message, rank, replica); }
///
/// A write replaces the slot that was written first. Keepers of different ranks
/// take different slots, so that one does not undo the other's write.
#ifndef PIMENTOFERRY_GATEWAY_ORIGIN_RING_HPP
#define PIMENTOFERRY_GATEWAY_ORIGIN_RING_HPP

#include "pimentoferry/gateway/metrics.hpp"
#include "pimentoferry/gateway/peers.hpp"
#include "pimentoferry/store/http_store.hpp"
#include "pimentoferry/store/mirror.hpp"

#include <cstddef>
#include <string_view>

namespace pimentoferry::gateway {

class origin_ring {
public:
    /// Prefix of the keys.
    static constexpr std::string_view prefix{"pimentoferry/stream-origins/"};
    /// Number of keys.
    static constexpr int size{128};

    origin_ring(store::http_store& store, metrics& counters)
        : store_(store), counters_(counters) {}

    /// Whether a write is in progress.
    bool writing() const { return writing_; }

    /// `rank`: the number of keepers that write before this one. Must not be
    /// called during a write.
    void write(const began_streams& message,
               std::size_t rank,
               const store::mirror& replica);

private:
    store::http_store& store_;
    metrics& counters_;
    bool writing_{false};
};

} // namespace pimentoferry::gateway

#endif
