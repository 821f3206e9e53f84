#include "pimentoferry/membership/gossip_queue.hpp"

#include "pimentoferry/base/overloaded.hpp"
#include "pimentoferry/membership/member_view.hpp"

#include <algorithm>
#include <bit>
#include <cstdint>
#include <utility>

namespace pimentoferry::membership {
namespace {

// Upper bounds of encoded sizes in msgpack: an id has 9 bytes, a text has a
// header of up to 3 bytes, and arrays and the kind tag take a few more.
constexpr std::size_t id_bytes = 9;
constexpr std::size_t millisecond_bytes = 5;
constexpr std::size_t text_header_bytes = 3;
constexpr std::size_t item_header_bytes = 4;

/// Encoded size of a number; msgpack encodes small numbers in one byte.
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

std::size_t variable_part_bytes(const member_update& value) {
    constexpr std::size_t state_and_draining = 2;
    return number_bytes(value.incarnation_) + state_and_draining +
           number_bytes(value.applied_ticket_) +
           number_bytes(value.in_flight_) + number_bytes(value.version_);
}

bool is_state_change(const gossip_item& item) {
    const auto* update = std::get_if<member_update>(&item);
    return std::holds_alternative<member>(item) ||
           std::holds_alternative<shard_owner>(item) ||
           std::holds_alternative<leaving_upstream>(item) ||
           (update != nullptr &&
            (update->state_ != member_state::alive || update->draining_));
}

} // namespace

std::size_t estimated_bytes(const gossip_item& item) {
    const auto content = std::visit(
        base::overloaded{
            [](const member& value) {
                return id_bytes + text_bytes(value.name_) +
                       address_bytes(value.peer_address_) +
                       address_bytes(value.traffic_address_) +
                       text_bytes(value.failure_domain_.value_) +
                       text_bytes(value.region_) +
                       variable_part_bytes(update_of(value));
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
                return id_bytes + variable_part_bytes(value);
            },
        },
        item);
    return item_header_bytes + content;
}

std::uint32_t transmission_limit(std::size_t members) {
    // Each receiver sends an item as often as its origin. With k transmissions
    // about e^-k of the entries miss an item; these receive it in the periodic
    // exchange of whole views.
    constexpr std::uint32_t margin = 3;
    return margin + static_cast<std::uint32_t>(std::bit_width(members));
}

void gossip_queue::add(const gossip_item& item) {
    const auto key = key_of(item);
    if (queue_.size() >= max_queued_items && !queue_.contains(key)) {
        return;
    }
    // Less urgent items are ordered as if they had been sent this often.
    constexpr std::uint32_t low_priority_delay = 3;
    queue_[key] =
        queued_item{item, 0, is_state_change(item) ? 0U : low_priority_delay,
                    estimated_bytes(item)};
}

std::vector<gossip_item> gossip_queue::take(std::size_t members) {
    std::vector<std::map<key, queued_item>::iterator> order;
    order.reserve(queue_.size());
    for (auto position = queue_.begin(); position != queue_.end(); ++position) {
        order.push_back(position);
    }
    std::ranges::stable_sort(order, {}, [](const auto& position) {
        return position->second.sent_ + position->second.delay_;
    });
    std::vector<gossip_item> taken;
    std::size_t bytes = 0;
    const auto limit = transmission_limit(members);
    for (const auto& position : order) {
        auto& queued = position->second;
        if (bytes + queued.bytes_ > max_message_gossip_bytes) {
            continue;
        }
        bytes += queued.bytes_;
        taken.push_back(queued.item_);
        ++queued.sent_;
        if (queued.sent_ >= limit) {
            queue_.erase(position);
        }
    }
    return taken;
}

gossip_queue::key gossip_queue::key_of(const gossip_item& item) {
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
                      item);
}

} // namespace pimentoferry::membership
