// Clients that read an answer slowly: they stop for four seconds in the middle
// and read on, within their deadline and the timeout of the route. Checks that
// each of them gets the whole answer of its call, which has run.
#include "../lib-2/plain.hh"

using namespace review;

namespace {

constexpr long pause_in_answer_ms = 4000;
constexpr long deadline_ms = 14'000;
constexpr int route_timeout_ms = 14'000;
constexpr std::size_t most_lost = 3;

struct group {
    std::string name_;
    int receive_buffer_{0}; ///< Of the clients' sockets; 0: the usual one.
    std::size_t answer_bytes_{0};
    int clients_{0};
};

std::string request_text(const std::string& id, std::size_t wanted) {
    return "POST /book/1 HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: " +
           id + "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) +
           "\r\nX-Wanted-Bytes: " + std::to_string(wanted) +
           "\r\nContent-Length: 1\r\n\r\nx";
}

struct result {
    std::string id_;
    bool first_answered_{false}; ///< The first request on the connection.
    int status_{0};
    std::size_t bytes_{0};
    std::string end_;
    long took_ms_{0};
};

/// Two requests on one connection; the answer to the second is read slowly.
result run_client(std::uint16_t port, const group& own, const std::string& id,
                  bool slowly) {
    result found;
    found.id_ = id;
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (own.receive_buffer_ > 0) {
        ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &own.receive_buffer_,
                     sizeof own.receive_buffer_);
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) !=
        0) {
        found.end_ = "no connection";
        ::close(fd);
        return found;
    }
    message answer;
    {
        reader in{fd};
        found.first_answered_ =
            send_all(fd, request_text(id + "-first", 20)) &&
            in.read(answer, steady::now() + ms{3000}) && answer.status() == 200;
    }
    const long began = now_ms();
    send_all(fd, request_text(id, own.answer_bytes_));
    reader in{fd};
    const auto until = steady::now() + ms{deadline_ms};
    if (!in.head(answer, until)) {
        found.end_ = "no head";
        ::close(fd);
        return found;
    }
    found.status_ = answer.status();
    const auto length = std::stoul("0" + answer.field("Content-Length"));
    std::string body;
    if (slowly) {
        pause_ms(pause_in_answer_ms);
    }
    while (body.size() < length) {
        if (!in.bytes(body, std::min<std::size_t>(512, length - body.size()),
                      until)) {
            break;
        }
    }
    found.bytes_ = body.size();
    found.took_ms_ = now_ms() - began;
    found.end_ = body.size() == length ? "whole"
                 : in.timed_out()      ? "not whole at the deadline"
                                       : std::string{"cut off: "} +
                                        std::strerror(errno);
    ::close(fd);
    return found;
}

} // namespace

int main(int argc, char** argv) {
    ::signal(SIGPIPE, SIG_IGN);
    record.open(argc > 1 ? argv[1] : "record.txt");
    const bool trouble = trouble_wanted();
    store kv;
    kv.start();
    partition links;
    std::vector<std::unique_ptr<replica>> replicas;
    kv.put("op/config",
           configuration(
               1, {plain_route("/book/", "unsafe", "desk", route_timeout_ms)},
               {"desk"}));
    for (const auto* zone : {"zone-a", "zone-b", "zone-c"}) {
        replicas.push_back(std::make_unique<replica>());
        auto& own = *replicas.back();
        own.id_ = "i-" + std::to_string(replicas.size());
        own.service_ = "desk";
        own.zone_ = zone;
        own.start(links);
        kv.put("servers/" + own.id_, own.entry());
    }
    fleet system{3};
    if (!start_all(system, kv)) {
        record.line("the gateways did not start");
        finish(system, 2);
    }
    const std::vector<group> groups{
        {"small receive buffer, answer of 16 KB", 4096, 16'384, 6},
        {"usual receive buffer, answer of 1 MB", 0, 1'000'000, 6}};
    std::mutex mutex;
    std::size_t lost = 0;
    std::size_t bad = 0;
    std::vector<std::thread> clients;
    int number = 0;
    for (const auto& own : groups) {
        for (int i = 0; i < own.clients_; ++i) {
            const auto id = "req-" + std::to_string(++number);
            const auto port =
                system.gateways()[static_cast<std::size_t>(i) % 3].traffic_;
            clients.emplace_back([&, id, port] {
                const auto found = run_client(port, own, id, trouble);
                std::size_t runs = 0;
                for (const auto& each : replicas) {
                    const std::lock_guard lock{each->mutex_};
                    runs += static_cast<std::size_t>(
                        std::count(each->runs_.begin(), each->runs_.end(), id));
                }
                const std::lock_guard lock{mutex};
                const bool is_lost = found.first_answered_ &&
                                     found.status_ == 200 && runs == 1 &&
                                     found.end_.rfind("cut off", 0) == 0;
                lost += is_lost ? 1 : 0;
                bad += found.end_ == "whole" || is_lost ? 0 : 1;
                record.line(id + " (" + own.name_ + "): the first request " +
                            (found.first_answered_ ? "was answered"
                                                   : "was not answered") +
                            "; ran " + std::to_string(runs) +
                            " times; status " + std::to_string(found.status_) +
                            ", " + std::to_string(found.bytes_) + " of " +
                            std::to_string(own.answer_bytes_) + " bytes after " +
                            std::to_string(found.took_ms_) + " ms, " +
                            found.end_);
            });
        }
    }
    for (auto& each : clients) {
        each.join();
    }
    record.line(std::to_string(lost) + " of " + std::to_string(number) +
                " answers were cut off by the gateway after their calls had "
                "run");
    finish(system, lost > most_lost ? 1 : bad > 0 ? 2 : 0);
}
