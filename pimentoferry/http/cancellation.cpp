#include "pimentoferry/http/cancellation.hpp"

#include <utility>

namespace pimentoferry::http {

void cancellation::request() {
    if (requested_) {
        return;
    }
    requested_ = true;
    // A subscriber may unsubscribe others, so the map is moved to a local
    // first.
    const auto subscribers = std::exchange(subscribers_, {});
    for (const auto& [id, notify] : subscribers) {
        notify();
    }
}

cancellation::subscription_id
cancellation::subscribe(std::function<void()> notify) {
    if (requested_) {
        notify();
        return 0;
    }
    const auto id = next_id_++;
    subscribers_.emplace(id, std::move(notify));
    return id;
}

void cancellation::unsubscribe(subscription_id id) {
    subscribers_.erase(id);
}

subscription::subscription(std::shared_ptr<cancellation> source,
                           std::function<void()> notify)
    : source_(std::move(source)) {
    if (source_) {
        id_ = source_->subscribe(std::move(notify));
    }
}

subscription::subscription(subscription&& other) noexcept
    : source_(std::move(other.source_)), id_(other.id_) {}

subscription& subscription::operator=(subscription&& other) noexcept {
    if (this != &other) {
        release();
        source_ = std::move(other.source_);
        id_ = other.id_;
    }
    return *this;
}

subscription::~subscription() {
    release();
}

void subscription::release() {
    if (source_) {
        source_->unsubscribe(id_);
        source_.reset();
    }
}

} // namespace pimentoferry::http
