/** \file
 * Defines Overloaded, which makes one visitor of a variant out of a lambda for each alternative.
 */
#pragma once

namespace Figward {

/** Calls the overload that fits the alternative of a variant. */
template<typename... Handlers>
struct Overloaded : Handlers...
{
    using Handlers::operator()...;
};
template<typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace Figward
