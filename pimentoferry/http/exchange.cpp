#include "pimentoferry/http/exchange.hpp"

#include "pimentoferry/http/connection.hpp"

namespace pimentoferry::http {

exchange::exchange(internal::connection& connection)
    : connection_(connection) {}

const request& exchange::call() const {
    return connection_.call();
}

std::shared_ptr<cancellation> exchange::caller_gone() const {
    return connection_.caller_disconnected();
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
