// DRAIN: a replica that leaves while the store is down says so in its answers;
// the gateway goes on sending to it until it ends, and bookings are lost.
#include "../lib/config.hh"

#include <memory>

using namespace world;

namespace {

constexpr long drain_ms = 2000;
constexpr long linger_ms = 1500;      // `linger_ms` of the site file.
constexpr long store_down_ms = 4500;  // `platform_down`, site file.
constexpr long work_ms = 30;
constexpr int bookings_per_s = 45;

/// A replica that can leave: it says so in its answers, serves for `drain_ms`
/// and a little longer, and ends.
class leaving_replica {
public:
    explicit leaving_replica(std::string id)
        : id_(std::move(id)), server_([this](connection& c) { serve(c); }) {}
    int port() const { return server_.port(); }
    void leave() { leaving_ = true; }
    void end() {
        ended_ = true;
        server_.stop();
        const std::lock_guard lock{mutex_};
        for (const int fd : open_) {
            ::shutdown(fd, SHUT_RDWR);
        }
    }
    /// When each request arrived that ran or would have run here.
    std::map<std::string, long> arrivals() {
        const std::lock_guard lock{mutex_};
        return arrivals_;
    }
    /// When the first answer that says so was sent; -1: none yet.
    long said_leaving_ms() const { return said_leaving_ms_; }

private:
    void serve(connection& c) {
        {
            const std::lock_guard lock{mutex_};
            open_.insert(c.fd());
        }
        while (!ended_) {
            const auto call = c.read(60000, false);
            if (!call.complete || ended_) {
                break;
            }
            const auto id = call.get("X-Request-Id");
            std::vector<field> fields{{"X-Request-Id", id}};
            if (leaving_) {
                fields.push_back({"Server-Leaving", "1"});
                fields.push_back({"Connection", "close"});
            }
            if (id.empty()) {
                fields.push_back({"X-Not-Executed", "1"});
                c.send(answer(400, fields, ""));
                break;
            }
            {
                const std::lock_guard lock{mutex_};
                arrivals_[id] = elapsed_ms();
            }
            sleep_ms(work_ms);
            if (ended_) {
                break;
            }
            fields.push_back({"X-Server-Signature", signature_of(id)});
            c.send(answer(200, fields, "done " + id));
            if (leaving_) {
                long none = -1;
                said_leaving_ms_.compare_exchange_strong(none, elapsed_ms());
                break;
            }
        }
        const std::lock_guard lock{mutex_};
        open_.erase(c.fd());
    }

    std::string id_;
    std::atomic<bool> leaving_{false}, ended_{false};
    std::atomic<long> said_leaving_ms_{-1};
    std::mutex mutex_;
    std::set<int> open_;
    std::map<std::string, long> arrivals_;
    server server_;
};

} // namespace

int main(int, char** arguments) {
    begin_case(arguments[1]);
    leaving_replica stays{"i-1"}, leaves{"i-2"};
    store platform;
    platform.put("op/config", configuration(3, plain_routes()));
    platform.put("servers/i-1", registration("desk", stays.port(), "", 6));
    platform.put("servers/i-2", registration("desk", leaves.port(), "", 6));
    auto g = prepare_gateway("front-1", platform.port(), {});
    start_gateway(g);
    if (!wait_ready(g)) {
        end_case({&g}, 2, "the gateway doesn't become ready");
    }
    sleep_ms(1500);
    struct booking {
        std::string id;
        long sent_ms = 0, answered_ms = 0;
        int status = 0;
        bool leaving = false;
    };
    std::vector<std::unique_ptr<booking>> bookings;
    std::vector<std::thread> clients;
    const long began = elapsed_ms();
    long left_ms = -1;
    bool down = false, up = false, ended = false;
    for (int n = 0; elapsed_ms() - began < 9000; ++n) {
        const long at = elapsed_ms() - began;
        if (trouble() && !down && at >= 1000) {
            down = true;
            left_ms = elapsed_ms();
            record("the store is down; i-2 begins to leave");
            platform.set_down(true);
            leaves.leave();
        }
        if (down && !ended && elapsed_ms() - left_ms >= drain_ms + linger_ms) {
            ended = true;
            record("i-2 ends");
            leaves.end();
        }
        if (down && !up && elapsed_ms() - left_ms >= store_down_ms) {
            up = true;
            record("the store is back, without the entry of i-2");
            platform.remove("servers/i-2");
            platform.set_down(false);
        }
        bookings.push_back(std::make_unique<booking>());
        auto* b = bookings.back().get();
        b->id = "b0" + std::to_string(n);
        clients.emplace_back([b, &g] {
            const auto c = connection::open(g.traffic);
            if (!c) {
                return;
            }
            c->send("POST /book/" + b->id +
                    " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + b->id +
                    "\r\nX-Deadline-Ms: 1000\r\nConnection: close\r\n"
                    "Content-Length: 2\r\n\r\nhi");
            b->sent_ms = elapsed_ms();
            const auto received = c->read(3000, true);
            b->answered_ms = elapsed_ms();
            b->status = received.complete ? received.status() : 0;
            b->leaving = !received.get("Server-Leaving").empty();
        });
        sleep_ms(1000 / bookings_per_s);
    }
    for (auto& each : clients) {
        each.join();
    }
    // The first answer that says so and was passed on to its client.
    long told_ms = -1;
    for (const auto& b : bookings) {
        if (b->leaving && (told_ms < 0 || b->answered_ms < told_ms)) {
            told_ms = b->answered_ms;
        }
    }
    const auto arrivals = leaves.arrivals();
    int late = 0, late_lost = 0, ok = 0;
    for (const auto& b : bookings) {
        ok += b->status == 200 ? 1 : 0;
        const auto arrived = arrivals.find(b->id);
        if (arrived == arrivals.end()) {
            continue;
        }
        const bool is_late = told_ms >= 0 && b->sent_ms > told_ms + drain_ms;
        if (is_late) {
            ++late;
            late_lost += b->status != 200 ? 1 : 0;
            record("%s sent %ld ms after the first answer with Server-Leaving "
                   "was passed on, reaches i-2 at %ld ms; the client gets %d",
                   b->id.c_str(), b->sent_ms - told_ms, arrived->second,
                   b->status);
        }
    }
    record("bookings: %zu, answered 200: %d; late at i-2: %d, of these without "
           "its answer: %d",
           bookings.size(), ok, late, late_lost);
    if (trouble() && told_ms < 0) {
        end_case({&g}, 2, "no answer with Server-Leaving was passed on");
    }
    if (late > 0) {
        end_case({&g}, 1, "DRAIN broken");
    }
    end_case({&g}, 0, "DRAIN held");
}
