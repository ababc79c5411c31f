#include "PrimaryReplacement.h"

#include "CutOff.h"
#include "GroupLeadership.h"
#include "MemberConnections.h"
#include "ProxyState.h"
#include "SessionHeartbeats.h"
#include "SessionLookup.h"
#include "StoreReads.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace Figward {

namespace {

/** No VM has had an answer from the primary for this long: it is replaced. Slow members answer reports within some 300 ms. */
constexpr Duration suspectAfter = std::chrono::milliseconds(900);
/** The same while connections to it are refused: its process is gone, and only the network could still mislead. */
constexpr Duration suspectRefusedAfter = std::chrono::milliseconds(350);
/**
 * A leader judges a primary while it heard most VMs within this time: one that is cut off would replace a primary that all but it still reach. Shorter than
 * any silence by which a primary is judged: what cut this VM off silenced the others and the primary at the same moment, and a leader that judged by the
 * primary's silence first went on to replace it when the cut healed; writes of all zones then stopped for some two seconds.
 */
constexpr Duration speaksNow = std::chrono::milliseconds(600);
/** What the primary answered last was sent a little before it fell silent, and heartbeats take a little time. */
constexpr Duration speaksMargin = std::chrono::milliseconds(50);
/** A new leader listens for this long before it judges. */
constexpr Duration listenFirst = std::chrono::milliseconds(800);
/** The survey goes on without members that did not report in this time. */
constexpr Duration surveyTime = std::chrono::milliseconds(400);
/** With synchronous replicas, a member that holds acknowledged commits may be the one that is missing: the survey waits this long for it. */
constexpr Duration synchronousSurveyTime = std::chrono::seconds(6);
/** Members are asked again this often during a survey and a promotion. */
constexpr Duration reportInterval = std::chrono::milliseconds(40);
/** In a planned replacement the successor has this long to receive the last commits. */
constexpr Duration catchUpTime = std::chrono::milliseconds(1500);
/** A promotion takes some 300 to 600 ms; one that is not seen by then is judged anew. */
constexpr Duration promotionTime = std::chrono::milliseconds(2500);
/** Time for the platform to answer a call to promote. */
constexpr Duration promotionCallTimeout = std::chrono::milliseconds(1000);
/** A promotion that was called for has taken effect by then, or the member has shown that nothing changed. */
constexpr Duration promotionSettled = std::chrono::milliseconds(1000);
/** Pause after a call to promote that failed. */
constexpr Duration promotionPause = std::chrono::milliseconds(200);

void logStep(const SessionGroup &group, LogNumber number, std::string_view why, Time now, Effects &out)
{
    const LeaderState &leader = *group.leader_;
    out.emplace_back(WriteLog{number,
                              {{"group", group.id_.value()},
                               {"generation", absl::StrCat(leader.claim_.generation_)},
                               {"epoch", absl::StrCat(leader.claim_.epoch_)},
                               {"primary", leader.claim_.primary_.value()},
                               {"target", leader.target_.value_or(MemberId()).value()},
                               {"reason", std::string(why)},
                               {"ms", absl::StrCat(toMillis(now - leader.replacementSince_))}}});
}

void enter(LeaderState &leader, ReplacementStep step, Time now)
{
    leader.step_ = step;
    leader.stepSince_ = now;
}

/** Reports older than now no longer count. */
void beginSurvey(LeaderState &leader, Time now)
{
    enter(leader, ReplacementStep::Surveying, now);
    leader.surveyAt_ = now;
    leader.target_.reset();
    leader.promotionAccepted_.reset();
}

bool knowsLeaving(const MemberState *member)
{
    return member == nullptr || member->entry_.leaving_;
}

/** What a member said in the present survey. */
const ReplicationReport *currentReport(const LeaderState &leader, const MemberState &member)
{
    return member.report_ && leader.surveyAt_ && member.reported_ >= *leader.surveyAt_ ? &*member.report_ : nullptr;
}

/** Whether the old primary still leads by its own word while it is not known whether another was promoted: naming it anew decides that. */
bool mayBeNamedAnew(const LeaderState &leader, const MemberState &member)
{
    const ReplicationReport *report = currentReport(leader, member);
    return leader.promotionIssued_ && !leader.planned_ && report != nullptr && report->primary_;
}

/** Members that could take over. */
std::vector<const MemberState *> successors(ProxyState &state, const SessionGroup &group)
{
    std::vector<const MemberState *> found;
    for (const MemberId &id : group.members_) {
        const MemberState *member = findMember(state, id);
        const bool eligible = member != nullptr && !member->entry_.leaving_;
        if (eligible && (id != group.leader_->claim_.primary_ || mayBeNamedAnew(*group.leader_, *member))) {
            found.push_back(member);
        }
    }
    return found;
}

/** A member holds commits of a later term than the primary's: another was promoted, by a call that came through late. */
bool laterTermSeen(ProxyState &state, const SessionGroup &group)
{
    return std::ranges::any_of(group.members_, [&](const MemberId &id) {
        const MemberState *member = findMember(state, id);
        return member != nullptr && group.leader_->claim_.term_ < member->position_.term_;
    });
}

std::optional<std::string_view> reasonToReplace(ProxyState &state, const SessionGroup &group, Time now)
{
    const LeaderState &leader = *group.leader_;
    const MemberState *primary = findMember(state, leader.claim_.primary_);
    if (now - leader.leadSince_ < listenFirst || successors(state, group).empty()) {
        return std::nullopt;
    }
    if (laterTermSeen(state, group)) {
        return "a member is in a later term";
    }
    if (primary != nullptr && primary->entry_.leaving_) {
        return "the primary leaves";
    }
    if (primary != nullptr && primary->report_ && primary->reported_ > leader.leadSince_ && !primary->report_->primary_) {
        return "the primary says that it is a replica";
    }
    const std::optional<Duration> heard = primaryLastHeard(state, group, now);
    const Duration silence = heard.value_or(now - leader.leadSince_);
    const bool refused = primary != nullptr && primary->refusedConnections_;
    // Others must have spoken since the primary fell silent. In a cut that resets connections a leader judged 350 ms later, by heartbeats from before the cut:
    // it revoked a primary that all others reached, and writes to it stopped for the rest of the cut, five seconds.
    const Duration since = std::min(speaksNow, silence - speaksMargin);
    const bool mayJudge = hearsMost(*state.sessions_, since, now) && !isZoneCutOff(*state.sessions_);
    if (silence < (refused ? suspectRefusedAfter : suspectAfter) || !mayJudge) {
        return std::nullopt;
    }
    return refused ? "the primary refuses connections" : "no VM hears the primary";
}

void revoke(SessionGroup &group, std::string_view why, bool planned, Time now, Effects &out)
{
    LeaderState &leader = *group.leader_;
    leader.claim_.epoch_ = std::max(leader.claim_.epoch_, group.authority_.epoch_) + 1;
    leader.claim_.phase_ = ClaimPhase::Replacing;
    leader.revokeStored_.reset();
    leader.planned_ = planned;
    leader.promotionIssued_ = false;
    leader.replacementSince_ = now;
    enter(leader, ReplacementStep::Revoking, now);
    revokeAuthority(group.authority_, leader.claim_.epoch_);
    wantClaimWrite(leader);
    logStep(group, LogNumber::PrimaryRevoked, why, now, out);
}

/** Whether all VMs that the store lists, or that were heard, have said that they no longer use the old primary. */
bool allConfirmed(const ProxyState &state, const SessionGroup &group)
{
    for (const auto &[name, peer] : state.sessions_->peers_) {
        if (!peer.registered_ && !peer.heard_) {
            continue;
        }
        // The word of a process does not count for the one that has started in its place since.
        const bool startedAgain = peer.registered_ && peer.listed_ != VmId(0) && peer.heard_ && peer.listed_ != peer.vm_.incarnation_;
        const auto beat = peer.groups_.find(group.id_);
        if (startedAgain || beat == peer.groups_.end() || beat->second.epoch_ < group.leader_->claim_.epoch_) {
            return false;
        }
    }
    return true;
}

void reviewRevoking(ProxyState &state, SessionGroup &group, Time now, Effects &out)
{
    LeaderState &leader = *group.leader_;
    if (!leader.revokeStored_) {
        return; // A VM that does not hear this one could still renew its authority in the store.
    }
    const bool ranOut = now - *leader.revokeStored_ > authorityTime + authorityMargin;
    // The list that was asked for when the store confirmed the revocation: it names every VM that could have authority from the store.
    const bool settling = leader.promotionIssued_ && now - leader.leadSince_ < promotionSettled;
    if (settling) {
        return; // A promotion that a leader before this one called for may take effect yet.
    }
    const bool listed = state.sessions_->schedule_.vmsReadAt_ >= *leader.revokeStored_;
    if (!ranOut && !(listed && allConfirmed(state, group))) {
        return;
    }
    logStep(group, LogNumber::RevocationComplete, ranOut ? "authority has run out" : "all VMs confirmed", now, out);
    beginSurvey(leader, now);
}

void askAll(ProxyState &state, SessionGroup &group, Time now, Effects &out)
{
    for (const MemberId &id : group.members_) {
        MemberState *member = findMember(state, id);
        if (member != nullptr && now - member->controlAsked_ >= reportInterval) {
            askMemberReport(state, *member, now, out);
        }
    }
}

/** \p member leads: all VMs may use it from now on. */
void settleOn(ProxyState &state, SessionGroup &group, const MemberId &member, Term term, std::string_view why, Time now, Effects &out)
{
    LeaderState &leader = *group.leader_;
    leader.claim_.primary_ = member;
    leader.claim_.term_ = std::max(leader.claim_.term_, term);
    leader.claim_.phase_ = ClaimPhase::Steady;
    enter(leader, ReplacementStep::None, now);
    leader.leadSince_ = now;
    wantClaimWrite(leader);
    renewAuthority(group.authority_, leader.claim_.epoch_, member, leader.claim_.term_, std::min(now, leader.validUntil_ - authorityTime));
    state.sessions_->heartbeatNow_ = true;
    logStep(group, LogNumber::PrimaryInForce, why, now, out);
}

/** A member that leads already, by the word of the survey: one promoted by a leader before this one, or the old primary if it holds all it acknowledged. */
const MemberState *presentPrimary(ProxyState &state, const SessionGroup &group)
{
    const LeaderState &leader = *group.leader_;
    const MemberState *best = nullptr;
    for (const MemberId &id : group.members_) {
        const MemberState *member = findMember(state, id);
        const ReplicationReport *report = member == nullptr ? nullptr : currentReport(leader, *member);
        // Once a promotion was called for, a member that leads the old term may be replaced at any moment, or be so already.
        const Term lowest = leader.promotionIssued_ ? Term(leader.claim_.term_.value() + 1) : leader.claim_.term_;
        if (report == nullptr || !report->primary_ || report->term_ < lowest) {
            continue;
        }
        const std::optional<PositionSample> sample = newestSample(group.samples_);
        const bool lostItsLog = id == leader.claim_.primary_ && sample && sample->position_.term_ == report->term_ && report->received_ < sample->position_;
        const bool planned = leader.planned_ && id == leader.claim_.primary_;
        if (!lostItsLog && !planned && (best == nullptr || best->report_->term_ < report->term_)) {
            best = member;
        }
    }
    return best;
}

unsigned syncReplicas(const ProxyState &state, const ServiceId &group)
{
    const auto limits = state.sessions_->configuration_->services_.find(group);
    return limits == state.sessions_->configuration_->services_.end() ? 0 : limits->second.syncReplicas_;
}

/** The successor that has received most, once enough is known; nothing before. */
const MemberState *chooseSuccessor(ProxyState &state, const SessionGroup &group, Time now)
{
    const LeaderState &leader = *group.leader_;
    const std::vector<const MemberState *> candidates = successors(state, group);
    const MemberState *fullest = nullptr;
    unsigned reported = 0;
    for (const MemberState *member : candidates) {
        const ReplicationReport *report = currentReport(leader, *member);
        if (report == nullptr) {
            continue;
        }
        ++reported;
        if (fullest == nullptr || fullest->report_->received_ < report->received_) {
            fullest = member;
        }
    }
    const bool all = reported == candidates.size();
    const Duration patience = syncReplicas(state, group.id_) > 0 ? synchronousSurveyTime : surveyTime;
    return all || now - leader.stepSince_ > patience ? fullest : nullptr;
}

/** In a planned replacement: whether \p successor has all that the old primary wrote before it stepped down. */
bool hasCaughtUp(ProxyState &state, const SessionGroup &group, const MemberState &successor, Time now)
{
    const LeaderState &leader = *group.leader_;
    const MemberState *old = findMember(state, leader.claim_.primary_);
    const ReplicationReport *last = old == nullptr ? nullptr : currentReport(leader, *old);
    if (!leader.planned_ || now - leader.stepSince_ > catchUpTime) {
        return true;
    }
    return last != nullptr && !last->primary_ && last->received_ <= successor.report_->received_;
}

void promote(SessionGroup &group, const MemberId &target, Time now, Effects &out)
{
    LeaderState &leader = *group.leader_;
    leader.target_ = target;
    leader.promotionAccepted_.reset();
    leader.promotionIssued_ = true;
    enter(leader, ReplacementStep::Promoting, now);
    leader.promoteAfter_ = now + promotionCallTimeout + promotionPause;
    logStep(group, LogNumber::PromotionCalled, "fullest of those that reported", now, out);
    out.emplace_back(SessionEffect(CallPromotion{group.id_, target, leader.claim_.generation_, promotionCallTimeout}));
}

void reviewSurvey(ProxyState &state, SessionGroup &group, Time now, Effects &out)
{
    LeaderState &leader = *group.leader_;
    MemberState *old = findMember(state, leader.claim_.primary_);
    const ReplicationReport *oldReport = old == nullptr ? nullptr : currentReport(leader, *old);
    if (leader.planned_ && old != nullptr && oldReport != nullptr && oldReport->primary_) {
        askStepDown(state, *old, Term(leader.claim_.term_.value() + 1), now, out);
    }
    askAll(state, group, now, out);
    if (const MemberState *present = presentPrimary(state, group)) {
        settleOn(state, group, present->entry_.id_, present->report_->term_, "leads already", now, out);
        return;
    }
    const MemberState *successor = now < leader.promoteAfter_ ? nullptr : chooseSuccessor(state, group, now);
    if (successor != nullptr && hasCaughtUp(state, group, *successor, now)) {
        promote(group, successor->entry_.id_, now, out);
    }
}

void reviewPromoting(ProxyState &state, SessionGroup &group, Time now, Effects &out)
{
    LeaderState &leader = *group.leader_;
    MemberState *target = findMember(state, *leader.target_);
    if (target == nullptr || now - leader.stepSince_ > promotionTime) {
        logStep(group, LogNumber::PromotionFailed, "not seen in time", now, out);
        beginSurvey(leader, now);
        return;
    }
    if (now - target->controlAsked_ >= reportInterval) {
        askMemberReport(state, *target, now, out);
    }
    const bool reports = target->report_ && target->reported_ >= leader.stepSince_ && target->report_->primary_;
    // The call changes nothing for a member that leads already: that is sure once a change would have been seen.
    const bool unchanged = leader.promotionAccepted_ && target->reported_ > *leader.promotionAccepted_ + promotionSettled;
    if (reports && (leader.claim_.term_ < target->report_->term_ || unchanged)) {
        settleOn(state, group, target->entry_.id_, target->report_->term_, "promoted", now, out);
    }
}

/** Other VMs know of a higher epoch than the leader: one before it revoked what the store was never told of. */
bool isBehind(const ProxyState &state, const SessionGroup &group)
{
    return std::ranges::any_of(state.sessions_->peers_, [&](const auto &entry) {
        const auto beat = entry.second.groups_.find(group.id_);
        return beat != entry.second.groups_.end() && beat->second.epoch_ > group.leader_->claim_.epoch_;
    });
}

} // namespace

