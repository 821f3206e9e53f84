/// Blocking client of the administration interface, used by the command line.
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
    std::string token_; ///< Bearer token; none is sent when empty.
    base::milliseconds timeout_{10000};
};

/// No response arrived; whether the call took effect is unknown.
struct no_answer {
    std::string system_message_;
};

/// Sends one request and waits for its response. The `token_` of the target is
/// sent; that of the request is ignored.
std::variant<admin_answer, no_answer> call(const admin_target& target,
                                           const admin_request& request);

} // namespace pimentoferry::admin

#endif
