#include "pimentoferry/orders/order_claim.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <random>

namespace pimentoferry::orders {

namespace {

using base::milliseconds;

/// Fake store with a single key and conditional writes.
struct fake_store {
    store::revision revision_{0};
    store::revision last_revision_{10};
    store::era era_{0};

    store::result apply(const store::operation& operation) {
        if (const auto* erase =
                std::get_if<store::erase>(&operation.request_)) {
            revision_ = erase->expected_ == revision_ ? 0 : revision_;
            return {operation.token_, store::erased{}};
        }
        const auto& put = std::get<store::put>(operation.request_);
        if (put.expected_ != revision_) {
            return {operation.token_, store::conflict{revision_}};
        }
        revision_ = ++last_revision_;
        return {operation.token_, store::written{revision_}, era_};
    }
};

/// Knowledge of an era that began long ago.
known_era settled_in(store::era era) {
    known_era known{takeover_wait};
    known.seen(era, base::time_point{} - std::chrono::hours{1});
    return known;
}

class order_claim_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(order_claim_test);
    CPPUNIT_TEST(first_claim_is_valid_immediately);
    CPPUNIT_TEST(fencing_numbers_rise_when_revisions_go_back);
    CPPUNIT_TEST(missing_key_after_a_restore_is_taken_over);
    CPPUNIT_TEST(restore_that_the_claim_itself_reveals_is_respected);
    CPPUNIT_TEST(claim_that_is_made_after_a_restore_waits);
    CPPUNIT_TEST(process_that_has_just_started_does_not_trust_a_missing_key);
    CPPUNIT_TEST(claim_of_an_earlier_era_counts_for_nothing);
    CPPUNIT_TEST(orders_keep_the_distance_across_restores);
    CPPUNIT_TEST(claim_expires_without_an_event);
    CPPUNIT_TEST(takeover_waits_until_the_other_claim_expires);
    CPPUNIT_TEST(renewal_needs_no_wait);
    CPPUNIT_TEST(lost_write_result_is_no_claim);
    CPPUNIT_TEST(takeover_of_a_released_claim_needs_no_wait);
    CPPUNIT_TEST(key_is_kept_shortly_after_an_order);
    CPPUNIT_TEST(orders_of_two_holders_keep_the_distance);
    CPPUNIT_TEST_SUITE_END();

    void claim_once(order_claim& claim,
                    fake_store& key,
                    base::time_point now,
                    const known_era& known) {
        for (const auto& operation : claim.acquire(now)) {
            claim.handle(key.apply(operation), known, now);
        }
    }

    void claim_once(order_claim& claim, fake_store& key, base::time_point now) {
        claim_once(claim, key, now, settled_in(key.era_));
    }

    /// Claims until orders may be given; returns how long that took. `known`
    /// learns the era of each answer.
    base::milliseconds time_to_claim(order_claim& claim,
                                     fake_store& key,
                                     base::time_point now,
                                     known_era& known) {
        const auto begin = now;
        while (!claim.fencing_number(now)) {
            now += milliseconds{100};
            claim_once(claim, key, now, known);
            known.seen(key.era_, now);
        }
        return std::chrono::duration_cast<base::milliseconds>(now - begin);
    }

    void first_claim_is_valid_immediately() {
        fake_store key;
        order_claim claim{"orders/a", "one"};
        claim_once(claim, key, {});
        CPPUNIT_ASSERT(claim.fencing_number({}) == key.revision_);
    }

    // Guards against a second holder with the same or a lower fencing number
    // after the store has come back from an older copy.
    void fencing_numbers_rise_when_revisions_go_back() {
        fake_store key{.era_ = 1};
        order_claim first{"orders/a", "one"};
        order_claim second{"orders/a", "two"};
        base::time_point now{};
        claim_once(first, key, now);
        const auto before = first.fencing_number(now);
        key = fake_store{0, 2, 2};
        first.forget();
        CPPUNIT_ASSERT(!first.fencing_number(now));
        while (!second.fencing_number(now)) {
            now += milliseconds{100};
            claim_once(second, key, now);
        }
        CPPUNIT_ASSERT(second.fencing_number(now) > before);
    }

    // Guards against orders of a new holder while one whose key the copy lacks
    // has just given its last: the restore was noticed, by an existing claim.
    void missing_key_after_a_restore_is_taken_over() {
        fake_store key{.era_ = 2};
        order_claim claim{"orders/a", "one"};
        claim.forget();
        known_era known{takeover_wait};
        known.seen(2, {});
        CPPUNIT_ASSERT(time_to_claim(claim, key, {}, known) >=
                       claim_validity + holder_distance);
    }

