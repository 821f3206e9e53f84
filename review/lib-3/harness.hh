// Stand-ins of the platform for the scripts of review 3: its store, replicas,
// clients, and the gateways as separate processes. One thread per connection.
#ifndef REVIEW_3_HARNESS_HH
#define REVIEW_3_HARNESS_HH

#include <jsoncpp/json/json.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using clock = std::chrono::steady_clock;
using ms = std::chrono::milliseconds;

inline void sleep_ms(int time) {
    std::this_thread::sleep_for(ms{time});
}

inline std::int64_t unix_ms() {
    return std::chrono::duration_cast<ms>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// Lines with the time since the start, written to `record.txt` at the end.
class record {
public:
    void line(const std::string& text) {
        const std::lock_guard guard{mutex_};
        const auto at =
            std::chrono::duration_cast<ms>(clock::now() - start_).count();
        std::ostringstream out;
        out.setf(std::ios::fixed);
        out.precision(3);
        out << at / 1000.0 << " " << text;
        lines_.push_back(out.str());
    }
    void write(const std::string& path) {
        const std::lock_guard guard{mutex_};
        std::ofstream file{path};
        for (const auto& each : lines_) {
            file << each << "\n";
        }
    }

private:
    std::mutex mutex_;
    clock::time_point start_{clock::now()};
    std::vector<std::string> lines_;
};

inline record& the_record() {
    static record made;
    return made;
}
inline void note(const std::string& text) {
    the_record().line(text);
}

struct message {
    std::string start_; ///< Request or status line.
    std::vector<std::pair<std::string, std::string>> fields_;
    std::string body_;

    std::string field(const std::string& name) const {
        for (const auto& [key, value] : fields_) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0) {
                return value;
            }
        }
        return "";
    }
    std::string word(int number) const {
        std::istringstream in{start_};
        std::string text;
        for (int i = 0; i <= number; ++i) {
            text.clear();
            in >> text;
        }
        return text;
    }
    std::string path() const {
        const auto target = word(1);
        return target.substr(0, target.find('?'));
    }
    int status() const { return std::atoi(word(1).c_str()); }
};

/// A connected socket with a buffer of received bytes.
class conn {
public:
    explicit conn(int fd = -1) : fd_(fd) {}
    conn(const conn&) = delete;
    conn& operator=(const conn&) = delete;
    ~conn() { close(); }

    int fd() const { return fd_; }
    void close() {
        if (fd_ >= 0) {
            ::close(fd_);
            fd_ = -1;
        }
    }
    /// Ends the connection with a reset.
    void reset() {
        const linger hard{1, 0};
        ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
        close();
    }
    bool send(const std::string& bytes) {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const auto size = ::send(fd_, bytes.data() + sent,
                                     bytes.size() - sent, MSG_NOSIGNAL);
            if (size <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(size);
        }
        return true;
    }
    /// Reads more bytes; 0 at the end, -1 at an error, -2 at the time limit.
    int fill(clock::time_point until) {
        const auto left =
            std::chrono::duration_cast<ms>(until - clock::now()).count();
        pollfd waited{fd_, POLLIN, 0};
        if (::poll(&waited, 1, static_cast<int>(std::max<long>(left, 0))) <=
            0) {
            return -2;
        }
        char bytes[16384];
        const auto size = ::recv(fd_, bytes, sizeof bytes, 0);
        if (size > 0) {
            buffer_.append(bytes, static_cast<std::size_t>(size));
        }
        last_errno_ = size < 0 ? errno : 0;
        return static_cast<int>(size);
    }
    bool readable() {
        pollfd waited{fd_, POLLIN, 0};
        return ::poll(&waited, 1, 0) > 0;
    }
    /// Whether the peer has closed the connection.
    bool closed() {
        char byte = 0;
        const auto size = ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return size == 0 || (size < 0 && errno != EAGAIN);
    }

