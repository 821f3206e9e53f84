#include "pimentoferry/membership/swim.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace pimentoferry::membership {
namespace {

using base::milliseconds;
using base::time_point;

/// Entries that exchange messages in virtual time, with partitions and pauses.
class fleet {
public:
    explicit fleet(std::uint16_t count) {
        for (std::uint16_t id = 1; id <= count; ++id) {
            add(id, "entry-" + std::to_string(id));
        }
        run(milliseconds{5000});
    }

    void add(std::uint16_t id, const std::string& name) {
        member self;
        self.instance_.value_ = id;
        self.name_ = name;
        self.region_ = "south";
        self.peer_address_ = base::endpoint{"127.0.0.1", id};
        entries_[self.instance_] =
            std::make_unique<swim>(swim_settings{self, id});
        run_one(self.instance_, seeds_updated{{{"127.0.0.1", 1}}});
        run_one(self.instance_, start{});
    }

    swim& at(std::uint64_t id) { return *entries_.at(base::instance_id{id}); }
    void stop(std::uint64_t id) { entries_.erase(base::instance_id{id}); }
    /// Separates these entries from the rest; an empty list heals the split.
    void partition(std::vector<std::uint64_t> ids) {
        separated_ = std::move(ids);
    }
    void pause(std::uint64_t id, bool paused) { paused_ = paused ? id : 0; }

    void run_one(base::instance_id id, const event& input) {
        for (auto& action : entries_.at(id)->handle(input, now_)) {
            if (auto* send = std::get_if<send_message>(&action)) {
                largest_ = std::max(largest_, gossip_bytes(send->message_));
                in_flight_.emplace(now_ + milliseconds{10},
                                   std::pair{id, std::move(*send)});
            }
        }
    }

    void run(milliseconds duration) {
        const auto end = now_ + duration;
        while (now_ < end) {
            now_ += milliseconds{10};
            while (!in_flight_.empty() && in_flight_.begin()->first <= now_) {
                auto [from, sent] =
                    in_flight_.extract(in_flight_.begin()).mapped();
                deliver(from, sent);
            }
            if (now_.time_since_epoch() % milliseconds{50} == milliseconds{0}) {
                tick_all();
            }
        }
    }

    bool all_see(std::size_t live) const {
        return std::ranges::all_of(entries_, [&](const auto& entry) {
            return entry.second->live(true).size() == live;
        });
    }

    time_point now() const { return now_; }
    std::size_t largest() const { return largest_; }

private:
    static std::size_t gossip_bytes(const message& value) {
        std::size_t bytes = 0;
        std::visit(
            [&](const auto& content) {
                if constexpr (requires { content.gossip_; }) {
                    for (const auto& item : content.gossip_) {
                        bytes += estimated_bytes(item);
                    }
                }
            },
            value);
        return bytes;
    }

    bool is_separated(base::instance_id id) const {
        return std::ranges::find(separated_, id.value_) != separated_.end();
    }

    void tick_all() {
        for (const auto& [id, entry] : entries_) {
            if (id.value_ != paused_) {
                run_one(id, tick{});
            }
        }
    }

    void deliver(base::instance_id from, const send_message& sent) {
        for (const auto& [id, entry] : entries_) {
            const bool is_recipient =
                sent.to_ == id ||
                (sent.to_ == base::instance_id{} &&
                 entry->self().peer_address_ == sent.address_);
            if (is_recipient && is_separated(id) == is_separated(from) &&
                id.value_ != paused_ && entries_.contains(from)) {
                run_one(id, peer_message{from, sent.message_});
                return;
            }
        }
    }

    time_point now_{milliseconds{1000000}};
    std::map<base::instance_id, std::unique_ptr<swim>> entries_;
    std::multimap<time_point, std::pair<base::instance_id, send_message>>
        in_flight_;
    std::vector<std::uint64_t> separated_;
    std::uint64_t paused_{0};
    std::size_t largest_{0};
};

class swim_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(swim_test);
    CPPUNIT_TEST(joins_through_a_seed);
    CPPUNIT_TEST(declares_a_stopped_entry_dead);
    CPPUNIT_TEST(relays_a_ping_and_its_ack);
    CPPUNIT_TEST(refutes_after_a_pause);
    CPPUNIT_TEST(heals_after_a_partition);
    CPPUNIT_TEST(replaces_a_restarted_entry);
    CPPUNIT_TEST(publishes_draining_and_leaving);
    CPPUNIT_TEST(spreads_other_gossip_in_bounded_messages);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a fleet in which some entries never find each other.
    void joins_through_a_seed() {
        const fleet nine{9};
        CPPUNIT_ASSERT(nine.all_see(9));
    }

