/// Writes members as fields of a JSON object. Internal to `config`; C++17
/// only, because it includes cxxtools.
#ifndef PIMENTOFERRY_CONFIG_WRITER_HPP
#define PIMENTOFERRY_CONFIG_WRITER_HPP

#include "pimentoferry/config/reader.hpp"

#include <cxxtools/utf8.h>

#include <array>
#include <charconv>
#include <optional>
#include <string>
#include <vector>

namespace pimentoferry::config::internal {

inline void write(json& out, const std::string& value, const text_rule&) {
    out <<= cxxtools::Utf8(value);
}

inline void write(json& out, bool value) {
    out.setValue(value);
}

/// Writes the shortest text that parses back to the same value.
inline void write(json& out, double value, real_range) {
    std::array<char, 32> text{};
    const auto end =
        std::to_chars(text.data(), text.data() + text.size(), value).ptr;
    out.setValue(std::string{text.data(), end});
    out.setTypeName("double");
}

template <class Number>
void write(json& out, Number value, number_range) {
    out.setValue(static_cast<unsigned long long>(value));
}

inline void write(json& out, base::milliseconds value, number_range) {
    out.setValue(static_cast<unsigned long long>(value.count()));
}

inline void write(json& out, const base::endpoint& value) {
    out.setValue(base::to_string(value));
}

void write(json& out, const object_ref& value);

template <class Tag>
void write(json& out,
           const base::strong_name<Tag>& value,
           const text_rule& rule) {
    write(out, value.value_, rule);
}

template <class Enum>
void write(json& out, const Enum& value, const enum_names<Enum>& names) {
    for (const auto& [name, candidate] : names) {
        if (candidate == value) {
            out.setValue(std::string{name});
        }
    }
}

template <class T, std::enable_if_t<!is_wrapper<T>, int> = 0>
void write(json& out, const T& value, described);

template <class T, class... Rule>
void write(json& out, const std::vector<T>& values, const Rule&... rule) {
    out.setCategory(json::Array);
    for (const auto& value : values) {
        write(out.addMember(), value, rule...);
    }
}

template <class T, class... Rule>
void write(json& out, const std::optional<T>& value, const Rule&... rule) {
    if (value) {
        write(out, *value, rule...);
    }
}

template <class T>
bool is_absent(const T&) {
    return false;
}

template <class T>
bool is_absent(const std::optional<T>& value) {
    return !value;
}

/// Writes one object; passed to `describe`, which names each field once.
class object_writer {
public:
    static constexpr bool writes = true;

    explicit object_writer(json& object) : object_(object) {
        object_.setCategory(json::Object);
    }

    template <class T, class... Rule>
    void required(std::string_view name, const T& value, const Rule&... rule) {
        if (!is_absent(value)) {
            write(object_.addMember(std::string{name}), value, rule...);
        }
    }

    template <class T, class... Rule>
    void optional(std::string_view name, const T& value, const Rule&... rule) {
        required(name, value, rule...);
    }

    void reject(std::string_view, const std::string&, const std::string&) {}

private:
    json& object_;
};

template <class T, std::enable_if_t<!is_wrapper<T>, int>>
void write(json& out, const T& value, described) {
    object_writer writer{out};
    describe(writer, value);
}

} // namespace pimentoferry::config::internal

#endif