    std::optional<message> read_head(clock::time_point until) {
        std::size_t end = 0;
        while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
            if (fill(until) <= 0) {
                return std::nullopt;
            }
        }
        message read;
        std::istringstream lines{buffer_.substr(0, end)};
        buffer_.erase(0, end + 4);
        std::string line;
        std::getline(lines, line);
        read.start_ = line.substr(0, line.find('\r'));
        while (std::getline(lines, line)) {
            line = line.substr(0, line.find('\r'));
            const auto colon = line.find(':');
            const auto value = line.find_first_not_of(" \t", colon + 1);
            read.fields_.emplace_back(
                line.substr(0, colon),
                value == std::string::npos ? "" : line.substr(value));
        }
        return read;
    }
    bool read_body(message& read, clock::time_point until) {
        if (read.field("Transfer-Encoding") == "chunked") {
            return read_chunks(read, until);
        }
        const auto length =
            std::strtoull(read.field("Content-Length").c_str(), nullptr, 10);
        while (buffer_.size() < length) {
            if (fill(until) <= 0) {
                return false;
            }
        }
        read.body_ = buffer_.substr(0, length);
        buffer_.erase(0, length);
        return true;
    }
    /// The next chunk; empty at the last one, none if the connection ends.
    std::optional<std::string> read_chunk(clock::time_point until) {
        std::size_t end = 0;
        while ((end = buffer_.find("\r\n")) == std::string::npos) {
            if (fill(until) <= 0) {
                return std::nullopt;
            }
        }
        const auto size = std::strtoull(buffer_.c_str(), nullptr, 16);
        while (buffer_.size() < end + 2 + size + 2) {
            if (fill(until) <= 0) {
                return std::nullopt;
            }
        }
        auto chunk = buffer_.substr(end + 2, size);
        buffer_.erase(0, end + 2 + size + 2);
        return chunk;
    }
    std::optional<message> read(clock::time_point until) {
        auto head = read_head(until);
        if (head && !read_body(*head, until)) {
            return std::nullopt;
        }
        return head;
    }
    std::string buffer_;
    int last_errno_{0};

private:
    bool read_chunks(message& read, clock::time_point until) {
        while (true) {
            const auto chunk = read_chunk(until);
            if (!chunk) {
                return false;
            }
            if (chunk->empty()) {
                return true;
            }
            read.body_ += *chunk;
        }
    }
    int fd_;
};

inline sockaddr_in address_of(int port) {
    sockaddr_in made{};
    made.sin_family = AF_INET;
    made.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    made.sin_port = htons(static_cast<std::uint16_t>(port));
    return made;
}

inline int connect_to(int port, int receive_buffer = 0) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receive_buffer > 0) {
        ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                     sizeof receive_buffer);
    }
    const auto address = address_of(port);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&address),
                  sizeof address) != 0) {
        ::close(fd);
        return -1;
    }
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

inline std::string response(int status,
                            const std::string& fields,
                            const std::string& body) {
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Listens on a loopback port and serves each connection in a thread.
class listener {
public:
    using handler = std::function<void(conn&)>;
    explicit listener(handler serve, int port = 0) : serve_(std::move(serve)) {
        open(port);
    }
    ~listener() { stop(); }
    int port() const { return port_; }
    bool open(int port) {
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        auto address = address_of(port);
        if (::bind(fd_, reinterpret_cast<sockaddr*>(&address),
                   sizeof address) != 0 ||
            ::listen(fd_, 512) != 0) {
            ::close(fd_);
            fd_ = -1;
            return false;
        }
        socklen_t size = sizeof address;
        ::getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
        port_ = ntohs(address.sin_port);
        thread_ = std::thread{[this, fd = fd_] {
            while (true) {
                const int accepted =
                    ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0) {
                    return;
                }
                const int on = 1;
                ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on,
                             sizeof on);
                auto state = state_;
                {
                    const std::lock_guard guard{state->mutex_};
                    state->open_.insert(accepted);
                }
                std::thread{[accepted, state, serve = serve_] {
                    conn made{accepted};
                    serve(made);
                    const std::lock_guard guard{state->mutex_};
                    state->open_.erase(accepted);
                }}.detach();
            }
        }};
        return true;
    }
    /// Stops listening and shuts all connections down, as when a process ends.
    void stop() {
        if (fd_ >= 0) {
            ::shutdown(fd_, SHUT_RDWR);
            ::close(fd_);
            thread_.join();
            fd_ = -1;
        }
        const std::lock_guard guard{state_->mutex_};
        for (const int each : state_->open_) {
            ::shutdown(each, SHUT_RDWR);
        }
    }

