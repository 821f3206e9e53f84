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

void execution_oracle::on_asked(const asked_request& asked) {
    requests_[asked.request_].asked_ = asked;
    keys_.try_emplace(asked.key_);
}

void execution_oracle::on_left(base::request_id request) {
    requests_.at(request).left_ = true;
}

request_record& execution_oracle::told(base::request_id request,
                                       told_kind kind,
                                       base::time_point now) {
    auto& record = requests_.at(request);
    if (record.told_ != told_kind::nothing) {
        fail(name(request) + " was answered twice");
    }
    record.told_ = kind;
    record.told_at_ = now;
    return record;
}

void execution_oracle::on_send(base::request_id request, base::time_point now) {
    const auto& record = told(request, told_kind::send, now);
    auto& key = keys_[record.asked_.key_];
    if (!key.bound_body_) {
        key.bound_body_ = record.asked_.body_hash_;
    }
    if (*key.bound_body_ != record.asked_.body_hash_) {
        fail(name(request) + " was sent with another body for its key");
    }
    if (record.left_) {
        fail(name(request) + " was sent after its caller had left");
    }
}

stored_result execution_oracle::on_execution(base::request_id request) {
    auto& record = requests_.at(request);
    auto& key = keys_[record.asked_.key_];
    ++key.executions_;
    if (key.executions_ > 1) {
        fail(name(request) + " ran its key again");
    }
    if (record.refused_ && record.refusal_.ran_ == base::ran_state::not_run) {
        fail(name(request) + " ran after its caller was told not_run");
    }
    record.ran_ = true;
    stored_result result{200, "text/plain", "result of " + name(request)};
    if (!key.result_) {
        key.result_ = result;
    }
    return result;
}

void execution_oracle::on_result_received(base::request_id request) {
    const auto& asked = requests_.at(request).asked_;
    keys_[asked.key_].result_at_ = asked.entry_;
}

void execution_oracle::on_replay(base::request_id request,
                                 const stored_result& result,
                                 base::time_point now) {
    const auto& record = told(request, told_kind::replay, now);
    const auto& key = keys_[record.asked_.key_];
    if (!key.result_ || !same(*key.result_, result)) {
        fail(name(request) + " was replayed a result that is not the first");
    }
    if (key.bound_body_ != record.asked_.body_hash_) {
        fail(name(request) + " was replayed the result of another body");
    }
}

void execution_oracle::on_refused(base::request_id request,
                                  const base::refusal& refusal,
                                  base::time_point now) {
    auto& record = requests_.at(request);
    if (record.told_ == told_kind::send) {
        if (record.refused_) {
            fail(name(request) + " was refused twice");
        }
    } else {
        told(request, told_kind::refused, now);
    }
    record.refused_ = true;
    record.refusal_ = refusal;
    if (record.ran_ && refusal.ran_ == base::ran_state::not_run) {
        fail(name(request) + " was told not_run although it ran");
    }
}

} // namespace pimentoferry::once
