/// Load generator of the soak: callers that resolve the gateway addresses,
/// reuse their connections and record the response of every request.
#ifndef PIMENTOFERRY_TESTS_SOAK_CALLERS_HPP
#define PIMENTOFERRY_TESTS_SOAK_CALLERS_HPP

#include "pimentoferry/base/time.hpp"
#include "pimentoferry/http/client.hpp"

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace pimentoferry::soak {

enum class call_kind : std::uint8_t { read, book, chat, talk };

/// The response to one request as its caller received it.
struct call_record {
    std::string id_;
    call_kind kind_{call_kind::read};
    std::uint16_t gateway_{0};
    base::time_point sent_;
    base::time_point ended_;
    int status_{0};        ///< 0: no response.
    bool complete_{false}; ///< The body or the stream was received to its end.
    bool from_other_request_{false}; ///< Part of it belongs to another request.
    std::vector<std::uint64_t> events_; ///< Event numbers, as received.
    /// The replica whose answer said that it leaves; empty: none did.
    std::string leaving_replica_;
    base::time_point head_received_;
    /// The request that began the stream which this one takes up; empty: none.
    std::string resumes_;
    std::uint64_t events_before_{0}; ///< Of the stream that it takes up.
    std::set<std::string> senders_;  ///< The replicas that sent events.
};

/// Not thread-safe: call all members on the thread of the io_context.
class callers {
public:
    callers(boost::asio::io_context& io,
            std::vector<std::uint16_t> directories,
            std::uint64_t seed);

    /// Starts `count` callers, which send requests until `stop`.
    void start(std::size_t count);
    void stop() { stopped_ = true; }

    const std::vector<call_record>& records() const { return records_; }

private:
    http::awaitable<void> run(std::size_t caller);
    http::awaitable<std::vector<base::endpoint>> resolve_gateways();
    http::awaitable<void> call(call_record& record, base::endpoint address);
    call_record make_record(std::size_t caller, const base::endpoint& address);
    /// Takes up a stream that was broken off, at any gateway, a few times.
    http::awaitable<void> take_up(std::size_t caller,
                                  call_record broken,
                                  std::vector<base::endpoint> addresses);
    http::awaitable<void> read_stream(call_record& record,
                                      http::open_answer& answer);
    http::request make_request(const call_record& record) const;
    std::size_t random_below(std::size_t below) { return random_() % below; }

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
