#include "pimentoferry/http/exchange.hpp"

#include "pimentoferry/http/connection.hpp"

#include <array>

namespace pimentoferry::http {

std::string_view to_string(caller_end end) {
    constexpr std::array<std::string_view, 5> texts{
        "none", "closed", "unresponsive", "too_slow", "evicted"};
    return texts.at(static_cast<std::size_t>(end));
}

exchange::exchange(internal::connection& connection)
    : connection_(connection) {}

const request& exchange::call() const {
    return connection_.call();
}

std::shared_ptr<cancellation> exchange::caller_gone() const {
    return connection_.caller_disconnected();
}

caller_end exchange::ended_by() const {
    return connection_.ended_by();
}

void exchange::set_deadline(base::time_point deadline) {
    connection_.set_deadline(deadline);
}

void exchange::add_field(std::string name, std::string value) {
    connection_.add_field({std::move(name), std::move(value)});
}

awaitable<write_result> exchange::respond(const response& answer) {
    return connection_.respond(answer);
}

awaitable<write_result> exchange::begin_stream(const response_head& head) {
    return connection_.begin_stream(head);
}

awaitable<write_result> exchange::write(std::string_view bytes) {
    return connection_.write(bytes);
}

awaitable<write_result> exchange::end_stream() {
    return connection_.end_stream();
}

bool exchange::begun() const {
    return connection_.begun();
}

} // namespace pimentoferry::http
