#include "pimentoferry/accounts/key_table.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace pimentoferry::accounts {

namespace {

routing::client_account holder(const std::string& name,
                               std::vector<std::string> keys) {
    routing::client_account made;
    made.name_ = base::account_name{name};
    made.keys_ = std::move(keys);
    return made;
}

class key_table_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(key_table_test);
    CPPUNIT_TEST(each_key_identifies_its_account);
    CPPUNIT_TEST(unknown_keys_identify_nobody);
    CPPUNIT_TEST(a_key_of_two_accounts_identifies_neither);
    CPPUNIT_TEST(tables_with_other_secrets_share_no_digest);
    CPPUNIT_TEST_SUITE_END();

    const hash_secret secret_{make_secret()};

    static const account* find(const key_table& table, std::string_view key) {
        return table.find(table.digest_of(key));
    }

    void each_key_identifies_its_account() {
        const auto table = make_key_table(
            {holder("a", {"k1", "k2"}), holder("b", {"k3"})}, secret_);
        CPPUNIT_ASSERT_EQUAL(std::string{"a"}, find(table, "k1")->name_.value_);
        CPPUNIT_ASSERT_EQUAL(std::string{"a"}, find(table, "k2")->name_.value_);
        CPPUNIT_ASSERT_EQUAL(std::string{"b"}, find(table, "k3")->name_.value_);
    }

    // Guards against keys that match by prefix, without regard to case, or
    // because a configured key is empty.
    void unknown_keys_identify_nobody() {
        const auto table = make_key_table(
            {holder("a", {"key", "", std::string(max_key_bytes + 1, 'x')})},
            secret_);
        for (const auto* key : {"KEY", "ke", "key ", "keyy", ""}) {
            CPPUNIT_ASSERT(find(table, key) == nullptr);
        }
        CPPUNIT_ASSERT(find(table, std::string(max_key_bytes + 1, 'x')) ==
                       nullptr);
    }

    // Guards against a request that is charged to an account of another
    // customer, also when a third account holds the key as well.
    void a_key_of_two_accounts_identifies_neither() {
        const auto table =
            make_key_table({holder("a", {"same", "own", "own"}),
                            holder("b", {"same"}), holder("c", {"same"})},
                           secret_);
        CPPUNIT_ASSERT(find(table, "same") == nullptr);
        CPPUNIT_ASSERT_EQUAL(std::string{"a"},
                             find(table, "own")->name_.value_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.shared_keys_.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"b"},
                             table.shared_keys_.front().second_.value_);
    }

    void tables_with_other_secrets_share_no_digest() {
        const auto first = make_key_table({holder("a", {"k"})}, secret_);
        const auto second = make_key_table({holder("a", {"k"})}, make_secret());
        CPPUNIT_ASSERT(second.find(first.digest_of("k")) == nullptr);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(key_table_test);

} // namespace

} // namespace pimentoferry::accounts
