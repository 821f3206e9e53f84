// Stand-ins for the cases of the second review: the platform's store, plain
// replicas, and a client, all in one process on loopback addresses; and the
// start of gateways as separate processes. Threads and blocking sockets.
#ifndef REVIEW_LIB_2_WORLD_HH
#define REVIEW_LIB_2_WORLD_HH

#include <jsoncpp/json/json.h>

#include <arpa/inet.h>
#include <dirent.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

using steady = std::chrono::steady_clock;
using ms = std::chrono::milliseconds;

inline steady::time_point started_at = steady::now();
inline long now_ms() {
    return std::chrono::duration_cast<ms>(steady::now() - started_at).count();
}
inline void pause_ms(long time) { std::this_thread::sleep_for(ms{time}); }

// ---------------------------------------------------------------- record

class record_file {
public:
    void open(const std::string& path) { out_.open(path); }
    void line(const std::string& text) {
        const std::lock_guard lock{mutex_};
        out_ << now_ms() << " ms  " << text << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
};
inline record_file record;

// ---------------------------------------------------------------- sockets

inline int listen_on(std::uint16_t& port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(fd, 512) != 0) {
        ::close(fd);
        return -1;
    }
    socklen_t size = sizeof address;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    port = ntohs(address.sin_port);
    return fd;
}

/// Ports that are free now, below the range of outgoing connections.
inline std::uint16_t free_port() {
    static std::uint16_t next =
        static_cast<std::uint16_t>(12000 + ::getpid() * 131 % 15000);
    for (int i = 0; i < 4000; ++i) {
        next = next >= 30000 ? 12000 : static_cast<std::uint16_t>(next + 1);
        std::uint16_t port = next;
        const int fd = listen_on(port);
        if (fd >= 0) {
            ::close(fd);
            return port;
        }
    }
    return 0;
}

inline int connect_to(std::uint16_t port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) !=
        0) {
        ::close(fd);
        return -1;
    }
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

inline bool send_all(int fd, const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto n = ::send(fd, bytes.data() + sent, bytes.size() - sent,
                              MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

struct message {
    std::string first_; ///< Request line or status line.
    std::vector<std::pair<std::string, std::string>> fields_;
    std::string body_;

    std::string field(const std::string& name) const {
        for (const auto& [key, value] : fields_) {
            if (::strcasecmp(key.c_str(), name.c_str()) == 0) {
                return value;
            }
        }
        return {};
    }
    std::string method() const { return first_.substr(0, first_.find(' ')); }
    std::string target() const {
        const auto at = first_.find(' ');
        return first_.substr(at + 1, first_.find(' ', at + 1) - at - 1);
    }
    int status() const {
        return first_.size() > 12 ? std::atoi(first_.c_str() + 9) : 0;
    }
};

/// Reads one message with a Content-Length or chunks. False at the end of the
/// connection or at the deadline.
class reader {
public:
    explicit reader(int fd) : fd_(fd) {}

    bool fill(steady::time_point until) {
        const auto left =
            std::chrono::duration_cast<ms>(until - steady::now()).count();
        pollfd waiting{fd_, POLLIN, 0};
        if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left)) <= 0) {
            timed_out_ = true;
            return false;
        }
        char bytes[16384];
        const auto n = ::recv(fd_, bytes, sizeof bytes, 0);
        if (n <= 0) {
            return false;
        }
        buffer_.append(bytes, static_cast<std::size_t>(n));
        return true;
    }
    bool line(std::string& out, steady::time_point until) {
        std::size_t end = 0;
        while ((end = buffer_.find("\r\n")) == std::string::npos) {
            if (!fill(until)) {
                return false;
            }
        }
        out = buffer_.substr(0, end);
        buffer_.erase(0, end + 2);
        return true;
    }
    bool bytes(std::string& out, std::size_t size, steady::time_point until) {
        while (buffer_.size() < size) {
            if (!fill(until)) {
                return false;
            }
        }
        out += buffer_.substr(0, size);
        buffer_.erase(0, size);
        return true;
    }
    bool head(message& out, steady::time_point until) {
        out = {};
        if (!line(out.first_, until)) {
            return false;
        }
        std::string text;
        while (line(text, until)) {
            if (text.empty()) {
                return true;
            }
            const auto colon = text.find(':');
            auto value = text.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            out.fields_.emplace_back(text.substr(0, colon), value);
        }
        return false;
    }
    bool body(message& out, steady::time_point until) {
        const auto length = out.field("Content-Length");
        if (!length.empty()) {
            return bytes(out.body_, std::stoul(length), until);
        }
        if (out.field("Transfer-Encoding") != "chunked") {
            return true;
        }
        std::string text;
        while (line(text, until)) {
            const auto size = std::stoul(text, nullptr, 16);
            std::string end;
            if (!bytes(out.body_, size, until) || !line(end, until)) {
                return false;
            }
            if (size == 0) {
                return true;
            }
        }
        return false;
    }
    bool read(message& out, steady::time_point until) {
        return head(out, until) && body(out, until);
    }
    bool timed_out() const { return timed_out_; }

