/** \file
 * Defines the delegates of an availability zone: the few VMs that lead groups first, and that ask the store for their zone while a leader is silent.
 *
 * They answer the load pattern of many VMs. With leaders anywhere, each of 20 leaders exchanged heartbeats with all others four times a second, and when one fell
 * silent every VM asked the store itself, three times a second, until another led. With delegates, leaders are few VMs, and a zone asks the store through them.
 */
#pragma once

#include "Ids.h"

#include <absl/types/span.h>
#include <cstddef>
#include <set>
#include <string>

namespace Figward {

/** A VM that may be a delegate of its zone. */
struct DelegateCandidate
{
    std::string name_;
    ZoneId zone_;
};

/** How many delegates each of \p zones has, so that each leads a few of \p groups and the loss of one leaves another. */
unsigned delegatesPerZone(std::size_t groups, std::size_t zones);
/** Names of the delegates: \p perZone of each zone, the same at all VMs that know the same others, and after a VM has started again. */
std::set<std::string> chooseDelegates(absl::Span<const DelegateCandidate> vms, unsigned perZone);

} // namespace Figward
