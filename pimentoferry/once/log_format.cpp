#include "pimentoferry/once/log_format.hpp"

#include "pimentoferry/base/overloaded.hpp"

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <msgpack.hpp>

namespace pimentoferry::once::internal {
namespace {

constexpr std::uint32_t format_version = 1;

enum class entry_kind : std::uint8_t {
    claim = 1,
    result = 2,
    lost = 3,
    abandon = 4,
    mark = 5,
    seal = 6,
};

/// Appends the output of msgpack to a string.
struct string_sink {
    std::string& text_;
    void write(const char* data, std::size_t size) { text_.append(data, size); }
};

using string_packer = msgpack::packer<string_sink>;

template <class... Values>
void append_array(std::string& value, const Values&... values) {
    string_sink sink{value};
    string_packer packer{sink};
    packer.pack_array(sizeof...(values));
    (packer.pack(values), ...);
}

template <class... Values>
void append_entry(std::string& value,
                  entry_kind kind,
                  const key_id& key,
                  base::attempt_id attempt,
                  const Values&... values) {
    append_array(value, static_cast<std::uint8_t>(kind), key.high_, key.low_,
                 key.issued_.time_since_epoch().count(),
                 attempt.instance_.value_, attempt.sequence_, values...);
}

base::wall_time wall_from(std::int64_t count) {
    return base::wall_time{base::milliseconds{count}};
}

/// Reads the elements of one array; throws `msgpack::type_error` if an element
/// is missing or has another type.
class array_reader {
public:
    explicit array_reader(const msgpack::object& object) {
        if (object.type != msgpack::type::ARRAY) {
            throw msgpack::type_error{};
        }
        next_ = object.via.array.ptr;
        end_ = next_ + object.via.array.size;
    }

