/// Starts stand-ins, simulated external systems for tests, from JSON
/// descriptions.
///
/// A description is a JSON object: `standin` names the role (`engine`,
/// `service`, `store`, `instances`, `weights`, `platform-store`,
/// `platform-replica`), `listen` is `ip:port` (port 0
/// selects a free one), and every other member is a switch of the role, as
/// documented in the header of that role.
///
///     net::io_context context;
///     const auto started = start_standin(
///         context, *parse_json(R"({"standin":"store"})"));
///     context.run();
#ifndef PIMENTOFERRY_STANDINS_STANDIN_HPP
#define PIMENTOFERRY_STANDINS_STANDIN_HPP

#include "standins/asio.hpp"
#include "standins/json.hpp"

#include <cstdint>
#include <string>
#include <thread>
#include <variant>

namespace pimentoferry::standins {

struct started {
    std::string ip_;
    std::uint16_t port_{0};
};

struct bad_description {
    std::string reason_;
};

using start_result = std::variant<started, bad_description>;

/// Starts listening; the stand-in serves requests while the context runs.
start_result start_standin(net::io_context& context, const json& description);

/// Runs a stand-in on a separate thread of the test process.
///
///     running_standin store{R"({"standin":"store"})"};
///     http_get(store.port(), "/stats");
class running_standin {
public:
    /// `port()` is 0 when the description is invalid.
    explicit running_standin(const std::string& description);
    ~running_standin();
    running_standin(const running_standin&) = delete;
    running_standin& operator=(const running_standin&) = delete;

    std::uint16_t port() const { return port_; }
    /// Stops serving and breaks all connections, as if the process were killed.
    void stop();

private:
    std::unique_ptr<net::io_context> context_;
    std::uint16_t port_{0};
    std::thread thread_;
};

} // namespace pimentoferry::standins

#endif
