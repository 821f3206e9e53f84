#include "tests/soak/loopback_proxy.hpp"

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

namespace pimentoferry::soak {

namespace net = boost::asio;
using standins::error_code;
using standins::milliseconds;
using standins::sleep_for;
using standins::tcp;

namespace {

constexpr milliseconds delay{150};
constexpr milliseconds watch_interval{20};
constexpr std::size_t buffer_bytes = 16'384;

/// Closes the connection with a TCP reset instead of an orderly shutdown.
void abort(tcp::socket& socket) {
    error_code ignored;
    socket.set_option(net::socket_base::linger{true, 0}, ignored);
    socket.close(ignored);
}

/// Whether the process has a connected socket with this local port.
bool owns_port(pid_t process, std::uint16_t port) {
    const auto directory = "/proc/" + std::to_string(process);
    std::ifstream table{directory + "/net/tcp"};
    std::string line;
    std::string socket;
    constexpr int hexadecimal = 16;
    while (std::getline(table, line)) {
        std::istringstream words{line};
        std::string slot;
        std::string local;
        std::string skipped;
        std::string inode;
        words >> slot >> local;
        for (int i = 0; i < 7; ++i) {
            words >> skipped;
        }
        words >> inode;
        const auto colon = local.find(':');
        if (colon != std::string::npos &&
            std::stoul(local.substr(colon + 1), nullptr, hexadecimal) == port &&
            inode != "0") {
            socket = "socket:[" + inode + "]";
        }
    }
    std::error_code ignored;
    return std::ranges::any_of(
        std::filesystem::directory_iterator{directory + "/fd", ignored},
        [&](const auto& entry) {
            return std::filesystem::read_symlink(entry, ignored) == socket;
        });
}

} // namespace

struct loopback_proxy::connection {
    connection(tcp::socket client, std::shared_ptr<state> shared)
        : client_(std::move(client)), server_(client_.get_executor()),
          shared_(std::move(shared)), generation_(shared_->generation_) {}

    /// The fault that applies to this connection.
    link_fault fault() {
        const auto client = shared_->client_.load();
        if (client != 0 && client != checked_client_) {
            checked_client_ = client;
            error_code ignored;
            is_of_client_ =
                owns_port(client, client_.remote_endpoint(ignored).port());
        }
        return client == 0 || is_of_client_ ? shared_->fault_.load()
                                            : link_fault::none;
    }

    bool is_stale() const { return shared_->generation_ != generation_; }

    tcp::socket client_;
    tcp::socket server_;
    std::shared_ptr<state> shared_;
    std::uint64_t generation_;
    pid_t checked_client_{0};
    bool is_of_client_{false};
    bool blackholed_{false}; ///< Bytes were dropped; nothing more is delivered.
};

loopback_proxy::loopback_proxy(net::io_context& io, std::uint16_t target)
    : shared_(std::make_shared<state>()) {
    shared_->target_ = target;
    const tcp::endpoint address{net::ip::address_v4::loopback(), 0};
    auto acceptor = std::make_shared<tcp::acceptor>(io, address);
    port_ = acceptor->local_endpoint().port();
    net::co_spawn(io, accept(std::move(acceptor), shared_), net::detached);
}

net::awaitable<void>
loopback_proxy::accept(std::shared_ptr<tcp::acceptor> acceptor,
                       std::shared_ptr<state> shared) {
    while (true) {
        error_code failure;
        auto socket = co_await acceptor->async_accept(
            net::redirect_error(net::use_awaitable, failure));
        if (failure) {
            co_return;
        }
        if (shared->fault_ == link_fault::refusing && shared->client_ == 0) {
            abort(socket);
            continue;
        }
        net::co_spawn(acceptor->get_executor(),
                      serve(std::move(socket), shared), net::detached);
    }
}

net::awaitable<void> loopback_proxy::serve(tcp::socket client,
                                           std::shared_ptr<state> shared) {
    auto link = std::make_shared<connection>(std::move(client), shared);
    const tcp::endpoint target{net::ip::address_v4::loopback(),
                               shared->target_};
    error_code failure;
    co_await link->server_.async_connect(
        target, net::redirect_error(net::use_awaitable, failure));
    if (failure) {
        abort(link->client_);
        co_return;
    }
    error_code ignored;
    link->client_.set_option(tcp::no_delay{true}, ignored);
    link->server_.set_option(tcp::no_delay{true}, ignored);
    const auto executor = link->client_.get_executor();
    net::co_spawn(executor, forward(link, true), net::detached);
    net::co_spawn(executor, forward(link, false), net::detached);
    net::co_spawn(executor, close_on_reset(link), net::detached);
}

// Forwards bytes in one direction until either side closes.
net::awaitable<void> loopback_proxy::forward(std::shared_ptr<connection> link,
                                             bool to_server) {
    auto& from = to_server ? link->client_ : link->server_;
    auto& to = to_server ? link->server_ : link->client_;
    const auto lost =
        to_server ? link_fault::requests_lost : link_fault::responses_lost;
    std::array<char, buffer_bytes> buffer{};
    error_code failure;
    while (!failure) {
        const auto size = co_await from.async_read_some(
            net::buffer(buffer),
            net::redirect_error(net::use_awaitable, failure));
        const auto fault = link->fault();
        link->blackholed_ =
            link->blackholed_ || fault == link_fault::silent || fault == lost;
        if (failure || link->blackholed_) {
            continue;
        }
        if (fault == link_fault::delayed) {
            co_await sleep_for(from.get_executor(), delay);
        }
        co_await net::async_write(
            to, net::buffer(buffer.data(), size),
            net::redirect_error(net::use_awaitable, failure));
    }
    // The close of one side is not visible to the other over a blackholed
    // connection.
    while (link->blackholed_ && !link->is_stale()) {
        co_await sleep_for(from.get_executor(), watch_interval);
    }
    error_code ignored;
    to.shutdown(tcp::socket::shutdown_both, ignored);
    from.shutdown(tcp::socket::shutdown_both, ignored);
}

net::awaitable<void>
loopback_proxy::close_on_reset(std::shared_ptr<connection> link) {
    while (!link->is_stale() && link->client_.is_open()) {
        co_await sleep_for(link->client_.get_executor(), watch_interval);
    }
    abort(link->client_);
    abort(link->server_);
}

} // namespace pimentoferry::soak
