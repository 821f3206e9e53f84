#include "tests/process/gateway_fleet.hpp"

#include "pimentoferry/http/json.hpp"
#include "tests/process/fleet.hpp"
#include "tests/process/loopback.hpp"

#include <sodium/utils.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <random>
#include <set>
#include <sstream>

namespace pimentoferry::process_tests {

namespace {

using standins::http_answer;
using std::chrono::milliseconds;

constexpr std::chrono::seconds start_limit{20};
constexpr std::chrono::seconds call_timeout{20};
constexpr unsigned status_ok = 200;
// Longer than the longest deadline that a caller sends.
constexpr milliseconds stream_timeout{10'000};
constexpr const char* host = "silage.example";
// Enough for about ten streams of the size that callers request.
constexpr int engine_tokens = 100'000;

std::string base64(const std::string& text) {
    constexpr int variant = sodium_base64_VARIANT_ORIGINAL;
    std::string encoded(sodium_base64_encoded_len(text.size(), variant), '\0');
    sodium_bin2base64(encoded.data(), encoded.size(),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      text.size(), variant);
    encoded.pop_back(); // The terminating null byte.
    return encoded;
}

Json::Value make_route(const std::string& name,
                       const std::string& kind,
                       const std::string& service,
                       milliseconds timeout) {
    Json::Value route;
    route["name"] = name;
    route["host"] = host;
    route["path_prefix"] = "/" + name + "/";
    route["kind"] = kind;
    route["service"] = service;
    route["timeout_ms"] = static_cast<Json::Int64>(timeout.count());
    route["target_latency_ms"] = 900;
    route["target_gap_ms"] = 300;
    route["max_attempts"] = 2;
    return route;
}

Json::Value make_account(const fleet_account& account) {
    Json::Value made;
    made["name"] = account.name_;
    made["api_keys"] = Json::Value{Json::arrayValue};
    for (const auto& key : account.keys_) {
        made["api_keys"].append(key);
    }
    made["requests_per_s"] = account.requests_per_s_;
    made["burst"] = account.burst_;
    return made;
}

Json::Value make_configuration(std::uint64_t version, milliseconds timeout) {
    Json::Value engine;
    engine["slots"] = 64;
    engine["kv_tokens"] = engine_tokens;
    engine["stride"] = 1;
    Json::Value chat;
    chat["name"] = "chat";
    chat["engine"] = engine;
    Json::Value desk;
    desk["name"] = "desk";
    Json::Value body;
    body["version"] = static_cast<Json::UInt64>(version);
    body["services"].append(chat);
    body["services"].append(desk);
    body["routes"].append(make_route("read", "safe", "desk", timeout));
    body["routes"].append(make_route("book", "unsafe", "desk", timeout));
    body["routes"].append(
        make_route("chat", "streaming", "chat", stream_timeout));
    auto talk = make_route("talk", "streaming", "chat", stream_timeout);
    talk["resumable"] = true;
    body["routes"].append(talk);
    body["limits"]["header_bytes"] = 16'384;
    body["limits"]["body_bytes"] = 1'000'000;
    body["limits"]["header_timeout_ms"] = 5'000;
    body["limits"]["idle_timeout_ms"] = 10'000;
    return body;
}

/// Returns ports that are free now. Three rules keep others from binding them
/// before the gateways do: the ports lie below the range for outgoing
/// connections, processes that start fleets at the same time search different
/// ranges, and fleets of one process never get the same ports.
std::vector<std::uint16_t> free_ports(std::size_t count) {
    constexpr int first = 12'000;
    constexpr int last = 30'000;
    constexpr int ports_per_process = 256;
    static auto next = static_cast<std::uint16_t>(
        first + ::getpid() * ports_per_process % (last - first));
    boost::asio::io_context io;
    std::vector<std::uint16_t> ports;
    while (ports.size() < count) {
        next = next < last ? static_cast<std::uint16_t>(next + 1) : first;
        boost::system::error_code bind_error;
        boost::asio::ip::tcp::acceptor acceptor{io};
        const boost::asio::ip::tcp::endpoint address{
            boost::asio::ip::make_address("127.0.0.1"), next};
        acceptor.open(address.protocol());
        acceptor.bind(address, bind_error);
        if (!bind_error) {
            ports.push_back(next);
        }
    }
    return ports;
}

std::uint16_t wait_for_port(const std::string& log) {
    std::uint16_t port = 0;
    wait_for(
        [&] {
            port = listening_port(read_text(log));
            return port != 0;
        },
        start_limit);
    return port;
}

/// The gateway under test; another build of it if the environment names one,
/// for all gateways or for those with odd numbers.
std::string gateway_program(std::size_t number) {
    const char* chosen = std::getenv("GATEWAY_PROGRAM");
    const char* odd = std::getenv("ODD_GATEWAY_PROGRAM");
    if (odd != nullptr && number % 2 == 1) {
        return odd;
    }
    return chosen != nullptr ? chosen : PIMENTOFERRY_PROGRAM;
}

} // namespace

standins::request_headers caller_fields(const std::string& path,
                                        const std::string& request_id,
                                        milliseconds deadline,
                                        const std::string& key) {
    standins::request_headers fields{
        {"Host", host},
        {"X-Request-Id", request_id},
        {"X-Deadline-Ms", std::to_string(deadline.count())}};
    if (path.starts_with("/chat/") || path.starts_with("/talk/")) {
        fields.emplace_back("X-Model", "m");
        fields.emplace_back("X-Token-Counts", "5000,100");
        fields.emplace_back("X-Prompt-Prefix", "a1:5000");
    }
    if (!key.empty()) {
        fields.emplace_back("Authorization", "Bearer " + key);
        fields.emplace_back("X-Tenant", "forged");
    }
    return fields;
}

gateway_fleet::gateway_fleet(const gateway_fleet_options& options)
    : options_(options) {
    std::random_device random;
    directory_ = "/tmp/pimentoferry-gateways-" + std::to_string(random());
    std::filesystem::create_directories(directory_);
    const auto add = [this](std::size_t count, const std::string& stage) {
        for (std::size_t i = 0; i < count; ++i) {
            replicas_.emplace_back().stage_ = stage;
        }
    };
    add(options_.plain_replicas_, "");
    add(options_.prefill_engines_, "prefill");
    add(options_.decode_engines_, "decode");
    constexpr std::size_t ports_per_gateway = 4;
    const auto free = free_ports(options_.gateways_ * ports_per_gateway);
    for (std::size_t i = 0; i < options_.gateways_; ++i) {
        const auto* at = &free[i * ports_per_gateway];
        ports_.push_back({at[0], at[1], at[2], at[3], 0});
    }
    gateways_.resize(options_.gateways_);
}

gateway_fleet::~gateway_fleet() {
    gateways_.clear();
    replicas_.clear();
    store_ = {};
    // Keeps the logs of a failed run for inspection.
    const bool keep = keep_files_ || std::getenv("KEEP_TEST_FILES") != nullptr;
    if (!keep) {
        std::filesystem::remove_all(directory_);
    }
}

std::string gateway_fleet::path(const std::string& name) const {
    return directory_ + "/" + name;
}

bool gateway_fleet::start() {
    return start_standins() && start_gateways();
}

bool gateway_fleet::start_standins() {
    store_ = child_process::start(
        {STANDINS_PROGRAM, "--role", "platform-store"}, path("store.log"));
    store_port_ = wait_for_port(path("store.log"));
    std::ranges::for_each(ports_,
                          [this](auto& each) { each.store_ = store_port_; });
    for (auto& replica : replicas_) {
        start_replica(replica);
        replica.registered_port_ = replica.port_;
    }
    const bool all = std::ranges::all_of(
        replicas_, [](const auto& each) { return each.port_ != 0; });
    return store_port_ != 0 && all;
}

void gateway_fleet::start_replica(platform_replica_process& replica) {
    replica.id_ = "i-" + std::to_string(++replicas_started_);
    if (!options_.software_versions_.empty()) {
        replica.software_version_ = version_of(replica.id_);
    }
    replica.started_at_ms_ =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count();
    replica.log_ = path("replica-" + replica.id_ + ".log");
    Json::Value switches;
    switches["id"] = replica.id_;
    switches["stage"] = replica.stage_;
    replica.process_ = child_process::start(
        {STANDINS_PROGRAM, "--role", "platform-replica", "--listen",
         loopback_address(replica.port_), "--set", http::write_json(switches)},
        replica.log_);
    replica.port_ = wait_for_port(replica.log_);
}

std::string gateway_fleet::version_of(const std::string& replica_id) const {
    // Replicas that are started together share a version by twos.
    constexpr std::size_t replicas_of_a_version = 2;
    const auto number = std::stoul(replica_id.substr(2));
    const auto& versions = options_.software_versions_;
    return versions.at(number / replicas_of_a_version % versions.size());
}

void gateway_fleet::restart_replica(platform_replica_process& replica) {
    replica.process_ = {};
    start_replica(replica);
}

void gateway_fleet::register_replica(const platform_replica_process& replica,
                                     const std::string& state) const {
    Json::Value entry;
    const std::string by_stage = replica.stage_.empty() ? "desk" : "chat";
    entry["service"] = replica.service_.empty() ? by_stage : replica.service_;
    entry["address"] = loopback_address(replica.registered_port_);
    entry["zone"] = "north";
    entry["state"] = state;
    entry["slots"] = 64;
    entry["born"] = static_cast<Json::Int64>(replica.started_at_ms_);
    if (!replica.stage_.empty()) {
        entry["stage"] = replica.stage_;
    }
    if (!replica.software_version_.empty()) {
        entry["version"] = replica.software_version_;
    }
    put_registration(replica.id_, http::write_json(entry));
}

void gateway_fleet::put_registration(const std::string& id,
                                     const std::string& bytes) const {
    put_in_store("servers/" + id, bytes);
}

void gateway_fleet::put_in_store(const std::string& key,
                                 const std::string& value) const {
    Json::Value body;
    body["put"][key] = base64(value);
    control(store_port_, http::write_json(body));
}

void gateway_fleet::withdraw_replica(const std::string& id) const {
    Json::Value body;
    body["remove"].append("servers/" + id);
    control(store_port_, http::write_json(body));
}

std::string gateway_fleet::next_configuration() {
    auto configuration =
        make_configuration(++version_, options_.route_timeout_);
    for (std::size_t i = 0; i < options_.unused_routes_; ++i) {
        configuration["routes"].append(make_route("unused-" + std::to_string(i),
                                                  "safe", "desk",
                                                  options_.route_timeout_));
    }
    for (const auto& account : options_.accounts_) {
        configuration["tenants"].append(make_account(account));
    }
    return http::write_json(configuration);
}

void gateway_fleet::put_configuration() {
    put_in_store("op/config", next_configuration());
}

void gateway_fleet::put_configuration_with(
    const std::map<std::string, std::string>& members) {
    auto configuration = *http::parse_object(next_configuration());
    for (const auto& [name, value] : members) {
        configuration[name] =
            (*http::parse_object(R"({"value":)" + value + "}"))["value"];
    }
    put_in_store("op/config", http::write_json(configuration));
}

void gateway_fleet::write_settings(std::size_t gateway) const {
    const auto& own = ports_.at(gateway);
    Json::Value settings;
    settings["name"] = "gateway-" + std::to_string(gateway);
    settings["failure_domain"] = "north";
    settings["region"] = "coast";
    settings["traffic_address"] = loopback_address(own.traffic_);
    settings["readiness_address"] = loopback_address(own.readiness_);
    settings["directory_address"] = loopback_address(own.directory_);
    settings["peer_address"] = loopback_address(own.peer_);
    settings["peers"] = Json::Value{Json::arrayValue};
    for (const auto& other : ports_) {
        if (other.peer_ != own.peer_) {
            settings["peers"].append(loopback_address(other.peer_));
        }
    }
    settings["store_address"] = loopback_address(own.store_);
    settings["fleet_key"] = std::string(64, 'a');
    settings["processor_share"] = 1.0;
    if (options_.link_mbps_ > 0) {
        settings["link_mbps"] = options_.link_mbps_;
    }
    settings["drain_limit_s"] =
        std::chrono::duration<double>{options_.drain_limit_}.count();
    settings["address_ttl_s"] = 5;
    settings["call_placement"] = options_.call_placement_;
    settings["retries"]["ratio"] = 0.2;
    settings["retries"]["constant"] = 58;
    settings["retries"]["window_s"] = 10;
    std::ofstream{path("gateway-" + std::to_string(gateway) + ".json")}
        << http::write_json(settings);
}

void gateway_fleet::restart_gateway(std::size_t number) {
    const auto name = "gateway-" + std::to_string(number);
    gateways_.at(number) =
        child_process::start({gateway_program(number), "gateway", "--settings",
                              path(name + ".json")},
                             path(name + ".log"));
}

bool gateway_fleet::is_ready(std::size_t gateway) const {
    return standins::http_get(ports_.at(gateway).readiness_, "/api/readiness")
               .status_ == status_ok;
}

bool gateway_fleet::start_gateways() {
    put_configuration();
    std::ranges::for_each(replicas_,
                          [this](const auto& each) { register_replica(each); });
    for (std::size_t i = 0; i < gateways_.size(); ++i) {
        write_settings(i);
        restart_gateway(i);
    }
    return wait_for(
        [this] {
            for (std::size_t i = 0; i < gateways_.size(); ++i) {
                if (!is_ready(i) || !has_discovered_peers(i)) {
                    return false;
                }
            }
            return true;
        },
        start_limit);
}

bool gateway_fleet::has_discovered_peers(std::size_t gateway) const {
    const auto log = gateway_log(gateway);
    for (std::size_t i = 0; i < gateways_.size(); ++i) {
        const auto name = "event=member name=gateway-" + std::to_string(i);
        if (i != gateway && log.find(name) == std::string::npos) {
            return false;
        }
    }
    return true;
}

bool gateway_fleet::control(std::uint16_t port, const std::string& switches) {
    return standins::http_post(port, "/control", switches).status_ == status_ok;
}

http_answer gateway_fleet::call(std::size_t gateway,
                                const std::string& path,
                                const std::string& request_id,
                                milliseconds deadline,
                                const std::string& key) const {
    standins::http_call request;
    request.method_ = "POST";
    request.target_ = path;
    request.headers_ = caller_fields(path, request_id, deadline, key);
    request.timeout_ = call_timeout;
    return standins::send_http(ports_.at(gateway).traffic_, request);
}

void gateway_fleet::for_each_replica_line(
    const std::string& first_word,
    const std::function<void(const std::string& replica,
                             std::istringstream& words)>& use) const {
    const std::string prefix = "replica-";
    for (const auto& file : std::filesystem::directory_iterator{directory_}) {
        const auto name = file.path().stem().string();
        if (!name.starts_with(prefix)) {
            continue;
        }
        std::ifstream in{file.path()};
        std::string line;
        while (std::getline(in, line)) {
            std::istringstream words{line};
            std::string word;
            if (words >> word && word == first_word) {
                use(name.substr(prefix.size()), words);
            }
        }
    }
}

std::map<std::string, std::size_t> gateway_fleet::runs() const {
    std::map<std::string, std::size_t> counts;
    for_each_replica_line("run", [&](const auto&, auto& words) {
        std::string request;
        if (words >> request) {
            ++counts[request];
        }
    });
    return counts;
}

std::vector<replica_arrival> gateway_fleet::arrivals() const {
    std::vector<replica_arrival> found;
    for_each_replica_line("arrived", [&](const auto& replica, auto& words) {
        replica_arrival arrival{replica, {}, {}, {}};
        std::int64_t at_ms = 0;
        if (words >> arrival.request_ >> arrival.kind_ >> at_ms) {
            arrival.at_ += milliseconds{at_ms};
            found.push_back(std::move(arrival));
        }
    });
    return found;
}

std::vector<std::pair<std::string, std::string>>
gateway_fleet::accounts_told(const std::string& request) const {
    std::vector<std::pair<std::string, std::string>> told;
    for_each_replica_line("told", [&](const auto&, auto& words) {
        std::string id;
        std::string account;
        std::string credential;
        if (words >> id >> std::quoted(account) >> credential &&
            id == request) {
            told.emplace_back(account, credential);
        }
    });
    return told;
}

std::vector<replica_arrival> gateway_fleet::ends_of_runs() const {
    std::vector<replica_arrival> found;
    for_each_replica_line("ended", [&](const auto& replica, auto& words) {
        replica_arrival end{replica, {}, "ended", {}};
        std::int64_t at_ms = 0;
        if (words >> end.request_ >> at_ms) {
            end.at_ += milliseconds{at_ms};
            found.push_back(std::move(end));
        }
    });
    return found;
}

std::string gateway_fleet::gateway_log(std::size_t gateway) const {
    return read_text(path("gateway-" + std::to_string(gateway) + ".log"));
}

std::vector<std::string> gateway_fleet::unasked_ends() {
    std::vector<std::string> ends;
    for (std::size_t i = 0; i < gateways_.size(); ++i) {
        const auto name = "gateway " + std::to_string(i);
        std::istringstream log{gateway_log(i)};
        for (std::string line; std::getline(log, line);) {
            if (line.find("event=fatal_signal") != std::string::npos) {
                ends.push_back(name);
                ends.back().append(": ").append(line);
            }
        }
        auto& process = gateways_.at(i);
        const auto code = process.running() ? std::optional<int>{}
                                            : process.wait(milliseconds{0});
        if (code && *code != 0 && *code != -SIGKILL) {
            ends.push_back(name + " ended with code " + std::to_string(*code));
        }
    }
    return ends;
}

std::optional<std::size_t> peak_memory(pid_t pid) {
    std::ifstream status{"/proc/" + std::to_string(pid) + "/status"};
    const std::string name = "VmHWM:";
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(name)) {
            return std::stoull(line.substr(name.size())) << 10U;
        }
    }
    return std::nullopt;
}

std::vector<replica_arrival>
repeated_sends(std::vector<replica_arrival> arrivals) {
    std::ranges::sort(arrivals, {}, &replica_arrival::at_);
    std::set<std::string> prefilled;
    std::set<std::string> arrived;
    std::erase_if(arrivals, [&](const replica_arrival& each) {
        const bool first_prefill =
            each.kind_ == "prefill" && prefilled.insert(each.request_).second;
        return first_prefill || arrived.insert(each.request_).second;
    });
    return arrivals;
}

} // namespace pimentoferry::process_tests
