/** \file
 * Defines a sliding window over the request ids of one entry proxy, which detects forwarded requests that arrive twice.
 */
#pragma once

#include "Ids.h"

#include <bitset>

namespace Figward {

/** The latest request ids of one entry proxy, in bounded memory. Ids increase with each request but may arrive out of order. */
struct ForwardWindow
{
    /** Maximum distance by which requests of one entry may be reordered; far more than an entry has in flight at once. */
    static constexpr std::size_t size = 16384;
    std::uint64_t highest_ = 0;
    std::bitset<size> arrived_; ///< Bit (id mod size) is set if that id, one of the last `size` ids up to highest_, has arrived.
};

/** Records the arrival of \p id. Returns false if \p id has arrived before, or is too old to tell. */
bool recordArrival(ForwardWindow &window, RequestId id);

} // namespace Figward
