// A gateway that is cut off from all replicas passes its requests to other
// gateways, some of which have an older configuration. Changes the service of a
// route several times, and checks that a gateway which has shown the effect of
// a version does not handle a later request by an older one.
#include "../lib-2/plain.hh"

using namespace review;

namespace {

constexpr long rollback_slack_ms = 250;
constexpr std::size_t gateways = 8;
// The cut lasts 12 s, the longest that the sites name for machines that are cut
// off (node_cut). The changes are further apart than config_apply_ms.
constexpr long cut_ms = 12'000;
constexpr int changes = 4;
constexpr long change_interval_ms = 2130;

// Odd versions route to service-x, even ones to service-y.
std::string service_of(int version) {
    return version % 2 == 1 ? "service-x" : "service-y";
}

std::string version_text(int version) {
    return configuration(version,
                         {plain_route("/read/", "safe", service_of(version))},
                         {"service-x", "service-y"});
}

struct sample {
    long sent_{0};
    long answered_{0};
    int status_{0};
    std::string service_; ///< That ran the request; empty: none.
};

} // namespace

int main(int argc, char** argv) {
    ::signal(SIGPIPE, SIG_IGN);
    record.open(argc > 1 ? argv[1] : "record.txt");
    const bool trouble = trouble_wanted();
    store kv;
    kv.start();
    partition links;
    std::vector<std::unique_ptr<replica>> replicas;
    kv.put("op/config", version_text(1));
    for (const auto* service : {"service-x", "service-y"}) {
        for (const auto* zone : {"zone-a", "zone-b", "zone-c"}) {
            replicas.push_back(std::make_unique<replica>());
            auto& own = *replicas.back();
            own.id_ = "i-" + std::to_string(replicas.size());
            own.service_ = service;
            own.zone_ = zone;
            own.start(links);
            kv.put("servers/" + own.id_, own.entry());
        }
    }
    fleet system{gateways};
    if (!start_all(system, kv)) {
        record.line("the gateways did not start");
        finish(system, 2);
    }
    auto& first = system.gateways().front();
    std::atomic<int> last_id{0};
    const auto ask = [&](client& by, long deadline) {
        sample each;
        each.sent_ = now_ms();
        const auto id = "req-" + std::to_string(++last_id);
        const auto result =
            by.call("GET", "/read/1", id, deadline);
        each.answered_ = now_ms();
        each.status_ = result.status_;
        each.service_ = result.status_ == 200 ? result.answer_.body_ : "";
        return each;
    };
    const long cut_at = now_ms();
    if (trouble) {
        links.set(first.pid_, cut::hangs);
        record.line("the connections of " + first.name_ +
                    " to all replicas hang from now on");
        client probe{first.traffic_};
        const bool served = wait_until(
            [&] { return ask(probe, 400).status_ == 200; }, 3000);
        record.line(served ? "its requests are served again"
                           : "its requests are not served");
        if (!served) {
            finish(system, 2);
        }
    }
    std::mutex mutex;
    std::vector<sample> samples;
    std::atomic<bool> sending{true};
    std::vector<std::thread> callers;
    for (int i = 0; i < 6; ++i) {
        callers.emplace_back([&] {
            client own_client{first.traffic_};
            while (sending) {
                const auto each = ask(own_client, 1000);
                {
                    const std::lock_guard lock{mutex};
                    samples.push_back(each);
                }
                pause_ms(8);
            }
        });
    }
    // When each version was sent.
    std::vector<std::pair<long, int>> versions;
    for (int version = 2; version < 2 + changes; ++version) {
        pause_ms(change_interval_ms);
        versions.emplace_back(now_ms(), version);
        kv.put("op/config", version_text(version));
        record.line("version " + std::to_string(version) +
                    " is acknowledged, /read/ goes to " + service_of(version));
    }
    pause_ms(change_interval_ms);
    sending = false;
    const long cut_for = now_ms() - cut_at;
    if (trouble) {
        links.set(first.pid_, cut::none);
        record.line("the cut lasted " + std::to_string(cut_for) + " ms");
    }
    for (auto& each : callers) {
        each.join();
    }
    std::sort(samples.begin(), samples.end(),
              [](const auto& a, const auto& b) { return a.sent_ < b.sent_; });
    std::size_t broken = 0;
    const auto served = static_cast<std::size_t>(
        std::count_if(samples.begin(), samples.end(),
                      [](const auto& each) { return each.status_ == 200; }));
    for (std::size_t v = 0; v < versions.size(); ++v) {
        const auto [from, version] = versions[v];
        const long to =
            v + 1 < versions.size() ? versions[v + 1].first : now_ms();
        const auto in_force = [&, from = from](const sample& each) {
            return each.sent_ > from && each.answered_ < to &&
                   !each.service_.empty();
        };
        // A replica saw the effect before its answer was received.
        long shown = -1;
        for (const auto& each : samples) {
            if (in_force(each) && each.service_ == service_of(version)) {
                shown = shown < 0 ? each.answered_
                                  : std::min(shown, each.answered_);
            }
        }
        for (const auto& each : samples) {
            if (shown < 0 || !in_force(each) ||
                each.sent_ <= shown + rollback_slack_ms ||
                each.service_ == service_of(version)) {
                continue;
            }
            ++broken;
            record.line("REGRESS: a request sent at " +
                        std::to_string(each.sent_) + " ms was run by " +
                        each.service_ + ", as only a version before " +
                        std::to_string(version) +
                        " allows; its effect was seen " +
                        std::to_string(each.sent_ - shown) + " ms before");
        }
    }
    record.line(std::to_string(samples.size()) + " requests, " +
                std::to_string(served) + " served, " + std::to_string(broken) +
                " handled by an older version");
    const bool usable = served * 2 > samples.size() && cut_for <= cut_ms;
    finish(system, !usable ? 2 : broken > 0 ? 1 : 0);
}
