// Stand-ins for the review's scripts: the platform's store, replicas, callers,
// and a gateway as a separate process. Loopback addresses only; one thread for
// each connection; needs a C++20 compiler and POSIX, no library.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace world {

using steady = std::chrono::steady_clock;
using ms = std::chrono::milliseconds;

inline const steady::time_point process_began = steady::now();
inline long elapsed_ms() {
    return std::chrono::duration_cast<ms>(steady::now() - process_began)
        .count();
}
inline void sleep_ms(long time) {
    std::this_thread::sleep_for(ms{time});
}

// --- record -----------------------------------------------------------------

inline std::mutex record_mutex;
inline std::FILE* record_file = nullptr;
inline void record(const char* format, ...) {
    const std::lock_guard lock{record_mutex};
    if (record_file == nullptr) {
        return;
    }
    std::fprintf(record_file, "%7ld ms  ", elapsed_ms());
    va_list list;
    va_start(list, format);
    std::vfprintf(record_file, format, list);
    va_end(list);
    std::fputc('\n', record_file);
    std::fflush(record_file);
}

// --- sockets ----------------------------------------------------------------

inline sockaddr_in loopback(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// A listening socket on a free port.
inline int listen_any(int& port, int backlog = 1024) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto address = loopback(port);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(fd, backlog) != 0) {
        ::close(fd);
        return -1;
    }
    socklen_t size = sizeof address;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    port = ntohs(address.sin_port);
    return fd;
}

/// Ports that were free a moment ago, below the range for outgoing connections.
inline std::vector<int> free_ports(std::size_t count) {
    std::vector<int> found;
    static int next = 12000 + (::getpid() * 37) % 15000;
    while (found.size() < count) {
        next = next >= 30000 ? 12000 : next + 1;
        int port = next;
        const int fd = listen_any(port);
        if (fd >= 0) {
            ::close(fd);
            found.push_back(port);
        }
    }
    return found;
}

struct field {
    std::string name, value;
};
struct message {
    std::string start; ///< Request or status line.
    std::vector<field> fields;
    std::string body;
    bool complete = false; ///< The whole message has been read.
    std::string get(const std::string& name) const {
        for (const auto& f : fields) {
            if (::strcasecmp(f.name.c_str(), name.c_str()) == 0) {
                return f.value;
            }
        }
        return {};
    }
    std::string word(int n) const {
        std::istringstream words{start};
        std::string word;
        for (int i = 0; i <= n; ++i) {
            word.clear();
            words >> word;
        }
        return word;
    }
    int status() const { return std::atoi(word(1).c_str()); }
};

