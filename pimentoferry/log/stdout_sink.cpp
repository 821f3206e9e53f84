#include "pimentoferry/log/stdout_sink.hpp"

#include <fcntl.h>
#include <unistd.h>

namespace pimentoferry::log::internal {

stdout_sink::stdout_sink() : budget_(base::clock::now()) {
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0) {
        // A failure leaves the output blocking, which is acceptable for a file.
        (void)fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
}

bool stdout_sink::finish_pending() {
    while (!pending_.empty()) {
        const auto size =
            ::write(STDOUT_FILENO, pending_.data(), pending_.size());
        if (size <= 0) {
            return false;
        }
        pending_.erase(0, static_cast<std::size_t>(size));
    }
    return true;
}

void stdout_sink::write_line(const spdlog::details::log_msg& message) {
    spdlog::memory_buf_t text;
    formatter_->format(message, text);
    pending_.assign(text.data(), text.size());
    finish_pending();
}

void stdout_sink::report_dropped(const spdlog::details::log_msg& message) {
    const std::uint64_t dropped = dropped_;
    const auto text =
        "event=log_dropped lines=" + std::to_string(dropped - reported_);
    reported_ = dropped;
    write_line({message.time, message.source, message.logger_name,
                spdlog::level::warn, text});
}

void stdout_sink::sink_it_(const spdlog::details::log_msg& message) {
    if (!budget_.take(base::clock::now()) || !finish_pending()) {
        ++dropped_;
        return;
    }
    if (dropped_ != reported_) {
        report_dropped(message);
    }
    if (!finish_pending()) {
        ++dropped_;
        return;
    }
    write_line(message);
}

} // namespace pimentoferry::log::internal
