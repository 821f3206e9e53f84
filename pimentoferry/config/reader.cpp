#include "pimentoferry/config/reader.hpp"

#include <cxxtools/utf8.h>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace pimentoferry::config::internal {
namespace {

std::string text_of(const json& value) {
    cxxtools::String text;
    value.getValue(text);
    return cxxtools::Utf8(text).str();
}

std::string range_text(const std::string& least, const std::string& most) {
    return "a number from " + least + " to " + most;
}

/// Whether the whole text is a number; the result is stored in `out`.
template <class Number>
bool whole_number(const std::string& text, Number& out) {
    const char* const end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, out);
    return result.ec == std::errc{} && result.ptr == end;
}

} // namespace

void error_sink::add(std::string field,
                     std::string value,
                     std::string allowed) {
    if (!first_) {
        first_ = config_error{source_, 0, std::move(field), std::move(value),
                              std::move(allowed)};
    }
}

std::string shown(const json& value) {
    constexpr std::size_t shown_bytes = 80;
    if (value.category() == json::Object) {
        return "an object";
    }
    if (value.category() == json::Array) {
        return "a list";
    }
    if (value.isNull()) {
        return "null";
    }
    auto text = text_of(value);
    if (text.size() > shown_bytes) {
        text = text.substr(0, shown_bytes) + "...";
    }
    return value.typeName() == "string" ? '"' + text + '"' : text;
}

void read(const json& in,
          const std::string& path,
          error_sink& errors,
          std::string& out,
          const text_rule& rule) {
    if (in.typeName() == "string") {
        auto text = text_of(in);
        if (rule.accepts_(text)) {
            out = std::move(text);
            return;
        }
    }
    errors.add(path, shown(in), std::string{rule.allowed_});
}

void read(const json& in,
          const std::string& path,
          error_sink& errors,
          bool& out) {
    if (in.typeName() != "bool") {
        errors.add(path, shown(in), "true or false");
        return;
    }
    in.getValue(out);
}

void read(const json& in,
          const std::string& path,
          error_sink& errors,
          double& out,
          real_range range) {
    double number = 0;
    const bool numeric = in.typeName() == "int" || in.typeName() == "double";
    if (numeric && whole_number(text_of(in), number) && std::isfinite(number) &&
        number >= range.least_ && number <= range.most_) {
        out = number;
        return;
    }
    errors.add(
        path, shown(in),
        range_text(std::to_string(range.least_), std::to_string(range.most_)));
}

void read(const json& in,
          const std::string& path,
          error_sink& errors,
          base::endpoint& out) {
    if (in.typeName() == "string") {
        if (auto address = parse_endpoint(text_of(in))) {
            out = std::move(*address);
            return;
        }
    }
    errors.add(path, shown(in), std::string{allowed_endpoint});
}

std::optional<std::uint64_t> read_number(const json& in,
                                         const std::string& path,
                                         error_sink& errors,
                                         number_range range) {
    std::uint64_t number = 0;
    if (in.typeName() == "int" && whole_number(text_of(in), number) &&
        number >= range.least_ && number <= range.most_) {
        return number;
    }
    errors.add(path, shown(in),
               "a whole " + range_text(std::to_string(range.least_),
                                       std::to_string(range.most_)));
    return std::nullopt;
}

object_reader::object_reader(const json& object,
                             std::string path,
                             error_sink& errors)
    : path_(std::move(path)), errors_(errors) {
    if (object.category() != json::Object) {
        errors_.add(path_, shown(object), "an object");
        return;
    }
    for (const json& member : object) {
        const auto [place, added] = fields_.emplace(member.name(), &member);
        if (!added) {
            errors_.add(path_of(place->first), shown(member),
                        "a field may appear only once");
        }
    }
}

void object_reader::finish() {
    for (const auto& [name, value] : fields_) {
        if (std::find(allowed_.begin(), allowed_.end(), name) !=
            allowed_.end()) {
            continue;
        }
        std::string fields;
        for (const auto& field : allowed_) {
            fields += (fields.empty() ? "" : ", ") + field;
        }
        errors_.add(path_of(name), shown(*value),
                    "this field is unknown here; known are " + fields);
    }
}

const json* object_reader::find(std::string_view name) const {
    const auto place = fields_.find(name);
    return place == fields_.end() ? nullptr : place->second;
}

std::string object_reader::path_of(std::string_view name) const {
    return path_.empty() ? std::string{name} : path_ + "." + std::string{name};
}

} // namespace pimentoferry::config::internal
