#include "ReplicaAge.h"

#include <algorithm>
#include <limits>

namespace Figward {

namespace {

constexpr std::size_t maxSamples = 256;
constexpr std::size_t maxOpenRounds = 16;
constexpr Duration history = std::chrono::seconds(120); // A replica that lags by more is not told fresh for any sensible read.

/**
 * Removes the sample whose loss costs least: the one whose neighbours lie closest together for its age. Kept this way, 256 samples cover the history with gaps
 * of a few percent of each sample's age, however fast rounds come; kept by number alone, rounds of 10 ms would leave under 3 s, and a replica that lags by
 * 5 s would have no known age at all.
 */
void thinOut(std::deque<AgeSample> &samples)
{
    const Time newest = samples.back().askedAt_;
    std::size_t cheapest = 1;
    double least = std::numeric_limits<double>::max();
    for (std::size_t i = 1; i + 1 < samples.size(); ++i) {
        const auto gap = static_cast<double>((samples[i + 1].askedAt_ - samples[i - 1].askedAt_).count());
        const auto age = static_cast<double>((newest - samples[i].askedAt_).count() + 1);
        if (gap / age < least) {
            least = gap / age;
            cheapest = i;
        }
    }
    samples.erase(samples.begin() + static_cast<std::ptrdiff_t>(cheapest));
}

void closeRound(ReplicaAge &ages, const AgeRound &round)
{
    const AgeSample sample{round.askedAt_, *round.primaryPoint_};
    const auto place = std::ranges::upper_bound(ages.samples_, sample.askedAt_, {}, &AgeSample::askedAt_);
    ages.samples_.insert(place, sample);
    while (ages.samples_.back().askedAt_ - ages.samples_.front().askedAt_ > history) {
        ages.samples_.pop_front();
    }
    if (ages.samples_.size() > maxSamples) {
        thinOut(ages.samples_);
    }
}

} // namespace

void openAgeRound(ReplicaAge &ages, Time askedAt)
{
    ages.rounds_.push_back({.askedAt_ = askedAt});
    if (ages.rounds_.size() > maxOpenRounds) {
        ages.rounds_.pop_front();
    }
}

void noteAgeAnswer(ReplicaAge &ages, const GroupView &view, Time sentAt, const MemberId &member, const MemberStatus &status)
{
    if (status.fenced_ > view.term_) {
        return;
    }
    const bool primary = view.primary_ == member && status.primary_ && status.log_.term_ == view.term_;
    for (AgeRound &round : ages.rounds_) {
        if (round.askedAt_ > sentAt) {
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
    return now - newest->askedAt_;
}

} // namespace Figward
