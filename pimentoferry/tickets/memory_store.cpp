#include "pimentoferry/tickets/memory_store.hpp"

#include "pimentoferry/base/overloaded.hpp"

namespace pimentoferry::tickets::testing {

store::outcome memory_store::apply(const store::request& request) {
    const auto current = [&](const std::string& key) {
        const auto position = keys_.find(key);
        return position == keys_.end() ? 0 : position->second.revision_;
    };
    return std::visit(
        base::overloaded{
            [&](const store::get& get) -> store::outcome {
                const auto position = keys_.find(get.key_);
                if (position == keys_.end()) {
                    return store::not_found{};
                }
                return position->second;
            },
            [&](const store::put& put) -> store::outcome {
                if (current(put.key_) != put.expected_) {
                    return store::conflict{current(put.key_)};
                }
                keys_[put.key_] = store::found{put.value_, ++revision_};
                return store::written{revision_};
            },
            [&](const store::erase& erase) -> store::outcome {
                if (current(erase.key_) != erase.expected_) {
                    return store::conflict{current(erase.key_)};
                }
                keys_.erase(erase.key_);
                return store::erased{};
            },
            [&](const store::list& list) -> store::outcome {
                store::listed listed;
                for (const auto& [key, value] : keys_) {
                    if (key.starts_with(list.prefix_)) {
                        listed.keys_.push_back({key, value.revision_});
                    }
                }
                return listed;
            },
            [](const auto&) -> store::outcome { return store::unavailable{}; },
        },
        request);
}

} // namespace pimentoferry::tickets::testing
