#include "pimentoferry/entry/run.hpp"

#include "pimentoferry/config/parse.hpp"
#include "pimentoferry/entry/control.hpp"
#include "pimentoferry/entry/log.hpp"

#include <sodium/core.h>
#include <sodium/randombytes.h>

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>

namespace pimentoferry::entry {

namespace {

std::optional<std::string> read_file(const std::string& path) {
    std::ifstream file{path, std::ios::binary};
    if (!file) {
        return std::nullopt;
    }
    return std::string{std::istreambuf_iterator<char>{file}, {}};
}

template <class T>
std::optional<T> parsed_or_report(config::parsed<T> result) {
    if (const auto* error = std::get_if<config::config_error>(&result)) {
        std::cerr << config::to_string(*error) << '\n';
        return std::nullopt;
    }
    return std::get<T>(std::move(result));
}

std::optional<config::settings> load_settings(const std::string& path) {
    const auto text = read_file(path);
    if (!text) {
        std::cerr << path << ": the file cannot be read\n";
        return std::nullopt;
    }
    return parsed_or_report(config::parse_settings(*text, path));
}

base::instance_id make_instance_id() {
    base::instance_id instance;
    while (instance.value_ == 0) {
        randombytes_buf(&instance.value_, sizeof instance.value_);
    }
    return instance;
}

} // namespace

int run(const run_options& options) {
    if (sodium_init() < 0) {
        std::cerr << "libsodium cannot be initialised\n";
        return exit_failed;
    }
    const auto settings = load_settings(options.settings_file_);
    if (!settings) {
        return exit_usage;
    }
    configure_log(settings->log_level_, settings->name_);
    config::state state;
    if (const auto text = read_file(options.state_file_)) {
        auto parsed =
            parsed_or_report(config::parse_state(*text, options.state_file_));
        if (!parsed) {
            return exit_usage;
        }
        state = *std::move(parsed);
    }
    const auto instance = make_instance_id();
    metrics counters;
    control loop{*settings, instance, make_routing_table(1, std::move(state)),
                 counters};
    const auto report = [&loop](auto event) { loop.post(std::move(event)); };
    std::vector<std::unique_ptr<traffic_thread>> threads;
    for (std::uint32_t i = 0; i < settings->traffic_threads_; ++i) {
        const traffic_options traffic{instance, static_cast<std::uint8_t>(i),
                                      settings->failure_domain_,
                                      settings->traffic_address_};
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
    signals.async_wait([&loop](const auto&, int) { loop.stop(); });
    log_info("start",
             {{"instance", base::to_hex(instance.value_)},
              {"traffic", base::to_string(settings->traffic_address_)}});
    loop.run();
    threads.clear();
    return exit_done;
}

} // namespace pimentoferry::entry