class connection {
public:
    explicit connection(int fd) : fd_(fd) {
        const int on = 1;
        ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    connection(const connection&) = delete;
    ~connection() { close(); }
    static std::unique_ptr<connection> open(int port) {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto address = loopback(port);
        if (::connect(fd, reinterpret_cast<sockaddr*>(&address),
                      sizeof address) != 0) {
            ::close(fd);
            return nullptr;
        }
        return std::make_unique<connection>(fd);
    }
    int fd() const { return fd_; }
    void close() {
        if (fd_ >= 0) {
            ::close(fd_);
            fd_ = -1;
        }
    }
    bool send(const std::string& bytes) {
        std::size_t done = 0;
        while (done < bytes.size()) {
            const auto n = ::send(fd_, bytes.data() + done,
                                  bytes.size() - done, MSG_NOSIGNAL);
            if (n <= 0) {
                return false;
            }
            done += static_cast<std::size_t>(n);
        }
        return true;
    }
    /// False at the end of the connection (`ended()`) or at the time limit.
    bool fill(long limit_ms) {
        pollfd wait{fd_, POLLIN, 0};
        if (::poll(&wait, 1, static_cast<int>(std::max(0L, limit_ms))) <= 0) {
            return false;
        }
        char bytes[65536];
        const auto n = ::recv(fd_, bytes, sizeof bytes, 0);
        if (n <= 0) {
            ended_ = n == 0 ? "closed" : std::strerror(errno);
            return false;
        }
        buffer_.append(bytes, static_cast<std::size_t>(n));
        return true;
    }
    const std::string& ended() const { return ended_; }
    std::string& buffer() { return buffer_; }

    /// Reads a message whose body has a length, is chunked, or is absent.
    message read(long limit_ms, bool is_response) {
        const auto until = steady::now() + ms{limit_ms};
        const auto left = [&] {
            return std::chrono::duration_cast<ms>(until - steady::now())
                .count();
        };
        message m;
        std::size_t end;
        while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(left())) {
                return m;
            }
        }
        std::istringstream head{buffer_.substr(0, end)};
        buffer_.erase(0, end + 4);
        std::string line;
        std::getline(head, line);
        m.start = line.substr(0, line.find('\r'));
        while (std::getline(head, line)) {
            line = line.substr(0, line.find('\r'));
            const auto colon = line.find(':');
            if (colon != std::string::npos) {
                const auto at = line.find_first_not_of(" \t", colon + 1);
                m.fields.push_back({line.substr(0, colon),
                                    at == std::string::npos ? ""
                                                            : line.substr(at)});
            }
        }
        if (::strcasecmp(m.get("Transfer-Encoding").c_str(), "chunked") == 0) {
            while (true) {
                std::size_t eol;
                while ((eol = buffer_.find("\r\n")) == std::string::npos) {
                    if (!fill(left())) {
                        return m;
                    }
                }
                const auto size =
                    std::strtoul(buffer_.substr(0, eol).c_str(), nullptr, 16);
                while (buffer_.size() < eol + 2 + size + 2) {
                    if (!fill(left())) {
                        return m;
                    }
                }
                m.body += buffer_.substr(eol + 2, size);
                buffer_.erase(0, eol + 2 + size + 2);
                if (size == 0) {
                    m.complete = true;
                    return m;
                }
            }
        }
        const auto length = m.get("Content-Length");
        if (length.empty() && is_response) {
            while (fill(left())) {
            }
            m.body = std::exchange(buffer_, {});
            m.complete = ended_ == "closed";
            return m;
        }
        const auto size = std::strtoul(length.c_str(), nullptr, 10);
        while (buffer_.size() < size) {
            if (!fill(left())) {
                return m;
            }
        }
        m.body = buffer_.substr(0, size);
        buffer_.erase(0, size);
        m.complete = true;
        return m;
    }

private:
    int fd_;
    std::string buffer_;
    std::string ended_;
};

inline std::string answer(int status,
                          const std::vector<field>& fields,
                          const std::string& body) {
    std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    for (const auto& f : fields) {
        text += f.name + ": " + f.value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

/// A server that runs `serve` in a thread for each connection.
class server {
public:
    using handler = std::function<void(connection&)>;
    explicit server(handler serve, int port = 0)
        : serve_(std::move(serve)), port_(port) {
        fd_ = listen_any(port_);
        std::thread{[fd = fd_, serve = serve_] {
            while (true) {
                const int accepted =
                    ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0) {
                    if (errno == EBADF || errno == EINVAL) {
                        return;
                    }
                    continue;
                }
                std::thread{[accepted, serve] {
                    connection c{accepted};
                    serve(c);
                }}.detach();
            }
        }}.detach();
    }
    int port() const { return port_; }
    /// Refuses further connections, as after the end of the process.
    void stop() {
        ::shutdown(fd_, SHUT_RDWR);
        ::close(fd_);
    }

private:
    handler serve_;
    int port_;
    int fd_;
};

// --- JSON, as far as the store's calls need it --------------------------------

struct json {
    enum { null, number, text, list, object } kind = null;
    unsigned long long n = 0;
    std::string s;
    std::vector<json> items;
    std::map<std::string, json> members;
    const json& operator[](const std::string& name) const {
        static const json none;
        const auto found = members.find(name);
        return found == members.end() ? none : found->second;
    }
};
inline void skip_space(const std::string& t, std::size_t& at) {
    while (at < t.size() && std::strchr(" \t\r\n", t[at]) != nullptr) {
        ++at;
    }
}
inline json parse_json(const std::string& t, std::size_t& at) {
    json v;
    skip_space(t, at);
    if (at >= t.size()) {
        return v;
    }
    const auto read_text = [&] {
        std::string s;
        for (++at; at < t.size() && t[at] != '"'; ++at) {
            if (t[at] == '\\') {
                ++at;
            }
            s += t[at];
        }
        ++at;
        return s;
    };
    if (t[at] == '"') {
        v.kind = json::text;
        v.s = read_text();
    } else if (t[at] == '[' || t[at] == '{') {
        const bool is_list = t[at] == '[';
        v.kind = is_list ? json::list : json::object;
        ++at;
        for (skip_space(t, at); at < t.size() && t[at] != ']' && t[at] != '}';
             skip_space(t, at)) {
            if (t[at] == ',') {
                ++at;
                continue;
            }
            if (is_list) {
                v.items.push_back(parse_json(t, at));
                continue;
            }
            const auto name = read_text();
            skip_space(t, at);
            ++at; // The colon.
            v.members[name] = parse_json(t, at);
        }
        ++at;
    } else {
        const auto from = at;
        while (at < t.size() && std::strchr(",]} \t\r\n", t[at]) == nullptr) {
            ++at;
        }
        v.s = t.substr(from, at - from);
        v.kind = json::number;
        v.n = std::strtoull(v.s.c_str(), nullptr, 10);
    }
    return v;
}

inline std::string base64(const std::string& bytes) {
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrst"
                                "uvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned long group = 0;
        const auto part = std::min<std::size_t>(3, bytes.size() - i);
        for (std::size_t j = 0; j < 3; ++j) {
            group = group << 8 |
                    (j < part ? static_cast<unsigned char>(bytes[i + j]) : 0);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            out += j <= part ? digits[group >> (18 - 6 * j) & 63] : '=';
        }
    }
    return out;
}

