#include "MajorityWait.h"

#include "GroupOwner.h"

#include <algorithm>

namespace Figward {

namespace {

constexpr int averageWeight = 8; // Each new value has a weight of one eighth.

} // namespace

void beginWait(MajorityWait &wait, LogPoint point, Ticket ticket, Time now)
{
    wait.waiting_.emplace(point, MajorityWaiter{ticket, now});
}

void endWait(MajorityWait &wait, LogPoint point, Ticket ticket)
{
    const auto [first, last] = wait.waiting_.equal_range(point);
    const auto found = std::find_if(first, last, [&](const auto &entry) { return entry.second.ticket_ == ticket; });
    if (found != last) {
        wait.waiting_.erase(found);
    }
}

std::vector<Ticket> takeMajorityHeld(GroupOwner &owner, Time now)
{
    std::vector<Ticket> held;
    MajorityWait &wait = owner.requests_.majority_;
    // Positions are ordered: a log that lacks one position lacks all later ones, so the search can stop at the first that is not held.
    while (!wait.waiting_.empty() && majorityHolds(owner.view_, wait.waiting_.begin()->first)) {
        const MajorityWaiter waiter = wait.waiting_.begin()->second;
        wait.averageWait_ += (now - waiter.since_ - wait.averageWait_) / averageWeight;
        held.push_back(waiter.ticket_);
        wait.waiting_.erase(wait.waiting_.begin());
    }
    return held;
}

Duration expectedWait(const MajorityWait &wait, Time now)
{
    if (wait.waiting_.empty()) {
        return Duration::zero();
    }
    Time oldest = now;
    for (const auto &[point, waiter] : wait.waiting_) {
        oldest = std::min(oldest, waiter.since_);
    }
    return std::max(wait.averageWait_, now - oldest);
}

} // namespace Figward
