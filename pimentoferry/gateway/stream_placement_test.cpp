#include "pimentoferry/gateway/stream_placement.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <optional>

namespace pimentoferry::gateway {

namespace {

namespace asio = boost::asio;
using base::milliseconds;
using placement::engine_role;

/// The only gateway of its fleet.
stream_fleet no_others() {
    return {base::instance_id{1}, [](base::instance_id, const peer_message&) {},
            [](const base::service_name&) { return base::instance_id{1}; }};
}

/// A gateway without peers, which schedules all streams itself. Each decode
/// engine has memory for one stream.
class stream_placement_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(stream_placement_test);
    CPPUNIT_TEST(
        a_replaced_decode_engine_does_not_hide_the_grant_of_another_stream);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint64_t engine_tokens = 10'000;
    static constexpr std::uint32_t prompt_tokens = 5'000;

    asio::io_context io_{1};
    metrics metrics_;
    requests::allowance_table allowances_;
    stream_placement placement_{io_, no_others(), metrics_, allowances_};
    const base::service_name service_{"model"};
    const base::upstream_name left_{"left"};
    const base::upstream_name right_{"right"};

    placement::stream_request make_request() {
        placement::stream_request made;
        made.attempt_ = placement_.next_attempt();
        made.prompt_tokens_ = prompt_tokens;
        made.max_output_tokens_ = 4;
        made.expected_output_tokens_ = 4;
        made.budget_ = milliseconds{900};
        made.patience_ = milliseconds{900};
        return made;
    }

    /// Requests a placement; the result holds the decision once it is made.
    std::shared_ptr<std::optional<placement::stream_decision>>
    request_placement(const placement::stream_request& request) {
        auto answer =
            std::make_shared<std::optional<placement::stream_decision>>();
        asio::co_spawn(
            io_,
            [this, request, answer]() -> http::awaitable<void> {
                auto cancel = std::make_shared<http::cancellation>();
                *answer = co_await placement_.place(service_, request,
                                                    std::move(cancel));
            },
            asio::detached);
        run();
        return answer;
    }

    placement::stream_decision replace(base::attempt_id attempt) {
        std::optional<placement::stream_decision> answer;
        asio::co_spawn(
            io_,
            [&]() -> http::awaitable<void> {
                answer = co_await placement_.replace_decode(
                    attempt, placement::decode_rejection::full);
            },
            asio::detached);
        run();
        CPPUNIT_ASSERT(answer.has_value());
        return *answer;
    }

    void run() {
        io_.restart();
        io_.poll();
    }

    placement::stream_scheduler& scheduler() {
        // The first message about a service creates its scheduler.
        placement_.receive(base::instance_id{2},
                           {service_, placement::stream_ended{}});
        return *placement_.scheduler(service_);
    }

    // Guards against a grant that the scheduler records but does not deliver:
    // the request would wait until its limit and be refused while its decode
    // slot is free.
    void a_replaced_decode_engine_does_not_hide_the_grant_of_another_stream() {
        const auto now = base::clock::now();
        scheduler().set_engines(
            {{{"prefill"}, engine_role::prefill, {}, 8, engine_tokens},
             {left_, engine_role::decode, {}, 8, engine_tokens},
             {right_, engine_role::decode, {}, 8, engine_tokens}},
            now);
        scheduler().begin_role_change(right_, engine_role::decode,
                                      now + milliseconds{10'000});
        const auto first = make_request();
        const auto first_decision = request_placement(first);
        CPPUNIT_ASSERT(
            std::get<placement::stream_grant>(first_decision->value())
                .decode_ == left_);
        const auto waiting = request_placement(make_request());
        CPPUNIT_ASSERT(!waiting->has_value());

        // The second engine serves again when the first one rejects the stream.
        scheduler().begin_role_change(right_, engine_role::decode, now);
        const auto replaced = replace(first.attempt_);
        CPPUNIT_ASSERT(std::get<placement::stream_grant>(replaced).decode_ ==
                       right_);
        run();
        placement_.ended(first.attempt_, 0);
        run();
        CPPUNIT_ASSERT(waiting->has_value());
        CPPUNIT_ASSERT(
            std::holds_alternative<placement::stream_grant>(**waiting));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stream_placement_test);

} // namespace

} // namespace pimentoferry::gateway
