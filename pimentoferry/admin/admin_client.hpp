/// Client of the administration interface, used by the command line.
///
///     auto result = admin::call({address, token},
///                               {"GET", "/admin/v1/status"});
#ifndef PIMENTOFERRY_ADMIN_ADMIN_CLIENT_HPP
#define PIMENTOFERRY_ADMIN_ADMIN_CLIENT_HPP

#include "pimentoferry/admin/messages.hpp"
#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"

#include <string>
#include <variant>

namespace pimentoferry::admin {

struct admin_target {
    base::endpoint address_;
    std::string token_; ///< Empty: none is sent.
    base::milliseconds timeout_{10000};
};

/// No answer arrived; whether the call took effect is not known.
struct no_answer {
    std::string system_message_;
};

/// Sends one request and waits for its answer. `token_` of the request is
/// ignored; the target's is sent.
std::variant<admin_answer, no_answer> call(const admin_target& target,
                                           const admin_request& request);

} // namespace pimentoferry::admin

#endif
