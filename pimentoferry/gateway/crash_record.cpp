#include "pimentoferry/gateway/crash_record.hpp"

#include "pimentoferry/log/log.hpp"
#include "pimentoferry/wire/codec.hpp"

#include <algorithm>
#include <map>

namespace pimentoferry::gateway {

namespace {

// A write takes two calls; if the record is still out of date after this time,
// the next gateway writes.
constexpr base::milliseconds turn{2000};
// Shortest and longest lease that the store grants.
constexpr base::milliseconds min_lease{1000};
constexpr base::milliseconds max_lease{600'000};

std::map<std::uint64_t, std::uint8_t> counts_of(const blamed_parts& parts) {
    std::map<std::uint64_t, std::uint8_t> counts;
    for (const auto& mark : parts.marks_) {
        counts[mark.part_] = mark.crashes_;
    }
    return counts;
}

} // namespace

std::optional<blamed_parts> crash_record::read(const std::string& value) {
    auto decoded = wire::decode<blamed_parts>(value);
    auto* parts = std::get_if<blamed_parts>(&decoded);
    return parts != nullptr ? std::optional{std::move(*parts)} : std::nullopt;
}

void crash_record::update(const blamed_parts& quarantined,
                          std::size_t rank,
                          const store::mirror& replica,
                          base::time_point now) {
    const auto stored = replica.items().find(crash_record_key);
    const bool exists = stored != replica.items().end();
    const auto known =
        exists ? read(stored->second.value_).value_or(blamed_parts{})
               : blamed_parts{};
    if (counts_of(known) == counts_of(quarantined)) {
        differs_since_.reset();
        return;
    }
    differs_since_ = differs_since_.value_or(now);
    const auto waited = now - *differs_since_;
    if (pending_ || waited < turn * static_cast<int>(rank)) {
        return;
    }
    differs_since_ = now;
    const auto revision = exists ? stored->second.revision_ : 0;
    if (!quarantined.marks_.empty()) {
        write(quarantined, revision);
    } else {
        pending_ = true;
        store_.submit(
            {store::token{1}, store::erase{crash_record_key, revision}},
            [this](const store::result& result) { finish("erase", result); });
    }
}

void crash_record::write(const blamed_parts& quarantined,
                         store::revision expected) {
    const auto longest =
        std::ranges::max(quarantined.marks_, {}, &part_mark::remaining_);
    const auto ttl = std::clamp(longest.remaining_, min_lease, max_lease);
    pending_ = true;
    store_.submit({store::token{1}, store::grant_lease{ttl}},
                  [this, expected, value = wire::encode(quarantined)](
                      const store::result& result) {
                      const auto* lease =
                          std::get_if<store::lease_granted>(&result.outcome_);
                      if (lease == nullptr) {
                          finish("grant_lease", result);
                          return;
                      }
                      store_.submit({store::token{1},
                                     store::put{crash_record_key, value,
                                                expected, lease->lease_}},
                                    [this](const store::result& written) {
                                        finish("write", written);
                                    });
                  });
}

void crash_record::finish(const char* operation, const store::result& result) {
    pending_ = false;
    const bool done = std::holds_alternative<store::written>(result.outcome_) ||
                      std::holds_alternative<store::erased>(result.outcome_);
    log::log_info("crash_record",
                  {{"operation", operation}, {"done", done ? "yes" : "no"}});
}

} // namespace pimentoferry::gateway
