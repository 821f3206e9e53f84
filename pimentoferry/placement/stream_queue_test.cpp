#include "pimentoferry/placement/stream_queue.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <vector>

namespace pimentoferry::placement {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class stream_queue_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(stream_queue_test);
    CPPUNIT_TEST(without_accounts_the_order_is_that_of_expiry);
    CPPUNIT_TEST(urgent_requests_go_first);
    CPPUNIT_TEST(a_hot_account_waits_behind_its_own_requests);
    CPPUNIT_TEST(accounts_share_by_their_weights);
    CPPUNIT_TEST(an_account_alone_uses_everything);
    CPPUNIT_TEST(only_requests_that_go_first_count_as_ahead);
    CPPUNIT_TEST_SUITE_END();

    const base::time_point now_{seconds{100}};
    std::uint64_t sequence_{0};

    queued_request make(std::uint64_t account,
                        milliseconds expires_in,
                        std::uint32_t priority = 0) {
        stream_request request;
        request.attempt_ = {base::instance_id{1}, ++sequence_};
        request.prompt_tokens_ = 5000;
        request.account_ = account;
        request.priority_ = priority;
        return {request, now_ + expires_in, now_ + expires_in};
    }

    /// Serves `count` requests and returns their accounts.
    std::vector<std::uint64_t>
    serve(stream_queue& queue, account_shares& use, std::size_t count) {
        std::vector<std::uint64_t> accounts;
        for (std::size_t i = 0; i < count && !queue.empty(); ++i) {
            const auto next = queue.next(use, now_);
            use.add(queue.at(next).request_, now_);
            accounts.push_back(queue.at(next).request_.account_);
            queue.erase(next);
        }
        return accounts;
    }

    void without_accounts_the_order_is_that_of_expiry() {
        stream_queue queue;
        account_shares use;
        for (const auto expiry : {300, 100, 200}) {
            queue.insert(make(0, milliseconds{expiry}));
        }
        for (std::size_t i = 0; i < 3; ++i) {
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, queue.next(use, now_));
            use.add(queue.at(0).request_, now_);
            queue.erase(0);
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, queue.prompt_tokens());
    }

    // Load: a burst on a less urgent route.
    void urgent_requests_go_first() {
        stream_queue queue;
        for (int i = 0; i < 5; ++i) {
            queue.insert(make(0, milliseconds{100}, 2));
        }
        queue.insert(make(0, milliseconds{900}, 0));
        const auto next = queue.next({}, now_);
        CPPUNIT_ASSERT_EQUAL(0U, queue.at(next).request_.priority_);
    }

    // Load: an account that sends many times its usual.
    void a_hot_account_waits_behind_its_own_requests() {
        stream_queue queue;
        account_shares use;
        for (int i = 0; i < 20; ++i) {
            queue.insert(make(7, milliseconds{100 + i}));
        }
        queue.insert(make(8, milliseconds{500}));
        queue.insert(make(9, milliseconds{600}));
        const auto served = serve(queue, use, 3);
        CPPUNIT_ASSERT(std::ranges::count(served, 8U) == 1);
        CPPUNIT_ASSERT(std::ranges::count(served, 9U) == 1);
    }

    void accounts_share_by_their_weights() {
        stream_queue queue;
        account_shares use;
        for (int i = 0; i < 40; ++i) {
            for (const std::uint64_t account : {1, 3}) {
                auto queued = make(account, milliseconds{100 + i});
                queued.request_.account_weight_ =
                    static_cast<std::uint32_t>(account);
                queue.insert(queued);
            }
        }
        const auto served = serve(queue, use, 40);
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{30},
                             std::ranges::count(served, 3U));
    }

    void an_account_alone_uses_everything() {
        stream_queue queue;
        account_shares use;
        for (int i = 0; i < 9; ++i) {
            queue.insert(make(7, milliseconds{100}));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{9}, serve(queue, use, 9).size());
        CPPUNIT_ASSERT(use.recent(7, now_ + seconds{20}) <
                       use.recent(7, now_) / 100);
    }

    // Guards against urgent requests that are refused because less urgent ones
    // wait.
    void only_requests_that_go_first_count_as_ahead() {
        stream_queue queue;
        queue.insert(make(0, milliseconds{100}, 2));
        queue.insert(make(0, milliseconds{100}, 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, queue.ahead_of(0).requests_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queue.ahead_of(1).requests_);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{10'000},
                             queue.ahead_of(2).prompt_tokens_);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stream_queue_test);

} // namespace

} // namespace pimentoferry::placement
