/** \file
 * Defines the checks of a caller's request before any work is done for it.
 */
#pragma once

#include "Request.h"

namespace Figward {

struct ProxyState;

/** Why \p request cannot be taken by this proxy at \p now, or None. */
ErrorKind checkRequest(const ProxyState &state, const Request &request, Time now);
/** When a caller refused with \p error should ask again, if that helps at all. */
std::optional<Duration> retryAdvice(ErrorKind error);

} // namespace Figward
