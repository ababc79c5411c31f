#include "ConnectionHolder.h"

#include "Rendezvous.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace Figward {

std::string connectionHolder(const OrganisationId &organisation, const ServiceId &group, absl::Span<const std::string> vms)
{
    // The weight uses the VM's name, which survives a restart, so that its pairs do not move away and back.
    const GroupId pair(absl::StrCat(organisation.value(), "/", group.value(), "/"));
    const auto rank = [&](const std::string &vm) { return std::pair(rendezvousWeight(GroupId(absl::StrCat(pair.value(), vm)), VmId(1)), vm); };
    const auto holder = std::ranges::max_element(vms, {}, rank);
    return holder == vms.end() ? std::string() : *holder;
}

} // namespace Figward
