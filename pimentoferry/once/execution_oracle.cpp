#include "pimentoferry/once/execution_oracle.hpp"

namespace pimentoferry::once {
namespace {

std::string name(base::request_id request) {
    return "request " + std::to_string(request.value_);
}

bool same(const stored_result& first, const stored_result& second) {
    return first.status_ == second.status_ &&
           first.content_type_ == second.content_type_ &&
           first.body_ == second.body_;
}

} // namespace

void execution_oracle::on_submitted(const submitted_call& call) {
    requests_[call.request_].call_ = call;
    keys_.try_emplace(call.key_);
}

void execution_oracle::on_disconnected(base::request_id request) {
    requests_.at(request).disconnected_ = true;
}

request_record& execution_oracle::record_response(base::request_id request,
                                                  response_kind kind,
                                                  base::time_point now) {
    auto& record = requests_.at(request);
    if (record.response_ != response_kind::none) {
        fail(name(request) + " was answered twice");
    }
    record.response_ = kind;
    record.responded_at_ = now;
    return record;
}

void execution_oracle::on_send(base::request_id request, base::time_point now) {
    const auto& record = record_response(request, response_kind::send, now);
    auto& key = keys_[record.call_.key_];
    if (!key.bound_body_) {
        key.bound_body_ = record.call_.body_hash_;
    }
    if (*key.bound_body_ != record.call_.body_hash_) {
        fail(name(request) + " was sent with another body for its key");
    }
    if (record.disconnected_) {
        fail(name(request) + " was sent after its caller had disconnected");
    }
}

stored_result execution_oracle::on_execution(base::request_id request) {
    auto& record = requests_.at(request);
    auto& key = keys_[record.call_.key_];
    ++key.executions_;
    if (key.executions_ > 1) {
        fail(name(request) + " executed its key again");
    }
    if (record.refused_ && record.refusal_.ran_ == base::ran_state::not_run) {
        fail(name(request) + " ran after it was refused with not_run");
    }
    record.ran_ = true;
    stored_result result{200, "text/plain", "result of " + name(request)};
    if (!key.result_) {
        key.result_ = result;
    }
    return result;
}

void execution_oracle::on_result_received(base::request_id request) {
    const auto& call = requests_.at(request).call_;
    keys_[call.key_].result_entry_ = call.entry_;
}

void execution_oracle::on_replay(base::request_id request,
                                 const stored_result& result,
                                 base::time_point now) {
    const auto& record = record_response(request, response_kind::replay, now);
    const auto& key = keys_[record.call_.key_];
    if (!key.result_ || !same(*key.result_, result)) {
        fail(name(request) + " received a replay that is not the first result");
    }
    if (key.bound_body_ != record.call_.body_hash_) {
        fail(name(request) + " received the replay of another body");
    }
}

void execution_oracle::on_refused(base::request_id request,
                                  const base::refusal& refusal,
                                  base::time_point now) {
    auto& record = requests_.at(request);
    if (record.response_ == response_kind::send) {
        if (record.refused_) {
            fail(name(request) + " was refused twice");
        }
    } else {
        record_response(request, response_kind::refused, now);
    }
    record.refused_ = true;
    record.refusal_ = refusal;
    if (record.ran_ && refusal.ran_ == base::ran_state::not_run) {
        fail(name(request) + " was refused with not_run although it ran");
    }
}

} // namespace pimentoferry::once
