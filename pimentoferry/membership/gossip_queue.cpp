#include "pimentoferry/membership/gossip_queue.hpp"

#include "pimentoferry/base/overloaded.hpp"
#include "pimentoferry/membership/member_view.hpp"

#include <algorithm>
#include <bit>
#include <cstdint>
#include <utility>

namespace pimentoferry::membership {
namespace {

// Upper bounds in msgpack: an id is 9 bytes, texts have a header of up to 3,
// and lists and the kind tag take a few more.
constexpr std::size_t id_bytes = 9;
constexpr std::size_t millisecond_bytes = 5;
constexpr std::size_t text_header_bytes = 3;
constexpr std::size_t rumor_header_bytes = 4;

/// A number as msgpack writes it: small ones take one byte.
std::size_t number_bytes(std::uint64_t value) {
    constexpr std::uint64_t one_byte_limit = 128;
    if (value < one_byte_limit) {
        return 1;
    }
    return value <= UINT8_MAX    ? 2
           : value <= UINT16_MAX ? 3
           : value <= UINT32_MAX ? 5
                                 : id_bytes;
}

std::size_t text_bytes(const std::string& text) {
    return text_header_bytes + text.size();
}

std::size_t address_bytes(const base::endpoint& address) {
    return 1 + text_bytes(address.ip_) + number_bytes(address.port_);
}

std::size_t detail_bytes(const member_update& value) {
    constexpr std::size_t state_and_draining = 2;
    return number_bytes(value.incarnation_) + state_and_draining +
           number_bytes(value.applied_ticket_) +
           number_bytes(value.in_flight_) + number_bytes(value.version_);
}

bool is_state_change(const gossip_item& told) {
    const auto* update = std::get_if<member_update>(&told);
    return std::holds_alternative<member>(told) ||
           std::holds_alternative<shard_owner>(told) ||
           std::holds_alternative<leaving_upstream>(told) ||
           (update != nullptr &&
            (update->state_ != member_state::alive || update->draining_));
}

} // namespace

std::size_t estimated_bytes(const gossip_item& told) {
    const auto content = std::visit(
        base::overloaded{
            [](const member& value) {
                return id_bytes + text_bytes(value.name_) +
                       address_bytes(value.peer_address_) +
                       address_bytes(value.traffic_address_) +
                       text_bytes(value.failure_domain_.value_) +
                       text_bytes(value.region_) +
                       detail_bytes(update_of(value));
            },
            [](const shard_owner& value) {
                return id_bytes + number_bytes(value.shard_) +
                       number_bytes(value.epoch_);
            },
            [](const cell_headroom& value) {
                return text_bytes(value.cell_.value_) + id_bytes +
                       number_bytes(value.version_) +
                       number_bytes(value.free_decode_slots_) +
                       number_bytes(value.queued_);
            },
            [](const crash_mark&) { return id_bytes + 1 + millisecond_bytes; },
            [](const leaving_upstream& value) {
                return text_bytes(value.upstream_.value_) +
                       address_bytes(value.address_);
            },
            [](const member_update& value) {
                return id_bytes + detail_bytes(value);
            },
        },
        told);
    return rumor_header_bytes + content;
}

std::uint32_t transmissions(std::size_t members) {
    // Each receiver passes a rumor on as often as its first sender. With k
    // transmissions about e^-k of the entries miss a rumor; the exchange of
    // whole views reaches those.
    constexpr std::uint32_t margin = 3;
    return margin + static_cast<std::uint32_t>(std::bit_width(members));
}

void gossip_queue::add(const gossip_item& told) {
    const auto key = key_of(told);
    if (waiting_.size() >= rumor_count_limit && !waiting_.contains(key)) {
        return;
    }
    constexpr std::uint32_t detail_delay = 3;
    waiting_[key] = entry{told, 0, is_state_change(told) ? 0U : detail_delay,
                          estimated_bytes(told)};
}

std::vector<gossip_item> gossip_queue::take(std::size_t members) {
    std::vector<std::map<key, entry>::iterator> order;
    order.reserve(waiting_.size());
    for (auto place = waiting_.begin(); place != waiting_.end(); ++place) {
        order.push_back(place);
    }
    std::ranges::stable_sort(order, {}, [](const auto& place) {
        return place->second.sent_ + place->second.delay_;
    });
    std::vector<gossip_item> taken;
    std::size_t bytes = 0;
    const auto limit = transmissions(members);
    for (const auto& place : order) {
        auto& waiting = place->second;
        if (bytes + waiting.bytes_ > rumor_bytes_limit) {
            continue;
        }
        bytes += waiting.bytes_;
        taken.push_back(waiting.rumor_);
        ++waiting.sent_;
        if (waiting.sent_ >= limit) {
            waiting_.erase(place);
        }
    }
    return taken;
}

gossip_queue::key gossip_queue::key_of(const gossip_item& told) {
    return std::visit(base::overloaded{
                          [](const member& value) {
                              return key{0, value.instance_.value_, {}};
                          },
                          [](const shard_owner& value) {
                              return key{1, value.shard_, {}};
                          },
                          [](const cell_headroom& value) {
                              return key{2, 0, value.cell_.value_};
                          },
                          [](const crash_mark& value) {
                              return key{3, value.fingerprint_, {}};
                          },
                          [](const leaving_upstream& value) {
                              return key{4, 0, value.upstream_.value_};
                          },
                          [](const member_update& value) {
                              return key{5, value.instance_.value_, {}};
                          },
                      },
                      told);
}

} // namespace pimentoferry::membership