private:
    int fd_;
    bool timed_out_{false};
    std::string buffer_;
};

/// A server with one thread for each connection. The handler returns the bytes
/// of the answer; unset closes the connection.
class server {
public:
    using handler = std::function<bool(int fd, const message& call)>;
    /// Decides about connections; false closes one.
    struct gate {
        std::function<bool(int fd, std::uint16_t peer_port)> admit_;
        std::function<bool(int fd)> pass_; ///< For each request.
        std::function<void(int fd)> ended_;
    };

    /// Port 0: a free one. Returns 0 if it cannot listen.
    std::uint16_t start(handler handle, gate links = {},
                        std::uint16_t port = 0) {
        handle_ = std::move(handle);
        gate_ = std::move(links);
        listener_ = listen_on(port);
        if (listener_ < 0) {
            return 0;
        }
        std::thread{[this] { accept_all(); }}.detach();
        return port;
    }

private:
    void accept_all() {
        while (true) {
            sockaddr_in peer{};
            socklen_t size = sizeof peer;
            const int fd =
                ::accept4(listener_, reinterpret_cast<sockaddr*>(&peer), &size,
                          SOCK_CLOEXEC);
            if (fd < 0) {
                pause_ms(5);
                continue;
            }
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            const auto peer_port = ntohs(peer.sin_port);
            std::thread{[this, fd, peer_port] {
                serve(fd, peer_port);
            }}.detach();
        }
    }
    void serve(int fd, std::uint16_t peer_port) {
        if (!gate_.admit_ || gate_.admit_(fd, peer_port)) {
            reader in{fd};
            message call;
            while (in.read(call, steady::now() + std::chrono::hours{1}) &&
                   (!gate_.pass_ || gate_.pass_(fd)) && handle_(fd, call)) {
            }
        }
        if (gate_.ended_) {
            gate_.ended_(fd);
        }
        ::close(fd);
    }
    int listener_{-1};
    handler handle_;
    gate gate_;
};

inline std::string http_answer(
    int status, const std::string& body,
    const std::vector<std::pair<std::string, std::string>>& fields = {}) {
    std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    for (const auto& [name, value] : fields) {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

inline std::string to_json(const Json::Value& value) {
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}
inline Json::Value from_json(const std::string& text) {
    Json::Value value;
    std::istringstream in{text};
    Json::CharReaderBuilder builder;
    std::string errors;
    Json::parseFromStream(builder, in, &value, &errors);
    return value;
}
inline std::string base64(const std::string& bytes) {
    static const char* const digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned part = static_cast<unsigned char>(bytes[i]) << 16;
        part |= i + 1 < bytes.size()
                    ? static_cast<unsigned char>(bytes[i + 1]) << 8 : 0;
        part |= i + 2 < bytes.size()
                    ? static_cast<unsigned char>(bytes[i + 2]) : 0;
        out += digits[part >> 18];
        out += digits[part >> 12 & 63];
        out += i + 1 < bytes.size() ? digits[part >> 6 & 63] : '=';
        out += i + 2 < bytes.size() ? digits[part & 63] : '=';
    }
    return out;
}
inline std::string decoded(const std::string& text) {
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out += static_cast<char>(
                std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            out += text[i];
        }
    }
    return out;
}
inline std::string query(const std::string& target, const std::string& name) {
    auto at = target.find('?');
    while (at != std::string::npos) {
        const auto end = std::min(target.find('&', at + 1), target.size());
        const auto pair = target.substr(at + 1, end - at - 1);
        if (pair.rfind(name + "=", 0) == 0) {
            return decoded(pair.substr(name.size() + 1));
        }
        at = end < target.size() ? end : std::string::npos;
    }
    return {};
}

