#include "pimentoferry/gateway/gateway.hpp"

#include "pimentoferry/config/parse.hpp"
#include "pimentoferry/gateway/account_quotas.hpp"
#include "pimentoferry/gateway/call_permits.hpp"
#include "pimentoferry/gateway/call_placement.hpp"
#include "pimentoferry/gateway/caller_service.hpp"
#include "pimentoferry/gateway/configuration_report.hpp"
#include "pimentoferry/gateway/crash_guard.hpp"
#include "pimentoferry/gateway/directory.hpp"
#include "pimentoferry/gateway/limit_guard.hpp"
#include "pimentoferry/gateway/origin_exchange.hpp"
#include "pimentoferry/gateway/peer_relay.hpp"
#include "pimentoferry/gateway/peers.hpp"
#include "pimentoferry/gateway/registration.hpp"
#include "pimentoferry/gateway/replica_exchange.hpp"
#include "pimentoferry/gateway/runtime.hpp"
#include "pimentoferry/gateway/stage_orders.hpp"
#include "pimentoferry/gateway/store_follower.hpp"
#include "pimentoferry/gateway/upstream_statements.hpp"
#include "pimentoferry/http/error_token.hpp"
#include "pimentoferry/http/server.hpp"
#include "pimentoferry/log/log.hpp"

#include <sodium/core.h>
#include <sodium/randombytes.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <optional>
#include <set>
#include <sstream>

