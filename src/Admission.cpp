#include "Admission.h"

#include <algorithm>
#include <iterator>

namespace Figward {

namespace {

constexpr int averageWeight = 16; // Each new value has a weight of one sixteenth.

/** Estimated time until the requests ahead of \p place have been served. */
Duration waitBefore(const AdmissionQueue &queue, const QueuePlace &place, SlotCount slots)
{
    const auto ahead = std::distance(queue.places_.begin(), queue.places_.lower_bound(place));
    return queue.serviceTime_ * ahead / std::max(1U, slots.value());
}

} // namespace

AdmissionVerdict admit(AdmissionQueue &queue, const QueuePlace &place, unsigned limit, SlotCount slots, Time now)
{
    AdmissionVerdict verdict;
    const Duration wait = waitBefore(queue, place, slots);
    if (now + wait >= place.deadline_) {
        verdict.refusal_ = ErrorKind::Overloaded;
        verdict.retryAfter_ = wait;
        return verdict;
    }
    if (queue.places_.size() >= limit) {
        const QueuePlace last = *std::prev(queue.places_.end());
        if (last.priority_ <= place.priority_) {
            verdict.refusal_ = ErrorKind::QueueFull;
            verdict.retryAfter_ = std::max(wait, queue.serviceTime_);
            return verdict;
        }
        queue.places_.erase(last);
        verdict.evicted_ = last;
        verdict.retryAfter_ = std::max(wait, queue.serviceTime_);
    }
    queue.places_.insert(place);
    return verdict;
}

void recordServiceTime(AdmissionQueue &queue, Duration taken)
{
    queue.serviceTime_ += (taken - queue.serviceTime_) / averageWeight;
}

} // namespace Figward
