/// JSON helpers for the sources of the I/O libraries. This is not a public
/// header: every source that includes it parses the jsoncpp headers.
#ifndef PIMENTOFERRY_HTTP_JSON_HPP
#define PIMENTOFERRY_HTTP_JSON_HPP

#include <jsoncpp/json/json.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace pimentoferry::http {

/// Writes the value on one line, as server-sent events require.
inline std::string write_json(const Json::Value& value) {
    static const auto builder = [] {
        Json::StreamWriterBuilder settings;
        settings["indentation"] = "";
        settings["emitUTF8"] = true;
        return settings;
    }();
    return Json::writeString(builder, value);
}

/// Parses `text`; returns nullopt if it is not exactly one JSON object.
inline std::optional<Json::Value> parse_object(std::string_view text) {
    static const auto builder = [] {
        Json::CharReaderBuilder settings;
        Json::CharReaderBuilder::strictMode(&settings.settings_);
        settings["rejectDupKeys"] = false;
        return settings;
    }();
    const std::unique_ptr<Json::CharReader> reader{builder.newCharReader()};
    Json::Value value;
    try {
        // jsoncpp throws if the nesting is deeper than its stack limit.
        if (!reader->parse(text.data(), text.data() + text.size(), &value,
                           nullptr) ||
            !value.isObject()) {
            return std::nullopt;
        }
    } catch (const Json::Exception&) {
        return std::nullopt;
    }
    return value;
}

/// Returns an unsigned member, or `fallback` if it is absent or of another
/// type.
inline std::uint32_t uint_member(const Json::Value& object,
                                 const char* name,
                                 std::uint32_t fallback) {
    const Json::Value& member = object[name];
    return member.isUInt() ? member.asUInt() : fallback;
}

/// Returns a string member, or the empty string if it is absent or of another
/// type.
inline std::string string_member(const Json::Value& object, const char* name) {
    const Json::Value& member = object[name];
    return member.isString() ? member.asString() : std::string{};
}

} // namespace pimentoferry::http

#endif
