#include "OutlierEjection.h"

#include <algorithm>
#include <cmath>

namespace Figward {

namespace {

/** Length of the sliding window of outcomes. */
constexpr Duration windowLength = std::chrono::milliseconds(1000);

/** Minimum share of failures of an outlier. */
constexpr double minFailureShare = 0.2;
constexpr std::uint64_t minFailureEvents = 5;
/** Minimum factor between an outlier and the other members, for failure shares and answer times. */
constexpr unsigned outlierFactor = 3;
/**
 * Maximum probability that a member which is like the others has as many of their failures by chance. Members that all fail some of their statements are
 * compared several times a second, and a wrong ejection should not occur more often than every few hours.
 */
constexpr double maxChance = 1e-5;

constexpr std::uint64_t minTimedAnswers = 10;
/**
 * Answer times differ by chance as well. The ratio of two means counts only from this number of its standard errors, which corresponds to maxChance. The
 * variance is that of a mixture of databases, about twice the square of the mean.
 */
constexpr double minStandardErrors = 4.3;
constexpr double relativeVariance = 2;
/** Minimum difference between the mean answer times of an outlier and the others: about the work of one statement. */
constexpr Duration minDelay = std::chrono::milliseconds(30);

/**
 * Maximum mean answer time of the other members for which a member is ejected, and for which it stays so. The shortest latency targets are 100 ms: above them the
 * load needs all members, and differences between these come from the lengths of their queues.
 */
constexpr Duration maxOthersTimeToEject = std::chrono::milliseconds(100);
constexpr Duration maxOthersTime = std::chrono::milliseconds(150);
/** Time for which a member that had to be used again for the load is not ejected; otherwise the load of the others would oscillate. */
constexpr Duration neededTime = std::chrono::seconds(10);

constexpr Duration firstEjectionTime = std::chrono::milliseconds(2000);
constexpr Duration maxEjectionTime = std::chrono::milliseconds(8000);
/** A member that is ejected again within this time of its return is ejected for twice as long as before. */
constexpr Duration relapseTime = std::chrono::seconds(10);

/** Number of successful probes after which a member is used again. */
constexpr std::uint64_t neededProbes = 10;
/** Number of probes from which their mean answer time shows that the member is still slow. */
constexpr std::uint64_t minTimedProbes = 3;
/** Time without probes after one has failed. A member must be used again within 3 s of its recovery, which includes this and the probes. */
constexpr Duration probePause = std::chrono::milliseconds(500);
/** One of so many statements probes a member. */
constexpr std::uint64_t statementsPerProbe = 10;
/** Minimum time of probing: a probe without an answer is noticed after 450 ms and reported within 250 ms. */
constexpr Duration minProbingTime = std::chrono::milliseconds(750);
/** Time after which a member without a failed probe is used again, if the group has too few statements for all probes in this time. */
constexpr Duration maxProbingTime = std::chrono::milliseconds(2000);
/** Maximum number of such statements in the sliding window. */
constexpr std::uint64_t fewStatements = neededProbes * statementsPerProbe * windowLength.count() / maxProbingTime.count();

/** Number of failures in a row, and the time within which they occur, for which a VM without advice avoids a member; and for how long. */
constexpr std::size_t avoidedFailures = 3;
constexpr Duration failureRowTime = std::chrono::milliseconds(2000);
constexpr Duration aloneAvoidTime = std::chrono::milliseconds(500);

OutcomeCount sumOf(const MemberOutcomes &outcomes)
{
    OutcomeCount sum;
    for (const OutcomeCount &count : outcomes.window_) {
        sum.answered_ += count.answered_;
        sum.failed_ += count.failed_;
        sum.answerTime_ += count.answerTime_;
    }
    return sum;
}

std::uint64_t eventsOf(const OutcomeCount &count)
{
    return count.answered_ + count.failed_;
}

double failureShare(const OutcomeCount &count)
{
    return eventsOf(count) == 0 ? 0 : static_cast<double>(count.failed_) / static_cast<double>(eventsOf(count));
}

Duration meanTime(const OutcomeCount &count)
{
    return count.answered_ == 0 ? Duration(0) : count.answerTime_ / static_cast<std::int64_t>(count.answered_);
}

double logBinomial(std::uint64_t n, std::uint64_t k)
{
    return std::lgamma(static_cast<double>(n) + 1) - std::lgamma(static_cast<double>(k) + 1) - std::lgamma(static_cast<double>(n - k) + 1);
}

/** Probability that at least as many of the failures of both fall on \p member if they are distributed at random (Fisher's exact test). */
double chanceOf(const OutcomeCount &member, const OutcomeCount &others)
{
    const std::uint64_t all = eventsOf(member) + eventsOf(others);
    const std::uint64_t failed = member.failed_ + others.failed_;
    const std::uint64_t most = std::min(failed, eventsOf(member));
    double chance = 0;
    for (std::uint64_t here = member.failed_; here <= most; ++here) {
        if (eventsOf(member) - here <= all - failed) {
            chance += std::exp(logBinomial(failed, here) + logBinomial(all - failed, eventsOf(member) - here) - logBinomial(all, eventsOf(member)));
        }
    }
    return chance;
}

/** Median of the mean answer times of members with enough answers; zero if there is none. */
Duration medianTime(std::vector<Duration> means)
{
    if (means.empty()) {
        return Duration(0);
    }
    std::ranges::sort(means);
    const std::size_t middle = means.size() / 2;
    return means.size() % 2 == 1 ? means[middle] : (means[middle - 1] + means[middle]) / 2;
}

/** The sum of the outcomes at the members in use other than \p member. */
OutcomeCount othersOf(const OutlierHistory &history, const MemberId &member)
{
    OutcomeCount sum;
    for (const auto &[id, outcomes] : history.members_) {
        if (id != member && outcomes.phase_ == EjectionPhase::InUse) {
            const OutcomeCount count = sumOf(outcomes);
            sum.answered_ += count.answered_;
            sum.failed_ += count.failed_;
        }
    }
    return sum;
}

OutcomeComparison compare(const OutlierHistory &history, const MemberId &member)
{
    std::vector<Duration> means;
    for (const auto &[id, outcomes] : history.members_) {
        const OutcomeCount count = sumOf(outcomes);
        if (id != member && outcomes.phase_ == EjectionPhase::InUse && count.answered_ >= minTimedAnswers) {
            means.push_back(meanTime(count));
        }
    }
    const OutcomeCount own = sumOf(history.members_.at(member));
    return {failureShare(own), failureShare(othersOf(history, member)), meanTime(own), medianTime(std::move(means))};
}

/** Whether the ratio of the mean answer times is too large to occur by chance among members that are alike. */
bool isSlownessCertain(const OutcomeComparison &compared, std::uint64_t own, std::uint64_t others)
{
    const double variance = relativeVariance * (1.0 / static_cast<double>(own) + 1.0 / static_cast<double>(others));
    const double ratio = static_cast<double>(compared.meanTime_.count()) / static_cast<double>(compared.othersMeanTime_.count());
    return std::log(ratio) >= minStandardErrors * std::sqrt(variance);
}

bool isSlow(const OutcomeComparison &compared)
{
    const bool known = compared.othersMeanTime_ > Duration(0);
    return known && compared.meanTime_ >= compared.othersMeanTime_ * outlierFactor && compared.meanTime_ - compared.othersMeanTime_ > minDelay;
}

bool failsMore(const OutcomeComparison &compared)
{
    return compared.failureShare_ > 0 && compared.failureShare_ >= compared.othersFailureShare_ * outlierFactor;
}

std::optional<EjectionReason> outlierReason(const OutlierHistory &history, const MemberId &member, const OutcomeComparison &compared)
{
    const OutcomeCount own = sumOf(history.members_.at(member));
    const OutcomeCount others = othersOf(history, member);
    const bool manyFailures = eventsOf(own) >= minFailureEvents && compared.failureShare_ >= minFailureShare && failsMore(compared);
    if (manyFailures && chanceOf(own, others) <= maxChance) {
        return EjectionReason::Failures;
    }
    const bool isOutlier = own.answered_ >= minTimedAnswers && isSlow(compared) && isSlownessCertain(compared, own.answered_, others.answered_);
    return isOutlier ? std::optional(EjectionReason::Slowness) : std::nullopt;
}

void startPhase(MemberOutcomes &outcomes, EjectionPhase phase, Time ends)
{
    outcomes.phase_ = phase;
    outcomes.phaseEnds_ = ends;
    outcomes.window_.clear();
}

EjectionChange returnMember(OutlierHistory &history, const MemberId &member, EjectionReason reason, Time now)
{
    const OutcomeComparison compared = compare(history, member);
    MemberOutcomes &outcomes = history.members_[member];
    startPhase(outcomes, EjectionPhase::InUse, Time());
    outcomes.returnedAt_ = now;
    return {member, false, reason, compared, outcomes.ejectionTime_};
}

EjectionChange ejectMember(OutlierHistory &history, const MemberId &member, EjectionReason reason, const OutcomeComparison &compared, Time now)
{
    MemberOutcomes &outcomes = history.members_[member];
    const bool relapsed = outcomes.returnedAt_ && now - *outcomes.returnedAt_ <= relapseTime;
    outcomes.ejectionTime_ = relapsed ? std::clamp(outcomes.ejectionTime_ * 2, firstEjectionTime, maxEjectionTime) : firstEjectionTime;
    startPhase(outcomes, EjectionPhase::Ejected, now + outcomes.ejectionTime_);
    return {member, true, reason, compared, outcomes.ejectionTime_};
}

void recordIncreases(OutlierHistory &history, absl::Span<const MemberTotals> increases, Time now)
{
    for (const MemberTotals &increase : increases) {
        const auto found = history.members_.find(increase.member_);
        if (found != history.members_.end() && found->second.phase_ != EjectionPhase::Ejected) {
            found->second.window_.push_back({now, increase.answered_, increase.failed_, increase.answerTime_});
        }
    }
    for (auto &[id, outcomes] : history.members_) {
        while (outcomes.phase_ == EjectionPhase::InUse && !outcomes.window_.empty() && now - outcomes.window_.front().at_ >= windowLength) {
            outcomes.window_.pop_front();
        }
    }
}

/** Forgets the outcomes at the members in use, which carried the load of the ejected ones and so do not compare with those from now on. */
void forgetOutcomes(OutlierHistory &history)
{
    for (auto &[id, outcomes] : history.members_) {
        if (outcomes.phase_ == EjectionPhase::InUse) {
            outcomes.window_.clear();
        }
    }
}

void startProbing(OutlierHistory &history, Time now)
{
    for (auto &[id, outcomes] : history.members_) {
        if (outcomes.phase_ == EjectionPhase::Ejected && now >= outcomes.phaseEnds_) {
            startPhase(outcomes, EjectionPhase::Probing, now + maxProbingTime);
        }
    }
}

/** Ends the probing of members whose probes failed, or succeeded often enough. */
void judgeProbes(OutlierHistory &history, std::vector<EjectionChange> &changes, Time now)
{
    for (auto &[id, outcomes] : history.members_) {
        if (outcomes.phase_ != EjectionPhase::Probing) {
            continue;
        }
        const OutcomeComparison compared = compare(history, id);
        const std::uint64_t answered = sumOf(outcomes).answered_;
        const bool isProven = answered >= neededProbes && now >= outcomes.phaseEnds_ - maxProbingTime + minProbingTime;
        const bool isOver = now >= outcomes.phaseEnds_ && eventsOf(othersOf(history, id)) < fewStatements;
        if (failsMore(compared) || (answered >= minTimedProbes && isSlow(compared))) {
            startPhase(outcomes, EjectionPhase::Ejected, now + probePause);
        } else if (isProven || isOver) {
            changes.push_back(returnMember(history, id, EjectionReason::Proven, now));
        }
    }
}

/** Whether more than half of the members are left in use if \p member is not used. */
bool mayBeSpared(const OutlierHistory &history, absl::Span<const ReviewedMember> members, const MemberId &member)
{
    const auto isOut = [&](const ReviewedMember &other) {
        return other.member_ == member || !other.serving_ || history.members_.at(other.member_).phase_ != EjectionPhase::InUse;
    };
    return static_cast<std::size_t>(std::ranges::count_if(members, isOut)) * 2 < members.size();
}

void returnNeeded(OutlierHistory &history, absl::Span<const ReviewedMember> members, std::vector<EjectionChange> &changes, Time now)
{
    for (const ReviewedMember &member : members) {
        if (history.members_[member.member_].phase_ == EjectionPhase::InUse) {
            continue;
        }
        const bool isOverloaded = compare(history, member.member_).othersMeanTime_ > maxOthersTime;
        if (isOverloaded || !mayBeSpared(history, members, member.member_)) {
            changes.push_back(returnMember(history, member.member_, EjectionReason::Needed, now));
            history.members_[member.member_].neededUntil_ = now + neededTime;
        }
    }
}

void ejectOutliers(OutlierHistory &history, absl::Span<const ReviewedMember> members, std::vector<EjectionChange> &changes, Time now)
{
    std::vector<EjectionChange> outliers;
    for (const ReviewedMember &member : members) {
        const MemberOutcomes &outcomes = history.members_[member.member_];
        if (outcomes.phase_ != EjectionPhase::InUse || now < outcomes.neededUntil_) {
            continue;
        }
        const OutcomeComparison compared = compare(history, member.member_);
        const std::optional<EjectionReason> reason = outlierReason(history, member.member_, compared);
        if (reason && compared.othersMeanTime_ <= maxOthersTimeToEject) {
            outliers.push_back({member.member_, true, *reason, compared, {}});
        }
    }
    // The worst first, since not all of them may be ejected.
    const auto rank = [](const EjectionChange &change) { return std::pair(change.compared_.failureShare_, change.compared_.meanTime_); };
    std::ranges::sort(outliers, std::greater(), rank);
    for (const EjectionChange &outlier : outliers) {
        if (mayBeSpared(history, members, outlier.member_)) {
            changes.push_back(ejectMember(history, outlier.member_, outlier.reason_, outlier.compared_, now));
        }
    }
}

} // namespace

const char *toString(EjectionReason reason)
{
    switch (reason) {
    case EjectionReason::Failures:
        return "failures";
    case EjectionReason::Slowness:
        return "slowness";
    case EjectionReason::Proven:
        return "probes-succeeded";
    case EjectionReason::Needed:
        return "others-insufficient";
    }
    return "";
}

std::vector<EjectionChange>
reviewOutliers(OutlierHistory &history, absl::Span<const ReviewedMember> members, absl::Span<const MemberTotals> increases, Time now)
{
    std::erase_if(history.members_, [&](const auto &known) { return std::ranges::find(members, known.first, &ReviewedMember::member_) == members.end(); });
    for (const ReviewedMember &member : members) {
        history.members_.try_emplace(member.member_);
    }
    recordIncreases(history, increases, now);
    startProbing(history, now);
    std::vector<EjectionChange> changes;
    judgeProbes(history, changes, now);
    returnNeeded(history, members, changes, now);
    if (members.size() >= minComparedMembers) {
        ejectOutliers(history, members, changes, now);
    }
    if (!changes.empty()) {
        forgetOutcomes(history);
    }
    return changes;
}

std::vector<EjectedMember> ejectedMembers(const OutlierHistory &history, Time now)
{
    std::vector<EjectedMember> ejected;
    for (const auto &[id, outcomes] : history.members_) {
        if (outcomes.phase_ != EjectionPhase::InUse) {
            const bool probing = outcomes.phase_ == EjectionPhase::Probing;
            ejected.push_back({id, probing ? Duration(0) : std::max(outcomes.phaseEnds_ - now, Duration(0)), probing});
        }
    }
    return ejected;
}

OutlierHistory adoptEjections(const ReceivedAdvice *advice, Time now)
{
    OutlierHistory history;
    if (advice == nullptr || now >= advice->ends_) {
        return history;
    }
    for (const EjectedMember &ejected : advice->advice_.ejected_) {
        MemberOutcomes &outcomes = history.members_[ejected.member_];
        outcomes.ejectionTime_ = firstEjectionTime;
        startPhase(outcomes, EjectionPhase::Ejected, advice->sentAt_ + ejected.remaining_);
    }
    return history;
}

void recordFailure(FailureRow &row, Time now)
{
    row.failures_.push_back(now);
    if (row.failures_.size() > avoidedFailures) {
        row.failures_.pop_front();
    }
    if (row.failures_.size() == avoidedFailures && now - row.failures_.front() <= failureRowTime) {
        row.avoidedUntil_ = now + aloneAvoidTime;
    }
}

void recordAnswer(FailureRow &row)
{
    row.failures_.clear();
}

bool isFailing(const FailureRow &row, Time now)
{
    return !row.failures_.empty() && now - row.failures_.back() <= failureRowTime;
}

MemberUse memberUse(const ReceivedAdvice *advice, const MemberId &member, const FailureRow &row, Time now)
{
    if (advice == nullptr || now >= advice->ends_) {
        return now < row.avoidedUntil_ ? MemberUse::Avoid : MemberUse::Full;
    }
    const auto found = std::ranges::find(advice->advice_.ejected_, member, &EjectedMember::member_);
    if (found == advice->advice_.ejected_.end()) {
        return MemberUse::Full;
    }
    return found->probing_ || now >= advice->sentAt_ + found->remaining_ ? MemberUse::Probe : MemberUse::Avoid;
}

bool drawsProbe(std::uint64_t random)
{
    return random % statementsPerProbe == 0;
}

} // namespace Figward