// ---------------------------------------------------------------- store

/// The platform's store, as the page on its protocol describes it.
class store {
public:
    std::uint16_t start() {
        port_ = server_.start(
            [this](int fd, const message& call) { return serve(fd, call); });
        return port_;
    }
    std::uint16_t port() const { return port_; }

    /// A write of the operator or of a replica.
    void put(const std::string& key, const std::string& value) {
        const std::lock_guard lock{mutex_};
        write(key, base64(value), 0);
        changed_.notify_all();
    }
    void remove(const std::string& key) {
        const std::lock_guard lock{mutex_};
        erase(key);
        changed_.notify_all();
    }

private:
    struct entry {
        std::string value_;
        std::uint64_t revision_{0};
        std::uint64_t created_{0};
        std::uint64_t lease_{0};
    };
    struct change {
        std::string key_;
        std::uint64_t revision_{0};
        bool deleted_{false};
        entry entry_;
    };
    struct lease {
        ms ttl_{0};
        steady::time_point end_;
    };

    void write(const std::string& key, std::string value, std::uint64_t held) {
        auto& found = entries_[key];
        ++revision_;
        found.created_ = found.created_ == 0 ? revision_ : found.created_;
        found.value_ = std::move(value);
        found.revision_ = revision_;
        found.lease_ = held;
        history_.push_back({key, revision_, false, found});
    }
    void erase(const std::string& key) {
        if (entries_.erase(key) > 0) {
            history_.push_back({key, ++revision_, true, {}});
        }
    }
    void expire() {
        const auto now = steady::now();
        for (auto at = leases_.begin(); at != leases_.end();) {
            at = at->second.end_ <= now ? end_lease(at) : std::next(at);
        }
    }
    std::map<std::uint64_t, lease>::iterator
    end_lease(std::map<std::uint64_t, lease>::iterator ended) {
        std::vector<std::string> keys;
        for (const auto& [key, each] : entries_) {
            if (each.lease_ == ended->first) {
                keys.push_back(key);
            }
        }
        for (const auto& key : keys) {
            erase(key);
        }
        return leases_.erase(ended);
    }
    static Json::Value item(const std::string& key, const entry& each) {
        Json::Value row;
        row["key"] = key;
        row["value"] = each.value_;
        row["revision"] = Json::UInt64{each.revision_};
        row["created"] = Json::UInt64{each.created_};
        row["lease"] = Json::UInt64{each.lease_};
        return row;
    }
    bool answer(int fd, int status, Json::Value body) {
        return send_all(fd, http_answer(status, to_json(body),
                                        {{"Content-Type", "application/json"},
                                         {"Store-Era", "1"}}));
    }
    bool serve(int fd, const message& call) {
        std::unique_lock lock{mutex_};
        expire();
        const auto target = call.target();
        const auto path = target.substr(0, target.find('?'));
        Json::Value body{Json::objectValue};
        int status = 200;
        if (path == "/api/kv-key") {
            const auto found = entries_.find(query(target, "key"));
            if (found == entries_.end()) {
                status = 404;
            } else {
                body = item(found->first, found->second);
            }
            body["store_revision"] = Json::UInt64{revision_};
        } else if (path == "/api/kv-range") {
            constexpr unsigned page = 500;
            const auto prefix = query(target, "path_prefix");
            const auto after = query(target, "after");
            body["items"] = Json::Value{Json::arrayValue};
            body["truncated"] = false;
            for (const auto& [key, each] : entries_) {
                if (key.rfind(prefix, 0) != 0 || key <= after) {
                    continue;
                }
                if (body["items"].size() == page) {
                    body["truncated"] = true;
                    break;
                }
                body["items"].append(item(key, each));
            }
            body["store_revision"] = Json::UInt64{revision_};
        } else if (path == "/api/kv-watch") {
            const auto prefix = query(target, "path_prefix");
            const auto after = std::stoull("0" + query(target, "after"));
            const auto until =
                steady::now() + ms{std::stol("0" + query(target, "wait_ms"))};
            body["events"] = Json::Value{Json::arrayValue};
            while (true) {
                expire();
                for (const auto& each : history_) {
                    if (each.revision_ <= after ||
                        each.key_.rfind(prefix, 0) != 0) {
                        continue;
                    }
                    if (each.deleted_) {
                        Json::Value row;
                        row["key"] = each.key_;
                        row["revision"] = Json::UInt64{each.revision_};
                        row["deleted"] = true;
                        body["events"].append(row);
                    } else {
                        body["events"].append(item(each.key_, each.entry_));
                    }
                }
                if (!body["events"].empty() || steady::now() >= until) {
                    break;
                }
                changed_.wait_for(lock, ms{50});
            }
            body["store_revision"] = Json::UInt64{revision_};
        } else if (path == "/api/kv-txn") {
            status = transact(from_json(call.body_), body);
        } else if (path == "/api/kv-lease") {
            const auto ttl = from_json(call.body_)["ttl_ms"].asInt64();
            leases_[++last_lease_] = {ms{ttl}, steady::now() + ms{ttl}};
            body["lease"] = Json::UInt64{last_lease_};
            body["ttl_ms"] = Json::Int64{ttl};
        } else if (path.rfind("/api/kv-keep/", 0) == 0) {
            const auto found = leases_.find(std::stoull(path.substr(13)));
            status = found == leases_.end() ? 404 : 200;
            if (found != leases_.end()) {
                found->second.end_ = steady::now() + found->second.ttl_;
            }
        } else if (path.rfind("/api/kv-lease-end/", 0) == 0) {
            const auto found = leases_.find(std::stoull(path.substr(18)));
            status = found == leases_.end() ? 404 : 200;
            if (found != leases_.end()) {
                end_lease(found);
                changed_.notify_all();
            }
        } else {
            status = 404;
        }
        lock.unlock();
        return answer(fd, status, body);
    }
    int transact(const Json::Value& call, Json::Value& body) {
        bool holds = true;
        Json::Value current{Json::arrayValue};
        for (const auto& row : call["expected"]) {
            const auto key = row["key"].asString();
            const auto found = entries_.find(key);
            const auto revision =
                found == entries_.end() ? 0 : found->second.revision_;
            holds = holds && revision == row["revision"].asUInt64();
            if (found != entries_.end()) {
                current.append(item(key, found->second));
            }
        }
        if (!holds) {
            body["items"] = current;
            return 412;
        }
        for (const auto& row : call["writes"]) {
            const auto held = row["lease"].asUInt64();
            if (held != 0 && leases_.count(held) == 0) {
                return 404;
            }
        }
        for (const auto& row : call["writes"]) {
            write(row["key"].asString(), row["value"].asString(),
                  row["lease"].asUInt64());
        }
        for (const auto& key : call["deletes"]) {
            erase(key.asString());
        }
        changed_.notify_all();
        body["revision"] = Json::UInt64{revision_};
        return 200;
    }

