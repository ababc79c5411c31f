/** \file
 * Defines the checks that a caller's request must pass before it is forwarded.
 */
#pragma once

#include "Request.h"

namespace Figward {

struct ProxyState;

/** Returns why this proxy cannot accept \p request at \p now, or None. */
ErrorKind checkRequest(const ProxyState &state, const Request &request, Time now);
/** Delay after which a caller should retry a request refused with \p error; empty if a retry is not expected to help. */
std::optional<Duration> suggestedRetryDelay(ErrorKind error);

} // namespace Figward
