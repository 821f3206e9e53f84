#include "pimentoferry/base/hash.hpp"
#include "pimentoferry/base/ids.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <vector>

namespace pimentoferry::base {
namespace {

class hash_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(hash_test);
    CPPUNIT_TEST(is_the_same_in_every_process);
    CPPUNIT_TEST(loss_of_a_node_moves_only_its_keys);
    CPPUNIT_TEST(writes_hexadecimal);
    CPPUNIT_TEST_SUITE_END();

    static std::uint64_t owner(const std::string& key,
                               const std::vector<std::uint64_t>& nodes) {
        return *std::ranges::max_element(nodes, {}, [&](std::uint64_t node) {
            return rendezvous_score(key, node);
        });
    }

public:
    // Guards against a hash that differs between builds, with which two entries
    // would assign a shard to different owners.
    void is_the_same_in_every_process() {
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0x2D06800538D394C2ULL},
                             hash_bytes(""));
    }

    void loss_of_a_node_moves_only_its_keys() {
        const std::vector<std::uint64_t> before{1, 2, 3, 4};
        const std::vector<std::uint64_t> after{1, 2, 4};
        for (int i = 0; i < 100; ++i) {
            const auto key = "cell/" + std::to_string(i);
            if (owner(key, before) != 3) {
                CPPUNIT_ASSERT_EQUAL(owner(key, before), owner(key, after));
            }
        }
    }

    void writes_hexadecimal() {
        CPPUNIT_ASSERT_EQUAL(std::string{"00000000000000ff"}, to_hex(255));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(hash_test);

} // namespace
} // namespace pimentoferry::base