    server server_;
    std::uint16_t port_{0};
    std::mutex mutex_;
    std::condition_variable changed_;
    std::uint64_t revision_{10};
    std::uint64_t last_lease_{100};
    std::map<std::string, entry> entries_;
    std::vector<change> history_;
    std::map<std::uint64_t, lease> leases_;
};

// ---------------------------------------------------------------- processes

/// The local ports of the TCP sockets of a process.
inline std::set<std::uint16_t> ports_of(pid_t process) {
    const auto directory = "/proc/" + std::to_string(process);
    std::set<std::string> inodes;
    DIR* const fds = ::opendir((directory + "/fd").c_str());
    while (fds != nullptr) {
        const auto* each = ::readdir(fds);
        if (each == nullptr) {
            break;
        }
        char link[64]{};
        const auto path = directory + "/fd/" + each->d_name;
        const auto n = ::readlink(path.c_str(), link, sizeof link - 1);
        const std::string text(link, n > 0 ? static_cast<std::size_t>(n) : 0);
        if (text.rfind("socket:[", 0) == 0) {
            inodes.insert(text.substr(8, text.size() - 9));
        }
    }
    if (fds != nullptr) {
        ::closedir(fds);
    }
    std::set<std::uint16_t> ports;
    std::ifstream table{directory + "/net/tcp"};
    std::string line;
    std::getline(table, line);
    while (std::getline(table, line)) {
        char local[32]{};
        char inode[32]{};
        if (std::sscanf(line.c_str(),
                        "%*s %31s %*s %*s %*s %*s %*s %*s %*s %31s", local,
                        inode) == 2 &&
            inodes.count(inode) > 0) {
            const char* const colon = std::strchr(local, ':');
            ports.insert(static_cast<std::uint16_t>(
                std::strtoul(colon + 1, nullptr, 16)));
        }
    }
    return ports;
}

