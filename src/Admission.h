/** \file
 * Defines the bounded queue of requests at an owner, ordered by priority of their work class and then by deadline.
 */
#pragma once

#include "Errors.h"
#include "Units.h"

#include <cstdint>
#include <optional>
#include <set>

namespace Figward {

/** Number that an owner assigns to a request it has accepted. */
using Ticket = StrongValue<struct TicketTag, std::uint64_t>;

/** Position of a request in the queue; the smallest is served first. */
struct QueuePlace
{
    unsigned priority_ = 0; ///< Priority of its work class; 0 is served first.
    Time deadline_;
    Ticket ticket_;
    auto operator<=>(const QueuePlace &) const = default;
};

/** Queued requests and the recent average service time. */
struct AdmissionQueue
{
    std::set<QueuePlace> places_;
    Duration serviceTime_ = std::chrono::milliseconds(1); ///< Moving average of the time that a statement takes at the upstream.
};

/** Result of admit(). */
struct AdmissionVerdict
{
    ErrorKind refusal_ = ErrorKind::None; ///< None if the request was queued.
    Duration retryAfter_{}; ///< When the queue is expected to have room; set if a request was refused or evicted.
    std::optional<QueuePlace> evicted_; ///< A request of lower priority that was removed from the queue; it has not run.
};

/**
 * Queues a request at \p place if the queue holds fewer than \p limit requests and, with \p slots statements running at a time, the request would start before
 * its deadline. A full queue evicts its last request in favour of one of higher priority.
 */
AdmissionVerdict admit(AdmissionQueue &queue, const QueuePlace &place, unsigned limit, SlotCount slots, Time now);
/** Records that a statement took \p taken at the upstream. */
void recordServiceTime(AdmissionQueue &queue, Duration taken);

} // namespace Figward