namespace pimentoferry::gateway {

namespace asio = boost::asio;

namespace {

constexpr int exit_ok = 0;
constexpr int exit_failed = 1;

constexpr base::milliseconds tick_interval{50};
// A slow store responds in hundreds of ms; a later response is useless.
constexpr base::milliseconds store_timeout{1000};
// Longest wait of a watch. It limits how long, after a partition heals, a
// connection that the partition interrupted is still waited for.
constexpr base::milliseconds watch_wait{1500};
constexpr base::milliseconds membership_settling_time{3000};
// How long callers keep a list of addresses: short, so that few callers use the
// address of a gateway that has crashed or left.
constexpr base::milliseconds address_list_validity{2000};
// Part of the drain limit that is reserved for the exit of the process.
constexpr base::milliseconds exit_margin{700};
// Idle time before the exit, so that peers and callers learn of the shutdown.
constexpr base::milliseconds idle_time_before_exit{300};
// For the body of a request; the timeout of its head is configured.
constexpr base::milliseconds body_timeout{10'000};
constexpr std::size_t bytes_per_mb = std::size_t{1} << 20;

base::instance_id make_instance_id() {
    base::instance_id instance;
    while (instance.value_ == 0) {
        randombytes_buf(&instance.value_, sizeof instance.value_);
    }
    return instance;
}

std::optional<std::string> read_file(const std::string& path) {
    std::ifstream in{path};
    if (!in) {
        return std::nullopt;
    }
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

class gateway_process {
public:
    gateway_process(std::string settings_path,
                    const config::gateway_settings& settings,
                    const ports& adapter,
                    base::instance_id self);

    int run();

private:
    peer_handlers make_peer_handlers();
    bool listen();
    std::optional<http::server> open(const base::endpoint& address,
                                     http::handler handle);
    void on_changes(const std::vector<store::mirror_change>& changes,
                    std::string_view origin);
    void on_store_restored();
    void update_seeds();
    void apply_limits();

    http::awaitable<void> serve_directory(http::exchange& exchange);
    http::awaitable<void> serve_readiness(http::exchange& exchange);
    http::awaitable<void> serve_metrics(http::exchange& exchange);
    void await_signals();
    void on_signal(int number);
    void reload();
    void drain();
    void arm_timer();
    void tick();
    void stop_when_idle(base::time_point now);

    const std::string settings_path_;
    const ports adapter_;
    asio::io_context io_{1};
    runtime shared_;
    store::http_store store_;
    store_follower follower_;
    registration registration_;
    peers peers_;
    replica_exchange replicas_;
    peer_relay relay_;
    stream_placement placement_;
    crash_guard crashes_;
    limit_guard limits_;
    upstream_statements statements_;
    call_permits permits_;
    account_quotas quotas_;
    call_placement call_places_;
    origin_exchange origins_;
    stage_orders orders_;
    caller_service caller_service_;
    asio::signal_set signals_;
    asio::steady_timer timer_;
    std::optional<http::server> callers_;
    std::optional<http::server> directory_;
    std::optional<http::server> readiness_;
    std::optional<http::server> metrics_server_;
    std::optional<base::time_point> drain_began_;
    std::optional<base::time_point> idle_since_;
    int exit_code_{exit_ok};
};

/// The bytes of request bodies that may be held: a part of the memory, as each
/// body is held twice while it is sent. At least one body of the largest size
/// is accepted.
std::size_t body_budget(std::uint32_t memory_mb, std::size_t largest_body) {
    constexpr std::size_t copies = 2;
    constexpr std::size_t memory_divisor = 3;
    const auto bytes = memory_mb * bytes_per_mb / memory_divisor / copies;
    return memory_mb == 0 ? 0 : std::max(bytes, largest_body);
}

/// The bytes of events that may wait for slow callers.
std::size_t stream_budget(std::uint32_t memory_mb) {
    constexpr std::size_t memory_divisor = 16;
    return memory_mb * bytes_per_mb / memory_divisor;
}

/// A key that cannot be parsed ends the process when the peer address is
/// opened.
wire::fleet_key fleet_key_of(const config::gateway_settings& settings) {
    const auto parsed = wire::parse_fleet_key(settings.fleet_key_);
    const auto* key = std::get_if<wire::fleet_key>(&parsed);
    return key != nullptr ? *key : wire::fleet_key{};
}

store::http_store_options
store_options(const config::gateway_settings& settings, const ports& adapter) {
    store::http_store_options options;
    options.address_ = settings.store_address_;
    options.timeout_ = store_timeout;
    options.codec_ = adapter.store_;
    return options;
}

gateway_process::gateway_process(std::string settings_path,
                                 const config::gateway_settings& settings,
                                 const ports& adapter,
                                 base::instance_id self)
    : settings_path_(std::move(settings_path)), adapter_(adapter),
      shared_(
          io_, settings, adapter.upstreams_, adapter.registry_, self.value_),
      store_(io_, store_options(settings, adapter)),
      follower_(
          io_,
          store_,
          shared_.metrics_,
          {"", watch_wait, self.value_},
          [this](const auto& changes, std::string_view origin) {
              on_changes(changes, origin);
          },
          [this] { on_store_restored(); }),
      registration_(io_,
                    store_,
                    shared_.metrics_,
                    settings.name_,
                    settings.peer_address_),
      peers_(io_, settings, self, make_peer_handlers()),
      replicas_(peers_, follower_, settings.link_mbps_),
      relay_(peers_, shared_), placement_(io_,
                                          fleet_of(peers_, settings.region_),
                                          shared_.metrics_,
                                          shared_.allowances_),
      crashes_(peers_, store_, shared_.metrics_, fleet_key_of(settings)),
      limits_(peers_, shared_),
      statements_(peers_,
                  shared_,
                  limits_,
                  [this] {
                      const auto now = base::clock::now();
                      placement_.set_engines(shared_.registry_, now);
                      call_places_.set_replicas(shared_.registry_, now);
                  }),
      permits_(peers_, shared_, limits_), quotas_(io_,
                                                  peers_,
                                                  shared_.metrics_,
                                                  shared_.settings_.quotas_,
                                                  self.value_),
      call_places_(io_, peers_, shared_.metrics_, shared_.settings_),
      origins_(io_, peers_, store_, follower_, shared_.metrics_),
      orders_(shared_, store_, base::to_hex(self.value_)),
      caller_service_(shared_), signals_(io_, SIGTERM, SIGINT, SIGHUP),
      timer_(io_) {
    shared_.streams_ = &placement_;
    shared_.peers_ = &peers_;
    shared_.crashes_ = &crashes_;
    shared_.limits_ = &limits_;
    shared_.statements_ = &statements_;
    shared_.permits_ = &permits_;
    shared_.quotas_ = &quotas_;
    shared_.call_places_ = &call_places_;
    shared_.origins_ = &origins_;
    shared_.relay_ = &relay_;
    shared_.store_answers_ = &follower_.availability();
}

peer_handlers gateway_process::make_peer_handlers() {
    peer_handlers handlers;
    handlers.on_replica_position_ = [this](base::instance_id from,
                                           const replica_position& message) {
        replicas_.receive(from, message);
    };
    handlers.on_replica_offer_ = [this](base::instance_id from,
                                        const replica_offer& message) {
        replicas_.receive(from, message);
    };
    handlers.on_replica_request_ = [this](base::instance_id from,
                                          const replica_request& message) {
        replicas_.receive(from, message);
    };
    handlers.on_replica_update_ = [this](const replica_update& message) {
        replicas_.receive(message);
    };
    handlers.on_stream_message_ = [this](base::instance_id from,
                                         service_stream_message message) {
        placement_.receive(from, std::move(message));
    };
    handlers.on_stream_reply_ = [this](const placement::stream_reply& reply) {
        placement_.receive(reply);
    };
    handlers.on_blamed_parts_ = [this](base::instance_id from,
                                       const blamed_parts& message) {
        crashes_.receive(from, message);
    };
    handlers.on_sound_parts_ = [this](const sound_parts& message) {
        crashes_.receive(message);
    };
    handlers.on_tried_parts_ = [this](const tried_parts& message) {
        crashes_.receive(message);
    };
    handlers.on_refusing_instance_ = [this](const refusing_instance& message) {
        shared_.picker_.connection_refused(message.instance_,
                                           base::clock::now());
    };
    handlers.on_heard_limits_ = [this](base::instance_id from,
                                       const heard_limits& message) {
        limits_.receive(from, message);
    };
    handlers.on_leaving_instances_ = [this](base::instance_id from,
                                            const leaving_instances& message) {
        statements_.receive(from, message);
    };
    handlers.on_permit_request_ =
        [this](base::instance_id from, const service_permit_request& message) {
            permits_.receive(from, message);
        };
    handlers.on_permit_reply_ = [this](const permit_reply& reply) {
        permits_.receive(reply);
    };
    handlers.on_account_use_report_ =
        [this](base::instance_id from, const account_use_report& message) {
            quotas_.receive(from, message);
        };
    handlers.on_account_use_confirmation_ =
        [this](const account_use_confirmation& message) {
            quotas_.receive(message);
        };
    handlers.on_credit_request_ = [this](base::instance_id from,
                                         const credit_request& message) {
        quotas_.receive(from, message);
    };
    handlers.on_credit_reply_ = [this](const credit_reply& message) {
        quotas_.receive(message);
    };
    handlers.on_account_levels_ = [this](const account_levels& message) {
        quotas_.receive(message);
    };
    handlers.on_place_message_ = [this](base::instance_id from,
                                        const service_place_message& message) {
        call_places_.receive(from, message);
    };
    handlers.on_place_reply_ = [this](const routing::place_reply& reply) {
        call_places_.receive(reply);
    };
    handlers.on_began_streams_ = [this](const began_streams& message) {
        origins_.receive(message);
    };
    handlers.on_origin_query_ = [this](base::instance_id from,
                                       const origin_query& query) {
        origins_.receive(from, query);
    };
    handlers.on_origin_reply_ = [this](base::instance_id from,
                                       const origin_reply& reply) {
        origins_.receive(from, reply);
    };
    handlers.on_origin_search_ = [this](base::instance_id from,
                                        const origin_search& search) {
        origins_.receive(from, search);
    };
    handlers.on_upstream_reach_report_ =
        [this](base::instance_id from, const upstream_reach_report& message) {
            relay_.receive(from, message);
        };
    handlers.on_member_ = [this](const membership::member& member) {
        placement_.member_changed(member);
        limits_.member_changed(base::clock::now());
        quotas_.member_changed();
        call_places_.member_changed(member);
        shared_.update_fleet_size(
            static_cast<std::uint32_t>(peers_.live().size()));
    };
    return handlers;
}

std::optional<http::server> gateway_process::open(const base::endpoint& address,
                                                  http::handler handle) {
    auto result = http::server::listen(io_, address, {}, std::move(handle));
    if (const auto* failure = std::get_if<http::listen_failure>(&result)) {
        log::log_error("listen_failed",
                       {{"address", base::to_string(failure->address_)},
                        {"reason", failure->reason_}});
        return std::nullopt;
    }
    return std::get<http::server>(std::move(result));
}

bool gateway_process::listen() {
    const auto& settings = shared_.settings_;
    callers_ = open(settings.traffic_address_,
                    [this](auto& call) { return caller_service_.serve(call); });
    directory_ = open(settings.directory_address_,
                      [this](auto& call) { return serve_directory(call); });
    readiness_ = open(settings.readiness_address_,
                      [this](auto& call) { return serve_readiness(call); });
    if (settings.metrics_address_) {
        metrics_server_ = open(*settings.metrics_address_, [this](auto& call) {
            return serve_metrics(call);
        });
    }
    if (callers_) {
        shared_.client_.set_free_bytes(
            [this] { callers_->cut_longest_stalled(); });
    }
    return callers_ && directory_ && readiness_;
}

int gateway_process::run() {
    if (const auto failure = peers_.open(shared_.settings_)) {
        log::log_error("listen_failed", {{"reason", *failure}});
        return exit_failed;
    }
    if (!listen()) {
        return exit_failed;
    }
    const auto now = base::clock::now();
    peers_.set_seeds(shared_.settings_.peers_, now);
    follower_.start([this] { return peers_.watches_store(); });
    registration_.start([this, started = now] {
        // Before membership has settled, every gateway would be selected.
        return base::clock::now() - started > membership_settling_time &&
               is_selected_to_register(peers_.self(), peers_.live());
    });
    orders_.start();
    await_signals();
    arm_timer();
    log::log_info(
        "start",
        {{"instance", base::to_hex(peers_.self().value_)},
         {"traffic", base::to_string(shared_.settings_.traffic_address_)},
         {"failure_domain", shared_.settings_.failure_domain_.value_}});
    io_.run();
    log::log_info("stop", {{"exit_code", std::to_string(exit_code_)}});
    return exit_code_;
}

void gateway_process::on_changes(
    const std::vector<store::mirror_change>& changes, std::string_view origin) {
    const auto now = base::clock::now();
    shared_.registry_.set_store_return(follower_.store_returned_at());
    const change_origin received{origin, origin == "copy",
                                 &follower_.availability()};
    bool configuration_changed = false;
    bool instances_changed = false;
    for (const auto& change : changes) {
        if (const auto* written = std::get_if<store::item_written>(&change)) {
            crashes_.receive(written->item_);
            origins_.receive(written->item_);
        } else {
            origins_.receive(std::get<store::item_removed>(change));
        }
        const auto affected = shared_.registry_.apply(change, received, now);
        configuration_changed =
            configuration_changed || affected == registry_change::configuration;
        instances_changed =
            instances_changed || affected == registry_change::instances;
    }
    if (configuration_changed) {
        apply_limits();
        quotas_.set_accounts(
            shared_.registry_.routes()->source().accounts_.value_or(
                std::vector<routing::client_account>{}));
    }
    if (configuration_changed || instances_changed) {
        placement_.set_engines(shared_.registry_, now);
        call_places_.set_replicas(shared_.registry_, now);
        origins_.set_instances(shared_.registry_, now);
    }
    if (!changes.empty()) {
        update_seeds();
    }
}

void gateway_process::on_store_restored() {
    registration_.forget();
    orders_.forget_claims();
    origins_.forget_records();
}

void gateway_process::update_seeds() {
    auto seeds = shared_.settings_.peers_;
    std::ranges::copy(registered_gateways(follower_.replica()),
                      std::back_inserter(seeds));
    peers_.set_seeds(seeds, base::clock::now());
}

void gateway_process::apply_limits() {
    const auto& limits = shared_.registry_.routes()->source().limits_;
    http::server_limits applied;
    applied.body_bytes_ = limits.body_bytes_;
    applied.body_budget_bytes_ =
        body_budget(shared_.settings_.memory_mb_, limits.body_bytes_);
    applied.stream_budget_bytes_ = stream_budget(shared_.settings_.memory_mb_);
    applied.header_bytes_ = limits.header_bytes_;
    applied.header_timeout_ = limits.header_timeout_;
    applied.receive_timeout_ = body_timeout;
    applied.idle_timeout_ = limits.idle_timeout_;
    callers_->set_limits(applied);
}

http::awaitable<void>
gateway_process::serve_directory(http::exchange& exchange) {
    const auto query = adapter_.directory_.read_query_(exchange.call());
    if (!query) {
        const auto answer = http::json_response(404, "{}");
        co_await exchange.respond(answer);
        co_return;
    }
    const auto addresses =
        addresses_for(query->failure_domain_, relay_.serving(peers_.live()));
    const auto longest = std::chrono::duration_cast<base::milliseconds>(
        shared_.settings_.address_ttl_);
    const auto answer = adapter_.directory_.write_answer_(
        addresses, std::min(address_list_validity, longest));
    co_await exchange.respond(answer);
}

http::awaitable<void>
gateway_process::serve_readiness(http::exchange& exchange) {
    const bool is_query =
        adapter_.directory_.is_readiness_query_(exchange.call());
    const bool ready =
        shared_.registry_.routes() != nullptr && !shared_.ends_at_;
    constexpr int status_ready = 200;
    constexpr int status_not_ready = 503;
    constexpr int status_unknown = 404;
    const std::string_view waits_for =
        shared_.registry_.routes() == nullptr
            ? (shared_.registry_.unreadable_latest()
                   ? R"({"waits_for":"a configuration that can be read"})"
                   : R"({"waits_for":"a configuration"})")
            : "{}";
    const auto answer = http::json_response(!is_query ? status_unknown
                                            : ready   ? status_ready
                                                      : status_not_ready,
                                            std::string{waits_for});
    co_await exchange.respond(answer);
}

http::awaitable<void> gateway_process::serve_metrics(http::exchange& exchange) {
    constexpr int status_ok = 200;
    if (http::path_of(exchange.call().target_) == "/accounts") {
        const auto use = http::json_response(status_ok, quotas_.use_as_json());
        co_await exchange.respond(use);
        co_return;
    }
    if (http::path_of(exchange.call().target_) == "/configuration") {
        const auto report = http::json_response(
            status_ok, configuration_as_json(shared_.registry_));
        co_await exchange.respond(report);
        co_return;
    }
    set_configuration_gauges(shared_.registry_, shared_.metrics_);
    shared_.metrics_.set_gauge("in_flight", shared_.in_flight_);
    shared_.metrics_.set_gauge(
        "instances", static_cast<double>(shared_.registry_.instances().size()));
    const auto& store_answers = follower_.availability();
    shared_.metrics_.set_gauge("store_own_link_up",
                               store_answers.own_link_up() ? 1 : 0);
    if (const auto& span = store_answers.span()) {
        shared_.metrics_.set_gauge(
            "store_answer_age_ms",
            static_cast<double>(
                base::age_ms(span->last_answer_, base::clock::now())));
    }
    shared_.metrics_.set_gauge("log_lines_dropped",
                               static_cast<double>(log::dropped_lines()));
    http::response answer;
    answer.fields_.push_back({"Content-Type", "text/plain; version=0.0.4"});
    answer.body_ = shared_.metrics_.text();
    co_await exchange.respond(answer);
}

void gateway_process::await_signals() {
    signals_.async_wait(
        [this](const boost::system::error_code& error, int number) {
            if (!error) {
                on_signal(number);
                await_signals();
            }
        });
}

void gateway_process::on_signal(int number) {
    if (number == SIGHUP) {
        reload();
    } else {
        drain();
    }
}

void gateway_process::reload() {
    const auto text = read_file(settings_path_);
    if (!text) {
        log::log_error("reload_failed", {{"path", settings_path_},
                                         {"reason", "cannot be read"}});
        return;
    }
    const auto parsed = config::parse_gateway_settings(*text, settings_path_);
    if (const auto* error = std::get_if<config::config_error>(&parsed)) {
        log::log_error("reload_failed", {{"path", settings_path_},
                                         {"reason", to_string(*error)}});
        return;
    }
    const auto& next = std::get<config::gateway_settings>(parsed);
    shared_.settings_.peers_ = next.peers_;
    shared_.settings_.retries_ = next.retries_;
    shared_.settings_.log_level_ = next.log_level_;
    log::configure_log(next.log_level_, next.name_);
    update_seeds();
    log::log_info("reload", {{"path", settings_path_},
                             {"peers", std::to_string(next.peers_.size())}});
}

void gateway_process::drain() {
    if (drain_began_) {
        return;
    }
    drain_began_ = base::clock::now();
    const auto limit = std::chrono::duration_cast<base::milliseconds>(
        shared_.settings_.drain_limit_);
    shared_.ends_at_ = *drain_began_ + limit - exit_margin;
    log::log_info("drain", {{"in_flight", std::to_string(shared_.in_flight_)}});
    peers_.update_self(true, 0, shared_.in_flight_, *drain_began_);
    registration_.withdraw();
    orders_.release();
    callers_->stop();
}

void gateway_process::stop_when_idle(base::time_point now) {
    const bool busy =
        shared_.in_flight_ > 0 || callers_->connection_count() > 0;
    if (busy) {
        idle_since_.reset();
    } else if (!idle_since_) {
        idle_since_ = now;
    }
    const bool idle =
        idle_since_ && now - *idle_since_ >= idle_time_before_exit;
    if (idle || now >= *shared_.ends_at_) {
        if (!idle) {
            log::log_warn("drain_limit",
                          {{"in_flight", std::to_string(shared_.in_flight_)}});
            std::ranges::for_each(shared_.ids_in_flight_, [](const auto& id) {
                log::log_warn("answer_cut",
                              {{"request", id}, {"reason", "drain_limit"}});
            });
        }
        peers_.leave(now);
        io_.stop();
    }
}

void gateway_process::arm_timer() {
    timer_.expires_after(tick_interval);
    timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            tick();
            arm_timer();
        }
    });
}

void gateway_process::tick() {
    const auto now = base::clock::now();
    shared_.registry_.set_store_return(follower_.store_returned_at());
    if (shared_.registry_.expire(now)) {
        placement_.set_engines(shared_.registry_, now);
        call_places_.set_replicas(shared_.registry_, now);
    }
    const auto routes = shared_.registry_.routes();
    if (!drain_began_) {
        peers_.update_self(false, routes ? routes->version() : 0,
                           shared_.in_flight_, now);
    }
    peers_.tick(now);
    replicas_.tick(now);
    relay_.tick(now);
    placement_.tick(now);
    crashes_.tick(follower_.replica(), now);
    limits_.tick(now);
    statements_.tick(now);
    permits_.tick(now);
    quotas_.tick();
    call_places_.tick(now);
    origins_.tick(shared_.registry_, follower_.replica(), now);
    orders_.note_era(follower_.replica().current().era_);
    if (drain_began_) {
        stop_when_idle(now);
    }
}

sigset_t handled_signals() {
    sigset_t signals;
    sigemptyset(&signals);
    for (const int number : {SIGTERM, SIGINT, SIGHUP}) {
        sigaddset(&signals, number);
    }
    return signals;
}

} // namespace

void hold_signals() {
    const auto signals = handled_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

int run(const std::string& settings_path,
        const config::gateway_settings& settings,
        const ports& adapter) {
    log::configure_log(settings.log_level_, settings.name_);
    if (sodium_init() < 0) {
        log::log_error("start_failed",
                       {{"reason", "libsodium cannot be initialised"}});
        return exit_failed;
    }
    // A write to a socket that its peer has closed must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    gateway_process process{settings_path, settings, adapter,
                            make_instance_id()};
    const auto signals = handled_signals();
    pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
    const int exit_code = process.run();
    // Requests that the drain limit interrupted are suspended coroutines. They
    // refer to members of `process`, which would be destroyed before them.
    std::_Exit(exit_code);
}

} // namespace pimentoferry::gateway
