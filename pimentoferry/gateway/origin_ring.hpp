/// Writes streams and their versions into a ring of keys in the store, which
/// every gateway follows.
///
///     if (!ring.writing()) { ring.write(message, rank, replica, on_done); }
///
/// A write replaces a slot that was written long ago, see `store::slot_ring`.
#ifndef PIMENTOFERRY_GATEWAY_ORIGIN_RING_HPP
#define PIMENTOFERRY_GATEWAY_ORIGIN_RING_HPP

#include "pimentoferry/gateway/metrics.hpp"
#include "pimentoferry/gateway/peers.hpp"
#include "pimentoferry/store/http_store.hpp"
#include "pimentoferry/store/mirror.hpp"
#include "pimentoferry/store/slot_ring.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>

namespace pimentoferry::gateway {

class origin_ring {
public:
    /// Prefix of the keys.
    static constexpr std::string_view prefix{"pimentoferry/stream-origins/"};
    /// Number of keys.
    static constexpr int size{128};

    enum class write_result : std::uint8_t {
        written,
        slot_taken,  ///< By another writer; another slot is free.
        not_written, ///< The store has refused, or not answered in time.
    };
    using done_handler = std::function<void(write_result)>;

    /// `writer` is a number by which writers differ.
    origin_ring(store::http_store& store,
                metrics& counters,
                std::uint64_t writer)
        : store_(store), counters_(counters), writer_(writer) {}

    /// Whether a write is in progress.
    bool writing() const { return writing_; }

    /// `rank`: the number of keepers that write before this one. Must not be
    /// called during a write.
    void write(const began_streams& message,
               std::size_t rank,
               const store::mirror& replica,
               done_handler on_done);

    /// The store has come back from an older copy.
    void forget() { slots_.forget(); }

private:
    store::http_store& store_;
    metrics& counters_;
    std::uint64_t writer_;
    store::slot_ring slots_{size};
    bool writing_{false};
};

} // namespace pimentoferry::gateway

#endif
