// Clients that read a stream slowly: they stop for four seconds in the middle
// and read on, within their deadline and the timeout of the route. Every
// gateway gets a SIGHUP just before, which changes nothing. Checks that each
// client gets the whole answer of its request, which has run.
#include "../lib-2/plain.hh"

using namespace review;

namespace {

constexpr long event_ms = 10;
constexpr long pause_in_answer_ms = 4000;
constexpr long deadline_ms = 14'000;
constexpr int route_timeout_ms = 14'000;
constexpr long after_signal_ms = 200;
constexpr std::size_t most_lost = 3;

struct group {
    std::string name_;
    int receive_buffer_{0}; ///< Of the clients' sockets; 0: the usual one.
    int events_{0};
    std::size_t event_bytes_{0};
    int clients_{0};
};

const std::vector<group>& groups() {
    static const std::vector<group> all{
        {"receive buffer of 4 KB, 70 events of 400 bytes", 4096, 70, 400, 6},
        {"usual receive buffer, 130 events of 2,400 bytes", 0, 130, 2400, 6}};
    return all;
}

/// The id of a client's request tells its engine which answer to write.
std::string id_of(std::size_t of_group, int client) {
    return "req-" + std::to_string(of_group) + "-" + std::to_string(client);
}

const group& group_of(const std::string& id) {
    return groups().at(static_cast<std::size_t>(id.at(4) - '0'));
}

/// An engine; its streams come in chunks, and it writes each event at once.
struct engine {
    std::string id_;
    std::string zone_;
    std::string stage_;
    server server_;
    std::uint16_t port_{0};
    std::mutex mutex_;
    std::vector<std::string> whole_; ///< The streams that it wrote to the end.

