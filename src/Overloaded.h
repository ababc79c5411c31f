/** \file
 * Defines Overloaded, which combines lambdas into one visitor of a variant.
 */
#pragma once

namespace Figward {

/** Visitor with one lambda for each alternative of a variant. */
template<typename... Handlers>
struct Overloaded : Handlers...
{
    using Handlers::operator()...;
};
template<typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace Figward
