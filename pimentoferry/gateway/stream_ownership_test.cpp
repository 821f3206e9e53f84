#include "pimentoferry/gateway/stream_placement.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

namespace pimentoferry::gateway {

namespace {

namespace asio = boost::asio;
using base::milliseconds;
using placement::engine_role;

const base::service_name service{"model"};

/// Gateways that exchange their messages in order and in memory. Each has its
/// own view of who owns the service.
class memory_fleet {
public:
    struct gateway {
        base::instance_id owner_; ///< In the view of this gateway.
        metrics metrics_;
        requests::allowance_table allowances_;
        std::unique_ptr<stream_placement> placement_;
    };
    /// A requested placement; the decision is set once it is made.
    struct placing {
        base::attempt_id attempt_;
        std::shared_ptr<http::cancellation> cancel_;
        std::shared_ptr<std::optional<placement::stream_decision>> decision_;

        bool granted() const {
            return decision_->has_value() &&
                   std::holds_alternative<placement::stream_grant>(**decision_);
        }

        base::upstream_name decode_engine() const {
            return std::get<placement::stream_grant>(decision_->value())
                .decode_;
        }
    };

    void add(base::instance_id self, base::instance_id owner) {
        auto& added = gateways_[self];
        added.owner_ = owner;
        added.placement_ = std::make_unique<stream_placement>(
            io_,
            stream_fleet{
                self,
                [this, self](base::instance_id to, peer_message sent) {
                    sent_.push_back({self, to, std::move(sent)});
                },
                [&added](const base::service_name&) { return added.owner_; }},
            added.metrics_, added.allowances_);
        // The first message about a service creates its scheduler.
        added.placement_->receive(self, {service, placement::stream_ended{}});
        set_owner(self, owner);
    }

    stream_placement& at(base::instance_id gateway) {
        return *gateways_.at(gateway).placement_;
    }

    placement::stream_scheduler& scheduler(base::instance_id gateway) {
        return *at(gateway).scheduler(service);
    }

    /// Changes the owner in the view of one gateway.
    void set_owner(base::instance_id view, base::instance_id owner) {
        gateways_.at(view).owner_ = owner;
        membership::member changed;
        changed.instance_ = owner;
        at(view).member_changed(changed);
        run();
    }

    placing place(base::instance_id from, placement::stream_request request) {
        request.attempt_ = at(from).next_attempt();
        placing made{
            request.attempt_, std::make_shared<http::cancellation>(),
            std::make_shared<std::optional<placement::stream_decision>>()};
        asio::co_spawn(
            io_,
            [&placement = at(from), request, made]() -> http::awaitable<void> {
                *made.decision_ =
                    co_await placement.place(service, request, made.cancel_);
            },
            asio::detached);
        run();
        return made;
    }

    /// Requests another decode engine for a stream. The message to the owner is
    /// sent but not delivered.
    void begin_replacement(base::instance_id from, base::attempt_id attempt) {
        asio::co_spawn(
            io_,
            [&placement = at(from), attempt]() -> http::awaitable<void> {
                co_await placement.replace_decode(
                    attempt, placement::decode_rejection::full);
            },
            asio::detached);
        io_.restart();
        io_.poll();
    }

    /// Runs until no message is on its way.
    void run() {
        do {
            io_.restart();
            io_.poll();
            while (!sent_.empty()) {
                auto message = std::move(sent_.front());
                sent_.pop_front();
                deliver(std::move(message));
            }
            io_.restart();
        } while (io_.poll() > 0 || !sent_.empty());
    }

private:
    struct message {
        base::instance_id from_;
        base::instance_id to_;
        peer_message content_;
    };

    void deliver(message sent) {
        auto& receiver = at(sent.to_);
        if (auto* stream =
                std::get_if<service_stream_message>(&sent.content_)) {
            receiver.receive(sent.from_, std::move(*stream));
        } else if (const auto* reply =
                       std::get_if<placement::stream_reply>(&sent.content_)) {
            receiver.receive(*reply);
        }
    }

    asio::io_context io_{1};
    std::map<base::instance_id, gateway> gateways_;
    std::deque<message> sent_;
};

/// A service moves between two owners. Its decode engine has memory for one
/// stream.
class stream_ownership_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(stream_ownership_test);
    CPPUNIT_TEST(an_owner_that_regains_the_service_knows_which_streams_ended);
    CPPUNIT_TEST(an_owner_that_others_left_for_a_while_knows_who_ended);
    CPPUNIT_TEST(a_former_owner_does_not_keep_an_abandoned_request);
    CPPUNIT_TEST(an_owner_that_regains_the_service_knows_which_prefills_ended);
    CPPUNIT_TEST(an_owner_knows_the_late_grants_of_the_former_one);
    CPPUNIT_TEST(an_owner_knows_the_late_replacements_of_the_former_one);
    CPPUNIT_TEST(a_stream_of_another_gateway_outlasts_a_change_of_view);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint64_t engine_tokens = 10'000;
    static constexpr std::uint32_t prompt_tokens = 5'000;
    static constexpr base::instance_id first_owner{1};
    static constexpr base::instance_id second_owner{2};
    static constexpr base::instance_id sender{3};
    static constexpr std::array gateways{first_owner, second_owner, sender};

