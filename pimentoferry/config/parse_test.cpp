#include "pimentoferry/config/parse.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <variant>

namespace pimentoferry::config {
namespace {

const std::string settings_text = R"({
    // One entry on one machine.
    "name": "entry-1", "failure_domain": "hawassa", "region": "south",
    "traffic_address": "127.0.0.1:8080", "admin_address": "127.0.0.1:8081",
    "peer_address": "127.0.0.1:8082", "peers": ["127.0.0.2:8082"],
    "store_address": "127.0.0.1:9000", /* no instance list */
    "fleet_key":
      "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff",
    "drain_limit_ms": 2500, "partition_policy": "serve"
})";

const std::string digest(64, 'a');

const std::string ticket_text =
    R"({"number":7,"operator":"Ana \u00d1","reason":"more \"engines\"",)"
    R"("nonce":"n-1","deployments":[{"name":"chat","target":{"model":"m/1",)"
    R"("adapter":"","version":"3"},"overrides":[{"callers":["ana"],)"
    R"("target":{"model":"m/1","adapter":"lab","version":"4"}}],)"
    R"("callers":["ana"],"first_token_target_ms":1600,)"
    R"("token_interval_target_ms":74,"patience_ms":10000,)"
    R"("max_output_tokens":1024,"priority":2,"deterministic":true,)"
    R"("policy":"reserved"}],"services":[{"name":"desk","calls":[)"
    R"({"method":"POST","path_prefix":"/book","idempotent":false,)"
    R"("timeout_ms":10000}],"callers":[]}],"callers":[{"name":"ana",)"
    R"("key_sha256":")" +
    digest +
    R"(","max_in_flight":0}],"upstreams":[{"name":"e1","kind":"engine",)"
    R"("address":"127.0.0.1:9001","failure_domain":"dilla",)"
    R"("state":"serving","deployment":"chat","cell":"chat",)"
    R"("role":"prefill","checks_fencing":true,"slots":20,"pieces":0},)"
    R"({"name":"d1","kind":"service","address":"127.0.0.1:9002",)"
    R"("failure_domain":"dilla","state":"leaving","service":"desk"}],)"
    R"("policy":{"waste_weight":0.25,"retry_percent":10,)"
    R"("parallel_loads":2,"once_window_ms":86400000},)"
    R"("remove":["upstreams/e9","services/old"]})";

std::string replace_first(std::string text,
                          const std::string& from,
                          const std::string& to) {
    const auto position = text.find(from);
    CPPUNIT_ASSERT(position != std::string::npos);
    return text.replace(position, from.size(), to);
}

config_error ticket_error(const std::string& from, const std::string& to) {
    const auto result =
        parse_ticket(replace_first(ticket_text, from, to), "t.json");
    CPPUNIT_ASSERT_MESSAGE(to, std::holds_alternative<config_error>(result));
    return std::get<config_error>(result);
}

class parse_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(parse_test);
    CPPUNIT_TEST(reads_settings_with_comments);
    CPPUNIT_TEST(round_trips_a_ticket);
    CPPUNIT_TEST(round_trips_all_unicode_characters);
    CPPUNIT_TEST(error_gives_source_field_and_line);
    CPPUNIT_TEST(rejects_unknown_and_repeated_fields);
    CPPUNIT_TEST(rejects_invalid_values);
    CPPUNIT_TEST(rejects_malformed_json);
    CPPUNIT_TEST(rejects_tickets_with_repeated_or_no_objects);
    CPPUNIT_TEST(round_trips_a_state);
    CPPUNIT_TEST(defaults_the_cell_to_the_deployment_name);
    CPPUNIT_TEST_SUITE_END();

public:
    void reads_settings_with_comments() {
        const auto result = parse_settings(settings_text, "entry.json");
        CPPUNIT_ASSERT(std::holds_alternative<settings>(result));
        const auto& value = std::get<settings>(result);
        CPPUNIT_ASSERT_EQUAL(std::string{"entry-1"}, value.name_);
        CPPUNIT_ASSERT(value.peers_.front() ==
                       (base::endpoint{"127.0.0.2", 8082}));
        CPPUNIT_ASSERT(value.drain_limit_ == base::milliseconds{2500});
        CPPUNIT_ASSERT(value.partition_policy_ == partition_policy::serve);
        CPPUNIT_ASSERT(!value.instance_list_address_);
    }

    // Guards against losing a field when instances send tickets to one another
    // as JSON text.
    void round_trips_a_ticket() {
        const auto result = parse_ticket(ticket_text, "t.json");
        if (const auto* error = std::get_if<config_error>(&result)) {
            CPPUNIT_FAIL(to_string(*error));
        }
        const auto text = to_json(std::get<ticket>(result));
        const auto again = parse_ticket(text, "t.json");
        CPPUNIT_ASSERT(std::holds_alternative<ticket>(again));
        CPPUNIT_ASSERT_EQUAL(text, to_json(std::get<ticket>(again)));
        CPPUNIT_ASSERT_EQUAL(std::string{"Ana Ñ"},
                             std::get<ticket>(again).operator_);
        CPPUNIT_ASSERT_EQUAL(ticket_text, text);
    }

    // Guards against a serializer that escapes characters outside the Basic
    // Multilingual Plane as separate surrogate halves.
    void round_trips_all_unicode_characters() {
        const std::string reason = "ወይፈን \xF0\x9F\x99\x82 \t\x7F";
        auto value = std::get<ticket>(parse_ticket(ticket_text, "t.json"));
        value.reason_ = reason;
        const auto again = parse_ticket(to_json(value), "t.json");
        CPPUNIT_ASSERT(std::holds_alternative<ticket>(again));
        CPPUNIT_ASSERT_EQUAL(reason, std::get<ticket>(again).reason_);
    }

    void error_gives_source_field_and_line() {
        const auto error = ticket_error("127.0.0.1:9002", "127.0.0.1:90020");
        CPPUNIT_ASSERT_EQUAL(std::string{"t.json"}, error.source_);
        CPPUNIT_ASSERT_EQUAL(std::string{"upstreams[1].address"}, error.field_);
        CPPUNIT_ASSERT_EQUAL(std::string{"\"127.0.0.1:90020\""}, error.value_);
        CPPUNIT_ASSERT(error.allowed_.find("65535") != std::string::npos);
        const auto result = parse_ticket("{\n\n\"number\": }", "t.json");
        CPPUNIT_ASSERT_EQUAL(3U, std::get<config_error>(result).line_);
    }

    // Guards against a misspelt field that silently keeps its default.
    void rejects_unknown_and_repeated_fields() {
        CPPUNIT_ASSERT_EQUAL(
            std::string{"deployments[0].prioritty"},
            ticket_error("\"priority\"", "\"prioritty\"").field_);
        CPPUNIT_ASSERT_EQUAL(std::string{"upstreams[1].role"},
                             ticket_error("\"service\":\"desk\"",
                                          R"("service":"desk","role":"decode")")
                                 .field_);
        CPPUNIT_ASSERT_EQUAL(
            std::string{"policy.retry_percent"},
            ticket_error("\"retry_percent\":10",
                         R"("retry_percent":10,"retry_percent":11)")
                .field_);
    }

    void rejects_invalid_values() {
        ticket_error("\"number\":7", "\"number\":\"7\"");
        ticket_error("\"number\":7", "\"number\":-7");
        ticket_error("\"number\":7", "\"number\":7.5");
        ticket_error("\"number\":7", "\"number\":99999999999999999999");
        ticket_error("\"priority\":2", "\"priority\":256");
        ticket_error("\"deterministic\":true", "\"deterministic\":1");
        ticket_error("\"waste_weight\":0.25", "\"waste_weight\":1.01");
        ticket_error("\"waste_weight\":0.25", "\"waste_weight\":null");
        ticket_error("\"callers\":[\"ana\"]", "\"callers\":\"ana\"");
        ticket_error("\"kind\":\"engine\"", "\"kind\":\"motor\"");
        ticket_error("\"name\":\"e1\"", "\"name\":\"e/1\"");
        ticket_error("\"name\":\"e1\",", "");
        ticket_error("upstreams/e9", "policy");
    }

    void rejects_malformed_json() {
        const std::string nested(100000, '[');
        for (const auto& text :
             {std::string{}, std::string{"{"}, std::string{"[]"},
              std::string{"7"}, ticket_text + "x", ticket_text + "{}", nested,
              replace_first(ticket_text, "true", "tru"),
              replace_first(ticket_text, "services/old\"]",
                            "services/old\",]")}) {
            const auto result = parse_ticket(text, "t.json");
            CPPUNIT_ASSERT_MESSAGE(
                text, std::holds_alternative<config_error>(result));
        }
        const auto commented = ticket_text + " // the end }\n/* ] */ ";
        CPPUNIT_ASSERT(
            std::holds_alternative<ticket>(parse_ticket(commented, "t.json")));
    }

    void rejects_tickets_with_repeated_or_no_objects() {
        ticket_error("upstreams/e9", "upstreams/e1");
        ticket_error("\"name\":\"d1\"", "\"name\":\"e1\"");
        const auto empty = parse_ticket(
            R"({"number":1,"operator":"ana","nonce":"n"})", "t.json");
        CPPUNIT_ASSERT(std::holds_alternative<config_error>(empty));
    }

    void round_trips_a_state() {
        const auto change =
            std::get<ticket>(parse_ticket(ticket_text, "t.json"));
        state value;
        for (const auto& object : change.upstreams_) {
            value.upstreams_[object.name_] = object;
        }
        value.policy_.waste_weight_ = 0.1;
        const auto text = to_json(value);
        const auto again = parse_state(text, "state");
        CPPUNIT_ASSERT(std::holds_alternative<state>(again));
        CPPUNIT_ASSERT_EQUAL(text, to_json(std::get<state>(again)));
        const auto twice =
            replace_first(text, "\"name\":\"e1\"", "\"name\":\"d1\"");
        CPPUNIT_ASSERT(
            std::holds_alternative<config_error>(parse_state(twice, "state")));
    }

    void defaults_the_cell_to_the_deployment_name() {
        const auto result = parse_ticket(
            replace_first(ticket_text, "\"cell\":\"chat\",", ""), "t.json");
        CPPUNIT_ASSERT_EQUAL(
            std::string{"chat"},
            std::get<ticket>(result).upstreams_.front().cell_.value_);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(parse_test);

} // namespace
} // namespace pimentoferry::config