inline std::string decode_percent(const std::string& text) {
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out += static_cast<char>(
                std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
            i += 2;
        } else {
            out += text[i];
        }
    }
    return out;
}
inline std::string query(const std::string& target, const std::string& name) {
    auto at = target.find('?');
    std::istringstream pairs{at == std::string::npos ? ""
                                                     : target.substr(at + 1)};
    std::string pair;
    while (std::getline(pairs, pair, '&')) {
        const auto equals = pair.find('=');
        if (pair.substr(0, equals) == name && equals != std::string::npos) {
            return decode_percent(pair.substr(equals + 1));
        }
    }
    return {};
}

// --- the platform's store -----------------------------------------------------

class store {
public:
    store() : server_([this](connection& c) { serve(c); }) {}
    int port() const { return server_.port(); }

    /// Writes a key as the operator or a replica does; returns the revision.
    unsigned long long put(const std::string& key, const std::string& value) {
        const std::lock_guard lock{mutex_};
        write(key, base64(value), 0);
        return revision_;
    }
    void remove(const std::string& key) {
        const std::lock_guard lock{mutex_};
        erase(key);
    }
    /// Keeps a copy of the state, from which `restore` comes back.
    void take_copy() {
        const std::lock_guard lock{mutex_};
        copied_items_ = items_;
        copied_events_ = events_;
        copied_leases_ = leases_;
        copied_revision_ = revision_;
    }
    /// Comes back from the copy: what was written since is gone, revisions go
    /// back, and the era rises by one.
    void restore() {
        const std::lock_guard lock{mutex_};
        items_ = copied_items_;
        events_ = copied_events_;
        leases_ = copied_leases_;
        revision_ = copied_revision_;
        ++era_;
        changed_.notify_all();
    }
    /// While it is down, the store answers each call with 503.
    void set_down(bool down) {
        const std::lock_guard lock{mutex_};
        down_ = down;
        changed_.notify_all();
    }

private:
    struct item {
        std::string value;
        unsigned long long revision, created, lease;
    };
    struct event {
        unsigned long long revision;
        std::string key, text;
    };

