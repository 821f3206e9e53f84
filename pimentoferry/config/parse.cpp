#include "pimentoferry/config/parse.hpp"

#include "pimentoferry/config/change.hpp"
#include "pimentoferry/config/objects.hpp"

#include <cxxtools/jsondeserializer.h>

#include <algorithm>
#include <set>
#include <sstream>

namespace pimentoferry::config {
namespace internal {

void read(const json& in,
          const std::string& path,
          error_sink& errors,
          object_ref& out) {
    static const std::vector<std::pair<std::string_view, object_kind>> kinds{
        {"deployments/", object_kind::deployment},
        {"services/", object_kind::service},
        {"callers/", object_kind::caller},
        {"upstreams/", object_kind::upstream}};
    std::string text;
    if (in.typeName() == "string") {
        in.getValue(text);
    }
    for (const auto& [prefix, kind] : kinds) {
        const auto name =
            std::string_view{text}.substr(std::min(prefix.size(), text.size()));
        if (text.rfind(prefix, 0) == 0 && object_name.accepts_(name)) {
            out = object_ref{kind, std::string{name}};
            return;
        }
    }
    errors.add(path, display_text(in),
               "an object such as deployments/chat, services/desk, "
               "callers/ana or upstreams/engine-1");
}

} // namespace internal

namespace {

using internal::error_sink;
using internal::json;

/// The JSON parser recurses into nested values, so deep nesting would exhaust
/// the stack. No object here nests deeper than 6.
constexpr int max_nesting = 16;

/// Scans the text for errors before it is parsed, because the JSON parser
/// neither limits nesting nor examines what follows the first value.
class text_scan {
public:
    explicit text_scan(std::string_view text) : text_(text) {
        while (position_ < text_.size() && !error_) {
            scan_next();
        }
    }

    const char* error() const { return error_; }
    unsigned line() const { return line_; }

private:
    char peek_next() const {
        return position_ + 1 < text_.size() ? text_[position_ + 1] : '\0';
    }

    void advance() {
        line_ += text_[position_] == '\n' ? 1U : 0U;
        ++position_;
    }

    void scan_next() {
        const char c = text_[position_];
        if (c == '/' && (peek_next() == '/' || peek_next() == '*')) {
            skip_comment();
            return;
        }
        if (static_cast<unsigned char>(c) > ' ') {
            scan_significant(c);
        }
        if (c == '"') {
            skip_string();
        } else {
            advance();
        }
    }

    void scan_significant(char c) {
        if (object_ended_) {
            error_ = "nothing after the end of the object";
        } else if (c == '{' || c == '[') {
            ++depth_;
            error_ = depth_ > max_nesting ? "at most 16 nested values" : error_;
        } else if (c == '}' || c == ']') {
            --depth_;
            object_ended_ = depth_ == 0;
            const bool after_comma = last_significant_ == ',';
            error_ = after_comma ? "no comma before a closing bracket" : error_;
        }
        last_significant_ = c;
    }

    void skip_comment() {
        const bool line_comment = peek_next() == '/';
        advance();
        advance();
        while (position_ < text_.size()) {
            const bool ends =
                line_comment ? text_[position_] == '\n'
                             : text_[position_] == '*' && peek_next() == '/';
            if (ends) {
                break;
            }
            advance();
        }
        for (int i = 0; !line_comment && i < 2 && position_ < text_.size();
             ++i) {
            advance();
        }
    }

    void skip_string() {
        advance();
        while (position_ < text_.size() && text_[position_] != '"') {
            if (text_[position_] == '\\' && position_ + 1 < text_.size()) {
                advance();
            }
            advance();
        }
        if (position_ < text_.size()) {
            advance();
        }
    }

