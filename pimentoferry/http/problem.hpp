/// Formats refusals for callers.
///
/// Before a response has started, a refusal is sent as an
/// `application/problem+json` response. Once streaming has started, it is sent
/// as an event of type `error` with the same JSON.
#ifndef PIMENTOFERRY_HTTP_PROBLEM_HPP
#define PIMENTOFERRY_HTTP_PROBLEM_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/refusal.hpp"
#include "pimentoferry/http/message.hpp"

#include <string>
#include <vector>

namespace pimentoferry::http {

/// Fields of a problem document that are not part of the refusal.
struct problem_context {
    std::string request_id_;
    /// Other addresses that the caller may use. If empty, the field is omitted.
    std::vector<base::endpoint> entries_;
};

/// Returns the JSON object on one line.
std::string problem_json(const base::refusal& refusal,
                         const problem_context& context);

/// Returns the complete response, with `Retry-After` in whole seconds, rounded
/// up, if the refusal has a retry delay.
response problem_response(const base::refusal& refusal,
                          const problem_context& context);

/// Returns the event of type `error` that ends a stream.
std::string problem_event(const base::refusal& refusal,
                          const problem_context& context);

} // namespace pimentoferry::http

#endif
