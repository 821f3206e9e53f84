/// Queue of the gossip items that this entry still sends.
///
/// Each item is sent a bounded number of times that grows with the logarithm of
/// the fleet size, which reaches every entry with high probability. A message
/// carries at most 1,200 bytes of items, by an estimate of their encoded size.
#ifndef PIMENTOFERRY_MEMBERSHIP_GOSSIP_QUEUE_HPP
#define PIMENTOFERRY_MEMBERSHIP_GOSSIP_QUEUE_HPP

#include "pimentoferry/membership/messages.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <tuple>
#include <vector>

namespace pimentoferry::membership {

/// Maximum estimated size of the items in one message.
inline constexpr std::size_t max_message_gossip_bytes = 1200;
/// Maximum length of the queue. Crash marks alone may be 4,096.
inline constexpr std::size_t max_queued_items = 8192;

class gossip_queue {
public:
    /// Adds an item; it replaces the one for the same object. A new object is
    /// ignored when the queue is full.
    void add(const gossip_item& item);

    /// Returns the items for one message, least often sent first, and counts
    /// them as sent. `members` is the size of the fleet.
    std::vector<gossip_item> take(std::size_t members);

    std::size_t size() const { return queue_.size(); }

private:
    /// Kind and object; the text is empty when a number identifies the object.
    using key = std::tuple<std::size_t, std::uint64_t, std::string>;

    struct queued_item {
        gossip_item item_;
        std::uint32_t sent_{0};
        std::uint32_t delay_{0}; ///< Added to `sent_` in the order.
        std::size_t bytes_{0};
    };

    static key key_of(const gossip_item& item);

    std::map<key, queued_item> queue_;
};

/// Estimate of the encoded size of an item in a peer frame.
std::size_t estimated_bytes(const gossip_item& item);

/// How many times an entry sends each item in a fleet of this size.
std::uint32_t transmission_limit(std::size_t members);

} // namespace pimentoferry::membership

#endif