    void start() {
        port_ = server_.start(
            [this](int fd, const message& call) { return serve(fd, call); });
    }
    bool serve(int fd, const message& call) {
        const auto request = call.field("X-Request-Id");
        if (call.target() == "/api/report") {
            return send_all(
                fd, http_answer(200, "{\"stage\":\"" + stage_ +
                                         "\",\"models\":[{\"name\":\"m\","
                                         "\"version\":1,\"adapters\":[]}],"
                                         "\"busy\":false,\"sequence\":0,"
                                         "\"waiting\":0,\"running\":0,"
                                         "\"kv_used\":0,\"kv_total\":72546,"
                                         "\"kv_handles\":0}"));
        }
        if (call.target().rfind("/api/kv-handle/", 0) == 0) {
            return send_all(fd, http_answer(200, ""));
        }
        // No order is due with so few streams.
        if (call.target() == "/api/order") {
            return send_all(fd, http_answer(409, "{}"));
        }
        const bool is_prefill = call.field("X-Serving-Stage") == "prefill";
        if (call.field("X-Expect-Instance") != id_ ||
            is_prefill != (stage_ == "prefill")) {
            return send_all(fd,
                            http_answer(421, "", {{"X-Request-Id", request},
                                                  {"X-Not-Executed", "1"}}));
        }
        if (is_prefill) {
            pause_ms(30);
            static std::atomic<int> handles{0};
            return send_all(
                fd, http_answer(200,
                                "{\"kv_handle\":\"h" +
                                    std::to_string(++handles) +
                                    "\",\"tokens\":5200,\"version\":1}",
                                {{"X-Request-Id", request}}));
        }
        return decode(fd, request);
    }
    bool decode(int fd, const std::string& request) {
        const bool is_first = request.find("first") != std::string::npos;
        const int events = is_first ? 3 : group_of(request).events_;
        const auto size = is_first ? 20 : group_of(request).event_bytes_;
        if (!send_all(fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                          "Content-Type: text/event-stream\r\n"
                          "X-Request-Id: " +
                              request + "\r\nX-Server-Signature: " + id_ +
                              "\r\nX-Weight-Versions: 1\r\n\r\n")) {
            return false;
        }
        for (int event = 1; event <= events; ++event) {
            pause_ms(event_ms);
            const auto text = "id: " + std::to_string(event) + "\ndata: " +
                              std::string(size, 'x') + "\n\n";
            char length[16];
            std::snprintf(length, sizeof length, "%zx\r\n", text.size());
            if (!send_all(fd, length + text + "\r\n")) {
                return false;
            }
        }
        const bool sent = send_all(fd, "0\r\n\r\n");
        const std::lock_guard lock{mutex_};
        if (sent) {
            whole_.push_back(request);
        }
        return sent;
    }
    std::string entry() const {
        Json::Value own;
        own["service"] = "notes";
        own["address"] = address_of(port_);
        own["zone"] = zone_;
        own["version"] = "v1";
        own["slots"] = 16;
        own["state"] = "ready";
        own["cold_remaining_ms"] = 0;
        own["stage"] = stage_;
        Json::Value model;
        model["name"] = "m";
        model["version"] = 1;
        model["adapters"] = Json::Value{Json::arrayValue};
        own["models"].append(model);
        own["sequence"] = 0;
        own["born"] = Json::Int64{1'780'000'000'000};
        return to_json(own);
    }
};

std::string stream_configuration() {
    auto c = from_json(configuration(
        1, {plain_route("/note/", "streaming", "notes", route_timeout_ms)},
        {"notes"}));
    auto& route = c["routes"][0];
    route["target_latency_ms"] = 2000;
    route["target_gap_ms"] = 300;
    route["max_attempts"] = 1;
    route["session_affinity"] = true;
    route["resumable"] = false;
    auto& engine = c["services"][0]["engine"];
    engine["slots"] = 16;
    engine["kv_tokens"] = 72'546;
    engine["kv_token_bytes"] = 131'072;
    engine["link_mbps"] = 8800000.0;
    engine["stride"] = 1;
    engine["handle_ttl_s"] = 0.5;
    engine["stage_switch_s"] = 6.0;
    engine["pin_ms"] = 4000.0;
    engine["hold_ms"] = 2000.0;
    return to_json(c);
}

std::string request_text(const std::string& id) {
    return "POST /note/1 HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: " +
           id + "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) +
           "\r\nX-Model: m\r\nX-Token-Counts: 5200,70\r\nX-Prompt-Prefix: "
           "5c1e07a2:200,a" +
           std::to_string(std::hash<std::string>{}(id) % 0xffffff) +
           ":5000\r\nContent-Length: 1\r\n\r\nx";
}

struct result {
    bool first_answered_{false}; ///< The first request on the connection.
    int status_{0};
    int events_{0};
    long took_ms_{0};
    std::string end_;
};

/// A client's connection, which has had one request answered.
class slow_reader {
public:
    slow_reader(std::uint16_t port, const group& own)
        : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)), in_(fd_) {
        if (own.receive_buffer_ > 0) {
            ::setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &own.receive_buffer_,
                         sizeof own.receive_buffer_);
        }
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(port);
        connected_ = ::connect(fd_, reinterpret_cast<sockaddr*>(&address),
                               sizeof address) == 0;
    }
    slow_reader(const slow_reader&) = delete;
    slow_reader& operator=(const slow_reader&) = delete;
    ~slow_reader() { ::close(fd_); }

    bool first(const std::string& id) {
        message answer;
        return connected_ && send_all(fd_, request_text(id + "-first")) &&
               in_.read(answer, steady::now() + ms{deadline_ms}) &&
               answer.status() == 200;
    }

    /// Sends a request and reads its answer, slowly if that is wanted.
    void run(const std::string& id, bool slowly, result& found) {
        const long began = now_ms();
        const auto until = steady::now() + ms{deadline_ms};
        message answer;
        if (!send_all(fd_, request_text(id)) || !in_.head(answer, until)) {
            found.end_ = "no head";
            return;
        }
        found.status_ = answer.status();
        pause_ms(slowly ? pause_in_answer_ms : 0);
        errno = 0;
        const bool whole = in_.body(answer, until);
        const int error = errno;
        for (auto at = answer.body_.find("id: "); at != std::string::npos;
             at = answer.body_.find("id: ", at + 1)) {
            ++found.events_;
        }
        found.took_ms_ = now_ms() - began;
        found.end_ = whole             ? "whole"
                     : in_.timed_out() ? "not whole at the deadline"
                                       : std::string{"cut off: "} +
                                       (error != 0 ? std::strerror(error)
                                                   : "end of the connection");
    }

