#include "pimentoferry/once/simulated_store.hpp"

#include "pimentoferry/base/overloaded.hpp"

#include <variant>

namespace pimentoferry::once {

store::outcome simulated_store::apply(const store::request& request) {
    return std::visit(
        base::overloaded{
            [&](const store::get& r) { return get(r); },
            [&](const store::put& r) { return put(r); },
            [&](const store::erase& r) { return erase(r); },
            [&](const store::list& r) { return list(r); },
            [](const auto&) { return store::outcome{store::unavailable{}}; }},
        request);
}

store::outcome simulated_store::get(const store::get& request) {
    ++reads_;
    const auto found = values_.find(request.key_);
    if (found == values_.end()) {
        return store::not_found{};
    }
    return found->second;
}

store::outcome simulated_store::put(const store::put& request) {
    ++writes_;
    const auto found = values_.find(request.key_);
    const auto current = found == values_.end() ? 0 : found->second.revision_;
    if (current != request.expected_) {
        return store::conflict{current};
    }
    values_[request.key_] = {request.value_, ++last_revision_};
    return store::written{last_revision_};
}

store::outcome simulated_store::erase(const store::erase& request) {
    ++writes_;
    const auto found = values_.find(request.key_);
    if (found == values_.end()) {
        return store::not_found{};
    }
    if (found->second.revision_ != request.expected_) {
        return store::conflict{found->second.revision_};
    }
    values_.erase(found);
    return store::erased{};
}

store::outcome simulated_store::list(const store::list& request) {
    ++reads_;
    store::listed listed;
    for (const auto& [key, value] : values_) {
        if (key.starts_with(request.prefix_)) {
            listed.keys_.push_back({key, value.revision_});
        }
    }
    return listed;
}

std::size_t simulated_store::bytes(const std::string& prefix) const {
    std::size_t sum = 0;
    for (const auto& [key, value] : values_) {
        if (key.starts_with(prefix)) {
            sum += value.value_.size();
        }
    }
    return sum;
}

} // namespace pimentoferry::once