    // As above: nobody noticed the restore before the claim's own write.
    void restore_that_the_claim_itself_reveals_is_respected() {
        fake_store key{.era_ = 2};
        order_claim claim{"orders/a", "one"};
        auto known = settled_in(1);
        CPPUNIT_ASSERT(time_to_claim(claim, key, {}, known) >=
                       claim_validity + holder_distance);
    }

    // As above: the claim is made after the restore was noticed.
    void claim_that_is_made_after_a_restore_waits() {
        fake_store key{.era_ = 2};
        auto known = settled_in(1);
        known.seen(2, {});
        order_claim claim{"orders/a", "one"};
        const auto later = base::time_point{} + milliseconds{1000};
        CPPUNIT_ASSERT(time_to_claim(claim, key, later, known) >=
                       claim_validity + holder_distance);
    }

    // As above: the process started after the restore.
    void process_that_has_just_started_does_not_trust_a_missing_key() {
        fake_store key{.era_ = 2};
        order_claim claim{"orders/a", "one"};
        known_era known{takeover_wait};
        CPPUNIT_ASSERT(time_to_claim(claim, key, {}, known) >=
                       claim_validity + holder_distance);
    }

    // Guards against a renewal by a holder whose successor's claim was lost,
    // and against a wait that is over for a claim of an earlier era.
    void claim_of_an_earlier_era_counts_for_nothing() {
        fake_store key{.era_ = 1};
        order_claim claim{"orders/a", "one"};
        claim_once(claim, key, {});
        key.era_ = 2;
        auto known = settled_in(1);
        auto now = base::time_point{} + claim_validity;
        claim_once(claim, key, now, known);
        CPPUNIT_ASSERT(!claim.fencing_number(now));
        key.era_ = 3;
        now += takeover_wait;
        claim_once(claim, key, now, known);
        CPPUNIT_ASSERT(!claim.fencing_number(now));
        CPPUNIT_ASSERT(time_to_claim(claim, key, now, known) >=
                       claim_validity + holder_distance);
    }

    // Guards against orders from a process that was paused after its claim.
    void claim_expires_without_an_event() {
        fake_store key;
        order_claim claim{"orders/a", "one"};
        claim_once(claim, key, {});
        CPPUNIT_ASSERT(
            !claim.fencing_number(base::time_point{} + claim_validity));
    }

    // Guards against orders of a new holder while the claim of the previous one
    // is still valid.
    void takeover_waits_until_the_other_claim_expires() {
        fake_store key;
        order_claim first{"orders/a", "one"};
        order_claim second{"orders/a", "two"};
        claim_once(first, key, {});
        base::time_point now{};
        claim_once(second, key, now); // Conflicts; receives the revision.
        claim_once(second, key, now); // Takes the key over.
        const auto begin = now;
        while (!second.fencing_number(now)) {
            now += milliseconds{100};
            claim_once(second, key, now);
        }
        CPPUNIT_ASSERT(now - begin >= claim_validity + holder_distance);
        CPPUNIT_ASSERT(*second.fencing_number(now) == key.revision_);
    }

