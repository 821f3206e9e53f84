// Case 15: the gateway that wrote last to the store under a condition freezes,
// and 1.9 s later four of the seven others are killed at once. Two software
// versions serve. Clients of the killed gateways take their streams up again at
// the three that are left.
#include "replicas.hh"

#include <algorithm>

using namespace review;

namespace {

constexpr std::size_t gateway_count = 8;
constexpr std::size_t killed = 4;
constexpr int engines = 9;
constexpr int prefill_engines = 2;
constexpr int events = 70;
constexpr int event_ms = 50; // 72 tokens, a step of 0.67 ms each.
constexpr int deadline_ms = 14000;
constexpr int stream_every_ms = 106; // 9.45 a second
constexpr int quiet_ms = 8000;
constexpr int kill_after_ms = 1900; // From the freeze.
constexpr int freeze_ms = 3400;
constexpr int after_kill_ms = 3000;
constexpr int most_tries = 2;

struct taken {
    std::string request_;
    int events_{0};
    bool complete_{false};
    int status_{0};
    double retry_after_s_{0};
};

/// Reads a stream until it ends, breaks off or has been refused.
taken read_stream(int port, const std::string& extra, clock::time_point until) {
    taken got;
    got.request_ = new_id();
    conn peer{connect_to(port)};
    if (peer.fd() < 0 ||
        !peer.send(stream_request("/avaluo/1", got.request_, extra))) {
        return got;
    }
    const auto head = peer.read_head(until);
    if (!head) {
        return got;
    }
    got.status_ = head->status();
    got.retry_after_s_ = std::atof(head->field("Retry-After").c_str());
    while (got.status_ == 200) {
        const auto chunk = peer.read_chunk(until);
        if (!chunk || chunk->empty()) {
            got.complete_ = chunk.has_value();
            break;
        }
        for (auto at = chunk->find("id: "); at != std::string::npos;
             at = chunk->find("id: ", at + 1)) {
            got.events_ = std::atoi(chunk->c_str() + at + 4);
        }
    }
    return got;
}

/// The way of one gateway to the store, which tells who writes.
class store_path {
public:
    store_path(int port, std::size_t gateway, std::atomic<int>& last_writer)
        : port_(port), gateway_(gateway), last_writer_(last_writer),
          listener_([this](conn& peer) { pump(peer); }) {}
    int port() const { return listener_.port(); }

private:
    void pump(conn& peer) {
        conn store{connect_to(port_)};
        while (true) {
            pollfd waited[2] = {{peer.fd(), POLLIN, 0},
                                {store.fd(), POLLIN, 0}};
            if (::poll(waited, 2, 30000) <= 0) {
                return;
            }
            if (waited[0].revents != 0 && !forward(peer, store)) {
                return;
            }
            if (waited[1].revents != 0 && !forward(store, peer)) {
                return;
            }
        }
    }
    bool forward(conn& from, conn& to) {
        if (from.fill(clock::now()) <= 0) {
            return false;
        }
        const auto bytes = std::exchange(from.buffer_, "");
        if (bytes.find("\"pimentoferry/stream-origins/") != std::string::npos &&
            bytes.find("\"writes\"") != std::string::npos) {
            last_writer_ = static_cast<int>(gateway_);
        }
        return to.send(bytes);
    }
    int port_;
    std::size_t gateway_;
    std::atomic<int>& last_writer_;
    listener listener_;
};

struct client {
    std::size_t gateway_{0};
    clock::time_point began_;
    taken first_;
    std::vector<taken> again_;

    bool went_on() const {
        return !again_.empty() && again_.back().events_ > first_.events_;
    }
};

} // namespace

