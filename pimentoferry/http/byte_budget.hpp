/// Bounds the bytes that are held at the same time.
///
/// Load: many callers that send large bodies at once. Each body is within the
/// limit of a request; all together would exceed the memory of the process.
///
///     byte_budget bodies;
///     bodies.set_limit(std::size_t{32} << 20);
///     byte_reservation held{bodies};
///     if (!held.grow_to(length)) { /* refuse */ }
///
/// A reservation returns its bytes when it is destroyed; its budget must
/// outlive it.
#ifndef PIMENTOFERRY_HTTP_BYTE_BUDGET_HPP
#define PIMENTOFERRY_HTTP_BYTE_BUDGET_HPP

#include <algorithm>
#include <cstddef>

namespace pimentoferry::http {

class byte_budget {
public:
    /// 0: no limit. A lower limit does not affect what is held already.
    void set_limit(std::size_t bytes) { limit_ = bytes; }

    std::size_t held() const { return held_; }

private:
    friend class byte_reservation;

    bool take(std::size_t bytes) {
        const bool fits = limit_ == 0 || held_ + bytes <= limit_;
        held_ += fits ? bytes : 0;
        return fits;
    }
    void give_back(std::size_t bytes) { held_ -= std::min(bytes, held_); }

    std::size_t limit_{0};
    std::size_t held_{0};
};

class byte_reservation {
public:
    explicit byte_reservation(byte_budget& budget) : budget_(budget) {}
    byte_reservation(const byte_reservation&) = delete;
    byte_reservation& operator=(const byte_reservation&) = delete;
    ~byte_reservation() { clear(); }

    /// Returns false, and holds what it held before, if the budget does not
    /// allow it.
    bool grow_to(std::size_t bytes) {
        if (bytes <= held_) {
            return true;
        }
        const bool taken = budget_.take(bytes - held_);
        held_ = taken ? bytes : held_;
        return taken;
    }

    void shrink_to(std::size_t bytes) {
        if (bytes < held_) {
            budget_.give_back(held_ - bytes);
            held_ = bytes;
        }
    }

    void clear() { shrink_to(0); }

private:
    byte_budget& budget_;
    std::size_t held_{0};
};

} // namespace pimentoferry::http

#endif
