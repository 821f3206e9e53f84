/// Refusals in the form that callers receive.
///
/// Before the answer began, a refusal is an `application/problem+json` answer;
/// after streaming began it is an event of type `error` with the same JSON.
#ifndef PIMENTOFERRY_HTTP_PROBLEM_HPP
#define PIMENTOFERRY_HTTP_PROBLEM_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/refusal.hpp"
#include "pimentoferry/http/message.hpp"

#include <string>
#include <vector>

namespace pimentoferry::http {

/// What accompanies a refusal.
struct problem_context {
    std::string request_id_;
    /// Other addresses that the caller may use; empty: the field is left out.
    std::vector<base::endpoint> entries_;
};

/// The JSON object, on one line.
std::string problem_json(const base::refusal& refusal,
                         const problem_context& context);

/// The whole answer, with `Retry-After` in seconds where a retry may help.
response problem_response(const base::refusal& refusal,
                          const problem_context& context);

/// The event `error` that ends a stream.
std::string problem_event(const base::refusal& refusal,
                          const problem_context& context);

} // namespace pimentoferry::http

#endif