int main(int, char** arguments) {
    const std::string record_path = arguments[1];
    const char* chosen = std::getenv("TROUBLE");
    const bool trouble = chosen == nullptr || std::string{chosen} != "0";
    // FREEZE=0 in the environment: the same kill without the freeze.
    const char* freeze = std::getenv("FREEZE");
    const bool freezes = freeze == nullptr || std::string{freeze} != "0";
    store kept;
    fleet gateways{gateway_count};
    replica_set replicas{kept};
    std::atomic<int> last_writer{-1};
    std::vector<std::unique_ptr<store_path>> paths;
    kept.put("op/config", to_json(configuration(7)));
    for (int i = 0; i < engines; ++i) {
        replica_options engine;
        engine.entry_.id_ = "i-e" + std::to_string(i);
        engine.entry_.service_ = "peritaje-lm";
        engine.entry_.stage_ = i < prefill_engines ? "prefill" : "decode";
        engine.entry_.version_ = i % 2 == 0 ? "v1" : "v2";
        engine.work_ms_ = 90;
        engine.events_ = events;
        engine.event_ms_ = event_ms;
        replicas.add(engine);
    }
    for (std::size_t i = 0; i < gateways.size(); ++i) {
        paths.push_back(
            std::make_unique<store_path>(kept.port(), i, last_writer));
        gateways.write_settings(i, paths.back()->port());
        gateways[i].start();
    }
    if (!gateways.wait_ready()) {
        note("the gateways are not ready");
        finish(gateways, 2, record_path);
    }
    sleep_ms(10000);
    // Which gateways keep the streams' versions: those that are asked for the
    // version of a stream that nobody began. Used only to choose whom to kill.
    for (std::size_t i = 0; i < 3; ++i) {
        (void)read_stream(gateways[i].front_,
                          "Last-Event-Id: 3\r\nResumes: 00000000000000aa\r\n",
                          clock::now() + ms{3000});
    }
    sleep_ms(300);
    std::vector<std::size_t> keepers;
    for (std::size_t i = 0; i < gateway_count; ++i) {
        if (gateways[i].log().find("event=stream_origin_told") !=
            std::string::npos) {
            keepers.push_back(i);
            note(gateways[i].name_ + " keeps the versions of streams");
        }
    }
    std::mutex mutex;
    std::vector<std::size_t> open(gateway_count);
    for (std::size_t i = 0; i < gateway_count; ++i) {
        open[i] = i;
    }
    std::atomic<bool> was_killed{false};
    std::vector<std::unique_ptr<client>> clients;
    std::vector<std::thread> threads;
    const auto run = [&](client& own) {
        const auto until = own.began_ + ms{deadline_ms};
        own.first_ = read_stream(gateways[own.gateway_].front_, "", until);
        if (own.first_.complete_ || own.first_.events_ == 0) {
            return;
        }
        const auto resumes =
            "Last-Event-Id: " + std::to_string(own.first_.events_) +
            "\r\nResumes: " + own.first_.request_ + "\r\n";
        for (int i = 0; i < most_tries && !own.went_on(); ++i) {
            if (i > 0) {
                const ms told{
                    static_cast<int>(own.again_.back().retry_after_s_ * 1000)};
                std::this_thread::sleep_for(told > ms{0} ? told : ms{500});
            }
            std::size_t at = 0;
            {
                const std::lock_guard guard{mutex};
                at = open[(own.gateway_ + static_cast<std::size_t>(i)) %
                          open.size()];
            }
            own.again_.push_back(
                read_stream(gateways[at].front_, resumes, until));
        }
    };
    const auto start = clock::now();
    const auto freeze_at = start + ms{quiet_ms};
    int frozen = -1;
    clock::time_point thaw_at = clock::time_point::max();
    auto next = start;
    const auto drop = [&](std::size_t gateway) {
        const std::lock_guard guard{mutex};
        std::erase(open, gateway);
    };
    std::thread trouble_maker;
    if (trouble) {
        trouble_maker = std::thread{[&] {
            std::this_thread::sleep_until(freeze_at);
            frozen = last_writer;
            if (frozen < 0) {
                note("no gateway has written");
                finish(gateways, 2, record_path);
            }
            drop(static_cast<std::size_t>(frozen));
            if (freezes) {
                gateways[static_cast<std::size_t>(frozen)].process_.signal(
                    SIGSTOP);
                note("SIGSTOP to " +
                     gateways[static_cast<std::size_t>(frozen)].name_ +
                     ", which wrote last");
            }
            thaw_at = clock::now() + ms{freeze_ms};
            std::this_thread::sleep_until(freeze_at + ms{kill_after_ms});
            std::vector<std::size_t> victims;
            for (const auto each : keepers) {
                if (static_cast<int>(each) != frozen) {
                    victims.push_back(each);
                }
            }
            for (std::size_t i = 0;
                 i < gateway_count && victims.size() < killed; ++i) {
                if (static_cast<int>(i) != frozen &&
                    std::ranges::find(victims, i) == victims.end()) {
                    victims.push_back(i);
                }
            }
            for (const auto each : victims) {
                drop(each);
            }
            std::string names;
            for (const auto each : victims) {
                gateways[each].process_.signal(SIGKILL);
                names += " " + gateways[each].name_;
            }
            was_killed = true;
            note("SIGKILL to" + names);
            std::this_thread::sleep_until(thaw_at);
            gateways[static_cast<std::size_t>(frozen)].process_.signal(SIGCONT);
            note("SIGCONT");
        }};
    }
    const auto end = freeze_at + ms{kill_after_ms + after_kill_ms};
    std::vector<client*> fresh;
    for (std::size_t i = 0; clock::now() < end; ++i) {
        clients.push_back(std::make_unique<client>());
        auto& own = *clients.back();
        own.began_ = clock::now();
        {
            const std::lock_guard guard{mutex};
            own.gateway_ = open[i % open.size()];
        }
        if (was_killed) {
            fresh.push_back(&own);
        }
        threads.emplace_back([&run, &own] { run(own); });
        next += ms{stream_every_ms};
        std::this_thread::sleep_until(next);
    }
    for (auto& each : threads) {
        each.join();
    }
    if (trouble_maker.joinable()) {
        trouble_maker.join();
    }
    int taken_up = 0;
    int went_on = 0;
    for (const auto& each : clients) {
        if (each->again_.empty()) {
            continue;
        }
        ++taken_up;
        went_on += each->went_on() ? 1 : 0;
        std::string text = "stream " + each->first_.request_ + " at " +
                           gateways[each->gateway_].name_ +
                           " broke off after " +
                           std::to_string(each->first_.events_) + " of " +
                           std::to_string(events) + " events; taken up:";
        for (const auto& again : each->again_) {
            text += " " + again.request_ + " status " +
                    std::to_string(again.status_) + ", to event " +
                    std::to_string(again.events_) + ", Retry-After " +
                    std::to_string(again.retry_after_s_) + ";";
        }
        note(text);
    }
    int began = 0;
    for (const auto* each : fresh) {
        began += each->first_.events_ > 0 ? 1 : 0;
    }
    note(std::to_string(clients.size()) + " streams; " +
         std::to_string(taken_up) + " taken up again, " +
         std::to_string(went_on) + " went on; of " +
         std::to_string(fresh.size()) + " new ones after the kill " +
         std::to_string(began) + " began");
    if (trouble && (taken_up < 12 || began == 0)) {
        finish(gateways, 2, record_path);
    }
    const double share =
        taken_up > 0 ? static_cast<double>(went_on) / taken_up : 1;
    const double share_of_new =
        fresh.empty() ? 1 : static_cast<double>(began) / fresh.size();
    finish(gateways, taken_up >= 12 && share < share_of_new / 2 ? 1 : 0,
           record_path);
}
