/// A whole system of real processes on loopback: stand-ins and entries.
///
///     fleet system{{.entries_ = 3}};
///     CPPUNIT_ASSERT(system.start());
///     const auto answer = system.complete(0, "is the clamp safe", 20);
///
/// Everything is stopped by the destructor. Files go to a new directory under
/// /tmp, which is kept when `keep_files()` was called.
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
    /// Switches of all engines, as a JSON object.
    std::string engine_switches_{"{}"};
    /// Time that a shutdown may take in all.
    std::chrono::milliseconds drain_limit_{20000};
};

struct entry_ports {
    std::uint16_t traffic_{0};
    std::uint16_t admin_{0};
    std::uint16_t peer_{0};
};

/// One outside system or entry with the port that it serves.
struct member_process {
    child_process process_;
    std::uint16_t port_{0};
};

/// What a caller received for one model request.
struct caller_result {
    unsigned status_{0};
    std::string text_;
    bool whole_{false};   ///< The stream ended with `[DONE]`.
    std::string problem_; ///< The refusal's code, when there is one.
    std::string ran_;     ///< `not_run` or `unknown`, with a refusal.
    std::chrono::milliseconds first_token_{0};
};

class fleet {
public:
    explicit fleet(const fleet_options& options);
    ~fleet();
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    /// Starts everything, applies ticket 1 and waits until it is in force
    /// everywhere. False, with a message on stderr, when that takes too long.
    bool start();

    std::size_t entry_count() const { return entries_.size(); }
    const entry_ports& ports(std::size_t entry) const {
        return ports_.at(entry);
    }
    child_process& entry(std::size_t number) {
        return entries_.at(number).process_;
    }
    /// Starts an entry again with the settings it had.
    void restart_entry(std::size_t number);

    /// Engines: prefill engines first, then decode engines.
    member_process& engine(std::size_t number) { return engines_.at(number); }
    std::size_t engine_count() const { return engines_.size(); }
    member_process& service(std::size_t number) { return services_.at(number); }
    std::uint16_t store_port() const { return store_.port_; }

    /// Sends switches to a stand-in.
    static bool control(std::uint16_t port, const std::string& switches);

    /// Sends a streamed completion to one entry and reads it whole.
    caller_result complete(std::size_t entry,
                           const std::string& prompt,
                           unsigned max_tokens) const;

    /// Sends a booking with an idempotency key to one entry.
    standins::http_answer book(std::size_t entry,
                               const std::string& key,
                               const std::string& body) const;

    /// Sends a ticket to the administration interface of an entry.
    standins::http_answer apply(std::size_t entry, const Json::Value& ticket);

    /// The first ticket: one deployment, one service, one caller and all
    /// upstreams.
    Json::Value first_ticket() const;

    /// Pieces and slots that engines hold for attempts.
    std::uint64_t held_memory();

    /// Executions at the plain services, by key.
    std::vector<std::pair<std::string, std::uint64_t>> executions();

    /// Text of the log of an entry.
    std::string entry_log(std::size_t entry) const;
    const std::string& directory() const { return directory_; }
    void keep_files() { keep_files_ = true; }

private:
    std::string log_path(const std::string& name) const;
    member_process start_standin(const std::string& name,
                                 const std::string& role,
                                 const std::string& switches);
    void write_settings(std::size_t entry);
    bool wait_until_in_force(std::uint64_t number);

    fleet_options options_;
    std::string directory_;
    bool keep_files_{false};
    member_process store_;
    std::vector<member_process> engines_;
    std::vector<member_process> services_;
    std::vector<entry_ports> ports_;
    std::vector<member_process> entries_;
};

/// Polls until the condition holds; false at the limit.
bool wait_for(const std::function<bool()>& condition,
              std::chrono::milliseconds limit);

/// An idempotency key (UUID version 7) issued now.
std::string make_key();

Json::Value parse_json_text(const std::string& text);

} // namespace pimentoferry::process_tests

#endif
