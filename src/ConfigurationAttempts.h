/** \file
 * Defines the reads of the configuration that are under way, and when another source is asked beside them.
 *
 * It answers the load pattern of sources that are slow or silent, and look alike at first: a VM that stands still, a kept connection that has gone silent, a store that
 * answers others only, and a small link that needs a second for a large configuration. An answer that has begun is waited for; one that has not is soon left behind.
 */
#pragma once

#include "Ids.h"
#include "Units.h"

#include <optional>
#include <string>
#include <vector>

namespace Figward {

/** One read, or one check that may bring the configuration. */
struct ConfigurationAttempt
{
    CallId call_;
    std::string peer_; ///< Address of the VM that is asked; empty: the store.
    Time askedAt_;
    std::optional<Time> beganAt_; ///< When its answer began to arrive.
};
using ConfigurationAttempts = std::vector<ConfigurationAttempt>;

/** Whether the attempt takes so long that another source should be asked; \p transfer is what the last whole configuration took to arrive. */
bool isOverdue(const ConfigurationAttempt &attempt, Duration transfer, Time now);
/** Whether each attempt is overdue, and few enough answers are arriving for one more: on a small link they delay each other. */
bool mayAskAnother(const ConfigurationAttempts &attempts, Duration transfer, Time now);
/** How many attempts ask \p peer, or the store if that is empty. */
std::size_t countAsking(const ConfigurationAttempts &attempts, const std::string &peer);
/** Whether \p peer may be asked: it is not being asked, or only once and in vain for so long that a new connection may reach it where the first does not. */
bool mayAsk(const ConfigurationAttempts &attempts, const std::string &peer, Time now);
/** Those that ask other VMs. */
ConfigurationAttempts attemptsAtVms(const ConfigurationAttempts &attempts);

} // namespace Figward
