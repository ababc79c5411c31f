#include "ReplicaAge.h"

#include <algorithm>
#include <limits>

namespace Figward {

namespace {

constexpr std::size_t maxSamples = 256;
constexpr std::size_t maxOpenRounds = 16;
constexpr Duration maxSampleAge = std::chrono::seconds(120); // A replica that lags by more has no known age, as no reasonable read accepts data that old.

/**
 * Removes the sample whose neighbours are closest together relative to its age. With this rule, 256 samples cover all of maxSampleAge with gaps of a few
 * percent of each sample's age, at any rate of rounds. If only the newest samples were kept, they would cover less than 3 s with rounds every 10 ms, and a
 * replica that lags by 5 s would have no known age.
 */
void removeLeastUsefulSample(std::deque<AgeSample> &samples)
{
    const Time newest = samples.back().probedAt_;
    std::size_t leastUseful = 1;
    double lowestCost = std::numeric_limits<double>::max();
    for (std::size_t i = 1; i + 1 < samples.size(); ++i) {
        const auto gap = static_cast<double>((samples[i + 1].probedAt_ - samples[i - 1].probedAt_).count());
        const auto age = static_cast<double>((newest - samples[i].probedAt_).count() + 1);
        if (gap / age < lowestCost) {
            lowestCost = gap / age;
            leastUseful = i;
        }
    }
    samples.erase(samples.begin() + static_cast<std::ptrdiff_t>(leastUseful));
}

void closeRound(ReplicaAge &ages, const AgeRound &round)
{
    const AgeSample sample{round.probedAt_, *round.primaryPoint_};
    const auto place = std::ranges::upper_bound(ages.samples_, sample.probedAt_, {}, &AgeSample::probedAt_);
    ages.samples_.insert(place, sample);
    while (ages.samples_.back().probedAt_ - ages.samples_.front().probedAt_ > maxSampleAge) {
        ages.samples_.pop_front();
    }
    if (ages.samples_.size() > maxSamples) {
        removeLeastUsefulSample(ages.samples_);
    }
}

} // namespace

void openAgeRound(ReplicaAge &ages, Time probedAt)
{
    ages.rounds_.push_back({.probedAt_ = probedAt});
    if (ages.rounds_.size() > maxOpenRounds) {
        ages.rounds_.pop_front();
    }
}

void recordAgeAnswer(ReplicaAge &ages, const GroupView &view, Time sentAt, const MemberId &member, const MemberStatus &status)
{
    if (status.fenced_ > view.term_) {
        return;
    }
    const bool primary = view.primary_ == member && status.primary_ && status.log_.term_ == view.term_;
    for (AgeRound &round : ages.rounds_) {
        if (round.probedAt_ > sentAt) {
            break;
        }
        round.confirming_.insert(member);
        if (primary) {
            round.primaryPoint_ = status.log_;
        }
    }
    const auto isConfirmed = [&](const AgeRound &round) {
        return round.primaryPoint_ && round.primaryPoint_->term_ == view.term_ && round.confirming_.size() >= majorityOf(view);
    };
    for (const AgeRound &round : ages.rounds_) {
        if (isConfirmed(round)) {
            closeRound(ages, round);
        }
    }
    std::erase_if(ages.rounds_, isConfirmed);
}

std::optional<Duration> replicaAge(const ReplicaAge &ages, const MemberView &member, Time now)
{
    if (!member.status_) {
        return std::nullopt;
    }
    const auto covers = [&](const AgeSample &sample) { return contains(*member.status_, sample.point_); };
    const auto newest = std::find_if(ages.samples_.rbegin(), ages.samples_.rend(), covers);
    if (newest == ages.samples_.rend()) {
        return std::nullopt;
    }
    return now - newest->probedAt_;
}

} // namespace Figward
