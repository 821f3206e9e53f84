/// Gossip that this entry still passes on.
///
/// Each rumor is sent a bounded number of times that grows with the logarithm
/// of the fleet, which reaches every entry with high probability. A message
/// carries at most 1,200 bytes of rumors by an estimate.
#ifndef PIMENTOFERRY_MEMBERSHIP_GOSSIP_QUEUE_HPP
#define PIMENTOFERRY_MEMBERSHIP_GOSSIP_QUEUE_HPP

#include "pimentoferry/membership/messages.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <tuple>
#include <vector>

namespace pimentoferry::membership {

inline constexpr std::size_t rumor_bytes_limit = 1200;
/// Rumors kept at most; crash marks alone may be 4,096.
inline constexpr std::size_t rumor_count_limit = 8192;

class gossip_queue {
public:
    /// Adds a rumor; it replaces the one for the same object.
    void add(const gossip_item& told);

    /// Rumors for one message, those sent least often first, and counts them
    /// as sent. `members` is the size of the fleet.
    std::vector<gossip_item> take(std::size_t members);

    std::size_t size() const { return waiting_.size(); }

private:
    /// Kind and object; the text is empty where a number names the object.
    using key = std::tuple<std::size_t, std::uint64_t, std::string>;

    struct entry {
        gossip_item rumor_;
        std::uint32_t sent_{0};
        std::uint32_t delay_{0}; ///< Less urgent kinds count as sent already.
        std::size_t bytes_{0};
    };

    static key key_of(const gossip_item& told);

    std::map<key, entry> waiting_;
};

/// Estimate of the bytes of a rumor in a peer frame.
std::size_t estimated_bytes(const gossip_item& told);

/// How often each rumor is sent in a fleet of this size.
std::uint32_t transmissions(std::size_t members);

} // namespace pimentoferry::membership

#endif
