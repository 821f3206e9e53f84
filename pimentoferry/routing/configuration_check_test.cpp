#include "pimentoferry/routing/configuration_check.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace pimentoferry::routing {

namespace {

class configuration_check_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(configuration_check_test);
    CPPUNIT_TEST(a_sound_configuration_has_no_problem);
    CPPUNIT_TEST(entries_without_effect_are_found);
    CPPUNIT_TEST(limits_that_contradict_each_other_are_found);
    CPPUNIT_TEST(parts_that_cannot_be_read_are_named);
    CPPUNIT_TEST(changes_are_named_without_keys);
    CPPUNIT_TEST_SUITE_END();

    static route make_route(const std::string& name,
                            const std::string& prefix) {
        route made;
        made.name_ = name;
        made.host_ = "a.example";
        made.path_prefix_ = prefix;
        made.kind_ = call_kind::idempotent;
        made.services_ = {{base::service_name{"desk"}, 1}};
        made.timeout_ = base::milliseconds{1000};
        made.latency_objective_ = base::milliseconds{150};
        return made;
    }

    static configuration sound() {
        configuration made;
        made.version_ = 7;
        made.routes_ = {make_route("r1", "/x/"), make_route("r2", "/y/")};
        service desk;
        desk.name_ = base::service_name{"desk"};
        made.services_.emplace(desk.name_, desk);
        client_account club;
        club.name_ = base::account_name{"club"};
        club.keys_ = {"secret-one"};
        club.quota_ = account_quota{quota_unit::tokens, 18'000, 18'000, 200};
        made.accounts_ = {club};
        return made;
    }

    static bool finds(const configuration& checked,
                      problem_kind kind,
                      const std::string& object,
                      const std::string& field) {
        const auto found = find_problems(checked);
        return std::ranges::any_of(found, [&](const problem& each) {
            return each.kind_ == kind && each.object_ == object &&
                   each.field_ == field &&
                   each.detail_.find("secret") == std::string::npos;
        });
    }

    void a_sound_configuration_has_no_problem() {
        CPPUNIT_ASSERT(find_problems(sound()).empty());
    }

    void entries_without_effect_are_found() {
        const auto kind = problem_kind::no_effect;
        auto checked = sound();
        checked.routes_.push_back(make_route("r3", "/x/"));
        checked.routes_.back().host_ = "A.Example:443";
        CPPUNIT_ASSERT(finds(checked, kind, "route r3", "path_prefix"));
        checked.routes_.back().path_prefix_ = "/z";
        CPPUNIT_ASSERT(finds(checked, kind, "route r3", "path_prefix"));
        checked.routes_.back().services_ = {{base::service_name{"gone"}, 1}};
        CPPUNIT_ASSERT(finds(checked, kind, "route r3", "service"));
        checked.routes_.back().services_ = {{base::service_name{"desk"}, 0}};
        CPPUNIT_ASSERT(finds(checked, kind, "route r3", "weight"));
        service unused;
        unused.name_ = base::service_name{"unused"};
        checked.services_.emplace(unused.name_, unused);
        CPPUNIT_ASSERT(finds(checked, kind, "service unused", ""));
        checked.accounts_->front().keys_.clear();
        CPPUNIT_ASSERT(finds(checked, kind, "account club", "keys"));
    }

    void limits_that_contradict_each_other_are_found() {
        const auto kind = problem_kind::contradiction;
        auto checked = sound();
        auto& first = checked.routes_.front();
        first.latency_objective_ = base::milliseconds{2000};
        CPPUNIT_ASSERT(finds(checked, kind, "route r1", "latency_objective"));
        first.max_attempts_ = 0;
        CPPUNIT_ASSERT(finds(checked, kind, "route r1", "max_attempts"));
        first.max_attempts_ = 2;
        first.kind_ = call_kind::non_idempotent;
        CPPUNIT_ASSERT(finds(checked, kind, "route r1", "max_attempts"));
        first.services_.front().weight_ = 0;
        CPPUNIT_ASSERT(finds(checked, kind, "route r1", "weight"));
        checked.accounts_->front().quota_->burst_ = 100;
        CPPUNIT_ASSERT(finds(checked, kind, "account club", "burst"));
        checked.accounts_->front().quota_->per_second_ = 100;
        CPPUNIT_ASSERT(finds(checked, kind, "account club", "per_second"));
        auto rival = checked.accounts_->front();
        rival.name_ = base::account_name{"rival"};
        checked.accounts_->push_back(rival);
        CPPUNIT_ASSERT(finds(checked, kind, "account rival", "keys"));
        checked.accounts_->push_back(rival);
        CPPUNIT_ASSERT(finds(checked, kind, "account rival", "name"));
    }

    // Guards against a part that is dropped without a word.
    void parts_that_cannot_be_read_are_named() {
        auto checked = sound();
        checked.unread_parts_ = {{"route r1", "r1", "kind", "it is unknown"}};
        checked.routes_.front().closed_ = true;
        checked.routes_.front().services_.clear();
        CPPUNIT_ASSERT(
            finds(checked, problem_kind::unreadable, "route r1", "kind"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, find_problems(checked).size());
    }

    // Guards against keys in what an operator prints or stores.
    void changes_are_named_without_keys() {
        auto next = sound();
        next.version_ = 9;
        next.routes_.front().timeout_ = base::milliseconds{1500};
        next.routes_.pop_back();
        next.routes_.push_back(make_route("r3", "/z/"));
        next.accounts_->front().keys_ = {"secret-two", "secret-three"};
        next.accounts_->front().quota_->per_second_ = 9000;
        const auto changes = compare(sound(), next);
        const auto has = [&](change_kind kind, const std::string& object,
                             const std::string& field) {
            return std::ranges::any_of(changes, [&](const auto& each) {
                return each.kind_ == kind && each.object_ == object &&
                       each.field_ == field;
            });
        };
        CPPUNIT_ASSERT(has(change_kind::changed, "configuration", "version"));
        CPPUNIT_ASSERT(has(change_kind::changed, "route r1", "timeout"));
        CPPUNIT_ASSERT(has(change_kind::removed, "route r2", ""));
        CPPUNIT_ASSERT(has(change_kind::added, "route r3", ""));
        CPPUNIT_ASSERT(has(change_kind::changed, "account club", "keys"));
        CPPUNIT_ASSERT(has(change_kind::changed, "account club", "per_second"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, changes.size());
        for (const auto& each : changes) {
            CPPUNIT_ASSERT(each.before_.find("secret") == std::string::npos);
            CPPUNIT_ASSERT(each.after_.find("secret") == std::string::npos);
        }
        CPPUNIT_ASSERT(compare(sound(), sound()).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(configuration_check_test);

} // namespace

} // namespace pimentoferry::routing
