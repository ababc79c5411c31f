/** \file
 * Defines the delegates of an availability zone: the few VMs that lead groups first, and that ask the store for their zone while a leader is silent.
 *
 * They answer the load pattern of many VMs. A leader exchanges heartbeats with all of them several times a second: with leaders anywhere, nearly all pairs of VMs do.
 * When a leader fell silent every VM asked the store itself until another led. With delegates, leaders are few VMs, and a zone asks the store through them.
 */
#pragma once

#include "Ids.h"

#include <absl/types/span.h>
#include <cstddef>
#include <map>
#include <string>

namespace Figward {

/** A VM that may be a delegate of its zone. */
struct DelegateCandidate
{
    std::string name_;
    ZoneId zone_;
};

/** What a delegate is there for, the more urgent last. */
enum class DelegateRole {
    Spare, ///< Asks the store for its zone, and leads when one of the others is gone.
    Leader, ///< Is the first to lead groups, too.
};

/** How many delegates of each of \p zones lead, so that each leads a few of \p groups; one more is a spare. */
unsigned leadersPerZone(std::size_t groups, std::size_t zones);
/** The delegates by name: \p leaders of each zone and a spare, the same at all VMs that know the same others, and after a VM has started again. */
std::map<std::string, DelegateRole> chooseDelegates(absl::Span<const DelegateCandidate> vms, unsigned leaders);

} // namespace Figward
