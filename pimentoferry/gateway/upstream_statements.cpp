#include "pimentoferry/gateway/upstream_statements.hpp"

#include "pimentoferry/base/boot_time.hpp"
#include "pimentoferry/base/hash.hpp"
#include "pimentoferry/gateway/peer_relay.hpp"
#include "pimentoferry/log/log.hpp"

#include <algorithm>
#include <iterator>

namespace pimentoferry::gateway {

namespace {

constexpr base::milliseconds exchange_interval{500};
constexpr base::milliseconds unreadable_line_interval{1000};

leaving_instances to_message(const std::vector<routing::leaving_run>& known,
                             base::time_point now) {
    leaving_instances message;
    std::ranges::transform(
        known, std::back_inserter(message.instances_),
        [now](const routing::leaving_run& each) {
            return heard_leaving{
                each.instance_, each.started_at_ms_,
                base::milliseconds{base::age_ms(each.heard_at_, now)}};
        });
    return message;
}

} // namespace

void upstream_statements::observe(http::call_options& options,
                                  const caller_request& request,
                                  routing::instance instance) {
    options.on_skipped_ = [this, request_id = request.id_,
                           id = instance.id_](const http::response_head& head) {
        shared_.metrics_.count_send("skipped_answer",
                                    std::to_string(head.status_));
        log::log_warn("answer_skipped",
                      {{"request", request_id},
                       {"instance", id.value_},
                       {"status", std::to_string(head.status_)}});
    };
    options.on_new_connection_ = [this] { shared_.relay_->connected(); };
    options.on_head_ = [this, &request, instance = std::move(instance),
                        sent_at =
                            base::boot_now()](const http::response_head& head) {
        if (shared_.protocol_.is_of_instance_(request, head)) {
            // A report need not announce the limit that holds for requests.
            if (!request.id_.empty()) {
                limits_.answer_received(instance, head.fields_, sent_at);
            }
            read_leaving(request, instance, head.fields_);
            read_pause(request, instance, head);
        }
    };
}

void upstream_statements::read_leaving(const caller_request& request,
                                       const routing::instance& instance,
                                       const http::field_list& fields) {
    const auto now = base::clock::now();
    switch (shared_.protocol_.read_leaving_(fields)) {
    case leaving_statement::none:
        break;
    case leaving_statement::unreadable:
        if (now >= next_unreadable_line_) {
            next_unreadable_line_ = now + unreadable_line_interval;
            log::log_warn(
                "leaving_statement_unreadable",
                {{"request", request.id_}, {"instance", instance.id_.value_}});
        }
        break;
    case leaving_statement::leaves:
        const routing::leaving_run heard{instance.id_, instance.started_at_ms_,
                                         now};
        if (note_leaving(heard, "own_request", request.id_)) {
            peers_.send_to_all(to_message({heard}, now));
        }
        break;
    }
}

void upstream_statements::read_pause(const caller_request& request,
                                     const routing::instance& instance,
                                     const http::response_head& head) {
    const auto now = base::clock::now();
    const auto statement = shared_.protocol_.read_pause_(head);
    if (const auto* unreadable = std::get_if<unreadable_pause>(&statement)) {
        if (now >= next_unreadable_pause_line_) {
            next_unreadable_pause_line_ = now + unreadable_line_interval;
            log::log_warn("pause_unreadable",
                          {{"request", request.id_},
                           {"instance", instance.id_.value_},
                           {"text", unreadable->text_}});
        }
        return;
    }
    const auto* pause = std::get_if<requested_pause>(&statement);
    if (pause != nullptr &&
        shared_.pauses_.note(instance, pause->duration_, now)) {
        log::log_info("instance_paused",
                      {{"instance", instance.id_.value_},
                       {"ms", std::to_string(pause->duration_.count())},
                       {"request", request.id_}});
    }
}

bool upstream_statements::note_leaving(const routing::leaving_run& heard,
                                       std::string_view told_by,
                                       const std::string& request) {
    if (!shared_.registry_.note_leaving(heard)) {
        return false;
    }
    log::log_info("instance_leaving",
                  {{"instance", heard.instance_.value_},
                   {"started_at_ms", std::to_string(heard.started_at_ms_)},
                   {"age_ms", std::to_string(base::age_ms(heard.heard_at_,
                                                          base::clock::now()))},
                   {"told_by", std::string{told_by}},
                   {"request", request}});
    on_leaving_();
    return true;
}

void upstream_statements::receive(base::instance_id from,
                                  const leaving_instances& message) {
    const auto now = base::clock::now();
    for (const auto& each : message.instances_) {
        note_leaving(
            {each.instance_, each.started_at_ms_, now - each.heard_age_},
            base::to_hex(from.value_), "none");
    }
}

void upstream_statements::tick(base::time_point now) {
    std::ranges::for_each(shared_.pauses_.expire(now), [](const base::
                                                              upstream_name&
                                                                  instance) {
        log::log_info("instance_pause_ended", {{"instance", instance.value_}});
    });
    if (now < next_exchange_) {
        return;
    }
    next_exchange_ = now + exchange_interval;
    const auto leaving = shared_.registry_.instances().leaving();
    shared_.metrics_.set_gauge("leaving_instances",
                               static_cast<double>(leaving.size()));
    if (!leaving.empty()) {
        peers_.send_to_random(to_message(leaving, now));
    }
}

} // namespace pimentoferry::gateway
