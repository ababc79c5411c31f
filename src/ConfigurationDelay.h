/** \file
 * Defines how a VM detects and logs that a newer configuration is late to arrive, or that it cannot determine whether there is one.
 */
#pragma once

#include "Effect.h"
#include "Units.h"

#include <optional>

namespace Figward {

struct SessionServiceState;

/** State of the detection, and what has been logged. */
struct ConfigurationDelay
{
    std::optional<Time> behindSince_; ///< Time at which this VM first learned of a newer configuration; cleared once it has that one.
    bool behindLogged_ = false;
    bool uncheckedLogged_ = false;
};

/** Time for which this VM has known that another VM has a newer configuration; no value if it knows of none. */
std::optional<Duration> timeBehind(const SessionServiceState &sessions, Time now);
/** Records that a heartbeat stated a newer configuration than this VM has. */
void recordBehind(SessionServiceState &sessions, Time now);
/** Records that a configuration has become active; ends the delay, or restarts it if a still newer one is known of. */
void recordActiveVersion(SessionServiceState &sessions, Time now);
/**
 * Logs that this VM has been behind for a while, or that the configuration has not been compared with the store's for a while by any VM that this one hears.
 */
void logConfigurationDelay(SessionServiceState &sessions, Time now, Effects &out);

} // namespace Figward
