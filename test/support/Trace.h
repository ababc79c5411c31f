/** \file
 * Defines the textual form of events and effects in golden files and fuzz reports.
 *
 * Frequent events and effects that decide nothing by themselves (probes, heartbeats, wake-ups, lists of VMs) have an empty text.
 */
#pragma once

#include "Effect.h"
#include "Event.h"

#include <string>

namespace Figward::Testing {

/** Returns one line that describes \p body, or an empty string if it is not traced. */
std::string describe(const EventBody &body);
/** Returns one line that describes \p effect, or an empty string if it is not traced. */
std::string describe(const Effect &effect);
/** Returns one line that describes a request of a caller. */
std::string describe(const Request &request);
/** Returns one line that describes the answer to a caller. */
std::string describe(const Answer &answer);

} // namespace Figward::Testing
