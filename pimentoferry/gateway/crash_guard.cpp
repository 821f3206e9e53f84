#include "pimentoferry/gateway/crash_guard.hpp"

#include "pimentoferry/base/hash.hpp"
#include "pimentoferry/log/log.hpp"

#include <algorithm>
#include <iterator>

namespace pimentoferry::gateway {

namespace {

constexpr base::milliseconds exchange_interval{500};

// Engines that crashed are back after some seconds. The quarantine doubles with
// each crash; a part that has crashed five engines is not tried again for two
// hours.
constexpr base::milliseconds first_quarantine{20'000};
constexpr base::milliseconds longest_quarantine{7'200'000};
constexpr std::uint8_t crashes_to_longest = 5;

requests::quarantine_limits guard_limits() {
    requests::quarantine_limits limits;
    limits.first_quarantine_ = first_quarantine;
    limits.longest_quarantine_ = longest_quarantine;
    limits.crashes_to_longest_ = crashes_to_longest;
    return limits;
}

blamed_parts to_message(const std::vector<requests::crash_mark>& marks) {
    blamed_parts message;
    std::ranges::transform(
        marks, std::back_inserter(message.marks_),
        [](const requests::crash_mark& mark) {
            return part_mark{mark.fingerprint_, mark.crashes_, mark.remaining_};
        });
    return message;
}

} // namespace

requests::prompt_parts parts_of(const caller_request& request) {
    return request.prompt_ ? requests::prompt_parts{request.prompt_->parts_,
                                                    request.prompt_->id_}
                           : requests::prompt_parts{};
}

std::string shared_parts_text(const requests::prompt_parts& parts) {
    std::string text;
    for (const auto part : parts.shared_) {
        text += (text.empty() ? "" : ",") + base::to_hex(part);
    }
    return text.empty() ? "none" : text;
}

crash_guard::crash_guard(peers& peer_gateways,
                         store::http_store& store,
                         metrics& counters,
                         const wire::fleet_key& key)
    : peers_(peer_gateways), counters_(counters), record_(store), key_(key),
      marks_(guard_limits()) {}

std::size_t crash_guard::writers_before_this_one() const {
    const auto score = [](base::instance_id instance) {
        return base::rendezvous_score(crash_record_key, instance.value_);
    };
    const auto live = peers_.live();
    return static_cast<std::size_t>(
        std::ranges::count_if(live, [&](const membership::member& member) {
            return score(member.instance_) > score(peers_.self());
        }));
}

std::optional<base::milliseconds>
crash_guard::refused_for(const requests::prompt_parts& parts,
                         base::time_point now) const {
    return marks_.refused_for(parts, now);
}

std::optional<base::milliseconds>
crash_guard::admit(const requests::prompt_parts& parts, base::time_point now) {
    auto admitted = marks_.admit(parts, now);
    if (!admitted.tried_.empty()) {
        for (const auto part : admitted.tried_) {
            log::log_info("part_tried", {{"part", base::to_hex(part)}});
        }
        peers_.send_to_all(tried_parts{std::move(admitted.tried_)});
    }
    return admitted.refused_for_;
}

bool crash_guard::is_suspect(const requests::prompt_parts& parts,
                             base::time_point now) const {
    return marks_.is_suspect(parts, now);
}

void crash_guard::log_mark(const requests::crash_mark& mark,
                           std::string_view told_by) const {
    log::log_warn("part_blamed",
                  {{"part", base::to_hex(mark.fingerprint_)},
                   {"crashes", std::to_string(mark.crashes_)},
                   {"remaining_ms", std::to_string(mark.remaining_.count())},
                   {"told_by", std::string{told_by}}});
}

void crash_guard::upstream_crashed(const std::string& request,
                                   const requests::prompt_parts& parts,
                                   const base::upstream_name& upstream,
                                   base::time_point run_began) {
    const auto raised =
        marks_.record_crash(parts, base::clock::now(), run_began);
    log::log_warn("upstream_crashed",
                  {{"request", request},
                   {"instance", upstream.value_},
                   {"shared_parts", shared_parts_text(parts)},
                   {"own_part", base::to_hex(parts.own_)},
                   {"marks", std::to_string(raised.size())}});
    for (const auto& mark : raised) {
        log_mark(mark, "own_request");
    }
    if (!raised.empty()) {
        peers_.send_to_all(to_message(raised));
    }
}

void crash_guard::answer_began(const std::string& request,
                               const requests::prompt_parts& parts) {
    const auto cleared = marks_.record_begin(parts, base::clock::now());
    if (cleared.empty()) {
        return;
    }
    for (const auto part : cleared) {
        log::log_info("part_cleared",
                      {{"part", base::to_hex(part)}, {"request", request}});
    }
    peers_.send_to_all(sound_parts{cleared});
}

sound_parts crash_guard::merge(const blamed_parts& message,
                               std::string_view told_by) {
    const auto now = base::clock::now();
    sound_parts refuted;
    for (const auto& received : message.marks_) {
        const requests::crash_mark mark{received.part_, received.crashes_,
                                        received.remaining_};
        switch (marks_.merge(mark, now)) {
        case requests::merge_result::changed:
            log_mark(mark, told_by);
            break;
        case requests::merge_result::refuted:
            refuted.parts_.push_back(received.part_);
            break;
        case requests::merge_result::unchanged:
            break;
        }
    }
    return refuted;
}

void crash_guard::receive(base::instance_id from, const blamed_parts& message) {
    auto refuted = merge(message, base::to_hex(from.value_));
    if (!refuted.parts_.empty()) {
        peers_.send(from, std::move(refuted));
    }
}

void crash_guard::receive(const store::item& record) {
    if (record.key_ != crash_record_key) {
        return;
    }
    if (const auto parts = crash_record::read(record.value_)) {
        merge(*parts, "store");
    } else {
        log::log_warn("crash_record_unreadable",
                      {{"revision", std::to_string(record.revision_)}});
    }
}

void crash_guard::receive(const sound_parts& message) {
    const auto now = base::clock::now();
    std::ranges::for_each(message.parts_, [&](std::uint64_t part) {
        marks_.merge_sound(part, now);
    });
}

void crash_guard::receive(const tried_parts& message) {
    const auto now = base::clock::now();
    std::ranges::for_each(message.parts_, [&](std::uint64_t part) {
        marks_.merge_trial(part, now);
    });
}

void crash_guard::tick(const store::mirror& replica, base::time_point now) {
    if (now < next_exchange_) {
        return;
    }
    next_exchange_ = now + exchange_interval;
    const auto marks = marks_.marks(now);
    counters_.set_gauge("blamed_prompt_parts",
                        static_cast<double>(marks.size()));
    if (!marks.empty()) {
        peers_.send_to_random(to_message(marks));
    }
    std::vector<requests::crash_mark> quarantined;
    std::ranges::copy_if(marks, std::back_inserter(quarantined),
                         [&](const requests::crash_mark& mark) {
                             return marks_.is_quarantined(mark.fingerprint_,
                                                          now);
                         });
    record_.update(to_message(quarantined), writers_before_this_one(), replica,
                   now);
}

} // namespace pimentoferry::gateway
