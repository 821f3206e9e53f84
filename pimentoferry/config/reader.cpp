#include "pimentoferry/config/reader.hpp"

#include <cxxtools/utf8.h>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace pimentoferry::config::internal {
namespace {

std::string utf8_text(const json& value) {
    cxxtools::String text;
    value.getValue(text);
    return cxxtools::Utf8(text).str();
}

std::string range_text(const std::string& min, const std::string& max) {
    return "a number from " + min + " to " + max;
}

/// Parses the whole text as a number into `out`; false when it is not one.
template <class Number>
bool parse_number(const std::string& text, Number& out) {
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

std::string display_text(const json& value) {
    constexpr std::size_t max_display_bytes = 80;
    if (value.category() == json::Object) {
        return "an object";
    }
    if (value.category() == json::Array) {
        return "a list";
    }
    if (value.isNull()) {
        return "null";
    }
    auto text = utf8_text(value);
    if (text.size() > max_display_bytes) {
        text = text.substr(0, max_display_bytes) + "...";
    }
    return value.typeName() == "string" ? '"' + text + '"' : text;
}

void read(const json& in,
          const std::string& path,
          error_sink& errors,
          std::string& out,
          const text_rule& rule) {
    if (in.typeName() == "string") {
        auto text = utf8_text(in);
        if (rule.accepts_(text)) {
            out = std::move(text);
            return;
        }
    }
    errors.add(path, display_text(in), std::string{rule.allowed_});
}

void read(const json& in,
          const std::string& path,
          error_sink& errors,
          bool& out) {
    if (in.typeName() != "bool") {
        errors.add(path, display_text(in), "true or false");
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
    if (numeric && parse_number(utf8_text(in), number) &&
        std::isfinite(number) && number >= range.min_ && number <= range.max_) {
        out = number;
        return;
    }
    errors.add(
        path, display_text(in),
        range_text(std::to_string(range.min_), std::to_string(range.max_)));
}

void read(const json& in,
          const std::string& path,
          error_sink& errors,
          base::endpoint& out) {
    if (in.typeName() == "string") {
        if (auto address = parse_endpoint(utf8_text(in))) {
            out = std::move(*address);
            return;
        }
    }
    errors.add(path, display_text(in), std::string{allowed_endpoint});
}

std::optional<std::uint64_t> read_number(const json& in,
                                         const std::string& path,
                                         error_sink& errors,
                                         number_range range) {
    std::uint64_t number = 0;
    if (in.typeName() == "int" && parse_number(utf8_text(in), number) &&
        number >= range.min_ && number <= range.max_) {
        return number;
    }
    errors.add(path, display_text(in),
               "a whole " + range_text(std::to_string(range.min_),
                                       std::to_string(range.max_)));
    return std::nullopt;
}

object_reader::object_reader(const json& object,
                             std::string path,
                             error_sink& errors)
    : path_(std::move(path)), errors_(errors) {
    if (object.category() != json::Object) {
        errors_.add(path_, display_text(object), "an object");
        return;
    }
    for (const json& member : object) {
        const auto [field, inserted] = fields_.emplace(member.name(), &member);
        if (!inserted) {
            errors_.add(path_of(field->first), display_text(member),
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
        errors_.add(path_of(name), display_text(*value),
                    "this field is unknown here; known are " + fields);
    }
}

const json* object_reader::find(std::string_view name) const {
    const auto it = fields_.find(name);
    return it == fields_.end() ? nullptr : it->second;
}

std::string object_reader::path_of(std::string_view name) const {
    return path_.empty() ? std::string{name} : path_ + "." + std::string{name};
}

} // namespace pimentoferry::config::internal