    static std::string quoted(const std::string& s) { return "\"" + s + "\""; }
    static std::string text_of(const std::string& key, const item& i) {
        return "{\"key\":" + quoted(key) + ",\"value\":" + quoted(i.value) +
               ",\"revision\":" + std::to_string(i.revision) +
               ",\"created\":" + std::to_string(i.created) +
               ",\"lease\":" + std::to_string(i.lease) + "}";
    }
    void write(const std::string& key,
               const std::string& value,
               unsigned long long lease) {
        ++revision_;
        const auto found = items_.find(key);
        const auto created =
            found != items_.end() ? found->second.created : revision_;
        items_[key] = {value, revision_, created, lease};
        events_.push_back({revision_, key, text_of(key, items_[key])});
        changed_.notify_all();
    }
    void erase(const std::string& key) {
        if (items_.erase(key) == 0) {
            return;
        }
        ++revision_;
        events_.push_back({revision_, key,
                           "{\"key\":" + quoted(key) + ",\"revision\":" +
                               std::to_string(revision_) +
                               ",\"deleted\":true}"});
        changed_.notify_all();
    }
    void end_lease(unsigned long long lease) {
        leases_.erase(lease);
        std::vector<std::string> keys;
        for (const auto& [key, i] : items_) {
            if (i.lease == lease) {
                keys.push_back(key);
            }
        }
        for (const auto& key : keys) {
            erase(key);
        }
    }
    void expire() {
        const auto now = steady::now();
        std::vector<unsigned long long> ended;
        for (const auto& [lease, entry] : leases_) {
            if (entry.second <= now) {
                ended.push_back(lease);
            }
        }
        for (const auto lease : ended) {
            end_lease(lease);
        }
    }

    void serve(connection& c) {
        while (true) {
            const auto call = c.read(120000, false);
            if (!call.complete) {
                return;
            }
            const auto [status, body] = handle(call);
            const std::lock_guard lock{mutex_};
            if (!c.send(answer(status,
                               {{"Content-Type", "application/json"},
                                {"Store-Era", std::to_string(era_)}},
                               body))) {
                return;
            }
        }
    }

