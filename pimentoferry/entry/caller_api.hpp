/// HTTP interface for callers: paths, authentication and refusals.
#ifndef PIMENTOFERRY_ENTRY_CALLER_API_HPP
#define PIMENTOFERRY_ENTRY_CALLER_API_HPP

#include "pimentoferry/entry/traffic_context.hpp"
#include "pimentoferry/http/exchange.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pimentoferry::entry {

/// Serves one call; this is the request handler of the traffic server.
http::awaitable<void> serve_caller(traffic_context& traffic,
                                   http::exchange& call);

/// Estimates the tokens of a prompt as its words separated by white space.
std::uint32_t estimate_tokens(std::string_view prompt);

/// Hashes of the prompt's prefixes, one for each full block of 1,000 words.
std::vector<std::uint64_t> prefix_hashes(std::string_view prompt);

} // namespace pimentoferry::entry

#endif
