/** \file
 * Defines measurements of a fleet in virtual time. Each prints rows for docs/MEASUREMENTS.md.
 */
#pragma once

namespace Figward::Testing {

/** How fast a configuration spreads, in a small and a large fleet, by three ways and their sum. */
void measureConfiguration();
/** How many groups move when a VM comes or goes, against a modulo baseline. */
void measureMoves();
/** Statements a second of 35 callers on 5 slots, by the number of owners. */
void measureThroughput();
/** Connections held through a rolling restart. */
void measureRestart();
/** How calls and bytes for control grow with the fleet. */
void measureSlopes();
/** Processor time of a control message, of a change of the list and of the configuration. */
void measureCpu();
/** Memory of a group, a VM in the list, a connection. */
void measureMemory();

} // namespace Figward::Testing