    void renewal_needs_no_wait() {
        fake_store key;
        order_claim claim{"orders/a", "one"};
        claim_once(claim, key, {});
        const auto later = base::time_point{} + milliseconds{60'000};
        claim_once(claim, key, later);
        CPPUNIT_ASSERT(claim.fencing_number(later).has_value());
    }

    // Guards against an order after a write whose outcome is unknown.
    void lost_write_result_is_no_claim() {
        fake_store key;
        order_claim claim{"orders/a", "one"};
        const auto operations = claim.acquire({});
        key.apply(operations.front());
        claim.handle({operations.front().token_, store::unavailable{}},
                     settled_in(0), {});
        CPPUNIT_ASSERT(!claim.fencing_number({}));
        claim_once(claim, key, {});
        claim_once(claim, key, {});
        CPPUNIT_ASSERT(!claim.fencing_number({}));
    }

    // Guards against 6 s without a prefill engine whenever the holder is
    // replaced.
    void takeover_of_a_released_claim_needs_no_wait() {
        fake_store key;
        order_claim first{"orders/a", "one"};
        order_claim second{"orders/a", "two"};
        claim_once(first, key, {});
        for (const auto& operation : first.release({})) {
            key.apply(operation);
        }
        CPPUNIT_ASSERT(!first.fencing_number({}));
        claim_once(second, key, {});
        CPPUNIT_ASSERT(second.fencing_number({}).has_value());
    }

    void key_is_kept_shortly_after_an_order() {
        fake_store key;
        order_claim claim{"orders/a", "one"};
        claim_once(claim, key, {});
        claim.note_order({});
        CPPUNIT_ASSERT(
            claim.release(base::time_point{} + holder_distance).empty());
        CPPUNIT_ASSERT(!claim.fencing_number({}));
    }

    // Guards against overlapping holders. Three processes claim, release and
    // pause at random and lose replies: orders of different holders must be at
    // least `holder_distance` apart, and the fencing number must never
    // decrease.
    void orders_of_two_holders_keep_the_distance() {
        constexpr int steps = 200'000;
        std::mt19937 random{20261204};
        fake_store key;
        std::vector<order_claim> claims{
            {"orders/a", "one"}, {"orders/a", "two"}, {"orders/a", "three"}};
        base::time_point now{};
        std::optional<std::size_t> last;
        base::time_point last_order;
        std::uint64_t last_number = 0;
        int orders = 0;
        for (int i = 0; i < steps; ++i) {
            now += milliseconds{random() % 400};
            const std::size_t process = random() % claims.size();
            auto& claim = claims[process];
            for (const auto& operation : claim.acquire(now)) {
                auto result = key.apply(operation);
                const auto sent = now;
                now += milliseconds{random() % 300};
                if (random() % 10 == 0) {
                    result.outcome_ = store::unavailable{};
                }
                claim.handle(result, settled_in(0),
                             random() % 20 == 0 ? sent : now);
            }
            const auto number = claim.fencing_number(now);
            if (!number) {
                continue;
            }
            ++orders;
            CPPUNIT_ASSERT(*number >= last_number);
            if (last && *last != process) {
                CPPUNIT_ASSERT(*number > last_number);
                CPPUNIT_ASSERT(now - last_order >= holder_distance);
            }
            last = process;
            last_order = now;
            last_number = *number;
            claim.note_order(now);
            if (random() % 50 == 0) {
                now += milliseconds{random() % 8000};
                for (const auto& operation : claim.release(now)) {
                    key.apply(operation);
                }
            }
        }
        CPPUNIT_ASSERT(orders > 100);
    }

    // Guards against overlapping holders when the store comes back from older
    // copies. Processes notice that late or by their own writes, and start and
    // stop at any time.
    void orders_keep_the_distance_across_restores() {
        constexpr int steps = 200'000;
        struct process {
            order_claim claim_{"orders/a", "any"};
            known_era known_{takeover_wait};
            base::time_point noticed_;
        };
        std::mt19937 random{20261205};
        fake_store key{.era_ = 1};
        std::deque<std::pair<base::time_point, fake_store>> copies;
        std::vector<process> processes(3);
        base::time_point now{};
        std::size_t owner = 0;
        std::optional<std::size_t> last;
        base::time_point last_order;
        std::uint64_t last_number = 0;
        int orders = 0;
        int changes = 0;
        for (int i = 0; i < steps; ++i) {
            now += milliseconds{random() % 200};
            copies.emplace_back(now, key);
            while (copies.size() > 50) {
                copies.pop_front();
            }
            if (random() % 400 == 0) {
                const auto era = key.era_;
                key = copies[random() % copies.size()].second;
                key.era_ = era + 1;
                copies.clear();
                // The owner often stops at the same time.
                owner = random() % 2 == 0 ? (owner + 1) % 3 : owner;
            }
            // Gateways do not agree on the owner at all times.
            owner = random() % 200 == 0 ? random() % processes.size() : owner;
            const std::size_t number =
                random() % 100 == 0 ? random() % processes.size() : owner;
            auto& each = processes[number];
            if (random() % 400 == 0) {
                each = {};
            }
            // A follower hears of a restore within some time.
            if (random() % 10 == 0) {
                each.known_.seen(key.era_, now);
            }
            for (const auto& operation : each.claim_.acquire(now)) {
                auto result = key.apply(operation);
                const auto sent_era = key.era_;
                now += milliseconds{random() % 200};
                if (random() % 10 == 0) {
                    result.outcome_ = store::unavailable{};
                }
                each.claim_.handle(result, each.known_, now);
                each.known_.seen(sent_era, now);
            }
            const auto fencing = each.claim_.fencing_number(now);
            if (!fencing) {
                continue;
            }
            ++orders;
            CPPUNIT_ASSERT(*fencing >= last_number);
            if (last && *last != number) {
                CPPUNIT_ASSERT(now - last_order >= holder_distance);
                ++changes;
            }
            last = number;
            last_order = now;
            last_number = *fencing;
            each.claim_.note_order(now);
            if (random() % 30 == 0) {
                now += milliseconds{random() % 8000};
                for (const auto& operation : each.claim_.release(now)) {
                    key.apply(operation);
                }
            }
        }
        CPPUNIT_ASSERT(orders > 1000);
        CPPUNIT_ASSERT(changes > 100);
        CPPUNIT_ASSERT(key.era_ > 50);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(order_claim_test);

} // namespace

} // namespace pimentoferry::orders
