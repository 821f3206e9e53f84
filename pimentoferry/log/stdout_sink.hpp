/// spdlog sink that writes to standard output without blocking. Internal.
#ifndef PIMENTOFERRY_LOG_STDOUT_SINK_HPP
#define PIMENTOFERRY_LOG_STDOUT_SINK_HPP

#include "pimentoferry/log/line_budget.hpp"

#include <spdlog/sinks/base_sink.h>

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>

namespace pimentoferry::log::internal {

class stdout_sink : public spdlog::sinks::base_sink<std::mutex> {
public:
    stdout_sink();

    std::uint64_t dropped() const { return dropped_; }

protected:
    void sink_it_(const spdlog::details::log_msg& message) override;
    void flush_() override {}

private:
    /// Writes the rest of a partly written line. Returns false when the output
    /// accepts no more bytes and some remain.
    bool finish_pending();
    /// Writes a line with the number of lines dropped since the last report.
    void report_dropped(const spdlog::details::log_msg& message);
    void write_line(const spdlog::details::log_msg& message);

    line_budget budget_;
    std::string pending_;
    std::atomic<std::uint64_t> dropped_{0};
    std::uint64_t reported_{0};
};

} // namespace pimentoferry::log::internal

#endif
