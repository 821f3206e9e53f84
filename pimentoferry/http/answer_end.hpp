/// Judges whether an answer that has ended is whole.
///
/// The one place for this decision; docs/design/answer_ends.md has it as a
/// table. The end of a connection is the weakest sign: it also comes when the
/// upstream crashes. After a failed write it is no sign at all, because the
/// write has received the error of the connection, and a read that follows
/// sees an orderly end.
#ifndef PIMENTOFERRY_HTTP_ANSWER_END_HPP
#define PIMENTOFERRY_HTTP_ANSWER_END_HPP

#include <cstdint>

namespace pimentoferry::http {

/// What marks the end of a body.
enum class end_mark : std::uint8_t {
    length, ///< Also a head that allows no body.
    last_chunk,
    connection, ///< Only the end of the connection.
};

/// How the last read of an answer ended.
enum class last_read : std::uint8_t {
    mark,    ///< The mark was received.
    orderly, ///< The upstream closed the connection.
    reset,   ///< The connection failed.
};

struct ended_answer {
    end_mark mark_{end_mark::length};
    last_read last_read_{last_read::mark};
    /// Whether the whole call was written before the answer was read.
    bool call_sent_{true};
};

/// Whether the answer is whole.
constexpr bool is_whole(const ended_answer& answer) {
    if (answer.mark_ == end_mark::connection) {
        return answer.last_read_ == last_read::orderly && answer.call_sent_;
    }
    return answer.last_read_ == last_read::mark;
}

/// Whether another call may follow on the connection, as far as the end of this
/// answer tells: the upstream is not waiting for a part of the call.
constexpr bool is_connection_reusable(const ended_answer& answer) {
    return answer.mark_ != end_mark::connection && is_whole(answer) &&
           answer.call_sent_;
}

} // namespace pimentoferry::http

#endif
