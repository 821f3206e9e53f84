/// Callers of the soak: they ask which gateways to use, keep their connections
/// and record what they see.
#ifndef PIMENTOFERRY_TESTS_SOAK_CALLERS_HPP
#define PIMENTOFERRY_TESTS_SOAK_CALLERS_HPP

#include "pimentoferry/base/time.hpp"
#include "pimentoferry/http/client.hpp"

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace pimentoferry::soak {

enum class call_kind : std::uint8_t { read, book, chat, talk };

/// What a caller saw of one request.
struct call_record {
    std::string id_;
    call_kind kind_{call_kind::read};
    std::uint16_t gateway_{0};
    base::time_point sent_;
    base::time_point ended_;
    int status_{0};       ///< 0: no answer.
    bool whole_{false};   ///< The answer, or the stream, ended properly.
    bool foreign_{false}; ///< Part of it belongs to another request.
    std::vector<std::uint64_t> events_; ///< Their numbers, as they came.
};

/// All members are for the thread of the io_context.
class callers {
public:
    callers(boost::asio::io_context& io,
            std::vector<std::uint16_t> directories,
            std::uint64_t seed);

    /// Starts so many callers, which call until `stop`.
    void start(std::size_t count);
    void stop() { stopped_ = true; }

    const std::vector<call_record>& records() const { return records_; }

private:
    http::awaitable<void> run(std::size_t caller);
    http::awaitable<std::vector<base::endpoint>> ask_for_addresses();
    http::awaitable<void> call(call_record& record, base::endpoint address);
    http::awaitable<void> read_stream(call_record& record,
                                      http::open_answer& answer);
    http::request make_request(const call_record& record) const;
    std::size_t draw(std::size_t below) { return random_() % below; }

    boost::asio::io_context& io_;
    http::client client_;
    std::vector<std::uint16_t> directories_;
    std::mt19937_64 random_;
    bool stopped_{false};
    std::uint64_t requests_{0};
    std::vector<call_record> records_;
};

} // namespace pimentoferry::soak

#endif
