/// JSON values for the requests, answers and switches of the stand-ins.
///
///     const auto body = parse_json(R"({"slots":20})");
///     const auto slots = number_or(body, "slots", 0);
///     json answer{json::object{{"accepted", json{true}}}};
///     const std::string text = to_text(answer);
///
/// The header is valid C++17 because cxxtools, which parses and writes the
/// text, does not compile as C++20.
#ifndef PIMENTOFERRY_STANDINS_JSON_HPP
#define PIMENTOFERRY_STANDINS_JSON_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace pimentoferry::standins {

/// A JSON value; a default-constructed one is `null`.
struct json {
    using array = std::vector<json>;
    using object = std::map<std::string, json>;

    std::variant<std::nullptr_t,
                 bool,
                 std::int64_t,
                 double,
                 std::string,
                 array,
                 object>
        value_{nullptr};

    json() = default;
    explicit json(bool value) : value_(value) {}
    explicit json(double value) : value_(value) {}
    explicit json(std::string value) : value_(std::move(value)) {}
    explicit json(std::string_view value) : value_(std::string{value}) {}
    explicit json(const char* value) : value_(std::string{value}) {}
    explicit json(array value) : value_(std::move(value)) {}
    explicit json(object value) : value_(std::move(value)) {}
    template <class Integer,
              class = std::enable_if_t<std::is_integral_v<Integer> &&
                                       !std::is_same_v<Integer, bool>>>
    explicit json(Integer value) : value_(static_cast<std::int64_t>(value)) {}
};

/// Returns an empty optional when the text is not JSON.
std::optional<json> parse_json(const std::string& text);

std::string to_text(const json& value);

/// Returns the member of an object, or null when `value` is not an object or
/// lacks the member.
const json* find_member(const json& value, const std::string& name);

/// Return the member if it has the type of the function, else `otherwise`.
/// Numbers are converted between integer and floating point.
std::int64_t
number_or(const json& value, const std::string& name, std::int64_t otherwise);
double real_or(const json& value, const std::string& name, double otherwise);
bool bool_or(const json& value, const std::string& name, bool otherwise);
std::string text_or(const json& value,
                    const std::string& name,
                    const std::string& otherwise);

/// Returns the elements of the member; empty when it is not an array.
json::array array_of(const json& value, const std::string& name);

} // namespace pimentoferry::standins

#endif