    std::pair<int, std::string> handle(const message& call) {
        const auto method = call.word(0);
        const auto target = call.word(1);
        const auto path = target.substr(0, target.find('?'));
        std::unique_lock lock{mutex_};
        if (down_) {
            return {503, "{}"};
        }
        expire();
        const auto at = [this] {
            return "\"store_revision\":" + std::to_string(revision_);
        };
        if (path == "/api/kv-key") {
            const auto found = items_.find(query(target, "key"));
            if (found == items_.end()) {
                return {404, "{" + at() + "}"};
            }
            auto text = text_of(found->first, found->second);
            text.pop_back();
            return {200, text + "," + at() + "}"};
        }
        if (path == "/api/kv-range") {
            const auto prefix = query(target, "path_prefix");
            const auto after = query(target, "after");
            std::string text;
            for (const auto& [key, i] : items_) {
                if (key.starts_with(prefix) && (after.empty() || key > after)) {
                    text += (text.empty() ? "" : ",") + text_of(key, i);
                }
            }
            return {200, "{\"items\":[" + text + "],\"truncated\":false," +
                             at() + "}"};
        }
        if (path == "/api/kv-watch") {
            const auto prefix = query(target, "path_prefix");
            const auto after =
                std::strtoull(query(target, "after").c_str(), nullptr, 10);
            const auto until =
                steady::now() +
                ms{std::strtol(query(target, "wait_ms").c_str(), nullptr, 10)};
            const auto era = era_;
            while (true) {
                if (down_) {
                    return {503, "{}"};
                }
                if (after > revision_ || era != era_) {
                    return {410, "{}"};
                }
                std::string text;
                for (const auto& e : events_) {
                    if (e.revision > after && e.key.starts_with(prefix)) {
                        text += (text.empty() ? "" : ",") + e.text;
                    }
                }
                if (!text.empty() ||
                    changed_.wait_until(lock, until) ==
                        std::cv_status::timeout) {
                    return {200, "{\"events\":[" + text + "]," + at() + "}"};
                }
            }
        }
        if (path == "/api/kv-txn") {
            std::size_t from = 0;
            const auto body = parse_json(call.body, from);
            bool holds = true;
            std::string state;
            for (const auto& row : body["expected"].items) {
                const auto& key = row["key"].s;
                const auto found = items_.find(key);
                const auto current =
                    found == items_.end() ? 0 : found->second.revision;
                holds = holds && current == row["revision"].n;
                state += state.empty() ? "" : ",";
                state += found == items_.end()
                             ? "{\"key\":" + quoted(key) + "}"
                             : text_of(key, found->second);
            }
            if (!holds) {
                return {412, "{\"items\":[" + state + "]}"};
            }
            for (const auto& row : body["writes"].items) {
                if (row["lease"].n != 0 && !leases_.contains(row["lease"].n)) {
                    return {404, "{}"};
                }
            }
            for (const auto& row : body["writes"].items) {
                write(row["key"].s, row["value"].s, row["lease"].n);
            }
            for (const auto& key : body["deletes"].items) {
                erase(key.s);
            }
            return {200, "{\"revision\":" + std::to_string(revision_) + "}"};
        }
        if (path == "/api/kv-lease") {
            std::size_t from = 0;
            const auto ttl = parse_json(call.body, from)["ttl_ms"].n;
            const auto lease = ++last_lease_;
            leases_[lease] = {ttl, steady::now() + ms{ttl}};
            return {200, "{\"lease\":" + std::to_string(lease) +
                             ",\"ttl_ms\":" + std::to_string(ttl) + "}"};
        }
        const auto id = std::strtoull(
            path.substr(path.rfind('/') + 1).c_str(), nullptr, 10);
        if (path.starts_with("/api/kv-keep/")) {
            const auto found = leases_.find(id);
            if (found == leases_.end()) {
                return {404, "{}"};
            }
            found->second.second = steady::now() + ms{found->second.first};
            return {200, "{\"lease\":" + std::to_string(id) +
                             ",\"ttl_ms\":" +
                             std::to_string(found->second.first) + "}"};
        }
        if (path.starts_with("/api/kv-lease-end/")) {
            end_lease(id);
            return {200, "{}"};
        }
        return {404, "{}"};
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    bool down_ = false;
    int era_ = 1;
    unsigned long long revision_ = 100, copied_revision_ = 0;
    unsigned long long last_lease_ = 7;
    std::map<std::string, item> items_, copied_items_;
    std::vector<event> events_, copied_events_;
    std::map<unsigned long long,
             std::pair<unsigned long long, steady::time_point>>
        leases_, copied_leases_;
    server server_;
};

inline std::string unix_ms() {
    return std::to_string(
        std::chrono::duration_cast<ms>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
}

/// The entry of a replica in the store; `stage` is empty for a plain service.
inline std::string registration(const std::string& service,
                                int port,
                                const std::string& stage,
                                int slots,
                                const std::string& state = "ready") {
    static const auto born = unix_ms();
    std::string text = "{\"service\":\"" + service +
                       "\",\"address\":\"127.0.0.1:" + std::to_string(port) +
                       "\",\"zone\":\"zona-norte\",\"version\":1,\"slots\":" +
                       std::to_string(slots) + ",\"state\":\"" + state +
                       "\",\"cold_remaining_ms\":0,\"sequence\":0,\"born\":" +
                       born;
    if (!stage.empty()) {
        text += ",\"stage\":\"" + stage +
                "\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]";
    }
    return text + "}";
}

// --- the gateway --------------------------------------------------------------

struct gateway {
    pid_t pid = -1;
    int traffic = 0, ready = 0, directory = 0, peer = 0, metrics = 0;
    std::string settings, log;
};

inline std::string temporary_folder() {
    static const std::string folder = [] {
        char name[] = "/tmp/pimentoferry-review-XXXXXX";
        return std::string{::mkdtemp(name)};
    }();
    return folder;
}

/// Reads a file whole.
inline std::string read_file(const std::string& path) {
    std::ifstream in{path};
    return {std::istreambuf_iterator<char>{in}, {}};
}

/// Writes the settings as the template of the deploy file has them.
inline gateway prepare_gateway(const std::string& name,
                               int store_port,
                               const std::vector<int>& seeds) {
    const auto ports = free_ports(5);
    gateway g;
    g.traffic = ports[0];
    g.ready = ports[1];
    g.directory = ports[2];
    g.peer = ports[3];
    g.metrics = ports[4];
    g.settings = temporary_folder() + "/" + name + ".json";
    g.log = temporary_folder() + "/" + name + ".log";
    std::string peers;
    for (const int seed : seeds) {
        peers += (peers.empty() ? "\"127.0.0.1:" : ",\"127.0.0.1:") +
                 std::to_string(seed) + "\"";
    }
    const auto address = [](int port) {
        return "\"127.0.0.1:" + std::to_string(port) + "\"";
    };
    std::ofstream{g.settings}
        << "{\"name\":\"" << name
        << "\",\"failure_domain\":\"zona-norte\",\"region\":\"limametro\","
        << "\"traffic_address\":" << address(g.traffic)
        << ",\"readiness_address\":" << address(g.ready)
        << ",\"directory_address\":" << address(g.directory)
        << ",\"peer_address\":" << address(g.peer)
        << ",\"metrics_address\":" << address(g.metrics) << ",\"peers\":["
        << peers << "],\"store_address\":" << address(store_port)
        << ",\"fleet_key\":\"70696d656e746f6665727279207065657273206f66206f6e6"
           "520666c65657421\",\"processor_share\":0.25,\"link_mbps\":1000.0,"
           "\"memory_mb\":110,"
        << "\"drain_limit_s\":8,\"address_ttl_s\":5,\"retries\":{\"ratio\":0.2,"
           "\"constant\":56,\"window_s\":10}}\n";
    return g;
}

inline void start_gateway(gateway& g) {
    const auto parent = ::getpid();
    const auto variable = "PIMENTOFERRY_SETTINGS=" + g.settings;
    const auto log = g.log;
    g.pid = ::fork();
    if (g.pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent) {
            ::_exit(1);
        }
        const int out =
            ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(out, 1);
        ::dup2(out, 2);
        const char* program = "target/pimentoferry/cli/pimentoferry";
        const char* arguments[] = {program, "gateway", nullptr};
        const char* environment[] = {variable.c_str(), "PATH=/usr/bin:/bin",
                                     nullptr};
        ::execve(program, const_cast<char**>(arguments),
                 const_cast<char**>(environment));
        ::_exit(127);
    }
}

/// The status of a GET; 0 if there was no answer.
inline int get_status(int port, const std::string& target) {
    const auto c = connection::open(port);
    if (!c || !c->send("GET " + target +
                       " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")) {
        return 0;
    }
    return c->read(2000, true).status();
}

inline bool wait_ready(const gateway& g, long limit_ms = 15000) {
    const auto until = steady::now() + ms{limit_ms};
    while (steady::now() < until) {
        if (get_status(g.ready, "/api/readiness") == 200) {
            return true;
        }
        sleep_ms(50);
    }
    return false;
}

/// The process's exit status, or -1 if it still runs.
inline int poll_exit(gateway& g) {
    int status = 0;
    if (g.pid > 0 && ::waitpid(g.pid, &status, WNOHANG) == g.pid) {
        g.pid = -1;
        return status;
    }
    return -1;
}

inline void kill_gateway(gateway& g) {
    if (g.pid > 0) {
        ::kill(g.pid, SIGKILL);
        ::waitpid(g.pid, nullptr, 0);
        g.pid = -1;
    }
}

inline bool trouble() {
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string{value} != "0";
}

/// Opens the record in the case's folder; ends the run if it takes too long.
inline void begin_case(const char* folder) {
    ::signal(SIGPIPE, SIG_IGN);
    ::signal(SIGALRM, [](int) { ::_exit(2); });
    ::alarm(115);
    record_file =
        std::fopen((std::string{folder} + "/record.txt").c_str(), "w");
    record("TROUBLE=%d", trouble() ? 1 : 0);
}

/// Ends the gateways and the run.
[[noreturn]] inline void end_case(std::vector<gateway*> gateways,
                                  int code,
                                  const char* verdict) {
    for (auto* g : gateways) {
        kill_gateway(*g);
    }
    record("%s (exit %d)", verdict, code);
    if (std::getenv("KEEP") == nullptr) {
        for (auto* g : gateways) {
            ::unlink(g->settings.c_str());
            ::unlink(g->log.c_str());
        }
        ::rmdir(temporary_folder().c_str());
    } else {
        std::printf("%s\n", temporary_folder().c_str());
    }
    std::printf("%s\n", verdict);
    std::fflush(nullptr);
    ::_exit(code);
}

} // namespace world