    memory_fleet fleet_;

public:
    void setUp() override {
        for (const auto each : gateways) {
            fleet_.add(each, first_owner);
        }
        set_decode_memory(engine_tokens);
    }

private:
    void set_engines(const std::vector<placement::stream_engine>& engines) {
        for (const auto each : gateways) {
            fleet_.scheduler(each).set_engines(engines, base::clock::now());
        }
    }

    void set_decode_memory(std::uint64_t tokens) {
        set_engines({{{"prefill"}, engine_role::prefill, {}, 64, tokens},
                     {{"decode"}, engine_role::decode, {}, 64, tokens}});
    }

    static placement::stream_request make_request() {
        placement::stream_request made;
        made.prompt_tokens_ = prompt_tokens;
        made.max_output_tokens_ = 4;
        made.expected_output_tokens_ = 4;
        made.budget_ = milliseconds{900};
        made.patience_ = milliseconds{900};
        return made;
    }

    void set_owner_everywhere(base::instance_id owner) {
        for (const auto each : gateways) {
            fleet_.set_owner(each, owner);
        }
    }

    memory_fleet::placing place() {
        return fleet_.place(sender, make_request());
    }

    void end(base::attempt_id attempt) {
        fleet_.at(sender).ended(attempt, 0);
        fleet_.run();
    }

    // Guards against an owner that counts the memory of streams that ended
    // while another gateway was the owner, and refuses requests beside an idle
    // engine.
    void an_owner_that_regains_the_service_knows_which_streams_ended() {
        const auto stream = place();
        CPPUNIT_ASSERT(stream.granted());
        set_owner_everywhere(second_owner);
        end(stream.attempt_);
        set_owner_everywhere(first_owner);
        CPPUNIT_ASSERT(place().granted());
    }

    // Guards against the same when only the sender's view of the owner changed.
    void an_owner_that_others_left_for_a_while_knows_who_ended() {
        const auto stream = place();
        CPPUNIT_ASSERT(stream.granted());
        fleet_.set_owner(sender, second_owner);
        end(stream.attempt_);
        fleet_.set_owner(sender, first_owner);
        CPPUNIT_ASSERT(place().granted());
    }

    // Guards against a former owner that grants memory to a queued request
    // whose caller gave up after the ownership changed.
    void a_former_owner_does_not_keep_an_abandoned_request() {
        const auto stream = place();
        CPPUNIT_ASSERT(stream.granted());
        const auto queued = place();
        CPPUNIT_ASSERT(!queued.decision_->has_value());
        fleet_.set_owner(sender, second_owner);
        queued.cancel_->request();
        fleet_.run();
        fleet_.set_owner(sender, first_owner);
        end(stream.attempt_);
        CPPUNIT_ASSERT(place().granted());
    }

    // Guards against a prefill engine that looks busy to an owner whose streams
    // finished their prefills while another gateway was the owner.
    void an_owner_that_regains_the_service_knows_which_prefills_ended() {
        set_decode_memory(100 * engine_tokens);
        std::vector<base::attempt_id> prefilling;
        auto last = place();
        while (last.granted() && prefilling.size() < 100) {
            prefilling.push_back(last.attempt_);
            last = place();
        }
        CPPUNIT_ASSERT(!last.decision_->has_value());
        last.cancel_->request();
        fleet_.run();
        fleet_.set_owner(sender, second_owner);
        for (const auto attempt : prefilling) {
            fleet_.at(sender).prefill_finished(attempt);
        }
        fleet_.run();
        fleet_.set_owner(sender, first_owner);
        CPPUNIT_ASSERT(place().granted());
    }

    // Guards against an owner that grants memory which the former one granted
    // to a queued request after the ownership changed.
    void an_owner_knows_the_late_grants_of_the_former_one() {
        const auto stream = place();
        const auto queued = place();
        CPPUNIT_ASSERT(!queued.decision_->has_value());
        fleet_.set_owner(sender, second_owner);
        end(stream.attempt_);
        CPPUNIT_ASSERT(queued.granted());
        CPPUNIT_ASSERT(!place().granted());
    }

    // Guards against an owner that counts a stream at the decode engine that
    // rejected it, because the former owner chose its next one.
    void an_owner_knows_the_late_replacements_of_the_former_one() {
        set_engines({{{"prefill"}, engine_role::prefill, {}, 64, engine_tokens},
                     {{"left"}, engine_role::decode, {}, 64, engine_tokens},
                     {{"right"}, engine_role::decode, {}, 64, engine_tokens}});
        const auto stream = place();
        CPPUNIT_ASSERT(stream.granted());
        fleet_.begin_replacement(sender, stream.attempt_);
        fleet_.set_owner(sender, second_owner);
        const auto next = place();
        CPPUNIT_ASSERT(next.granted());
        CPPUNIT_ASSERT(next.decode_engine() == stream.decode_engine());
    }

    // Guards against an owner that forgets the streams of a gateway that does
    // not announce them again, because its view of the owner did not change,
    // and grants their memory twice.
    void a_stream_of_another_gateway_outlasts_a_change_of_view() {
        const auto stream = place();
        CPPUNIT_ASSERT(stream.granted());
        fleet_.set_owner(first_owner, second_owner);
        fleet_.set_owner(first_owner, first_owner);
        const auto waiting = place();
        CPPUNIT_ASSERT(!waiting.decision_->has_value());
        end(stream.attempt_);
        CPPUNIT_ASSERT(waiting.granted());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stream_ownership_test);

} // namespace

} // namespace pimentoferry::gateway
