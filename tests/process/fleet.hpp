/// Runs entries, and stand-ins for all systems around them, as processes on
/// loopback.
///
///     fleet system{{.entries_ = 3}};
///     CPPUNIT_ASSERT(system.start());
///     const auto answer = system.complete(0, "is the clamp safe", 20);
///
/// The destructor kills all processes. Files go to a new directory under /tmp,
/// which is deleted unless `keep_files()` was called.
#ifndef PIMENTOFERRY_TESTS_PROCESS_FLEET_HPP
#define PIMENTOFERRY_TESTS_PROCESS_FLEET_HPP

#include "standins/http_client.hpp"
#include "tests/process/child_process.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <json/json.h>
#include <string>
#include <vector>

namespace pimentoferry::process_tests {

struct fleet_options {
    std::size_t entries_{3};
    std::size_t prefill_engines_{2};
    std::size_t decode_engines_{2};
    std::size_t services_{1};
    /// Stand-in switches of all engines, as a JSON object.
    std::string engine_switches_{"{}"};
    /// Limit for the complete shutdown of an entry.
    std::chrono::milliseconds drain_limit_{20000};
};

struct entry_ports {
    std::uint16_t traffic_{0};
    std::uint16_t admin_{0};
    std::uint16_t peer_{0};
};

/// A stand-in or entry with the port that it listens on.
struct server_process {
    child_process process_;
    std::uint16_t port_{0};
};

/// The response to one model request as the caller received it.
struct caller_result {
    unsigned status_{0};
    std::string text_;
    bool complete_{false};     ///< The stream ended with `[DONE]`.
    std::string refusal_code_; ///< The `code` of a refusal.
    std::string ran_; ///< The `ran` field of a refusal: `not_run` or `unknown`.
    std::chrono::milliseconds first_token_{0};
};

class fleet {
public:
    explicit fleet(const fleet_options& options);
    ~fleet();
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    /// Starts all processes, applies ticket 1 and waits until it is in force at
    /// all entries. Returns false, with a message on stderr, at the time limit.
    bool start();

    std::size_t entry_count() const { return entries_.size(); }
    const entry_ports& ports(std::size_t entry) const {
        return ports_.at(entry);
    }
    child_process& entry(std::size_t number) {
        return entries_.at(number).process_;
    }
    /// Starts an entry again with the same settings.
    void restart_entry(std::size_t number);

    /// Prefill engines come first, then decode engines.
    server_process& engine(std::size_t number) { return engines_.at(number); }
    std::size_t engine_count() const { return engines_.size(); }
    server_process& service(std::size_t number) { return services_.at(number); }
    std::uint16_t store_port() const { return store_.port_; }

    /// Sends switches to a stand-in; true if it accepted them.
    static bool control(std::uint16_t port, const std::string& switches);

    /// Sends a streamed completion to one entry and reads it to its end.
    caller_result complete(std::size_t entry,
                           const std::string& prompt,
                           unsigned max_tokens) const;

    /// Sends a booking with an idempotency key to one entry.
    standins::http_answer book(std::size_t entry,
                               const std::string& key,
                               const std::string& body) const;

    /// Sends a ticket to the administration interface of an entry.
    standins::http_answer apply(std::size_t entry, const Json::Value& ticket);

    /// Ticket 1: one deployment, one service, one caller and all upstreams.
    Json::Value first_ticket() const;

    /// KV blocks plus decode slots that running engines hold for attempts.
    std::uint64_t held_resources();

    /// Number of executions at the plain services, by idempotency key.
    std::vector<std::pair<std::string, std::uint64_t>> executions();

    /// The log of an entry.
    std::string entry_log(std::size_t entry) const;
    const std::string& directory() const { return directory_; }
    void keep_files() { keep_files_ = true; }

private:
    std::string log_path(const std::string& name) const;
    server_process start_standin(const std::string& name,
                                 const std::string& role,
                                 const std::string& switches);
    void write_settings(std::size_t entry);
    bool wait_until_in_force(std::uint64_t number);

    fleet_options options_;
    std::string directory_;
    bool keep_files_{false};
    server_process store_;
    std::vector<server_process> engines_;
    std::vector<server_process> services_;
    std::vector<entry_ports> ports_;
    std::vector<server_process> entries_;
};

/// Polls until the condition is true; returns false at the limit.
bool wait_for(const std::function<bool()>& condition,
              std::chrono::milliseconds limit);

/// Returns an idempotency key (UUID version 7) with the current time.
std::string make_idempotency_key();

Json::Value parse_json_text(const std::string& text);

} // namespace pimentoferry::process_tests

#endif
