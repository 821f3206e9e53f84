/// Helpers for processes that listen on loopback.
#ifndef PIMENTOFERRY_TESTS_PROCESS_LOOPBACK_HPP
#define PIMENTOFERRY_TESTS_PROCESS_LOOPBACK_HPP

#include <cstdint>
#include <string>

namespace pimentoferry::process_tests {

/// Returns `127.0.0.1:PORT`.
std::string loopback_address(std::uint16_t port);

/// Returns the contents of a file; empty if it cannot be read.
std::string read_text(const std::string& path);

/// Returns the port in the last line `listening IP:PORT` of a log; 0 if the log
/// has no such line yet.
std::uint16_t listening_port(const std::string& log);

} // namespace pimentoferry::process_tests

#endif
