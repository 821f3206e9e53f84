#include "tests/soak/callers.hpp"

#include "pimentoferry/http/json.hpp"
#include "tests/process/gateway_fleet.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <array>
#include <charconv>
#include <string_view>

namespace pimentoferry::soak {

namespace asio = boost::asio;

namespace {

constexpr base::milliseconds request_deadline{3000};
constexpr base::milliseconds stream_deadline{8000};
// Some callers leave early.
constexpr base::milliseconds impatient_deadline{40};
constexpr std::size_t impatient_one_in = 20;
// How long a caller uses a list of addresses; the same as the users' callers.
constexpr base::milliseconds address_list_lifetime{2000};
constexpr base::milliseconds directory_timeout{1000};
constexpr base::milliseconds max_pause{120};
constexpr int most_take_ups = 3;
constexpr base::milliseconds take_up_pause{300};
constexpr int status_ok = 200;

constexpr std::array<std::string_view, 4> paths{"/read/1", "/book/1", "/chat/1",
                                                "/talk/1"};

std::string path_of(call_kind kind) {
    return std::string{paths.at(static_cast<std::size_t>(kind))};
}

bool is_stream(call_kind kind) {
    return kind == call_kind::chat || kind == call_kind::talk;
}

http::awaitable<void> pause(asio::io_context& io, base::milliseconds time) {
    asio::steady_timer timer{io, time};
    co_await timer.async_wait(asio::use_awaitable);
}

std::vector<base::endpoint> read_addresses(const std::string& body) {
    std::vector<base::endpoint> addresses;
    const auto object = http::parse_object(body);
    if (!object) {
        return addresses;
    }
    for (const auto& each : (*object)["addresses"]) {
        const auto text = each.asString();
        const auto colon = text.rfind(':');
        addresses.push_back(
            {text.substr(0, colon),
             static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1)))});
    }
    return addresses;
}

} // namespace

callers::callers(asio::io_context& io,
                 std::vector<std::uint16_t> directories,
                 std::uint64_t seed)
    : io_(io), client_(io), directories_(std::move(directories)),
      random_(seed) {}

void callers::start(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
        asio::co_spawn(
            io_, [this, i] { return run(i); }, asio::detached);
    }
}

http::awaitable<std::vector<base::endpoint>> callers::resolve_gateways() {
    const auto first = random_below(directories_.size());
    for (std::size_t i = 0; i < directories_.size(); ++i) {
        const base::endpoint directory{
            "127.0.0.1", directories_[(first + i) % directories_.size()]};
        http::request request;
        request.target_ = "/api/resolution?name=silage.example&zone=north";
        http::call_options options;
        options.deadline_ = base::clock::now() + directory_timeout;
        const auto answer = co_await client_.call(directory, std::move(request),
                                                  std::move(options));
        if (const auto* response = std::get_if<http::response>(&answer)) {
            auto addresses = read_addresses(response->body_);
            if (!addresses.empty()) {
                co_return addresses;
            }
        }
    }
    co_return std::vector<base::endpoint>{};
}

http::request callers::make_request(const call_record& record) const {
    http::request request;
    request.method_ = "POST";
    request.target_ = path_of(record.kind_);
    for (auto& [name, value] : process_tests::caller_fields(
             request.target_, record.id_,
             is_stream(record.kind_) ? stream_deadline : request_deadline)) {
        request.fields_.push_back({name, value});
    }
    if (!record.resumes_.empty()) {
        request.fields_.push_back({"Resumes", record.resumes_});
        request.fields_.push_back(
            {"Last-Event-Id", std::to_string(record.events_before_)});
    }
    return request;
}