std::optional<Duration> primaryLastHeard(ProxyState &state, const SessionGroup &group, Time now)
{
    const LeaderState &leader = *group.leader_;
    std::optional<Duration> shortest;
    const auto consider = [&](Duration age) { shortest = shortest ? std::min(*shortest, age) : age; };
    if (const MemberState *primary = findMember(state, leader.claim_.primary_); primary != nullptr && primary->heard_) {
        consider(now - *primary->heard_);
    }
    for (const auto &[name, peer] : state.sessions_->peers_) {
        const auto beat = peer.groups_.find(group.id_);
        const bool speaks = isFresh(peer, now) && beat != peer.groups_.end() && beat->second.epoch_ == leader.claim_.epoch_;
        if (speaks && beat->second.primaryHeard_) {
            consider(*beat->second.primaryHeard_ + (now - peer.itsClockAt_));
        }
    }
    return shortest;
}

void resumeReplacement(SessionGroup &group, Time now)
{
    LeaderState &leader = *group.leader_;
    revokeAuthority(group.authority_, leader.claim_.epoch_);
    leader.replacementSince_ = now;
    leader.revokeStored_ = now; // The claim that was just written says so.
    leader.promotionIssued_ = leader.claim_.generation_ > 1;
    enter(leader, ReplacementStep::Revoking, now);
}

