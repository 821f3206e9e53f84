#include "pimentoferry/gateway/request_account.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace pimentoferry::gateway {

namespace {

class request_account_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(request_account_test);
    CPPUNIT_TEST(a_key_is_required_unless_the_route_is_public);
    CPPUNIT_TEST(public_routes_serve_known_accounts_as_such);
    CPPUNIT_TEST(a_closed_account_is_not_served);
    CPPUNIT_TEST(a_key_taken_away_is_noticed);
    CPPUNIT_TEST(the_cost_of_a_request_follows_the_unit);
    CPPUNIT_TEST(the_priority_of_the_account_goes_first);
    CPPUNIT_TEST_SUITE_END();

    const accounts::hash_secret secret_{accounts::make_secret()};
    routing::route closed_;
    routing::route open_;

    accounts::key_table table(std::vector<std::string> keys,
                              const std::string& name = "club") const {
        routing::client_account account;
        account.name_ = base::account_name{name};
        account.keys_ = std::move(keys);
        account.priority_ = 3;
        return accounts::make_key_table({account}, secret_);
    }

public:
    void setUp() override {
        open_.public_ = true;
        closed_.priority_ = 1;
    }

private:
    static bool refused(const identified_account& identified) {
        return std::holds_alternative<unauthorized_request>(identified);
    }

    void a_key_is_required_unless_the_route_is_public() {
        const auto keys = table({"k"});
        const std::vector<credential> unusable{
            no_credential{}, unusable_credential{"several credentials"},
            bearer_key{"other"}};
        for (const auto& given : unusable) {
            CPPUNIT_ASSERT(refused(identify(keys, given, closed_)));
            const auto served =
                std::get<request_account>(identify(keys, given, open_));
            CPPUNIT_ASSERT(!served.key_);
            CPPUNIT_ASSERT(served.account_.name_.value_.empty());
        }
        const auto known =
            std::get<request_account>(identify(keys, bearer_key{"k"}, closed_));
        CPPUNIT_ASSERT_EQUAL(std::string{"club"}, known.account_.name_.value_);
    }

    void public_routes_serve_known_accounts_as_such() {
        const auto known = std::get<request_account>(
            identify(table({"k"}), bearer_key{"k"}, open_));
        CPPUNIT_ASSERT_EQUAL(std::string{"club"}, known.account_.name_.value_);
    }

    // Guards against a request without the quota of its account, and against
    // one that is told to have no valid key.
    void a_closed_account_is_not_served() {
        routing::client_account account;
        account.keys_ = {"k"};
        account.closed_ = true;
        const auto keys = accounts::make_key_table({account}, secret_);
        for (const auto& route : {closed_, open_}) {
            CPPUNIT_ASSERT(std::holds_alternative<closed_account>(
                identify(keys, bearer_key{"k"}, route)));
        }
        CPPUNIT_ASSERT(refused(identify(keys, bearer_key{"other"}, closed_)));
    }

    // Guards against a request that waits or is sent once more after its key
    // was taken away, or given to another account.
    void a_key_taken_away_is_noticed() {
        const auto before = table({"k", "other"});
        const std::optional<request_account> identity{std::get<request_account>(
            identify(before, bearer_key{"k"}, closed_))};
        CPPUNIT_ASSERT(is_authorized(identity, &before));
        const auto without = table({"other"});
        CPPUNIT_ASSERT(!is_authorized(identity, &without));
        const auto moved = table({"k"}, "rival");
        CPPUNIT_ASSERT(!is_authorized(identity, &moved));
        CPPUNIT_ASSERT(is_authorized(identity, nullptr));
        CPPUNIT_ASSERT(is_authorized(request_account{}, &without));
        CPPUNIT_ASSERT(is_authorized(std::nullopt, &without));
    }

    void the_cost_of_a_request_follows_the_unit() {
        routing::account_quota quota;
        quota.plain_cost_ = 200;
        model_prompt prompt;
        prompt.prompt_tokens_ = 5200;
        prompt.max_output_tokens_ = 70;
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, quota_cost(quota, prompt), 1e-9);
        quota.unit_ = routing::quota_unit::tokens;
        CPPUNIT_ASSERT_DOUBLES_EQUAL(5270, quota_cost(quota, prompt), 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(200, quota_cost(quota, std::nullopt),
                                     1e-9);
    }

    void the_priority_of_the_account_goes_first() {
        const std::optional<request_account> identity{std::get<request_account>(
            identify(table({"k"}), bearer_key{"k"}, closed_))};
        CPPUNIT_ASSERT_EQUAL(3U, priority_of(identity, closed_));
        CPPUNIT_ASSERT_EQUAL(1U, priority_of(request_account{}, closed_));
        CPPUNIT_ASSERT_EQUAL(1U, priority_of(std::nullopt, closed_));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_account_test);

} // namespace

} // namespace pimentoferry::gateway