http::awaitable<void> callers::run(std::size_t caller) {
    std::vector<base::endpoint> addresses;
    base::time_point resolved_at;
    while (!stopped_) {
        const base::milliseconds wait{
            1 + random_below(static_cast<std::size_t>(max_pause.count()))};
        co_await pause(io_, wait);
        const auto now = base::clock::now();
        if (now - resolved_at > address_list_lifetime || addresses.empty()) {
            auto fresh = co_await resolve_gateways();
            resolved_at = now;
            addresses = fresh.empty() ? addresses : std::move(fresh);
        }
        if (addresses.empty()) {
            continue;
        }
        const auto address = addresses[random_below(addresses.size())];
        auto record = make_record(caller, address);
        record.kind_ = static_cast<call_kind>(random_below(paths.size()));
        co_await call(record, address);
        record.ended_ = base::clock::now();
        if (record.status_ == 0) {
            // Callers stop using an address that gave no response.
            std::erase(addresses, address);
        }
        records_.push_back(record);
        const bool broken = record.kind_ == call_kind::talk &&
                            !record.complete_ && !record.events_.empty();
        if (broken && !addresses.empty()) {
            co_await take_up(caller, std::move(record), addresses);
        }
    }
}

call_record callers::make_record(std::size_t caller,
                                 const base::endpoint& address) {
    call_record record;
    record.id_ =
        "r" + std::to_string(caller) + "-" + std::to_string(++requests_);
    record.gateway_ = address.port_;
    record.sent_ = base::clock::now();
    return record;
}

http::awaitable<void> callers::take_up(std::size_t caller,
                                       call_record broken,
                                       std::vector<base::endpoint> addresses) {
    const auto began = broken.id_;
    auto received = broken.events_.back();
    for (int i = 0; i < most_take_ups; ++i) {
        const auto address = addresses[random_below(addresses.size())];
        auto record = make_record(caller, address);
        record.kind_ = broken.kind_;
        record.resumes_ = began;
        record.events_before_ = received;
        co_await call(record, address);
        record.ended_ = base::clock::now();
        const bool complete = record.complete_ && record.status_ == status_ok;
        received = record.events_.empty() ? received : record.events_.back();
        records_.push_back(std::move(record));
        if (complete) {
            co_return;
        }
        co_await pause(io_, take_up_pause);
    }
}

http::awaitable<void> callers::call(call_record& record,
                                    base::endpoint address) {
    auto request = make_request(record);
    http::call_options options;
    const auto patience = random_below(impatient_one_in) == 0
                              ? impatient_deadline
                          : is_stream(record.kind_) ? stream_deadline
                                                    : request_deadline;
    options.deadline_ = base::clock::now() + patience;
    auto opened =
        co_await client_.open(address, std::move(request), std::move(options));
    auto* answer = std::get_if<http::open_answer>(&opened);
    if (answer == nullptr) {
        co_return;
    }
    record.status_ = answer->head().status_;
    record.head_received_ = base::clock::now();
    const auto& fields = answer->head().fields_;
    if (!http::find_field(fields, "Server-Leaving").empty()) {
        // The stand-ins sign as "signed-by-ID".
        const std::string signature{
            http::find_field(fields, "X-Server-Signature")};
        record.leaving_replica_ = signature.substr(signature.rfind("by-") + 3);
    }
    const auto id = http::find_field(answer->head().fields_, "X-Request-Id");
    record.from_other_request_ = !id.empty() && id != record.id_;
    if (is_stream(record.kind_) && record.status_ == status_ok) {
        co_await read_stream(record, *answer);
        co_return;
    }
    const auto body = co_await answer->read_all();
    const auto* whole = std::get_if<http::response>(&body);
    record.complete_ = whole != nullptr;
    if (record.complete_ && record.status_ == status_ok) {
        const auto expected =
            "of " + record.id_ + " at " + path_of(record.kind_);
        record.from_other_request_ =
            record.from_other_request_ || !whole->body_.ends_with(expected);
    }
}

http::awaitable<void> callers::read_stream(call_record& record,
                                           http::open_answer& answer) {
    http::event_reader reader{answer};
    while (true) {
        const auto next = co_await reader.next();
        if (const auto* event = std::get_if<http::sse_event>(&next)) {
            const auto colon = event->data_.rfind(':');
            std::uint64_t number = 0;
            std::from_chars(event->data_.data() + colon + 1,
                            event->data_.data() + event->data_.size(), number);
            record.from_other_request_ =
                record.from_other_request_ ||
                event->data_.substr(0, colon) != record.id_;
            record.events_.push_back(number);
            record.senders_.insert(event->type_);
            continue;
        }
        record.complete_ = std::holds_alternative<http::body_end>(next);
        co_return;
    }
}

} // namespace pimentoferry::soak
