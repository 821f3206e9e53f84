/// Keeps the quarantined parts of prompts in the store.
///
/// A gateway that starts reads the record with its first listing, before it
/// serves, also when all gateways were killed. The record is one key under a
/// lease that ends with the longest quarantine. Running gateways do not depend
/// on it (`crash_guard`), so it may be late or missing while the store is away.
///
/// One gateway writes; if the record stays out of date, because that gateway
/// cannot reach the store, the next ones do in turn.
#ifndef PIMENTOFERRY_GATEWAY_CRASH_RECORD_HPP
#define PIMENTOFERRY_GATEWAY_CRASH_RECORD_HPP

#include "pimentoferry/base/time.hpp"
#include "pimentoferry/gateway/peers.hpp"
#include "pimentoferry/store/http_store.hpp"
#include "pimentoferry/store/mirror.hpp"

#include <optional>
#include <string>

namespace pimentoferry::gateway {

inline constexpr const char* crash_record_key = "pimentoferry/blamed-parts";

class crash_record {
public:
    explicit crash_record(store::http_store& store) : store_(store) {}

    /// Must be called about every 500 ms with the quarantined parts that this
    /// gateway knows. `rank`: the number of live gateways that write before
    /// this one.
    void update(const blamed_parts& quarantined,
                std::size_t rank,
                const store::mirror& replica,
                base::time_point now);

    /// The parts in a value of the record; unset if it cannot be decoded.
    static std::optional<blamed_parts> read(const std::string& value);

private:
    void write(const blamed_parts& quarantined, store::revision expected);
    void finish(const char* operation, const store::result& result);

    store::http_store& store_;
    bool pending_{false};
    /// Since when the record differs from what this gateway knows.
    std::optional<base::time_point> differs_since_;
};

} // namespace pimentoferry::gateway

#endif