private:
    struct shared {
        std::mutex mutex_;
        std::set<int> open_;
    };
    handler serve_;
    std::shared_ptr<shared> state_{std::make_shared<shared>()};
    std::thread thread_;
    int fd_{-1};
    int port_{0};
};

inline std::string to_base64(const std::string& bytes) {
    static const char digits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            group = group << 8U |
                    (i + k < bytes.size()
                         ? static_cast<unsigned char>(bytes[i + k])
                         : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            text += i + k <= bytes.size() ? digits[group >> (18 - 6 * k) & 63U]
                                          : '=';
        }
    }
    return text;
}

inline std::string to_json(const Json::Value& value) {
    Json::StreamWriterBuilder settings;
    settings["indentation"] = "";
    return Json::writeString(settings, value);
}

inline Json::Value from_json(const std::string& text) {
    Json::Value value;
    std::istringstream in{text};
    std::string errors;
    Json::parseFromStream(Json::CharReaderBuilder{}, in, &value, &errors);
    return value;
}

inline std::map<std::string, std::string> query_of(const std::string& target) {
    std::map<std::string, std::string> found;
    const auto start = target.find('?');
    if (start == std::string::npos) {
        return found;
    }
    std::istringstream pairs{target.substr(start + 1)};
    std::string pair;
    while (std::getline(pairs, pair, '&')) {
        const auto equals = pair.find('=');
        std::string value;
        for (std::size_t i = equals + 1; i < pair.size(); ++i) {
            if (pair[i] == '%') {
                value += static_cast<char>(
                    std::strtol(pair.substr(i + 1, 2).c_str(), nullptr, 16));
                i += 2;
            } else {
                value += pair[i];
            }
        }
        found[pair.substr(0, equals)] = value;
    }
    return found;
}

/// The platform's store: values are kept as base64 text.
class store {
public:
    store() : listener_([this](conn& peer) { serve(peer); }) {}
    int port() const { return listener_.port(); }

    std::uint64_t put(const std::string& key, const std::string& bytes) {
        const std::lock_guard guard{mutex_};
        const auto at = write(key, to_base64(bytes), 0);
        changed_.notify_all();
        return at;
    }
    void remove(const std::string& key) {
        const std::lock_guard guard{mutex_};
        erase(key);
        changed_.notify_all();
    }
    /// Called with key and holder value of each conditional write that held.
    std::function<void(const std::string&)> on_write_;

private:
    struct item {
        std::string value_;
        std::uint64_t revision_{0};
        std::uint64_t created_{0};
        std::uint64_t lease_{0};
    };
    struct change {
        std::string key_;
        item item_;
        bool deleted_{false};
        std::uint64_t revision_{0};
    };

