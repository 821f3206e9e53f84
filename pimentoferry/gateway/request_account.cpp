#include "pimentoferry/gateway/request_account.hpp"

#include "pimentoferry/base/overloaded.hpp"

namespace pimentoferry::gateway {

identified_account identify(const accounts::key_table& table,
                            const credential& given,
                            const routing::route& route) {
    using result = identified_account;
    const auto without_account = [&route](const char* detail) -> result {
        if (route.public_) {
            return request_account{};
        }
        return unauthorized_request{detail};
    };
    return std::visit(
        base::overloaded{[&](const no_credential&) {
                             return without_account("the request names no key");
                         },
                         [&](const unusable_credential& unusable) {
                             return without_account(unusable.detail_.c_str());
                         },
                         [&](const bearer_key& bearer) -> result {
                             const auto digest = table.digest_of(bearer.key_);
                             const auto* holder = table.find(digest);
                             if (holder == nullptr) {
                                 return without_account(
                                     "no account holds the key");
                             }
                             if (holder->closed_) {
                                 return closed_account{};
                             }
                             return request_account{digest, *holder};
                         }},
        given);
}

bool is_authorized(const std::optional<request_account>& identity,
                   const accounts::key_table* table) {
    if (!identity || !identity->key_ || table == nullptr) {
        return true;
    }
    const auto* holder = table->find(*identity->key_);
    // An account that has been closed meanwhile still holds the key.
    return holder != nullptr &&
           (holder->closed_ || holder->name_ == identity->account_.name_);
}

double quota_cost(const routing::account_quota& quota,
                  const std::optional<model_prompt>& prompt) {
    if (quota.unit_ == routing::quota_unit::requests) {
        return 1;
    }
    return prompt ? static_cast<double>(prompt->prompt_tokens_) +
                        prompt->max_output_tokens_
                  : quota.plain_cost_;
}

std::uint32_t priority_of(const std::optional<request_account>& identity,
                          const routing::route& route) {
    return identity ? identity->account_.priority_.value_or(route.priority_)
                    : route.priority_;
}

} // namespace pimentoferry::gateway
