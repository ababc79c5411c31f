/** \file
 * Defines the bounded queue in which requests wait at an owner: by class of work, then by deadline.
 */
#pragma once

#include "Errors.h"
#include "Units.h"

#include <cstdint>
#include <optional>
#include <set>

namespace Figward {

/** An owner's own number for a request that it has accepted. */
using Ticket = StrongValue<struct TicketTag, std::uint64_t>;

/** Place of a request in the queue; the smallest is served first. */
struct QueuePlace
{
    unsigned priority_ = 0; ///< Of its class; 0 first.
    Time deadline_;
    Ticket ticket_;
    auto operator<=>(const QueuePlace &) const = default;
};

/** Requests that wait, and how long work takes lately. */
struct AdmissionQueue
{
    std::set<QueuePlace> places_;
    Duration serviceTime_ = std::chrono::milliseconds(1); ///< Moving average of a statement's time at the upstream.
};

/** What admit() decided. */
struct AdmissionVerdict
{
    ErrorKind refusal_ = ErrorKind::None; ///< None if the request now waits.
    Duration retryAfter_{}; ///< With a refusal: when the queue should have room.
    std::optional<QueuePlace> evicted_; ///< A less urgent request that lost its place; it has not run.
};

/**
 * Lets a request at \p place wait if there is room below \p limit and \p slots statements at a time would reach it before its deadline. A full
 * queue evicts its least urgent request for a more urgent one.
 */
AdmissionVerdict admit(AdmissionQueue &queue, const QueuePlace &place, unsigned limit, SlotCount slots, Time now);
/** A statement took \p taken at the upstream. */
void noteServiceTime(AdmissionQueue &queue, Duration taken);

} // namespace Figward