    template <class Value>
    Value read() {
        if (next_ == end_) {
            throw msgpack::type_error{};
        }
        return (next_++)->as<Value>();
    }

private:
    const msgpack::object* next_{nullptr};
    const msgpack::object* end_{nullptr};
};

key_id read_key(array_reader& reader) {
    key_id key;
    key.high_ = reader.read<std::uint64_t>();
    key.low_ = reader.read<std::uint64_t>();
    key.issued_ = wall_from(reader.read<std::int64_t>());
    return key;
}

base::attempt_id read_attempt(array_reader& reader) {
    base::attempt_id attempt;
    attempt.instance_.value_ = reader.read<std::uint64_t>();
    attempt.sequence_ = reader.read<std::uint64_t>();
    return attempt;
}

stored_result read_result(array_reader& reader) {
    stored_result result;
    result.status_ = reader.read<std::uint16_t>();
    result.content_type_ = reader.read<std::string>();
    result.body_ = reader.read<std::string>();
    return result;
}

log_record
read_record(entry_kind kind, array_reader& reader, shard_number shard) {
    const auto key = read_key(reader);
    const auto attempt = read_attempt(reader);
    switch (kind) {
    case entry_kind::claim:
        return claim{attempt, shard, key, reader.read<std::uint64_t>()};
    case entry_kind::result:
        return report_result{attempt, shard, key, read_result(reader)};
    case entry_kind::lost:
        return report_lost{attempt, shard, key};
    case entry_kind::abandon:
        return abandon{attempt, shard, key};
    default:
        throw msgpack::type_error{};
    }
}

void read_entry(segment& into, array_reader reader) {
    const auto kind = static_cast<entry_kind>(reader.read<std::uint8_t>());
    if (kind == entry_kind::mark) {
        into.epoch_ = std::max(into.epoch_, reader.read<std::uint64_t>());
    } else if (kind == entry_kind::seal) {
        into.successor_ = reader.read<segment_number>();
    } else {
        into.records_.push_back(read_record(kind, reader, into.shard_));
    }
}

void read_segment_header(segment& into, array_reader reader) {
    if (reader.read<std::uint32_t>() != format_version) {
        throw msgpack::type_error{};
    }
    into.shard_ = reader.read<shard_number>();
    into.number_ = reader.read<segment_number>();
}

segment read_segment(std::string_view value) {
    segment read;
    std::size_t offset = 0;
    const auto next = [&] {
        return msgpack::unpack(value.data(), value.size(), offset);
    };
    read_segment_header(read, array_reader{next().get()});
    while (offset < value.size()) {
        const auto handle = next();
        read_entry(read, array_reader{handle.get()});
    }
    return read;
}

log_head read_head(std::string_view value) {
    const auto handle = msgpack::unpack(value.data(), value.size());
    array_reader reader{handle.get()};
    if (reader.read<std::uint32_t>() != format_version) {
        throw msgpack::type_error{};
    }
    log_head head;
    head.owner_.value_ = reader.read<std::uint64_t>();
    head.epoch_ = reader.read<std::uint64_t>();
    head.low_watermark_ = wall_from(reader.read<std::int64_t>());
    head.first_segment_ = reader.read<segment_number>();
    return head;
}

} // namespace

std::string shard_prefix(shard_number shard) {
    return "once/" + std::to_string(shard) + "/";
}

std::string head_key(shard_number shard) {
    return shard_prefix(shard) + "head";
}

std::string segment_key(shard_number shard, segment_number number) {
    return shard_prefix(shard) + std::to_string(number);
}

std::optional<segment_number> parse_segment_number(shard_number shard,
                                                   std::string_view key) {
    const auto prefix = shard_prefix(shard);
    if (!key.starts_with(prefix)) {
        return std::nullopt;
    }
    key.remove_prefix(prefix.size());
    segment_number number = 0;
    const auto* end = key.data() + key.size();
    const auto parsed = std::from_chars(key.data(), end, number);
    if (parsed.ec != std::errc{} || parsed.ptr != end) {
        return std::nullopt;
    }
    return number;
}

std::string encode_head(const log_head& head) {
    std::string value;
    append_array(value, format_version, head.owner_.value_, head.epoch_,
                 head.low_watermark_.time_since_epoch().count(),
                 head.first_segment_);
    return value;
}

std::variant<log_head, log_corrupt> decode_head(std::string_view value) {
    try {
        return read_head(value);
    } catch (const std::exception&) {
        return log_corrupt{};
    }
}

std::string new_segment(shard_number shard, segment_number number) {
    std::string value;
    append_array(value, format_version, shard, number);
    return value;
}

void append_record(std::string& value, const log_record& record) {
    std::visit(
        base::overloaded{
            [&](const claim& c) {
                append_entry(value, entry_kind::claim, c.key_, c.attempt_,
                             c.body_hash_);
            },
            [&](const report_result& r) {
                append_entry(value, entry_kind::result, r.key_, r.attempt_,
                             r.result_.status_, r.result_.content_type_,
                             r.result_.body_);
            },
            [&](const report_lost& r) {
                append_entry(value, entry_kind::lost, r.key_, r.attempt_);
            },
            [&](const abandon& a) {
                append_entry(value, entry_kind::abandon, a.key_, a.attempt_);
            }},
        record);
}

void append_mark(std::string& value, std::uint64_t epoch, std::uint64_t batch) {
    append_array(value, static_cast<std::uint8_t>(entry_kind::mark), epoch,
                 batch);
}

void append_seal(std::string& value, segment_number successor) {
    append_array(value, static_cast<std::uint8_t>(entry_kind::seal), successor);
}

std::variant<segment, log_corrupt> decode_segment(std::string_view value) {
    try {
        return read_segment(value);
    } catch (const std::exception&) {
        return log_corrupt{};
    }
}

const key_id& key_of(const log_record& record) {
    return std::visit([](const auto& r) -> const key_id& { return r.key_; },
                      record);
}

base::attempt_id attempt_of(const log_record& record) {
    return std::visit([](const auto& r) { return r.attempt_; }, record);
}

} // namespace pimentoferry::once::internal
