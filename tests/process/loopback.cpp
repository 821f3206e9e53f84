#include "tests/process/loopback.hpp"

#include <fstream>
#include <sstream>

namespace pimentoferry::process_tests {

std::string loopback_address(std::uint16_t port) {
    return "127.0.0.1:" + std::to_string(port);
}

std::string read_text(const std::string& path) {
    std::ifstream in{path};
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
}

std::uint16_t listening_port(const std::string& log) {
    const auto line = log.rfind("listening ");
    const auto end = log.find('\n', line);
    if (line == std::string::npos || end == std::string::npos) {
        return 0;
    }
    const auto colon = log.rfind(':', end);
    return static_cast<std::uint16_t>(std::stoi(log.substr(colon + 1)));
}

} // namespace pimentoferry::process_tests
