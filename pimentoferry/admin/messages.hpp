/// Request and response of the administration interface.
#ifndef PIMENTOFERRY_ADMIN_MESSAGES_HPP
#define PIMENTOFERRY_ADMIN_MESSAGES_HPP

#include <string>

namespace pimentoferry::admin {

struct admin_request {
    std::string method_;
    std::string path_;  ///< Without the query.
    std::string query_; ///< Without the question mark.
    std::string body_;
    std::string token_; ///< From `Authorization: Bearer`; empty when absent.
};

struct admin_answer {
    int status_{200};
    std::string content_type_{"application/json"};
    std::string body_;
};

} // namespace pimentoferry::admin

#endif