    std::uint64_t
    write(const std::string& key, std::string value, std::uint64_t lease) {
        auto& each = items_[key];
        each.revision_ = ++revision_;
        each.created_ = each.created_ != 0 ? each.created_ : revision_;
        each.value_ = std::move(value);
        each.lease_ = lease;
        changes_.push_back({key, each, false, revision_});
        return revision_;
    }
    void erase(const std::string& key) {
        if (items_.erase(key) > 0) {
            changes_.push_back({key, {}, true, ++revision_});
        }
    }
    void expire() {
        const auto now = clock::now();
        for (auto at = leases_.begin(); at != leases_.end();) {
            if (at->second.first > now) {
                ++at;
                continue;
            }
            end_lease(at->first);
            at = leases_.erase(at);
        }
    }
    void end_lease(std::uint64_t lease) {
        std::vector<std::string> keys;
        for (const auto& [key, each] : items_) {
            if (each.lease_ == lease) {
                keys.push_back(key);
            }
        }
        for (const auto& key : keys) {
            erase(key);
        }
    }
    static Json::Value row(const std::string& key, const item& each) {
        Json::Value made;
        made["key"] = key;
        made["value"] = each.value_;
        made["revision"] = static_cast<Json::UInt64>(each.revision_);
        made["created"] = static_cast<Json::UInt64>(each.created_);
        made["lease"] = static_cast<Json::UInt64>(each.lease_);
        return made;
    }
    static void answer(conn& peer, int status, const Json::Value& body) {
        peer.send(response(status, "Content-Type: application/json\r\n",
                           to_json(body)));
    }
    void serve(conn& peer) {
        while (auto call =
                   peer.read(clock::now() + std::chrono::seconds{60})) {
            handle(peer, *call);
        }
    }
    void handle(conn& peer, const message& call) {
        const auto path = call.path();
        auto query = query_of(call.word(1));
        std::unique_lock guard{mutex_};
        expire();
        Json::Value body{Json::objectValue};
        int status = 200;
        if (path == "/api/kv-key") {
            const auto found = items_.find(query["key"]);
            status = found == items_.end() ? 404 : 200;
            if (status == 200) {
                body = row(found->first, found->second);
            }
            body["store_revision"] = static_cast<Json::UInt64>(revision_);
        } else if (path == "/api/kv-range") {
            body["items"] = Json::Value{Json::arrayValue};
            std::size_t bytes = 0;
            body["truncated"] = false;
            for (const auto& [key, each] : items_) {
                if (!key.starts_with(query["path_prefix"]) ||
                    key <= query["after"]) {
                    continue;
                }
                if (body["items"].size() >= 500 || bytes > 1'000'000) {
                    body["truncated"] = true;
                    break;
                }
                bytes += each.value_.size();
                body["items"].append(row(key, each));
            }
            body["store_revision"] = static_cast<Json::UInt64>(revision_);
        } else if (path == "/api/kv-watch") {
            const auto until =
                clock::now() + ms{std::atoi(query["wait_ms"].c_str())};
            const auto after = std::strtoull(query["after"].c_str(), nullptr, 10);
            const auto is_new = [&] {
                return !changes_.empty() && changes_.back().revision_ > after;
            };
            while (!is_new() && clock::now() < until) {
                changed_.wait_until(guard, until);
                expire();
            }
            body["events"] = Json::Value{Json::arrayValue};
            for (const auto& each : changes_) {
                if (each.revision_ <= after ||
                    !each.key_.starts_with(query["path_prefix"])) {
                    continue;
                }
                if (each.deleted_) {
                    Json::Value gone;
                    gone["key"] = each.key_;
                    gone["revision"] = static_cast<Json::UInt64>(each.revision_);
                    gone["deleted"] = true;
                    body["events"].append(gone);
                } else {
                    body["events"].append(row(each.key_, each.item_));
                }
            }
            body["store_revision"] = static_cast<Json::UInt64>(revision_);
        } else if (path == "/api/kv-txn") {
            const auto asked = from_json(call.body_);
            for (const auto& each : asked["expected"]) {
                const auto found = items_.find(each["key"].asString());
                const auto at =
                    found == items_.end() ? 0 : found->second.revision_;
                status = at != each["revision"].asUInt64() ? 412 : status;
            }
            if (status == 412) {
                body["items"] = Json::Value{Json::arrayValue};
                for (const auto& each : asked["expected"]) {
                    const auto found = items_.find(each["key"].asString());
                    if (found != items_.end()) {
                        body["items"].append(row(found->first, found->second));
                    }
                }
            } else {
                for (const auto& each : asked["writes"]) {
                    write(each["key"].asString(), each["value"].asString(),
                          each["lease"].asUInt64());
                    if (on_write_) {
                        on_write_(each["key"].asString());
                    }
                }
                for (const auto& each : asked["deletes"]) {
                    erase(each.asString());
                }
                body["revision"] = static_cast<Json::UInt64>(revision_);
                changed_.notify_all();
            }
        } else if (path == "/api/kv-lease") {
            const auto ttl = from_json(call.body_)["ttl_ms"].asInt64();
            leases_[++last_lease_] = {clock::now() + ms{ttl}, ms{ttl}};
            body["lease"] = static_cast<Json::UInt64>(last_lease_);
            body["ttl_ms"] = static_cast<Json::Int64>(ttl);
        } else if (path.starts_with("/api/kv-keep/")) {
            const auto found =
                leases_.find(std::strtoull(path.c_str() + 13, nullptr, 10));
            status = found == leases_.end() ? 404 : 200;
            if (status == 200) {
                found->second.first = clock::now() + found->second.second;
            }
        } else if (path.starts_with("/api/kv-lease-end/")) {
            const auto lease = std::strtoull(path.c_str() + 18, nullptr, 10);
            end_lease(lease);
            status = leases_.erase(lease) > 0 ? 200 : 404;
            changed_.notify_all();
        } else {
            status = 404;
        }
        guard.unlock();
        answer(peer, status, body);
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, item> items_;
    std::vector<change> changes_;
    std::map<std::uint64_t, std::pair<clock::time_point, ms>> leases_;
    std::uint64_t revision_{100};
    std::uint64_t last_lease_{0};
    listener listener_;
};

/// A process that the test started.
class process {
public:
    process() = default;
    process(const process&) = delete;
    process& operator=(const process&) = delete;
    ~process() { kill_and_wait(); }
    void start(const std::vector<std::string>& words,
               const std::vector<std::pair<std::string, std::string>>& variables,
               const std::string& log) {
        pid_ = ::fork();
        if (pid_ == 0) {
            const int out =
                ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            for (const auto& [name, value] : variables) {
                ::setenv(name.c_str(), value.c_str(), 1);
            }
            std::vector<char*> arguments;
            for (const auto& word : words) {
                arguments.push_back(const_cast<char*>(word.c_str()));
            }
            arguments.push_back(nullptr);
            ::execv(arguments[0], arguments.data());
            ::_exit(127);
        }
    }
    pid_t pid() const { return pid_; }
    void signal(int number) const {
        if (pid_ > 0) {
            ::kill(pid_, number);
        }
    }
    bool running() {
        if (pid_ <= 0) {
            return false;
        }
        int status = 0;
        if (::waitpid(pid_, &status, WNOHANG) == pid_) {
            status_ = status;
            pid_ = -1;
            return false;
        }
        return true;
    }
    void kill_and_wait() {
        if (pid_ > 0) {
            ::kill(pid_, SIGKILL);
            ::kill(pid_, SIGCONT);
            ::waitpid(pid_, &status_, 0);
            pid_ = -1;
        }
    }
    int status_{0};

private:
    pid_t pid_{-1};
};

inline std::vector<int> free_ports(std::size_t count) {
    std::vector<int> ports;
    static int next = 12000 + ::getpid() * 131 % 17000;
    while (ports.size() < count) {
        next = next >= 30000 ? 12000 : next + 1;
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto address = address_of(next);
        if (::bind(fd, reinterpret_cast<const sockaddr*>(&address),
                   sizeof address) == 0) {
            ports.push_back(next);
        }
        ::close(fd);
    }
    return ports;
}

inline std::string loopback(int port) {
    return "127.0.0.1:" + std::to_string(port);
}

/// A gateway, with the fields that `deploy/settings.json` fills in.
struct gateway {
    std::string name_;
    std::string zone_;
    int front_{0};
    int ready_{0};
    int directory_{0};
    int control_{0};
    int metrics_{0};
    std::string settings_path_;
    std::string log_path_;
    process process_;

