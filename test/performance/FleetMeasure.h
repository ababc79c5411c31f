/** \file
 * Defines measurements of a fleet in virtual time. Each prints rows for docs/MEASUREMENTS.md.
 */
#pragma once

namespace Figward::Testing {

/** Measures how fast a configuration is distributed in a small and a large fleet, by each of three ways and by all together. */
void measureConfiguration();
/** Measures how many groups move when a VM is added or removed, compared with assignment by modulo. */
void measureMoves();
/** Measures statements per second of 35 callers on 5 slots, by the number of owners. */
void measureThroughput();
/** Measures the connections held during a rolling restart. */
void measureRestart();
/** Measures how control calls and bytes grow with the size of the fleet. */
void measureSlopes();
/** Measures the processor time of a control message, of a change of the list and of the configuration. */
void measureCpu();
/** Measures the memory of a group, a VM in the list, a connection. */
void measureMemory();

} // namespace Figward::Testing
