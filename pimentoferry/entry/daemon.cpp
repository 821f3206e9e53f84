#include "pimentoferry/entry/daemon.hpp"

#include "pimentoferry/entry/admin_api.hpp"
#include "pimentoferry/entry/control.hpp"
#include "pimentoferry/entry/log.hpp"

#include <sodium/core.h>
#include <sodium/randombytes.h>

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>
#include <memory>
#include <vector>

namespace pimentoferry::entry {

namespace {

base::instance_id make_instance_id() {
    base::instance_id instance;
    while (instance.value_ == 0) {
        randombytes_buf(&instance.value_, sizeof instance.value_);
    }
    return instance;
}

void await_signals(boost::asio::signal_set& signals, control& loop) {
    signals.async_wait([&](const boost::system::error_code& error, int) {
        if (!error) {
            loop.signal();
            await_signals(signals, loop);
        }
    });
}

} // namespace

int run(const config::settings& settings) {
    if (sodium_init() < 0) {
        std::cerr << "libsodium cannot be initialised\n";
        return exit_failed;
    }
    // A write to a socket that the peer has closed must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    configure_log(settings.log_level_, settings.name_);
    const auto instance = make_instance_id();
    metrics counters;
    control loop{settings, instance, counters};
    if (const auto failure = loop.open_peers()) {
        log_error("listen_failed", {{"reason", failure->reason_}});
        return exit_failed;
    }
    const auto report = [&loop](auto event) { loop.post(std::move(event)); };
    std::vector<std::unique_ptr<traffic_thread>> threads;
    for (std::uint32_t i = 0; i < settings.traffic_threads_; ++i) {
        const traffic_options traffic{instance, static_cast<std::uint8_t>(i),
                                      settings.failure_domain_,
                                      settings.traffic_address_};
        threads.push_back(std::make_unique<traffic_thread>(
            traffic, report, counters, loop.current_snapshot()));
        loop.attach(*threads.back());
        const auto started = threads.back()->start();
        if (const auto* failure = std::get_if<http::listen_failure>(&started)) {
            log_error("listen_failed",
                      {{"address", base::to_string(failure->address_)},
                       {"reason", failure->reason_}});
            return exit_failed;
        }
    }
    boost::asio::signal_set signals{loop.io(), SIGTERM, SIGINT};
    await_signals(signals, loop);
    auto opened = open_admin(settings, loop, counters);
    if (const auto* failure = std::get_if<admin::listen_failed>(&opened)) {
        log_error("listen_failed",
                  {{"address", base::to_string(failure->address_)},
                   {"reason", failure->system_message_}});
        return exit_failed;
    }
    log_info("start",
             {{"instance", base::to_hex(instance.value_)},
              {"traffic", base::to_string(settings.traffic_address_)}});
    const int exit_code = loop.run();
    opened = admin::listen_failed{};
    threads.clear();
    return exit_code;
}

} // namespace pimentoferry::entry