    void start() {
        process_.start({"target/pimentoferry/cli/pimentoferry", "gateway"},
                       {{"PIMENTOFERRY_SETTINGS", settings_path_}}, log_path_);
    }
    bool is_ready() const {
        conn made{connect_to(ready_)};
        if (made.fd() < 0 ||
            !made.send("GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n")) {
            return false;
        }
        const auto answer = made.read(clock::now() + std::chrono::seconds{1});
        return answer && answer->status() == 200;
    }
    std::string log() const {
        std::ifstream in{log_path_};
        std::stringstream text;
        text << in.rdbuf();
        return text.str();
    }
};

class fleet {
public:
    explicit fleet(std::size_t count) {
        char name[] = "/tmp/pf-review-XXXXXX";
        directory_ = ::mkdtemp(name);
        const std::vector<std::string> zones{"zona-norte", "zona-centro",
                                             "zona-sur"};
        for (std::size_t i = 0; i < count; ++i) {
            const auto ports = free_ports(5);
            auto made = std::make_unique<gateway>();
            made->name_ = "front-" + std::to_string(i + 1);
            made->zone_ = zones[i % zones.size()];
            made->front_ = ports[0];
            made->ready_ = ports[1];
            made->directory_ = ports[2];
            made->control_ = ports[3];
            made->metrics_ = ports[4];
            made->settings_path_ = directory_ + "/" + made->name_ + ".json";
            made->log_path_ = directory_ + "/" + made->name_ + ".log";
            gateways_.push_back(std::move(made));
        }
    }
    ~fleet() { end(); }
    /// Kills all gateways and removes their files.
    void end() {
        gateways_.clear();
        if (std::getenv("KEEP_FILES") == nullptr) {
            std::filesystem::remove_all(directory_);
        }
    }
    gateway& operator[](std::size_t i) { return *gateways_.at(i); }
    std::size_t size() const { return gateways_.size(); }
    const std::string& directory() const { return directory_; }

