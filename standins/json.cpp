#include "standins/json.hpp"

#include <cxxtools/jsondeserializer.h>
#include <cxxtools/jsonserializer.h>
#include <cxxtools/serializationinfo.h>

#include <sstream>

namespace pimentoferry::standins {
namespace {

using info = cxxtools::SerializationInfo;

// The deserializer stores every scalar as a string, with the name of its JSON
// type.
json from_scalar(const info& source) {
    if (source.isNull()) {
        return json{};
    }
    if (source.typeName() == "bool") {
        bool value = false;
        source.getValue(value);
        return json{value};
    }
    if (source.typeName() == "int") {
        std::int64_t value = 0;
        source.getValue(value);
        return json{value};
    }
    if (source.typeName() == "double") {
        double value = 0;
        source.getValue(value);
        return json{value};
    }
    cxxtools::String value;
    source.getValue(value);
    return json{cxxtools::Utf8Codec::encode(value)};
}

json from_info(const info& source) {
    if (source.category() == info::Object) {
        json::object members;
        for (const auto& member : source) {
            members.emplace(member.name(), from_info(member));
        }
        return json{std::move(members)};
    }
    if (source.category() == info::Array) {
        json::array elements;
        for (const auto& element : source) {
            elements.push_back(from_info(element));
        }
        return json{std::move(elements)};
    }
    return from_scalar(source);
}

void fill(info& target, const json& source) {
    if (const auto* members = std::get_if<json::object>(&source.value_)) {
        target.setCategory(info::Object);
        for (const auto& [name, member] : *members) {
            fill(target.addMember(name), member);
        }
    } else if (const auto* items = std::get_if<json::array>(&source.value_)) {
        target.setCategory(info::Array);
        for (const auto& item : *items) {
            fill(target.addMember(), item);
        }
    } else if (const auto* text = std::get_if<std::string>(&source.value_)) {
        // The overload for std::string would write UTF-8 bytes as Latin-1
        // characters.
        target.setValue(cxxtools::Utf8Codec::decode(*text));
    } else if (const auto* flag = std::get_if<bool>(&source.value_)) {
        target.setValue(*flag);
    } else if (const auto* whole = std::get_if<std::int64_t>(&source.value_)) {
        target.setValue(*whole);
    } else if (const auto* real = std::get_if<double>(&source.value_)) {
        target.setValue(*real);
    } else {
        target.setNull();
    }
}

template <class Value>
const Value* member_as(const json& value, const std::string& name) {
    const auto* member = find_member(value, name);
    return member == nullptr ? nullptr : std::get_if<Value>(&member->value_);
}

} // namespace

std::optional<json> parse_json(const std::string& text) {
    try {
        std::istringstream in(text);
        cxxtools::JsonDeserializer deserializer(in);
        info parsed;
        deserializer.deserialize(parsed);
        return from_info(parsed);
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

std::string to_text(const json& value) {
    info target;
    fill(target, value);
    std::ostringstream out;
    cxxtools::JsonSerializer serializer(out);
    serializer.serialize(target).finish();
    return out.str();
}

const json* find_member(const json& value, const std::string& name) {
    const auto* members = std::get_if<json::object>(&value.value_);
    if (members == nullptr) {
        return nullptr;
    }
    const auto found = members->find(name);
    return found == members->end() ? nullptr : &found->second;
}

std::int64_t
number_or(const json& value, const std::string& name, std::int64_t otherwise) {
    if (const auto* whole = member_as<std::int64_t>(value, name)) {
        return *whole;
    }
    const auto* real = member_as<double>(value, name);
    return real == nullptr ? otherwise : static_cast<std::int64_t>(*real);
}

double real_or(const json& value, const std::string& name, double otherwise) {
    if (const auto* real = member_as<double>(value, name)) {
        return *real;
    }
    const auto* whole = member_as<std::int64_t>(value, name);
    return whole == nullptr ? otherwise : static_cast<double>(*whole);
}

bool bool_or(const json& value, const std::string& name, bool otherwise) {
    const auto* flag = member_as<bool>(value, name);
    return flag == nullptr ? otherwise : *flag;
}

std::string text_or(const json& value,
                    const std::string& name,
                    const std::string& otherwise) {
    const auto* text = member_as<std::string>(value, name);
    return text == nullptr ? otherwise : *text;
}

json::array array_of(const json& value, const std::string& name) {
    const auto* items = member_as<json::array>(value, name);
    return items == nullptr ? json::array{} : *items;
}

} // namespace pimentoferry::standins