    // Guards against a crashed entry that stays in the views.
    void declares_a_stopped_entry_dead() {
        fleet nine{9};
        nine.stop(4);
        nine.run(milliseconds{6000});
        CPPUNIT_ASSERT(nine.all_see(8));
        CPPUNIT_ASSERT(nine.at(1).find(base::instance_id{4})->member_.state_ ==
                       member_state::dead);
    }

    // Guards against the removal of a working entry because one link is broken.
    void relays_a_ping_and_its_ack() {
        fleet three{3};
        // Entry 3 pings entry 2 for entry 1, whose own pings would be lost. The
        // test itself passes in the request and the ack.
        auto& helper = three.at(3);
        const auto pinged = helper.handle(
            peer_message{base::instance_id{1},
                         ping_request{77, base::instance_id{2}, {}}},
            three.now());
        const auto& relayed =
            std::get<ping>(std::get<send_message>(pinged.back()).message_);
        const auto answered = helper.handle(
            peer_message{base::instance_id{2}, ack{relayed.sequence_, {}}},
            three.now());
        const auto& relayed_ack = std::get<send_message>(answered.back());
        CPPUNIT_ASSERT(relayed_ack.to_ == base::instance_id{1});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{77},
                             std::get<ack>(relayed_ack.message_).sequence_);
    }

    // Guards against an entry that stays dead after it was paused, and against
    // a paused entry that declares the other entries dead.
    void refutes_after_a_pause() {
        fleet five{5};
        five.pause(2, true);
        five.run(milliseconds{10000});
        CPPUNIT_ASSERT(five.at(1).live(true).size() == 4);
        five.pause(2, false);
        five.run(milliseconds{10000});
        CPPUNIT_ASSERT(five.all_see(5));
        CPPUNIT_ASSERT(five.at(2).self().incarnation_ > 0);
        CPPUNIT_ASSERT_EQUAL(0U, five.at(1).self().incarnation_);
    }

    // Guards against halves that stay apart after the partition has healed.
    void heals_after_a_partition() {
        fleet six{6};
        six.partition({4, 5, 6});
        six.run(milliseconds{15000});
        CPPUNIT_ASSERT(six.all_see(3));
        six.partition({});
        six.run(milliseconds{20000});
        CPPUNIT_ASSERT(six.all_see(6));
    }

    // Guards against a restarted entry whose earlier instance stays live until
    // it is suspected.
    void replaces_a_restarted_entry() {
        fleet four{4};
        four.stop(3);
        four.add(13, "entry-3");
        four.run(milliseconds{1500});
        CPPUNIT_ASSERT(four.all_see(4));
        CPPUNIT_ASSERT(four.at(1).find(base::instance_id{3})->member_.state_ ==
                       member_state::dead);
    }

    // Guards against a draining or leaving entry that is still given callers.
    void publishes_draining_and_leaving() {
        fleet four{4};
        four.run_one(base::instance_id{2}, self_changed{true, 7, 0});
        four.run(milliseconds{3000});
        const auto* seen = four.at(4).find(base::instance_id{2});
        CPPUNIT_ASSERT(seen->member_.draining_);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, seen->member_.applied_ticket_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, four.at(4).address_list().size());
        four.run_one(base::instance_id{2}, leave{});
        four.run(milliseconds{1000});
        four.stop(2);
        four.run(milliseconds{2000});
        CPPUNIT_ASSERT(four.all_see(3));
        CPPUNIT_ASSERT(four.at(1).left() ==
                       std::vector<std::string>{"entry-2"});
    }

    // Guards against gossip messages that grow with the number of items, and
    // against an older epoch that replaces a newer one.
    void spreads_other_gossip_in_bounded_messages() {
        fleet nine{9};
        constexpr std::uint64_t marks = 500;
        for (std::uint64_t fingerprint = 1; fingerprint <= marks;
             ++fingerprint) {
            nine.run_one(
                base::instance_id{1},
                publish{crash_mark{fingerprint, 1, milliseconds{600000}}});
        }
        nine.run_one(base::instance_id{1},
                     publish{shard_owner{3, 2, base::instance_id{5}}});
        nine.run_one(base::instance_id{2},
                     publish{shard_owner{3, 1, base::instance_id{6}}});
        nine.run_one(base::instance_id{1},
                     publish{leaving_upstream{base::upstream_name{"e1"}, {}}});
        nine.run(milliseconds{5000});
        const auto& seen = nine.at(9).gossip();
        CPPUNIT_ASSERT(seen.shard_owners().at(3).owner_ ==
                       base::instance_id{5});
        CPPUNIT_ASSERT(seen.is_leaving(base::upstream_name{"e1"}));
        CPPUNIT_ASSERT(nine.largest() <= max_message_gossip_bytes + 64);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(swim_test);

} // namespace
} // namespace pimentoferry::membership