    std::string_view text_;
    std::size_t position_{0};
    unsigned line_{1};
    int depth_{0};
    char last_significant_{'\0'};
    bool object_ended_{false};
    const char* error_{nullptr};
};

/// Returns the parser's message without its prefix "parsing json failed in
/// line 3: " and stores that line in `line`, because an error has its own
/// field for it.
std::string strip_line_prefix(const std::string& message, unsigned& line) {
    const std::string prefix = "parsing json failed in line ";
    const auto colon = message.find(": ");
    if (message.rfind(prefix, 0) != 0 || colon == std::string::npos) {
        return message;
    }
    line = static_cast<unsigned>(
        std::strtoul(message.c_str() + prefix.size(), nullptr, 10));
    return message.substr(colon + 2);
}

template <class T>
parsed<T> parse(std::string_view text, std::string_view source) {
    const text_scan scan{text};
    if (scan.error() != nullptr) {
        return config_error{std::string{source}, scan.line(), "",
                            "invalid JSON", scan.error()};
    }
    T value;
    error_sink errors{source};
    try {
        std::istringstream in{std::string{text}};
        const cxxtools::JsonDeserializer deserializer{in};
        internal::read(deserializer.si(), "", errors, value,
                       internal::described{});
    } catch (const std::exception& failure) {
        unsigned line = 0;
        auto message = strip_line_prefix(failure.what(), line);
        return config_error{std::string{source}, line, "", std::move(message),
                            "a JSON object with comments"};
    }
    if (const auto& error = errors.first()) {
        return *error;
    }
    return value;
}

/// Returns the first object that a ticket sets or removes more than once.
std::optional<std::string> repeated_object(const ticket& value) {
    std::set<std::string> seen;
    for (const auto& reference : touched_objects(value)) {
        auto text = to_string(reference);
        if (!seen.insert(text).second) {
            return text;
        }
    }
    return std::nullopt;
}

/// Moves `objects` into `out` and records an error for each repeated name.
template <class Map, class List>
void move_into_map(Map& out,
                   List& objects,
                   const char* list_name,
                   error_sink& errors) {
    std::size_t index = 0;
    for (auto& object : objects) {
        auto name = object.name_;
        if (!out.emplace(name, std::move(object)).second) {
            errors.add(std::string{list_name} + "[" + std::to_string(index) +
                           "].name",
                       '"' + name.value_ + '"', "a name may appear only once");
        }
        ++index;
    }
}

} // namespace

parsed<settings> parse_settings(std::string_view text,
                                std::string_view source) {
    return parse<settings>(text, source);
}

parsed<gateway_settings> parse_gateway_settings(std::string_view text,
                                                std::string_view source) {
    return parse<gateway_settings>(text, source);
}

parsed<ticket> parse_ticket(std::string_view text, std::string_view source) {
    auto result = parse<ticket>(text, source);
    const auto* value = std::get_if<ticket>(&result);
    if (value == nullptr) {
        return result;
    }
    if (touched_objects(*value).empty()) {
        return config_error{std::string{source}, 0, "ticket", "no object",
                            "a ticket sets or removes at least one object"};
    }
    if (const auto object = repeated_object(*value)) {
        return config_error{std::string{source}, 0, *object, "",
                            "an object may appear only once in a ticket"};
    }
    return result;
}

parsed<state> parse_state(std::string_view text, std::string_view source) {
    auto result = parse<internal::state_lists>(text, source);
    if (auto* error = std::get_if<config_error>(&result)) {
        return std::move(*error);
    }
    auto& lists = std::get<internal::state_lists>(result);
    error_sink errors{source};
    state value;
    value.policy_ = lists.policy_;
    move_into_map(value.deployments_, lists.deployments_, "deployments",
                  errors);
    move_into_map(value.services_, lists.services_, "services", errors);
    move_into_map(value.callers_, lists.callers_, "callers", errors);
    move_into_map(value.upstreams_, lists.upstreams_, "upstreams", errors);
    if (const auto& error = errors.first()) {
        return *error;
    }
    return value;
}

std::string to_string(const config_error& error) {
    std::string text = error.source_;
    if (error.line_ != 0) {
        text += ":" + std::to_string(error.line_);
    }
    if (!error.field_.empty()) {
        text += ": " + error.field_;
    }
    if (!error.value_.empty()) {
        text += ": " + error.value_;
    }
    return text + "; allowed: " + error.allowed_;
}

} // namespace pimentoferry::config
