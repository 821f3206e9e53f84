// Case 15: the decode engines of a service are replaced by ones of another
// software version, one after the other, while its two prefill engines still
// have the version before. Streams that the exits of the old decode engines
// break off are taken up again by their clients.
#include "replicas.hh"

#include <algorithm>
#include <cmath>
#include <random>

using namespace review;

namespace {

constexpr int engines = 9;
constexpr int prefill_engines = 2;
constexpr int tokens_per_event = 72;
constexpr int event_ms = 58;
constexpr int deadline_ms = 14000;
constexpr int drain_ms = 2000;
constexpr int a_little_longer_ms = 100;
constexpr int gap_ms = 1000;
constexpr double streams_per_s = 9.45;
// Two bursts of the site file: x 2 for 5 s, and x 2.3 for 4 s.
constexpr double first_burst = 2;
constexpr int first_burst_ms = 5000;
constexpr double second_burst = 2.3;
constexpr int second_burst_ms = 4000;
constexpr int bursts_before_ms = 7000; // Before the releases.
constexpr int quiet_ms = 10000;
constexpr int release_ms = 9000;
constexpr int most_tries = 3;

struct taken {
    std::string request_;
    std::string replica_;
    int events_{0};
    bool complete_{false};
    int status_{0};
    double retry_after_s_{0};
};

/// Reads a stream until it ends, breaks off or has been refused.
taken read_stream(int port,
                  const std::string& extra,
                  int events,
                  clock::time_point until) {
    taken got;
    got.request_ = new_id();
    conn peer{connect_to(port)};
    if (peer.fd() < 0 ||
        !peer.send(stream_request("/avaluo/1", got.request_, extra,
                                  events * tokens_per_event))) {
        return got;
    }
    const auto head = peer.read_head(until);
    if (!head) {
        return got;
    }
    got.status_ = head->status();
    got.retry_after_s_ = std::atof(head->field("Retry-After").c_str());
    got.replica_ = head->field("X-Server-Signature");
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

/// Lengths of answers as in the site file: 70 events in the mean, spread by
/// half of that, 130 at most.
class answer_lengths {
public:
    int next() {
        return std::clamp(static_cast<int>(std::lround(drawn_(random_))), 5,
                          130);
    }

private:
    std::mt19937 random_{60};
    std::lognormal_distribution<double> drawn_{std::log(70.0) - 0.1116, 0.4724};
};

/// A client's stream with all its tries.
struct client {
    clock::time_point began_;
    int events_{0};
    std::vector<taken> tries_;

    bool taken_up() const { return tries_.size() > 1; }
    bool went_on() const {
        return taken_up() && tries_.back().events_ > tries_.front().events_;
    }
    void run(fleet& gateways, std::size_t number) {
        const auto until = began_ + ms{deadline_ms};
        tries_.push_back(read_stream(gateways[number % gateways.size()].front_,
                                     "", events_, until));
        const auto first = tries_.front();
        if (first.complete_ || first.events_ == 0) {
            return;
        }
        const auto resumes = "Last-Event-Id: " + std::to_string(first.events_) +
                             "\r\nResumes: " + first.request_ + "\r\n";
        for (int i = 0; i < most_tries && !went_on(); ++i) {
            const auto wait =
                i == 0
                    ? ms{0}
                    : ms{static_cast<int>(tries_.back().retry_after_s_ * 1000)};
            if (i > 0 && (wait == ms{0} || wait > (until - clock::now()) / 3)) {
                return; // Not told to come back, or later than it honours.
            }
            std::this_thread::sleep_for(wait);
            ++number;
            tries_.push_back(
                read_stream(gateways[number % gateways.size()].front_, resumes,
                            events_, until));
        }
    }
};

replica_options engine(const std::string& id,
                       int place,
                       const std::string& stage,
                       const std::string& version) {
    const std::vector<std::string> zones{"zona-norte", "zona-centro",
                                         "zona-sur"};
    replica_options made;
    made.entry_.id_ = id;
    made.entry_.service_ = "peritaje-lm";
    made.entry_.zone_ = zones[static_cast<std::size_t>(place) % 3];
    made.entry_.stage_ = stage;
    made.entry_.version_ = version;
    made.work_ms_ = 90;
    made.tokens_per_event_ = tokens_per_event;
    made.stage_switch_ms_ = 6000;
    made.event_ms_ = event_ms;
    return made;
}

/// A planned replacement: the new one starts first, the old one drains and
/// exits.
class release {
public:
    release(store& kept, replica_set& replicas)
        : kept_(kept), replicas_(replicas) {}
    ~release() {
        for (auto& each : exits_) {
            each.join();
        }
    }
    void replace(replica& old) {
        const auto& before = old.own();
        ++count_;
        auto next =
            engine("i-n" + std::to_string(count_), count_, before.stage_, "v2");
        next.entry_.zone_ = before.zone_;
        replicas_.add(next);
        note(next.entry_.id_ + " of v2 starts, " + before.id_ +
             " of v1 drains (" + before.stage_ + ")");
        old.state_ = "draining";
        kept_.put("servers/" + before.id_, old.text("draining"));
        exits_.emplace_back([this, &old] {
            sleep_ms(drain_ms + a_little_longer_ms);
            old.state_ = "gone";
            old.crash();
            kept_.remove("servers/" + old.own().id_);
            note(old.own().id_ + " has exited");
        });
    }

private:
    store& kept_;
    replica_set& replicas_;
    int count_{0};
    std::vector<std::thread> exits_;
};

void describe(const client& each) {
    std::string text = "stream " + each.tries_.front().request_ + " of " +
                       each.tries_.front().replica_ + " broke off after " +
                       std::to_string(each.tries_.front().events_) + " of " +
                       std::to_string(each.events_) + " events; taken up:";
    for (std::size_t i = 1; i < each.tries_.size(); ++i) {
        const auto& again = each.tries_[i];
        text +=
            " " + again.request_ + " status " + std::to_string(again.status_);
        if (again.status_ == 200) {
            text += ", to event " + std::to_string(again.events_) + " by " +
                    again.replica_;
        } else {
            text += ", Retry-After " + std::to_string(again.retry_after_s_);
        }
        text += ";";
    }
    note(text);
}

} // namespace

int main(int, char** arguments) {
    const std::string record_path = arguments[1];
    const char* chosen = std::getenv("TROUBLE");
    const bool trouble = chosen == nullptr || std::string{chosen} != "0";
    // KEEP=decode in the environment: the same release, but the two old engines
    // that stay are one of each stage, to see what the stages do.
    const char* kept_stage = std::getenv("KEEP");
    const bool keep_decode =
        kept_stage != nullptr && std::string{kept_stage} == "decode";
    store kept;
    fleet gateways{4};
    replica_set replicas{kept};
    kept.put("op/config", to_json(configuration(7)));
    std::vector<replica*> old;
    for (int i = 0; i < engines; ++i) {
        old.push_back(&replicas.add(
            engine("i-e" + std::to_string(i), i,
                   i < prefill_engines ? "prefill" : "decode", "v1")));
    }
    for (std::size_t i = 0; i < gateways.size(); ++i) {
        gateways.write_settings(i, kept.port());
        gateways[i].start();
    }
    if (!gateways.wait_ready()) {
        note("the gateways are not ready");
        finish(gateways, 2, record_path);
    }
    sleep_ms(6000);
    note("traffic begins");
    const auto start = clock::now();
    const auto release_at = start + ms{quiet_ms};
    const auto end = release_at + ms{release_ms};
    std::vector<std::unique_ptr<client>> clients;
    std::vector<std::thread> threads;
    answer_lengths lengths;
    std::thread operator_thread;
    release replacing{kept, replicas};
    if (trouble) {
        operator_thread = std::thread{[&] {
            std::this_thread::sleep_until(release_at);
            // The prefill engines are the last of the list, or one of them is.
            std::vector<replica*> order{old.begin() + prefill_engines,
                                        old.end()};
            if (keep_decode) {
                order.back() = old[1];
            }
            for (std::size_t i = 0; i < order.size(); ++i) {
                replacing.replace(*order[i]);
                // Two releases at a time: four engines and three.
                if (i % 2 == 1) {
                    sleep_ms(gap_ms);
                }
            }
        }};
    }
    const auto bursts_from = release_at - ms{bursts_before_ms};
    auto next = start;
    for (std::size_t i = 0; clock::now() < end; ++i) {
        const auto passed = next - bursts_from;
        const double factor =
            passed < ms{0} || passed >= ms{first_burst_ms + second_burst_ms} ? 1
            : passed < ms{first_burst_ms} ? first_burst
                                          : second_burst;
        next += std::chrono::microseconds{
            static_cast<int>(1e6 / streams_per_s / factor)};
        clients.push_back(std::make_unique<client>());
        auto& made = *clients.back();
        made.began_ = clock::now();
        made.events_ = lengths.next();
        threads.emplace_back([&made, &gateways, i] { made.run(gateways, i); });
        std::this_thread::sleep_until(next);
    }
    const auto prefills = [&old](std::size_t i) {
        return old[i]->own().id_ + " (" + old[i]->own().stage_ + ", " +
               old[i]->state_ + ") " + std::to_string(old[i]->prefills());
    };
    note("prefills so far: " + prefills(0) + ", " + prefills(1));
    for (auto& each : threads) {
        each.join();
    }
    if (operator_thread.joinable()) {
        operator_thread.join();
    }
    int fresh = 0;
    int began = 0;
    int taken_up = 0;
    int went_on = 0;
    for (const auto& each : clients) {
        if (each->began_ >= release_at) {
            ++fresh;
            began += each->tries_.front().events_ > 0 ? 1 : 0;
        }
        if (each->taken_up()) {
            ++taken_up;
            went_on += each->went_on() ? 1 : 0;
            describe(*each);
        }
    }
    note(std::to_string(clients.size()) + " streams; " +
         std::to_string(taken_up) + " taken up again, " +
         std::to_string(went_on) + " went on; of " + std::to_string(fresh) +
         " new ones since the release began, " + std::to_string(began) +
         " began");
    if (trouble && !keep_decode && (taken_up < 12 || began == 0)) {
        finish(gateways, 2, record_path);
    }
    const double share =
        taken_up > 0 ? static_cast<double>(went_on) / taken_up : 1;
    const double share_of_new = static_cast<double>(began) / fresh;
    finish(gateways, taken_up >= 12 && share < share_of_new / 2 ? 1 : 0,
           record_path);
}