struct gateway {
    std::string name_;
    std::string zone_;
    std::uint16_t traffic_{0};
    std::uint16_t ready_{0};
    std::uint16_t directory_{0};
    std::uint16_t control_{0};
    std::uint16_t metrics_{0};
    pid_t pid_{0};
};

inline std::string address_of(std::uint16_t port) {
    return "127.0.0.1:" + std::to_string(port);
}

class fleet {
public:
    explicit fleet(std::size_t count) {
        char path[] = "/tmp/review-XXXXXX";
        directory_ = ::mkdtemp(path);
        for (std::size_t i = 0; i < count; ++i) {
            gateway each;
            each.name_ = "front-" + std::to_string(i);
            each.zone_ = std::string{"zone-"} + static_cast<char>('a' + i % 3);
            each.traffic_ = free_port();
            each.ready_ = free_port();
            each.directory_ = free_port();
            each.control_ = free_port();
            each.metrics_ = free_port();
            gateways_.push_back(each);
        }
    }
    ~fleet() {
        for (auto& each : gateways_) {
            end(each);
        }
        if (std::getenv("KEEP") == nullptr) {
            for (const auto& each : gateways_) {
                ::unlink((directory_ + "/" + each.name_ + ".json").c_str());
                ::unlink((directory_ + "/" + each.name_ + ".log").c_str());
            }
            ::rmdir(directory_.c_str());
        }
    }
    std::vector<gateway>& gateways() { return gateways_; }
    const std::string& directory() const { return directory_; }
    std::string log_of(const gateway& each) const {
        std::ifstream in{directory_ + "/" + each.name_ + ".log"};
        std::ostringstream text;
        text << in.rdbuf();
        return text.str();
    }