private:
    int fd_;
    reader in_;
    bool connected_{false};
};

} // namespace

int main(int argc, char** argv) {
    ::signal(SIGPIPE, SIG_IGN);
    record.open(argc > 1 ? argv[1] : "record.txt");
    const bool trouble = trouble_wanted();
    store kv;
    kv.start();
    kv.put("op/config", stream_configuration());
    std::vector<std::unique_ptr<engine>> engines;
    for (int i = 0; i < 6; ++i) {
        engines.push_back(std::make_unique<engine>());
        auto& own = *engines.back();
        own.id_ = "e-" + std::to_string(i + 1);
        own.zone_ = std::string{"zone-"} + static_cast<char>('a' + i % 3);
        own.stage_ = i < 3 ? "prefill" : "decode";
        own.start();
        kv.put("servers/" + own.id_, own.entry());
    }
    fleet system{3};
    if (!start_all(system, kv)) {
        record.line("the gateways did not start");
        finish(system, 2);
    }
    struct client_state {
        std::string id_;
        const group* own_{nullptr};
        std::unique_ptr<slow_reader> reader_;
        result found_;
    };
    std::vector<client_state> clients;
    for (std::size_t g = 0; g < groups().size(); ++g) {
        for (int i = 0; i < groups()[g].clients_; ++i) {
            const auto port =
                system.gateways()[static_cast<std::size_t>(i) % 3].traffic_;
            clients.push_back(
                {id_of(g, i), &groups()[g],
                 std::make_unique<slow_reader>(port, groups()[g]), {}});
        }
    }
    for (auto& each : clients) {
        each.found_.first_answered_ = each.reader_->first(each.id_);
    }
    for (const auto& each : system.gateways()) {
        fleet::signal(each, SIGHUP);
    }
    record.line("SIGHUP to all gateways");
    pause_ms(after_signal_ms);
    std::vector<std::thread> running;
    for (auto& each : clients) {
        running.emplace_back([&each, trouble] {
            each.reader_->run(each.id_, trouble, each.found_);
        });
    }
    for (auto& each : running) {
        each.join();
    }
    std::size_t lost = 0;
    std::size_t whole = 0;
    for (const auto& each : clients) {
        const auto& found = each.found_;
        bool written = false;
        for (const auto& one : engines) {
            const std::lock_guard lock{one->mutex_};
            written = written || std::count(one->whole_.begin(),
                                            one->whole_.end(), each.id_) > 0;
        }
        // An answer that its engine did not finish isn't counted.
        const bool is_lost = found.first_answered_ && found.status_ == 200 &&
                             written && found.end_.rfind("cut off", 0) == 0;
        lost += is_lost ? 1 : 0;
        whole += found.end_ == "whole" ? 1 : 0;
        record.line(
            each.id_ + " (" + each.own_->name_ + "): the first request " +
            (found.first_answered_ ? "was answered" : "was not answered") +
            "; status " + std::to_string(found.status_) + ", the engine " +
            (written ? "wrote" : "did not write") + " the whole answer; " +
            std::to_string(found.events_) + " of " +
            std::to_string(each.own_->events_) + " events after " +
            std::to_string(found.took_ms_) + " ms, " + found.end_);
    }
    record.line(std::to_string(lost) + " of " +
                std::to_string(clients.size()) +
                " answers were cut off by the gateway, though their engines "
                "had written them to the end");
    finish(system, lost > most_lost                   ? 1
                   : lost + whole < clients.size() ? 2
                                                      : 0);
}
