/// Builds a visitor from lambdas.
///
///     std::visit(base::overloaded{[](const grant&) { ... },
///                                 [](const refusal&) { ... }}, answer);
#ifndef PIMENTOFERRY_BASE_OVERLOADED_HPP
#define PIMENTOFERRY_BASE_OVERLOADED_HPP

namespace pimentoferry::base {

template <class... Visitors>
struct overloaded : Visitors... {
    using Visitors::operator()...;
};

template <class... Visitors>
overloaded(Visitors...) -> overloaded<Visitors...>;

} // namespace pimentoferry::base

#endif
