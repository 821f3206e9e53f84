#include "tests/process/fleet.hpp"

#include "pimentoferry/base/ids.hpp"
#include "tests/process/loopback.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <mutex>
#include <random>
#include <sstream>
#include <thread>

namespace pimentoferry::process_tests {

namespace {

using standins::http_answer;
using standins::http_get;
using standins::http_post;

constexpr std::chrono::seconds start_limit{20};
constexpr std::chrono::milliseconds poll_interval{20};
constexpr std::chrono::seconds call_timeout{30};
constexpr unsigned status_ok = 200;

constexpr std::string_view caller_key = "caller-key";
/// SHA-256 of `caller_key`.
constexpr std::string_view caller_key_sha256 =
    "d9f376b9bf894cc2c24e74981b01839a2dcf84bf07c5bb6bea376e90c4c7ae81";

std::uint16_t free_port() {
    boost::asio::io_context io;
    const boost::asio::ip::tcp::acceptor acceptor{
        io, {boost::asio::ip::make_address("127.0.0.1"), 0}};
    return acceptor.local_endpoint().port();
}

const char* failure_domain_of(std::size_t number) {
    constexpr std::array<const char*, 3> domains{"hawassa", "dilla",
                                                 "yirgalem"};
    return domains.at(number % domains.size());
}

std::string to_text(const Json::Value& value) {
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

standins::request_headers caller_headers() {
    return {{"Authorization", "Bearer " + std::string{caller_key}},
            {"Content-Type", "application/json"}};
}

void parse_refusal(const std::string& body, caller_result& result) {
    const auto problem = parse_json_text(body);
    if (problem.isObject()) {
        result.refusal_code_ = problem["code"].asString();
        result.ran_ = problem["ran"].asString();
    }
}

// Adds one event of the stream to the result; false if it was the last one.
bool apply_event(const std::string& event, caller_result& result) {
    const auto data = event.find("data: ");
    if (data == std::string::npos) {
        return true;
    }
    const std::string text = event.substr(data + 6);
    if (text == "[DONE]") {
        result.complete_ = true;
        return false;
    }
    if (event.starts_with("event: error")) {
        parse_refusal(text, result);
        return false;
    }
    const auto chunk = parse_json_text(text);
    result.text_ += chunk["choices"][0]["text"].asString();
    return true;
}

} // namespace

bool wait_for(const std::function<bool()>& condition,
              std::chrono::milliseconds limit) {
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

Json::Value parse_json_text(const std::string& text) {
    std::istringstream in{text};
    Json::Value value;
    std::string errors;
    if (!Json::parseFromStream(Json::CharReaderBuilder{}, in, &value,
                               &errors)) {
        return {};
    }
    return value;
}

std::string make_idempotency_key() {
    static std::mutex mutex;
    static std::mt19937_64 random{std::random_device{}()};
    const std::scoped_lock lock{mutex};
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    const std::string time =
        base::to_hex(static_cast<std::uint64_t>(now.count())).substr(4);
    const std::string random_digits =
        base::to_hex(random()) + base::to_hex(random());
    return time.substr(0, 8) + "-" + time.substr(8) + "-7" +
           random_digits.substr(0, 3) + "-8" + random_digits.substr(3, 3) +
           "-" + random_digits.substr(6, 12);
}

fleet::fleet(const fleet_options& options) : options_{options} {
    std::string name = "/tmp/pimentoferry-XXXXXX";
    directory_ = mkdtemp(name.data());
}

fleet::~fleet() {
    entries_.clear();
    engines_.clear();
    services_.clear();
    store_ = {};
    if (!keep_files_) {
        std::error_code ignored;
        std::filesystem::remove_all(directory_, ignored);
    }
}

std::string fleet::log_path(const std::string& name) const {
    return directory_ + "/" + name + ".log";
}

server_process fleet::start_standin(const std::string& name,
                                    const std::string& role,
                                    const std::string& switches) {
    const std::string log = log_path(name);
    server_process started{
        child_process::start({STANDINS_PROGRAM, "--listen", "127.0.0.1:0",
                              "--role", role, "--set", switches},
                             log),
        0};
    wait_for(
        [&] {
            started.port_ = listening_port(read_text(log));
            return started.port_ != 0;
        },
        start_limit);
    return started;
}

void fleet::write_settings(std::size_t entry) {
    const auto& own = ports_.at(entry);
    Json::Value settings;
    settings["name"] = "entry-" + std::to_string(entry);
    settings["failure_domain"] = failure_domain_of(entry);
    settings["region"] = "sidama";
    settings["traffic_address"] = loopback_address(own.traffic_);
    settings["admin_address"] = loopback_address(own.admin_);
    settings["peer_address"] = loopback_address(own.peer_);
    settings["peers"] = Json::arrayValue;
    for (const auto& ports : ports_) {
        if (ports.peer_ != own.peer_) {
            settings["peers"].append(loopback_address(ports.peer_));
        }
    }
    settings["store_address"] = loopback_address(store_.port_);
    settings["fleet_key"] = std::string(64, 'a');
    settings["drain_limit_ms"] =
        static_cast<Json::Int64>(options_.drain_limit_.count());
    std::ofstream{directory_ + "/entry-" + std::to_string(entry) + ".json"}
        << settings;
}

void fleet::restart_entry(std::size_t number) {
    const std::string name = "entry-" + std::to_string(number);
    entries_.at(number) = {
        child_process::start({PIMENTOFERRY_PROGRAM, "entry", "--settings",
                              directory_ + "/" + name + ".json"},
                             log_path(name)),
        ports_.at(number).traffic_};
}

bool fleet::start() {
    store_ = start_standin("store", "store", "{}");
    const std::size_t engine_count =
        options_.prefill_engines_ + options_.decode_engines_;
    for (std::size_t i = 0; i < engine_count; ++i) {
        auto switches = parse_json_text(options_.engine_switches_);
        switches["role"] = i < options_.prefill_engines_ ? "prefill" : "decode";
        engines_.push_back(start_standin("engine-" + std::to_string(i),
                                         "engine", to_text(switches)));
    }
    for (std::size_t i = 0; i < options_.services_; ++i) {
        services_.push_back(
            start_standin("service-" + std::to_string(i), "service", "{}"));
    }
    for (std::size_t i = 0; i < options_.entries_; ++i) {
        ports_.push_back({free_port(), free_port(), free_port()});
    }
    entries_.resize(options_.entries_);
    for (std::size_t i = 0; i < options_.entries_; ++i) {
        write_settings(i);
        restart_entry(i);
    }
    http_answer applied;
    const bool accepted = wait_for(
        [&] {
            applied = apply(0, first_ticket());
            return applied.status_ == status_ok;
        },
        start_limit);
    if (!accepted) {
        std::cerr << "ticket 1 was not accepted: status " << applied.status_
                  << " " << applied.body_ << '\n';
        return false;
    }
    return wait_until_in_force(1);
}

bool fleet::wait_until_in_force(std::uint64_t number) {
    std::string last;
    const bool done = wait_for(
        [&] {
            return std::ranges::all_of(ports_, [&](const entry_ports& entry) {
                last =
                    http_get(entry.admin_, "/admin/v1/tickets/status?number=" +
                                               std::to_string(number))
                        .body_;
                const auto status = parse_json_text(last);
                return status.isObject() &&
                       status["in_force"].asUInt64() == entry_count() &&
                       status["entries"].asUInt64() == entry_count();
            });
        },
        start_limit);
    if (!done) {
        std::cerr << "ticket " << number << " is not in force: " << last
                  << '\n';
    }
    return done;
}

Json::Value fleet::first_ticket() const {
    Json::Value ticket;
    ticket["number"] = 1;
    ticket["operator"] = "almaz";
    ticket["reason"] = "first configuration";
    ticket["nonce"] = "fleet-1";
    Json::Value deployment;
    deployment["name"] = "verdicts";
    deployment["target"]["model"] = "silage";
    deployment["target"]["adapter"] = "";
    deployment["target"]["version"] = "1";
    deployment["deterministic"] = true;
    deployment["patience_ms"] = 20000;
    ticket["deployments"].append(deployment);
    Json::Value service;
    service["name"] = "desk";
    Json::Value book;
    book["method"] = "POST";
    book["path_prefix"] = "/bookings";
    book["idempotent"] = false;
    Json::Value read;
    read["method"] = "GET";
    read["path_prefix"] = "/results";
    read["idempotent"] = true;
    service["calls"].append(book);
    service["calls"].append(read);
    ticket["services"].append(service);
    Json::Value caller;
    caller["name"] = "farmer";
    caller["key_sha256"] = std::string{caller_key_sha256};
    ticket["callers"].append(caller);
    for (std::size_t i = 0; i < engines_.size(); ++i) {
        Json::Value upstream;
        upstream["name"] = "engine-" + std::to_string(i);
        upstream["kind"] = "engine";
        upstream["address"] = loopback_address(engines_[i].port_);
        upstream["failure_domain"] = failure_domain_of(i);
        upstream["deployment"] = "verdicts";
        upstream["role"] = i < options_.prefill_engines_ ? "prefill" : "decode";
        ticket["upstreams"].append(upstream);
    }
    for (std::size_t i = 0; i < services_.size(); ++i) {
        Json::Value upstream;
        upstream["name"] = "desk-" + std::to_string(i);
        upstream["kind"] = "service";
        upstream["address"] = loopback_address(services_[i].port_);
        upstream["failure_domain"] = failure_domain_of(i);
        upstream["service"] = "desk";
        ticket["upstreams"].append(upstream);
    }
    return ticket;
}

bool fleet::control(std::uint16_t port, const std::string& switches) {
    return http_post(port, "/control", switches).status_ == status_ok;
}

caller_result fleet::complete(std::size_t entry,
                              const std::string& prompt,
                              unsigned max_tokens) const {
    Json::Value body;
    body["model"] = "verdicts";
    body["prompt"] = prompt;
    body["max_tokens"] = max_tokens;
    body["stream"] = true;
    const auto start = std::chrono::steady_clock::now();
    standins::http_stream stream{ports(entry).traffic_, "/v1/completions",
                                 to_text(body), caller_headers(), call_timeout};
    caller_result result;
    result.status_ = stream.status();
    if (result.status_ != status_ok) {
        parse_refusal(stream.rest(), result);
        return result;
    }
    for (auto event = stream.next_event(); event; event = stream.next_event()) {
        if (result.text_.empty()) {
            result.first_token_ =
                std::chrono::duration_cast<std::chrono::milliseconds>(
                    std::chrono::steady_clock::now() - start);
        }
        if (!apply_event(*event, result)) {
            break;
        }
    }
    return result;
}

http_answer fleet::book(std::size_t entry,
                        const std::string& key,
                        const std::string& body) const {
    auto headers = caller_headers();
    headers.emplace_back("Idempotency-Key", key);
    return standins::send_http(
        ports(entry).traffic_,
        {"POST", "/svc/desk/bookings", body, headers, call_timeout});
}

http_answer fleet::apply(std::size_t entry, const Json::Value& ticket) {
    return http_post(ports(entry).admin_, "/admin/v1/tickets", to_text(ticket));
}

std::uint64_t fleet::held_resources() {
    std::uint64_t held = 0;
    for (auto& engine : engines_) {
        if (!engine.process_.running()) {
            continue;
        }
        const auto stats =
            parse_json_text(http_get(engine.port_, "/stats").body_);
        if (stats.isObject()) {
            held += stats["pieces_held"].asUInt64() +
                    stats["slots_held"].asUInt64();
        }
    }
    return held;
}

std::vector<std::pair<std::string, std::uint64_t>> fleet::executions() {
    std::vector<std::pair<std::string, std::uint64_t>> found;
    for (const auto& service : services_) {
        const auto body =
            parse_json_text(http_get(service.port_, "/executions").body_);
        for (const auto& execution : body["executions"]) {
            found.emplace_back(execution["key"].asString(),
                               execution["count"].asUInt64());
        }
    }
    return found;
}

std::string fleet::entry_log(std::size_t entry) const {
    return read_text(log_path("entry-" + std::to_string(entry)));
}

} // namespace pimentoferry::process_tests
