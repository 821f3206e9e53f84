// Replicas of plain services with a partition from chosen gateways, and the
// configuration that routes to them.
#ifndef REVIEW_LIB_2_PLAIN_HH
#define REVIEW_LIB_2_PLAIN_HH

#include "world.hh"

namespace review {

enum class cut { none, hangs, resets };

/// How the connections between the gateways and all replicas behave.
class partition {
public:
    void set(pid_t process, cut how) {
        const std::lock_guard lock{mutex_};
        cuts_[process] = how;
        const auto ports = ports_of(process);
        for (auto& [fd, known] : connections_) {
            known.owner_ = ports.count(known.peer_) > 0 ? process
                                                        : known.owner_;
            if (known.owner_ == process && how == cut::resets) {
                reset(fd);
            }
        }
    }
    server::gate gate() {
        return {[this](int fd, std::uint16_t peer) { return admit(fd, peer); },
                [this](int fd) { return pass(fd); },
                [this](int fd) {
                    const std::lock_guard lock{mutex_};
                    connections_.erase(fd);
                }};
    }

private:
    struct connection {
        std::uint16_t peer_{0};
        pid_t owner_{0};
    };

    /// The next close resets the connection, and its reader ends.
    static void reset(int fd) {
        const linger at_once{1, 0};
        ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
        ::shutdown(fd, SHUT_RD);
    }
    bool admit(int fd, std::uint16_t peer) {
        const std::lock_guard lock{mutex_};
        auto& own = connections_[fd];
        own = {peer, 0};
        for (const auto& [process, how] : cuts_) {
            if (how != cut::none && ports_of(process).count(peer) > 0) {
                own.owner_ = process;
            }
        }
        return true;
    }
    /// A request has arrived; it passes unless the connection is cut.
    bool pass(int fd) {
        bool delayed = false;
        while (how_of(fd) == cut::hangs) {
            delayed = true;
            pause_ms(20);
        }
        if (delayed || how_of(fd) == cut::resets) {
            reset(fd);
            return false;
        }
        return true;
    }
    cut how_of(int fd) {
        const std::lock_guard lock{mutex_};
        const auto found = connections_.find(fd);
        return found == connections_.end() ? cut::none
                                           : cuts_[found->second.owner_];
    }
    std::mutex mutex_;
    std::map<pid_t, cut> cuts_;
    std::map<int, connection> connections_;
};

/// A replica of a plain service. The body of an answer is its service's name,
/// or as many bytes as the request asks for in `X-Wanted-Bytes`.
struct replica {
    std::string id_;
    std::string service_;
    std::string zone_;
    long work_ms_{3};
    server server_;
    std::uint16_t port_{0};
    std::mutex mutex_;
    std::vector<std::string> runs_;

    void start(partition& links) {
        port_ = server_.start(
            [this](int fd, const message& call) { return serve(fd, call); },
            links.gate());
    }
    bool serve(int fd, const message& call) {
        const auto id = call.field("X-Request-Id");
        if (call.target() == "/api/report") {
            return send_all(fd, http_answer(200, "{}"));
        }
        if (call.field("X-Expect-Instance") != id_) {
            return send_all(fd,
                            http_answer(421, "", {{"X-Request-Id", id},
                                                  {"X-Not-Executed", "1"}}));
        }
        {
            const std::lock_guard lock{mutex_};
            runs_.push_back(id);
        }
        pause_ms(work_ms_);
        const auto wanted = call.field("X-Wanted-Bytes");
        const auto bytes = wanted.empty() ? 0 : std::stoul(wanted);
        return send_all(fd,
                        http_answer(200,
                                    bytes == 0 ? service_
                                               : std::string(bytes, 'x'),
                                    {{"X-Request-Id", id},
                                     {"X-Server-Signature", id_}}));
    }
    std::string entry() const {
        Json::Value own;
        own["service"] = service_;
        own["address"] = address_of(port_);
        own["zone"] = zone_;
        own["version"] = "v1";
        own["slots"] = 6;
        own["state"] = "ready";
        own["cold_remaining_ms"] = 0;
        own["sequence"] = 1;
        own["born"] = Json::Int64{1'780'000'000'000};
        return to_json(own);
    }
};

inline Json::Value plain_route(const std::string& prefix,
                               const std::string& kind,
                               const std::string& service,
                               int timeout_ms = 1000) {
    Json::Value route;
    route["name"] = "r" + prefix.substr(0, prefix.size() - 1);
    route["host"] = "host.example";
    route["path_prefix"] = prefix;
    route["kind"] = kind;
    route["timeout_ms"] = timeout_ms;
    route["target_latency_ms"] = 150;
    route["priority"] = 1;
    route["service"] = service;
    route["max_attempts"] = kind == "safe" ? 2 : 1;
    return route;
}

inline std::string configuration(int version,
                                 const std::vector<Json::Value>& routes,
                                 const std::vector<std::string>& services) {
    Json::Value c;
    c["version"] = version;
    for (const auto& each : routes) {
        c["routes"].append(each);
    }
    for (const auto& name : services) {
        Json::Value s;
        s["name"] = name;
        s["health_check_path"] = "/health";
        s["max_connections"] = 110;
        c["services"].append(s);
    }
    c["limits"]["header_bytes"] = 16384;
    c["limits"]["body_bytes"] = 4194304;
    c["limits"]["header_timeout_ms"] = 3000;
    c["limits"]["idle_timeout_ms"] = 15000;
    return to_json(c);
}

/// Starts gateways and waits until all are ready and know each other.
inline bool start_all(fleet& system, const store& kv) {
    for (auto& each : system.gateways()) {
        system.write_settings(each, kv.port());
        system.start(each);
    }
    const bool ready = wait_until(
        [&] {
            return std::all_of(system.gateways().begin(),
                               system.gateways().end(), is_ready);
        },
        15'000);
    pause_ms(ready ? 6000 : 0);
    return ready;
}

/// Ends the gateways and the process; threads of the stand-ins may still run.
[[noreturn]] inline void finish(fleet& system, int code) {
    if (std::getenv("KEEP") != nullptr) {
        record.line("logs in " + system.directory());
    }
    system.~fleet();
    std::_Exit(code);
}

inline bool trouble_wanted() {
    const char* const choice = std::getenv("TROUBLE");
    return choice == nullptr || std::string{choice} != "0";
}

} // namespace review

#endif
