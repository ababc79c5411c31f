/** \file
 * Defines which forwarded requests of one entry have arrived already, as a window over the ids that the entry gives them.
 */
#pragma once

#include "Ids.h"

#include <bitset>

namespace Figward {

/** The newest ids of one entry, in bounded memory. Ids grow with each request; they may arrive out of their order. */
struct ForwardWindow
{
    /** Requests of one entry that may overtake each other: far more than it has under way at once. */
    static constexpr std::size_t size = 16384;
    std::uint64_t highest_ = 0;
    std::bitset<size> arrived_; ///< By id modulo the size, of the ids up to highest_.
};

/** Notes that \p id has arrived. False if it had before, or is so old that it may have. */
bool noteArrival(ForwardWindow &window, RequestId id);

} // namespace Figward
