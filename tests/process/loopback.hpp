/// Small helpers for processes that serve on loopback.
#ifndef PIMENTOFERRY_TESTS_PROCESS_LOOPBACK_HPP
#define PIMENTOFERRY_TESTS_PROCESS_LOOPBACK_HPP

#include <cstdint>
#include <string>

namespace pimentoferry::process_tests {

/// Writes `127.0.0.1:PORT`.
std::string loopback_address(std::uint16_t port);

/// The whole file; empty when it cannot be read.
std::string read_text(const std::string& path);

/// The port in the last line `listening IP:PORT` of a log; 0 when there is
/// none yet.
std::uint16_t listening_port(const std::string& log);

} // namespace pimentoferry::process_tests

#endif