    /// The file that the platform makes of deploy/settings.json.
    void write_settings(const gateway& own, std::uint16_t store_port,
                        const Json::Value& quotas = {}) const {
        Json::Value s;
        s["name"] = own.name_;
        s["failure_domain"] = own.zone_;
        s["region"] = "region";
        s["traffic_address"] = address_of(own.traffic_);
        s["readiness_address"] = address_of(own.ready_);
        s["directory_address"] = address_of(own.directory_);
        s["peer_address"] = address_of(own.control_);
        s["metrics_address"] = address_of(own.metrics_);
        s["peers"] = Json::Value{Json::arrayValue};
        for (std::size_t i = 0; i < gateways_.size() && i < 3; ++i) {
            s["peers"].append(address_of(gateways_[i].control_));
        }
        s["store_address"] = address_of(store_port);
        s["fleet_key"] =
            "70696d656e746f6665727279207065657273206f66206f6e6520666c65657421";
        s["processor_share"] = 0.25;
        s["link_mbps"] = 1000.0;
        s["memory_mb"] = 260;
        s["drain_limit_s"] = 8;
        s["address_ttl_s"] = 5;
        s["call_placement"] = "auto";
        if (!quotas.isNull()) {
            s["quotas"] = quotas;
        }
        s["retries"]["ratio"] = 0.2;
        s["retries"]["constant"] = 56;
        s["retries"]["window_s"] = 10;
        std::ofstream{directory_ + "/" + own.name_ + ".json"} << to_json(s);
    }
    void start(gateway& own) const {
        const char* const chosen = std::getenv("PROGRAM");
        const std::string program =
            chosen != nullptr ? chosen : "target/pimentoferry/cli/pimentoferry";
        const auto settings = directory_ + "/" + own.name_ + ".json";
        const auto log = directory_ + "/" + own.name_ + ".log";
        const pid_t child = ::fork();
        if (child == 0) {
            // No gateway outlives this process, whatever ends it.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out =
                ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            ::setenv("PIMENTOFERRY_SETTINGS", settings.c_str(), 1);
            ::execl(program.c_str(), program.c_str(), "gateway", nullptr);
            ::_exit(127);
        }
        own.pid_ = child;
    }
    static void signal(const gateway& own, int number) {
        if (own.pid_ > 0) {
            ::kill(own.pid_, number);
        }
    }
    static void end(gateway& own) {
        if (own.pid_ > 0) {
            ::kill(own.pid_, SIGKILL);
            ::kill(own.pid_, SIGCONT);
            ::waitpid(own.pid_, nullptr, 0);
            own.pid_ = 0;
        }
    }

private:
    std::string directory_;
    std::vector<gateway> gateways_;
};

// ---------------------------------------------------------------- client

struct outcome {
    int status_{0}; ///< 0: no answer.
    message answer_;
    bool timed_out_{false};
};

/// A client that keeps its connection for many requests.
class client {
public:
    explicit client(std::uint16_t port) : port_(port) {}
    client(const client&) = delete;
    client& operator=(const client&) = delete;
    ~client() { close(); }

    outcome call(const std::string& method, const std::string& target,
                 const std::string& id, long deadline_ms,
                 const std::string& body = {},
                 const std::vector<std::pair<std::string, std::string>>&
                     fields = {}) {
        outcome result;
        if (fd_ < 0) {
            fd_ = connect_to(port_);
            in_ = std::make_unique<reader>(fd_);
        }
        if (fd_ < 0) {
            return result;
        }
        std::string text = method + " " + target +
                           " HTTP/1.1\r\nHost: host.example\r\n"
                           "X-Request-Id: " +
                           id + "\r\nX-Deadline-Ms: " +
                           std::to_string(deadline_ms) + "\r\n";
        for (const auto& [name, value] : fields) {
            text += name + ": " + value + "\r\n";
        }
        if (method != "GET") {
            text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        }
        text += "\r\n" + body;
        if (send_all(fd_, text) &&
            in_->read(result.answer_, steady::now() + ms{deadline_ms + 500})) {
            result.status_ = result.answer_.status();
        }
        result.timed_out_ = in_->timed_out();
        if (result.status_ == 0 ||
            result.answer_.field("Connection") == "close") {
            close();
        }
        return result;
    }
    void close() {
        if (fd_ >= 0) {
            ::close(fd_);
        }
        fd_ = -1;
    }

private:
    std::uint16_t port_;
    int fd_{-1};
    std::unique_ptr<reader> in_;
};

/// Sends one request on a new connection and reads the whole answer.
inline outcome call(std::uint16_t port, const std::string& method,
                    const std::string& target, const std::string& id,
                    long deadline_ms, const std::string& body = {},
                    const std::vector<std::pair<std::string, std::string>>&
                        fields = {}) {
    client once{port};
    return once.call(method, target, id, deadline_ms, body, fields);
}

inline bool is_ready(const gateway& each) {
    return call(each.ready_, "GET", "/api/readiness", "ready", 500).status_ ==
           200;
}

inline bool wait_until(const std::function<bool()>& holds, long limit_ms) {
    const auto until = steady::now() + ms{limit_ms};
    while (steady::now() < until) {
        if (holds()) {
            return true;
        }
        pause_ms(20);
    }
    return holds();
}

} // namespace review

#endif
