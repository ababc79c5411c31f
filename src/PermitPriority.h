/** \file
 * Defines which operations of an organisation that is short of quota are admitted: the most urgent ones first.
 *
 * It is designed for an organisation that asks for several times its rate with operations of different priorities. Admitted in order of arrival, the urgent ones
 * would be refused as often as the others and, after their clients' retries, be late. So tokens that urgent operations are expected to need soon are reserved
 * for them. An organisation within its rate has more tokens than that, and loses nothing.
 */
#pragma once

#include "SessionEvents.h"
#include "TokenBucket.h"
#include "UseRate.h"

#include <absl/types/span.h>
#include <map>
#include <vector>

namespace Figward {

/** Rates at which permits are requested, keyed by priority. */
using PermitRates = std::map<unsigned, UseRate>;

/** Records that the operations of \p demands were requested. */
void recordDemand(PermitRates &rates, absl::Span<const PermitDemand> demands, Time now);
/** Number of tokens that are reserved for operations more urgent than \p priority. */
double reservedTokens(const PermitRates &rates, unsigned priority, double capacity, Time now);

/** Permits taken from a bucket. */
struct PermitShare
{
    unsigned granted_ = 0; ///< For the most urgent operations.
    double missing_ = 0; ///< Tokens that the bucket lacks for the next operation; zero if all were granted.
};

/** Takes permits for \p demands, which are sorted by priority, from \p bucket, and leaves to each priority what is reserved for more urgent ones. */
PermitShare takePermits(TokenBucket &bucket, absl::Span<const PermitDemand> demands, const PermitRates &rates, double capacity, Time now);

} // namespace Figward
