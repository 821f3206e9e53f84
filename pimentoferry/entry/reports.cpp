#include "pimentoferry/entry/reports.hpp"

#include "pimentoferry/base/hash.hpp"

namespace pimentoferry::entry {

namespace {

constexpr std::uint64_t thread_mask = 0xFF;

} // namespace

base::request_id request_id_source::next() {
    const std::uint64_t seed = (++sequence_ << 8U) | thread_;
    const auto hash = base::hash_combine(instance_.value_, seed);
    return {(hash & ~thread_mask) | thread_};
}

std::uint8_t thread_of(base::request_id id) {
    return static_cast<std::uint8_t>(id.value_ & thread_mask);
}

} // namespace pimentoferry::entry