    /// `extra`: further fields of the settings.
    void write_settings(std::size_t i,
                        int store_port,
                        double grace_s = 8,
                        const Json::Value& extra = Json::Value{Json::objectValue}) {
        const auto& own = *gateways_.at(i);
        Json::Value made;
        made["name"] = own.name_;
        made["failure_domain"] = own.zone_;
        made["region"] = "limametro";
        made["traffic_address"] = loopback(own.front_);
        made["readiness_address"] = loopback(own.ready_);
        made["directory_address"] = loopback(own.directory_);
        made["peer_address"] = loopback(own.control_);
        made["metrics_address"] = loopback(own.metrics_);
        made["peers"] = Json::Value{Json::arrayValue};
        for (std::size_t k = 0; k < std::min<std::size_t>(3, size()); ++k) {
            made["peers"].append(loopback(gateways_[k]->control_));
        }
        made["store_address"] = loopback(store_port);
        made["fleet_key"] = "70696d656e746f6665727279207065657273206f66206f6e65"
                            "20666c65657421";
        made["processor_share"] = 0.25;
        made["link_mbps"] = 1000.0;
        made["memory_mb"] = 260;
        made["drain_limit_s"] = grace_s;
        made["address_ttl_s"] = 5;
        made["call_placement"] = "auto";
        made["retries"]["ratio"] = 0.2;
        made["retries"]["constant"] = 56;
        made["retries"]["window_s"] = 10;
        for (const auto& name : extra.getMemberNames()) {
            made[name] = extra[name];
        }
        std::ofstream{own.settings_path_} << to_json(made);
    }
    bool wait_ready(int limit_s = 20) {
        const auto until = clock::now() + std::chrono::seconds{limit_s};
        for (auto& each : gateways_) {
            while (!each->is_ready()) {
                if (clock::now() > until) {
                    return false;
                }
                sleep_ms(50);
            }
        }
        return true;
    }

private:
    std::string directory_;
    std::vector<std::unique_ptr<gateway>> gateways_;
};

/// Ends the test at once: threads of stand-ins may still use their objects.
[[noreturn]] inline void
finish(fleet& gateways, int code, const std::string& record_path) {
    gateways.end();
    the_record().write(record_path);
    std::fflush(nullptr);
    std::_Exit(code);
}

/// A route of the configuration, as on the sheet of abp-lima.
inline Json::Value route(const std::string& name,
                         const std::string& prefix,
                         const std::string& kind,
                         const std::string& service,
                         int timeout_ms,
                         int target_ms,
                         int attempts) {
    Json::Value made;
    made["name"] = name;
    made["host"] = "ficu95.example";
    made["path_prefix"] = prefix;
    made["kind"] = kind;
    made["service"] = service;
    made["timeout_ms"] = timeout_ms;
    made["target_latency_ms"] = target_ms;
    made["max_attempts"] = attempts;
    made["priority"] = kind == "streaming" ? 1 : 2;
    if (kind == "streaming") {
        made["target_gap_ms"] = 300;
        made["session_affinity"] = true;
    }
    return made;
}

inline Json::Value configuration(std::uint64_t version) {
    Json::Value made;
    made["version"] = static_cast<Json::UInt64>(version);
    auto resumable = route("avaluo-bolso", "/avaluo/", "streaming",
                           "peritaje-lm", 14000, 900, 2);
    resumable["resumable"] = true;
    made["routes"].append(resumable);
    made["routes"].append(route("historia-bolso", "/historia/", "streaming",
                                "peritaje-lm", 14000, 900, 1));
    made["routes"].append(
        route("emite-cert", "/emite/", "unsafe", "cert-app", 1000, 100, 1));
    made["routes"].append(
        route("lee-cert", "/lee/", "safe", "cert-app", 1000, 100, 2));
    Json::Value models;
    models["name"] = "peritaje-lm";
    models["health_check_path"] = "/health";
    models["max_connections"] = 370;
    models["engine"]["slots"] = 64;
    models["engine"]["kv_tokens"] = 107085;
    models["engine"]["kv_token_bytes"] = 163840;
    models["engine"]["stride"] = 72;
    models["engine"]["handle_ttl_s"] = 0.5;
    models["engine"]["stage_switch_s"] = 6.0;
    models["engine"]["hold_ms"] = 2000.0;
    made["services"].append(models);
    Json::Value plain;
    plain["name"] = "cert-app";
    plain["health_check_path"] = "/health";
    plain["max_connections"] = 110;
    made["services"].append(plain);
    made["limits"]["header_bytes"] = 16384;
    made["limits"]["body_bytes"] = 4194304;
    made["limits"]["header_timeout_ms"] = 3000;
    made["limits"]["idle_timeout_ms"] = 15000;
    return made;
}

/// What a replica says of itself in the store.
struct entry {
    std::string id_;
    std::string service_;
    std::string zone_{"zona-norte"};
    std::string stage_; ///< Empty for a plain service.
    std::string version_{"v1"};
    std::int64_t born_{unix_ms()};
    int slots_{64};
    int port_{0};

    std::string text(const std::string& state, int sequence) const {
        Json::Value made;
        made["service"] = service_;
        made["address"] = loopback(port_);
        made["zone"] = zone_;
        made["version"] = version_;
        made["slots"] = slots_;
        made["state"] = state;
        made["cold_remaining_ms"] = 0;
        made["sequence"] = sequence;
        made["born"] = static_cast<Json::Int64>(born_);
        if (!stage_.empty()) {
            made["stage"] = stage_;
        }
        return to_json(made);
    }
};

} // namespace review

#endif
