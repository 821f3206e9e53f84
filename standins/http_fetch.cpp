#include "standins/http_fetch.hpp"

#include <cstdint>
#include <limits>

namespace pimentoferry::standins {
namespace {

constexpr int http_version = 11;

tcp::endpoint parse_address(const std::string& text) {
    const auto colon = text.rfind(':');
    const auto port = std::stoul(text.substr(colon + 1));
    return {net::ip::make_address(text.substr(0, colon)),
            static_cast<std::uint16_t>(port)};
}

} // namespace

net::awaitable<fetched> fetch(std::shared_ptr<beast::tcp_stream> stream,
                              std::string address,
                              std::string target,
                              time_point deadline) {
    try {
        stream->expires_at(deadline);
        const auto endpoint = parse_address(address);
        co_await stream->async_connect(endpoint, net::use_awaitable);
        http::request<http::empty_body> request{http::verb::get, target,
                                                http_version};
        request.set(http::field::host, address);
        co_await http::async_write(*stream, request, net::use_awaitable);
        beast::flat_buffer buffer;
        http::response_parser<http::string_body> parser;
        parser.body_limit(std::numeric_limits<std::uint64_t>::max());
        co_await http::async_read(*stream, buffer, parser, net::use_awaitable);
        co_return fetched{parser.get().result_int(),
                          std::move(parser.get().body())};
    } catch (const std::exception&) {
        co_return fetched{};
    }
}

} // namespace pimentoferry::standins
