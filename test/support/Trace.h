/** \file
 * Defines the text of events and effects as golden files and fuzz reports show them.
 *
 * What happens all the time and decides nothing by itself (probes, heartbeats, wake-ups, lists of VMs) has an empty text.
 */
#pragma once

#include "Effect.h"
#include "Event.h"

#include <string>

namespace Figward::Testing {

/** One line about \p body, or nothing. */
std::string describe(const EventBody &body);
/** One line about \p effect, or nothing. */
std::string describe(const Effect &effect);
/** One line about what a caller asked. */
std::string describe(const Request &request);
/** One line about what a caller was told. */
std::string describe(const Answer &answer);

} // namespace Figward::Testing
