/// Reads the fields of parsed JSON objects into members and records the first
/// error. Internal to `config`; C++17 only, because it includes cxxtools.
#ifndef PIMENTOFERRY_CONFIG_READER_HPP
#define PIMENTOFERRY_CONFIG_READER_HPP

#include "pimentoferry/base/time.hpp"
#include "pimentoferry/config/error.hpp"
#include "pimentoferry/config/state.hpp"
#include "pimentoferry/config/text_rules.hpp"

#include <cxxtools/serializationinfo.h>

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

namespace pimentoferry::config::internal {

using json = cxxtools::SerializationInfo;

/// JSON text of each enumerator.
template <class Enum>
using enum_names = std::vector<std::pair<std::string_view, Enum>>;

/// Tag for an object, or a list of objects, whose fields `describe` lists.
struct described {};

/// True for types whose elements are described instead of the type itself.
template <class T>
inline constexpr bool is_wrapper = false;
template <class T>
inline constexpr bool is_wrapper<std::vector<T>> = true;
template <class T>
inline constexpr bool is_wrapper<std::optional<T>> = true;

/// Keeps the first error and ignores later ones.
class error_sink {
public:
    explicit error_sink(std::string_view source) : source_(source) {}

    void add(std::string field, std::string value, std::string allowed);
    const std::optional<config_error>& first() const { return first_; }

private:
    std::string source_;
    std::optional<config_error> first_;
};

/// Returns the value as error messages display it, truncated when long.
std::string display_text(const json& value);

/// Readers of scalar values; each records an error and leaves `out` unchanged
/// on failure.
void read(const json& in,
          const std::string& path,
          error_sink& errors,
          std::string& out,
          const text_rule& rule);
void read(const json& in,
          const std::string& path,
          error_sink& errors,
          bool& out);
void read(const json& in,
          const std::string& path,
          error_sink& errors,
          double& out,
          real_range range);
void read(const json& in,
          const std::string& path,
          error_sink& errors,
          base::endpoint& out);
void read(const json& in,
          const std::string& path,
          error_sink& errors,
          object_ref& out);
std::optional<std::uint64_t> read_number(const json& in,
                                         const std::string& path,
                                         error_sink& errors,
                                         number_range range);

template <class Number>
void read(const json& in,
          const std::string& path,
          error_sink& errors,
          Number& out,
          number_range range) {
    if (const auto number = read_number(in, path, errors, range)) {
        out = static_cast<Number>(*number);
    }
}

inline void read(const json& in,
                 const std::string& path,
                 error_sink& errors,
                 base::milliseconds& out,
                 number_range range) {
    if (const auto number = read_number(in, path, errors, range)) {
        out = base::milliseconds{*number};
    }
}

inline void read(const json& in,
                 const std::string& path,
                 error_sink& errors,
                 std::chrono::duration<double>& out,
                 real_range range) {
    double value = out.count();
    read(in, path, errors, value, range);
    out = std::chrono::duration<double>{value};
}

template <class Tag>
void read(const json& in,
          const std::string& path,
          error_sink& errors,
          base::strong_name<Tag>& out,
          const text_rule& rule) {
    read(in, path, errors, out.value_, rule);
}

template <class Enum>
void read(const json& in,
          const std::string& path,
          error_sink& errors,
          Enum& out,
          const enum_names<Enum>& names) {
    std::string text;
    std::string allowed;
    if (in.typeName() == "string") {
        in.getValue(text);
    }
    for (const auto& [name, value] : names) {
        if (text == name) {
            out = value;
            return;
        }
        allowed += (allowed.empty() ? "" : " or ") + std::string{name};
    }
    errors.add(path, display_text(in), allowed);
}

template <class T, std::enable_if_t<!is_wrapper<T>, int> = 0>
void read(const json& in,
          const std::string& path,
          error_sink& errors,
          T& out,
          described);

/// Reads a list; each element is read with the same rule.
template <class T, class... Rule>
void read(const json& in,
          const std::string& path,
          error_sink& errors,
          std::vector<T>& out,
          const Rule&... rule) {
    if (in.category() != json::Array) {
        errors.add(path, display_text(in), "a list");
        return;
    }
    std::size_t index = 0;
    for (const json& element : in) {
        out.emplace_back();
        read(element, path + "[" + std::to_string(index) + "]", errors,
             out.back(), rule...);
        ++index;
    }
}

template <class T, class... Rule>
void read(const json& in,
          const std::string& path,
          error_sink& errors,
          std::optional<T>& out,
          const Rule&... rule) {
    read(in, path, errors, out.emplace(), rule...);
}

/// Reads one object; passed to `describe`, which names each field once.
class object_reader {
public:
    static constexpr bool writes = false;

    object_reader(const json& object, std::string path, error_sink& errors);

    /// Reads a field that must be present.
    template <class T, class... Rule>
    void required(std::string_view name, T& out, const Rule&... rule) {
        if (!find(name)) {
            errors_.add(path_of(name), "", "this field is required");
            return;
        }
        optional(name, out, rule...);
    }

    /// Reads a field that keeps its default when absent.
    template <class T, class... Rule>
    void optional(std::string_view name, T& out, const Rule&... rule) {
        allowed_.emplace_back(name);
        if (const json* value = find(name)) {
            read(*value, path_of(name), errors_, out, rule...);
        }
    }

    /// Records an error for each field that neither function above named.
    void finish();

    void reject(std::string_view name, std::string value, std::string allowed) {
        errors_.add(path_of(name), std::move(value), std::move(allowed));
    }

private:
    const json* find(std::string_view name) const;
    std::string path_of(std::string_view name) const;

    std::map<std::string, const json*, std::less<>> fields_;
    std::string path_;
    std::vector<std::string> allowed_;
    error_sink& errors_;
};

template <class T, std::enable_if_t<!is_wrapper<T>, int>>
void read(const json& in,
          const std::string& path,
          error_sink& errors,
          T& out,
          described) {
    object_reader reader{in, path, errors};
    describe(reader, out);
    reader.finish();
}

} // namespace pimentoferry::config::internal

#endif