void reviewReplacement(ProxyState &state, SessionGroup &group, Time now, Effects &out)
{
    LeaderState &leader = *group.leader_;
    if (now >= leader.validUntil_) {
        return;
    }
    switch (leader.step_) {
    case ReplacementStep::None:
        if (isBehind(state, group)) {
            revoke(group, "another VM knows a later epoch", false, now, out);
        } else if (const std::optional<std::string_view> reason = reasonToReplace(state, group, now)) {
            const MemberState *primary = findMember(state, leader.claim_.primary_);
            revoke(group, *reason, primary != nullptr && knowsLeaving(primary), now, out);
        }
        if (leader.step_ != ReplacementStep::None) {
            state.sessions_->heartbeatNow_ = true;
        }
        return;
    case ReplacementStep::Revoking:
        reviewRevoking(state, group, now, out);
        return;
    case ReplacementStep::Surveying:
        reviewSurvey(state, group, now, out);
        return;
    case ReplacementStep::Promoting:
        reviewPromoting(state, group, now, out);
        return;
    }
}

void onPromotionAnswered(ProxyState &state, const PromotionAnswered &answer, Time now, Effects &out)
{
    SessionGroup *group = findGroup(state, answer.group_);
    if (group == nullptr || !group->leader_ || group->leader_->step_ != ReplacementStep::Promoting || group->leader_->target_ != answer.member_) {
        return;
    }
    constexpr unsigned accepted = 200;
    if (answer.status_ == accepted) {
        group->leader_->promotionAccepted_ = now;
        return;
    }
    logStep(*group, LogNumber::PromotionFailed, absl::StrCat("status ", answer.status_), now, out);
    if (answer.status_ != 0) {
        // Without an answer it may yet be carried out: the member is watched a while longer.
        group->leader_->promoteAfter_ = now + promotionPause;
        beginSurvey(*group->leader_, now);
    }
}

} // namespace Figward
