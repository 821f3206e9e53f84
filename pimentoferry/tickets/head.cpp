#include "pimentoferry/tickets/head.hpp"

#include <charconv>
#include <numeric>
#include <sstream>

namespace pimentoferry::tickets {
namespace {

constexpr std::string_view version_line = "pimentoferry-tickets 1";
// Encodes the empty generation, because fields are separated by spaces.
constexpr std::string_view no_generation = "-";

} // namespace

std::string encode(const head& value) {
    std::string text{version_line};
    text += "\n" + std::to_string(value.number_) + " " +
            std::to_string(value.base_number_) + " " +
            (value.generation_.empty() ? std::string{no_generation}
                                       : value.generation_) +
            " " + std::to_string(value.parts_) + "\n";
    for (const auto& ticket : value.tickets_) {
        text += ticket;
        text += "\n";
    }
    return text;
}

std::optional<head> decode_head(std::string_view text) {
    std::istringstream in{std::string{text}};
    std::string line;
    head value;
    if (!std::getline(in, line) || line != version_line ||
        !(in >> value.number_ >> value.base_number_ >> value.generation_ >>
          value.parts_)) {
        return std::nullopt;
    }
    if (value.generation_ == no_generation) {
        value.generation_.clear();
    }
    std::getline(in, line);
    while (std::getline(in, line)) {
        value.tickets_.push_back(line);
    }
    if (value.base_number_ + value.tickets_.size() != value.number_) {
        return std::nullopt;
    }
    return value;
}

std::size_t ticket_bytes(const head& value) {
    return std::transform_reduce(
        value.tickets_.begin(), value.tickets_.end(), std::size_t{0},
        std::plus<>{}, [](const std::string& text) { return text.size(); });
}

std::string history_key(std::uint64_t number) {
    return "tickets/history/" + std::to_string(number);
}

std::string part_key(const std::string& generation, std::uint64_t part) {
    return std::string{state_prefix} + generation + "/" + std::to_string(part);
}

std::string generation_name(std::uint64_t base_number,
                            base::instance_id instance) {
    return std::to_string(base_number) + "-" + base::to_hex(instance.value_);
}

std::optional<part_name> parse_part_key(std::string_view key) {
    if (!key.starts_with(state_prefix)) {
        return std::nullopt;
    }
    key.remove_prefix(state_prefix.size());
    const auto generation = key.substr(0, key.find('/'));
    const auto* const end = generation.data() + generation.size();
    part_name name;
    const auto result =
        std::from_chars(generation.data(), end, name.base_number_);
    if (result.ec != std::errc{} || result.ptr == end || *result.ptr != '-') {
        return std::nullopt;
    }
    name.generation_ = std::string{generation};
    return name;
}

} // namespace pimentoferry::tickets
