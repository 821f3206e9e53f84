#include "pimentoferry/admin/admin_client.hpp"

#include <cxxtools/http/client.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>

#include <exception>

namespace pimentoferry::admin {

std::variant<admin_answer, no_answer> call(const admin_target& target,
                                           const admin_request& request) {
    try {
        cxxtools::http::Client client{target.address_.ip_,
                                      target.address_.port_};
        // The query is part of the path, because cxxtools sends separate query
        // parameters only with GET.
        cxxtools::http::Request message{
            request.query_.empty() ? request.path_
                                   : request.path_ + "?" + request.query_};
        message.method(request.method_);
        if (!target.token_.empty()) {
            message.setHeader("Authorization",
                              ("Bearer " + target.token_).c_str());
        }
        if (!request.body_.empty()) {
            message.setHeader("Content-Type", "application/json");
            message.body() << request.body_;
        }
        const auto& header =
            client.execute(message, cxxtools::Milliseconds(static_cast<double>(
                                        target.timeout_.count())));
        client.readBody();
        admin_answer answer;
        answer.status_ = static_cast<int>(header.httpReturnCode());
        if (const char* type = header.getHeader("Content-Type")) {
            answer.content_type_ = type;
        }
        answer.body_ = client.body();
        return answer;
    } catch (const std::exception& error) {
        return no_answer{error.what()};
    }
}

} // namespace pimentoferry::admin
