/** \file
 * Defines how a VM notices and tells that a newer configuration is late here, or that it cannot know whether there is one.
 */
#pragma once

#include "Effect.h"
#include "Units.h"

#include <optional>

namespace Figward {

struct SessionServiceState;

/** What is known of a delay, and whether it was told of. */
struct ConfigurationDelay
{
    std::optional<Time> behindSince_; ///< When this VM first heard of a newer configuration than it has, until it has that one.
    bool behindTold_ = false;
    bool uncheckedTold_ = false;
};

/** How long this VM has known that another has a newer configuration; none if it knows of none. */
std::optional<Duration> timeBehind(const SessionServiceState &sessions, Time now);
/** A heartbeat named a newer configuration than this VM has. */
void noteBehind(SessionServiceState &sessions, Time now);
/** A configuration is in force; ends the delay if no newer one is known of. */
void noteInForce(SessionServiceState &sessions, Time now);
/** Writes a line when this VM has been behind for a while, and when nobody it hears has compared the configuration with the store's for a while. */
void tellConfigurationDelay(SessionServiceState &sessions, Time now, Effects &out);

} // namespace Figward
