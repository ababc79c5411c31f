#include "GroupReports.h"

#include <algorithm>
#include <utility>

namespace Figward {

namespace {

/** A VM that has not reported for this long is forgotten; most VMs report only while clients use the group. */
constexpr Duration sourceLifetime = std::chrono::seconds(30);
/** Time for which a sighting of a lagging replica is passed on: two reports and two rounds of advice. */
constexpr Duration sightingLifetime = std::chrono::milliseconds(1000);

/** Raises \p base to \p total and returns by how much. A lower total comes from a heartbeat that arrived after a later one, and is ignored. */
template<typename Total>
Total raise(Total &base, Total total)
{
    const Total before = std::exchange(base, std::max(base, total));
    return base - before;
}

/** Raises the totals in \p base to \p totals, and adds the differences to \p sum. */
void addIncreases(GroupObservations &sum, const GroupObservations &totals, GroupObservations &base)
{
    for (const MemberTotals &member : totals.members_) {
        MemberTotals &known = totalsOf(base, member.member_);
        MemberTotals &added = totalsOf(sum, member.member_);
        added.answered_ += raise(known.answered_, member.answered_);
        added.failed_ += raise(known.failed_, member.failed_);
        added.answerTime_ += raise(known.answerTime_, member.answerTime_);
    }
    for (const PriorityTotals &priority : totals.priorities_) {
        PriorityTotals &known = totalsOf(base, priority.pool_, priority.priority_);
        PriorityTotals &added = totalsOf(sum, priority.pool_, priority.priority_);
        added.started_ += raise(known.started_, priority.started_);
        added.shed_ += raise(known.shed_, priority.shed_);
        added.waitTime_ += raise(known.waitTime_, priority.waitTime_);
    }
}

void mergeSightings(ObservationMerge &merge, const GroupObservations &totals, Time now)
{
    for (const MemberTotals &member : totals.members_) {
        if (!member.lagged_) {
            continue;
        }
        const Time seenAt = now - member.lagged_->age_;
        ObservationMerge::Sighting &newest = merge.lagging_[member.member_];
        if (seenAt > newest.at_) {
            newest = {member.lagged_->position_, seenAt};
        }
    }
}

} // namespace

MemberTotals &totalsOf(GroupObservations &observations, const MemberId &member)
{
    const auto found = std::ranges::find(observations.members_, member, &MemberTotals::member_);
    return found != observations.members_.end() ? *found : observations.members_.emplace_back(MemberTotals{.member_ = member});
}

PriorityTotals &totalsOf(GroupObservations &observations, MemberPool pool, unsigned priority)
{
    const auto isWanted = [&](const PriorityTotals &totals) { return totals.pool_ == pool && totals.priority_ == priority; };
    const auto found = std::ranges::find_if(observations.priorities_, isWanted);
    return found != observations.priorities_.end() ? *found : observations.priorities_.emplace_back(PriorityTotals{.pool_ = pool, .priority_ = priority});
}

void mergeObservations(ObservationMerge &merge, const std::string &vm, VmId incarnation, const GroupObservations &totals, Time now)
{
    mergeSightings(merge, totals, now);
    ObservationMerge::Source &source = merge.sources_[vm];
    if (source.incarnation_ != incarnation) {
        source = {incarnation, totals, now};
        return;
    }
    addIncreases(merge.sum_, totals, source.totals_);
    source.receivedAt_ = now;
}

GroupObservations takeIncreases(ObservationMerge &merge, Time now)
{
    std::erase_if(merge.sources_, [&](const auto &source) { return now - source.second.receivedAt_ > sourceLifetime; });
    return std::exchange(merge.sum_, {});
}

std::vector<LaggingMember> laggingMembers(const ObservationMerge &merge, Time now)
{
    std::vector<LaggingMember> lagging;
    for (const auto &[id, sighting] : merge.lagging_) {
        const Duration age = now - sighting.at_;
        if (age < sightingLifetime) {
            lagging.push_back({id, {sighting.position_, age}});
        }
    }
    return lagging;
}

const GroupAdvice *currentAdvice(const std::optional<ReceivedAdvice> &received, Time now)
{
    return received && now < received->ends_ ? &received->advice_ : nullptr;
}

} // namespace Figward
