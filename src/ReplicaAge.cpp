#include "ReplicaAge.h"

#include <algorithm>

namespace Figward {

namespace {

constexpr std::size_t maxSamples = 256;
constexpr std::size_t maxOpenRounds = 16;

void closeRound(ReplicaAge &ages, const AgeRound &round)
{
    const AgeSample sample{round.askedAt_, *round.primaryPoint_};
    const auto place = std::ranges::upper_bound(ages.samples_, sample.askedAt_, {}, &AgeSample::askedAt_);
    ages.samples_.insert(place, sample);
    if (ages.samples_.size() > maxSamples) {
        ages.samples_.pop_front();
    }
}

} // namespace

void openAgeRound(ReplicaAge &ages, std::uint64_t round, Time askedAt)
{
    ages.rounds_[round].askedAt_ = askedAt;
    if (ages.rounds_.size() > maxOpenRounds) {
        ages.rounds_.erase(ages.rounds_.begin());
    }
}

void noteAgeAnswer(ReplicaAge &ages, const GroupView &view, std::uint64_t round, const MemberId &member, const MemberStatus &status)
{
    const auto found = ages.rounds_.find(round);
    if (found == ages.rounds_.end() || status.fenced_ > view.term_) {
        return;
    }
    AgeRound &open = found->second;
    open.confirming_.insert(member);
    if (view.primary_ == member && status.primary_ && status.log_.term_ == view.term_) {
        open.primaryPoint_ = status.log_;
    }
    if (open.primaryPoint_ && open.primaryPoint_->term_ == view.term_ && open.confirming_.size() >= majorityOf(view)) {
        closeRound(ages, open);
        ages.rounds_.erase(found);
    }
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
