/** \file
 * Defines the reads of the configuration that are in flight, and when another source is asked in parallel.
 *
 * Slow and unresponsive sources look alike at first: a VM that is paused, a kept connection that no longer responds, a store that answers other VMs only, and a
 * small link that needs a second for a large configuration. An answer that has begun to arrive is waited for; if it has not begun, another source is asked
 * soon.
 */
#pragma once

#include "Ids.h"
#include "Units.h"

#include <optional>
#include <string>
#include <vector>

namespace Figward {

/** A read in flight, or a check that may return the configuration. */
struct ConfigurationAttempt
{
    CallId call_;
    std::string peer_; ///< Address of the VM that was asked; empty for the store.
    Time askedAt_;
    std::optional<Time> answerBeganAt_; ///< Time at which its answer began to arrive.
};
using ConfigurationAttempts = std::vector<ConfigurationAttempt>;

/** Whether the attempt has taken so long that another source should be asked. \p transfer is the time that the last complete configuration took to arrive. */
bool isOverdue(const ConfigurationAttempt &attempt, Duration transfer, Time now);
/**
 * Whether another attempt may be started: all are overdue, and few enough answers are arriving, since simultaneous transfers delay each other on a small link.
 */
bool mayStartAnother(const ConfigurationAttempts &attempts, Duration transfer, Time now);
/** Number of attempts at \p peer, or at the store if \p peer is empty. */
std::size_t countAttemptsAt(const ConfigurationAttempts &attempts, const std::string &peer);
/**
 * Whether \p peer may be asked: no attempt at it is in flight, or only one, which has been unanswered for so long that a new connection may succeed where the
 * first does not.
 */
bool mayReadFrom(const ConfigurationAttempts &attempts, const std::string &peer, Time now);
/** The attempts at other VMs rather than the store. */
ConfigurationAttempts attemptsAtVms(const ConfigurationAttempts &attempts);

} // namespace Figward
