/// Bounds the bytes of answers that a process holds: while they are read from
/// an upstream, and then while they wait for their caller.
///
///     const auto totals = std::make_shared<answer_bytes>();
///     counted_bytes share{totals, limit};
///     if (!share.add(size)) { /* the total would exceed the limit */ }
///     share.set_complete(); // the answer waits for its caller
#ifndef PIMENTOFERRY_HTTP_COUNTED_BYTES_HPP
#define PIMENTOFERRY_HTTP_COUNTED_BYTES_HPP

#include <cstddef>
#include <memory>
#include <utility>

namespace pimentoferry::http {

struct answer_bytes {
    std::size_t being_read_{0};
    std::size_t complete_{0};
};

/// The bytes of one answer, counted until the object is destroyed.
class counted_bytes {
public:
    counted_bytes(std::shared_ptr<answer_bytes> totals, std::size_t limit)
        : totals_(std::move(totals)), limit_(limit) {}
    counted_bytes(const counted_bytes&) = delete;
    counted_bytes& operator=(const counted_bytes&) = delete;
    ~counted_bytes() { release(); }

    /// Adds `bytes`; returns false if the total would exceed the limit.
    bool add(std::size_t bytes) {
        const auto total = totals_->being_read_ + totals_->complete_;
        if (total + bytes > limit_) {
            return false;
        }
        totals_->being_read_ += bytes;
        held_ += bytes;
        return true;
    }

    /// Nothing more is added.
    void set_complete() {
        if (!complete_) {
            complete_ = true;
            totals_->being_read_ -= held_;
            totals_->complete_ += held_;
        }
    }

    /// Counts the bytes no longer.
    void release() {
        auto& part = complete_ ? totals_->complete_ : totals_->being_read_;
        part -= held_;
        held_ = 0;
    }

private:
    std::shared_ptr<answer_bytes> totals_;
    std::size_t limit_;
    std::size_t held_{0};
    bool complete_{false};
};

} // namespace pimentoferry::http

#endif
