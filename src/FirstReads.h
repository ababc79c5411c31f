/** \file
 * Defines from where a VM that has just started reads the configuration and the list of members.
 *
 * When a large fleet starts at once, all VMs need hundreds of kilobytes at the same time. If all of them read the store, none receives them within its timeout:
 * the store's link is shared by too many transfers, and each is started again. So only a few VMs read the store, and the others read from a VM chosen at random,
 * which has the data soon, since those that have them double with each round.
 */
#pragma once

#include "SessionState.h"

#include <string>

namespace Figward {

struct ProxyState;

/** Whether the first reads still wait for the list of VMs, from which their source is chosen. */
bool awaitsVmList(const SessionServiceState &sessions, Time now);
/** Source of the next attempt at a first read: the address of a VM, or empty for the store. */
std::string chooseFirstSource(ProxyState &state, Time now);

} // namespace Figward
