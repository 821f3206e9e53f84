#include "pimentoferry/entry/traffic_thread.hpp"

#include "pimentoferry/base/overloaded.hpp"
#include "pimentoferry/entry/caller_api.hpp"
#include "pimentoferry/entry/engine_api.hpp"
#include "pimentoferry/entry/log.hpp"
#include "pimentoferry/entry/model_relay.hpp"
#include "pimentoferry/entry/service_relay.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <atomic>
#include <optional>
#include <thread>

namespace pimentoferry::entry {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::seconds cancel_timeout{2};
constexpr int status_ok = 200;

base::request_id request_of(const request_command& command) {
    return std::visit([](const auto& action) { return action.request_; },
                      command);
}

base::request_id request_of(const call_command& command) {
    return std::visit([](const auto& action) { return action.request_; },
                      command);
}

/// Counts a call for its lifetime, also when its handler fails.
class call_count_guard {
public:
    explicit call_count_guard(std::atomic<std::size_t>& count) : count_(count) {
        ++count_;
    }
    call_count_guard(const call_count_guard&) = delete;
    call_count_guard& operator=(const call_count_guard&) = delete;
    ~call_count_guard() { --count_; }

private:
    std::atomic<std::size_t>& count_;
};

/// The failure event for a command whose caller has disconnected in the
/// meantime, so that nothing was sent. Nothing for commands that expect no
/// event.
std::optional<requests::event>
undelivered_failure(const request_command& command) {
    using requests::engine_failure;
    using result = std::optional<requests::event>;
    return std::visit(
        base::overloaded{
            [](const requests::start_prefill& a) -> result {
                return requests::prefill_failed{a.attempt_,
                                                engine_failure::not_sent};
            },
            [](const requests::start_import& a) -> result {
                return requests::import_failed{
                    a.attempt_, engine_failure::not_sent, a.decode_};
            },
            [](const requests::start_decode& a) -> result {
                return requests::stream_broken{a.attempt_, a.position_,
                                               engine_failure::not_sent};
            },
            [](const auto&) -> result { return std::nullopt; }},
        command);
}

} // namespace

struct traffic_thread::impl {
    impl(traffic_options options,
         report_function report,
         metrics& counters,
         snapshot_ptr first_snapshot)
        : options_(std::move(options)), work_(io_.get_executor()),
          context_(io_,
                   options_.instance_,
                   options_.number_,
                   options_.failure_domain_,
                   std::move(report),
                   counters) {
        context_.snapshot_ = std::move(first_snapshot);
    }

    http::awaitable<void> serve(http::exchange& call) {
        const call_count_guard guard{in_flight_};
        co_await serve_caller(context_, call);
    }

    void execute(const request_command& command) {
        const auto found = context_.model_relays_.find(request_of(command));
        if (found != context_.model_relays_.end()) {
            found->second->deliver(command);
        } else if (auto failure = undelivered_failure(command)) {
            context_.report_(*std::move(failure));
        }
    }

    void execute(const call_command& command) {
        const auto found = context_.service_relays_.find(request_of(command));
        if (found != context_.service_relays_.end()) {
            found->second->deliver(command);
        } else if (const auto* send = std::get_if<once::send_call>(&command)) {
            context_.report_(
                once::event{once::upstream_not_reached{send->attempt_}});
        }
    }

    void close_calls(const base::upstream_name& engine,
                     const std::vector<base::attempt_id>& attempts) {
        for (const auto& [id, relay] : context_.model_relays_) {
            for (const auto attempt : attempts) {
                relay->close_call(engine, attempt);
            }
        }
    }

    http::awaitable<void> cancel(base::upstream_name engine,
                                 std::vector<base::attempt_id> attempts) {
        const auto* upstream = find_upstream(*context_.snapshot_, engine);
        if (upstream == nullptr) {
            co_return;
        }
        const auto address = upstream->address_;
        http::call_options options;
        options.deadline_ = base::clock::now() + cancel_timeout;
        auto call = cancel_call(attempts);
        const auto result = co_await context_.client_.call(
            address, std::move(call), std::move(options));
        if (const auto* failure = std::get_if<http::call_failure>(&result)) {
            log_info("cancel_failed",
                     {{"engine", engine.value_},
                      {"failure", std::string{to_string(failure->kind_)}}});
            context_.engines_.call_failed(engine, address, *failure);
            co_return;
        }
        context_.engines_.call_answered(engine);
        if (std::get<http::response>(result).status_ == status_ok) {
            context_.report_(requests::event{requests::cancel_confirmed{
                std::move(engine), std::move(attempts)}});
        }
    }

    const traffic_options options_;
    asio::io_context io_{1};
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    traffic_context context_;
    std::atomic<std::size_t> in_flight_{0};
    std::optional<http::server> server_;
    std::thread thread_;
};

traffic_thread::traffic_thread(traffic_options options,
                               report_function report,
                               metrics& counters,
                               snapshot_ptr first_snapshot)
    : impl_(std::make_unique<impl>(std::move(options),
                                   std::move(report),
                                   counters,
                                   std::move(first_snapshot))) {}

traffic_thread::~traffic_thread() {
    impl_->io_.stop();
    if (impl_->thread_.joinable()) {
        impl_->thread_.join();
    }
}

std::variant<base::endpoint, http::listen_failure> traffic_thread::start() {
    auto made = http::server::listen(
        impl_->io_, impl_->options_.address_, {},
        [this](http::exchange& call) { return impl_->serve(call); });
    if (auto* failure = std::get_if<http::listen_failure>(&made)) {
        return std::move(*failure);
    }
    impl_->server_.emplace(std::get<http::server>(std::move(made)));
    impl_->thread_ = std::thread{[this] { impl_->io_.run(); }};
    return impl_->server_->address();
}

void traffic_thread::use(snapshot_ptr next) {
    asio::post(impl_->io_, [this, next = std::move(next)]() mutable {
        impl_->context_.snapshot_ = std::move(next);
    });
}

void traffic_thread::execute(request_command command) {
    asio::post(impl_->io_, [this, command = std::move(command)] {
        impl_->execute(command);
    });
}

void traffic_thread::execute(call_command command) {
    asio::post(impl_->io_, [this, command = std::move(command)] {
        impl_->execute(command);
    });
}

void traffic_thread::close_calls(base::upstream_name engine,
                                 std::vector<base::attempt_id> attempts) {
    asio::post(impl_->io_, [this, engine = std::move(engine),
                            attempts = std::move(attempts)] {
        impl_->close_calls(engine, attempts);
    });
}

void traffic_thread::cancel(base::upstream_name engine,
                            std::vector<base::attempt_id> attempts) {
    asio::post(impl_->io_, [this, engine = std::move(engine),
                            attempts = std::move(attempts)] {
        impl_->close_calls(engine, attempts);
        asio::co_spawn(
            impl_->io_,
            [this, engine, attempts] {
                return impl_->cancel(engine, attempts);
            },
            asio::detached);
    });
}

void traffic_thread::crash_handled(base::upstream_name engine) {
    asio::post(impl_->io_, [this, engine = std::move(engine)] {
        impl_->context_.engines_.crash_handled(engine);
    });
}

void traffic_thread::stop_accepting() {
    asio::post(impl_->io_, [this] { impl_->server_->stop(); });
}

void traffic_thread::note_control_alive(base::time_point now) {
    impl_->context_.control_alive_time_ = now;
}

std::size_t traffic_thread::in_flight() const {
    return impl_->in_flight_;
}

} // namespace pimentoferry::entry
