#include "StoreReads.h"

#include "ConfigurationReads.h"
#include "FirstReads.h"
#include "GroupLeadership.h"
#include "MemberDirectoryUpdate.h"
#include "ProxyState.h"
#include "SessionHeartbeats.h"
#include "SessionLookup.h"

#include <algorithm>
#include <utility>

namespace Figward {

namespace {

/** The store answers within about 4 ms, or up to about 400 ms when it is slow. */
constexpr Duration callTimeout = std::chrono::milliseconds(1500);
constexpr Duration peerTimeout = std::chrono::milliseconds(600);
/** Replaces peerTimeout for the first list of members, whose size is not known: 3,000 entries are about 800 kB. */
constexpr Duration firstMembersTimeout = std::chrono::milliseconds(2500);
/** A configuration of about 2,000 routes is 260 kB, which takes a second on a link of 2 Mbit/s. With a timeout of 600 ms it would never be received. */
constexpr Duration configurationTimeout = std::chrono::milliseconds(3000);
/**
 * Interval between reads of the members, which one VM makes on behalf of all: members that are leaving are known everywhere about 2 s after they announced it.
 */
constexpr Duration memberInterval = std::chrono::milliseconds(1200);
/** Interval between reads of the list of VMs. Only leaders need the complete list; VMs that rely on the checks of a leader use the longer one. */
constexpr Duration vmInterval = std::chrono::seconds(10);
constexpr Duration longVmInterval = std::chrono::seconds(40);
/** Delay between the first and the second read of the list. */
constexpr Duration secondVmListDelay = std::chrono::milliseconds(2500);
/** Interval between reads of the list while no other VM is known. */
constexpr Duration firstVmInterval = std::chrono::milliseconds(1000);
constexpr Duration claimInterval = std::chrono::milliseconds(350);
/** Replaces claimInterval for VMs that are not delegates in a large fleet. */
constexpr Duration longClaimInterval = std::chrono::milliseconds(1000);
/** Replaces claimInterval where groups are so many that all claims are several pages, and are read only by VMs that may lead. */
constexpr Duration allClaimsInterval = std::chrono::milliseconds(1500);
/** Interval between reads of the claim on one group. */
constexpr Duration oneClaimInterval = std::chrono::milliseconds(500);
/** Delay before a failed call is retried. */
constexpr Duration retryDelay = std::chrono::milliseconds(300);

bool isDue(const std::optional<CallId> &pending, Time at, Time now)
{
    return !pending && now >= at;
}

bool membersAreDue(ProxyState &state, Time now)
{
    StoreSchedule &schedule = state.sessions_->schedule_;
    const bool isFirst = !state.sessions_->directoryKnown_ && !awaitsVmList(*state.sessions_, now);
    const bool due = isFirst || (state.sessions_->directoryKnown_ && isCheckDue(state, schedule.directoryCheck_, memberInterval, now));
    return due && isDue(schedule.members_, schedule.membersAt_, now);
}

void readMembers(ProxyState &state, Time now, Effects &out)
{
    StoreSchedule &schedule = state.sessions_->schedule_;
    schedule.membersAt_ = now + retryDelay;
    // A VM that already has a member directory receives updates through heartbeats, also while the store is unavailable.
    const std::string peer = state.sessions_->directoryKnown_ ? std::string() : chooseFirstSource(state, now);
    schedule.members_ = callStore(state, ReadMembers{}, now, out, {peer});
}

/** Whether a read of this kind from another VM is in flight. */
template<typename Request>
bool isFetchPending(const SessionServiceState &sessions)
{
    return std::ranges::any_of(sessions.calls_,
                               [](const auto &entry) { return !entry.second.peer_.empty() && std::holds_alternative<Request>(entry.second.request_); });
}

/**
 * Whether a stale list of VMs is sufficient. Only leaders depend on a complete one, and they read it when they revoke a primary. A VM whose first list was
 * empty reads the current one, so that the VMs of a small fleet find each other at once.
 */
bool mayListBeStale(const SessionServiceState &sessions)
{
    return !isFullMesh(static_cast<unsigned>(sessions.peers_.size() + 1)) && !leadsAnyGroup(sessions);
}

void onVmsRead(ProxyState &state, const std::vector<EntryVm> &vms, bool mayBeStale, Time askedAt, Time now)
{
    SessionServiceState &sessions = *state.sessions_;
    const bool isFirst = !std::exchange(sessions.schedule_.vmsListed_, true);
    if (!mayBeStale) {
        sessions.schedule_.vmsReadAt_ = std::max(sessions.schedule_.vmsReadAt_, askedAt);
        for (auto &[name, peer] : sessions.peers_) {
            peer.registered_ = false;
        }
    }
    for (const EntryVm &vm : vms) {
        if (vm.name_ == sessions.identity_.vm_.name_) {
            continue;
        }
        PeerVm &peer = sessions.peers_[vm.name_];
        peer.registered_ = true;
        peer.listed_ = vm.incarnation_;
        if (!peer.lastReceivedAt_) {
            peer.vm_.address_ = vm.address_;
            peer.vm_.zone_ = vm.zone_;
            peer.vm_.name_ = vm.name_;
        }
    }
    if (!isFullMesh(static_cast<unsigned>(vms.size())) && !leadsAnyGroup(sessions)) {
        // A VM that registers later finds this VM in the list and sends it heartbeats. When a fleet starts, the first list may lack many VMs.
        sessions.schedule_.vmsAt_ = now + (isFirst ? secondVmListDelay : longVmInterval);
    }
    sessions.heartbeatNow_ = true;
}

void recordReachability(ProxyState &state, const PendingStoreCall &call, StoreResult result, Time now, Effects &out)
{
    if (!call.peer_.empty() || std::holds_alternative<WatchConfiguration>(call.request_)) {
        return;
    }
    StoreSchedule &schedule = state.sessions_->schedule_;
    const bool answers = result != StoreResult::Refused && result != StoreResult::Unknown;
    if (!answers && call.sentAt_ < schedule.lastAnsweredCallAt_) {
        return; // A later call was answered; this one was sent on a connection that no longer responds.
    }
    if (answers != schedule.reachable_) {
        out.emplace_back(WriteLog{answers ? LogNumber::StoreRegained : LogNumber::StoreLost, {}});
    }
    if (schedule.reachable_ && !answers) {
        schedule.unreachableSince_ = now;
    }
    if (answers) {
        schedule.lastAnsweredCallAt_ = std::max(schedule.lastAnsweredCallAt_, call.sentAt_);
    }
    schedule.reachable_ = answers;
}

/** Removes the record of a call that has ended. */
void clearPendingCall(StoreSchedule &schedule, CallId id)
{
    for (std::optional<CallId> *slot : {&schedule.members_, &schedule.watch_, &schedule.vms_, &schedule.claims_, &schedule.register_}) {
        if (*slot == id) {
            slot->reset();
        }
    }
}

bool concernsConfiguration(const StoreRequest &request)
{
    return std::holds_alternative<ReadConfiguration>(request) || std::holds_alternative<WatchConfiguration>(request);
}

} // namespace

std::string chooseReadPeer(ProxyState &state, Time now)
{
    std::vector<std::string> addresses;
    for (const auto &[name, peer] : state.sessions_->peers_) {
        if (wasHeardRecently(peer, now)) {
            addresses.push_back(peer.vm_.address_);
        }
    }
    if (addresses.empty()) {
        addresses = state.sessions_->identity_.seeds_;
    }
    return addresses.empty() ? std::string() : addresses[state.random_() % addresses.size()];
}

CallId callStore(ProxyState &state, StoreRequest request, Time now, Effects &out, const StoreSource &source)
{
    StoreCall call;
    call.id_ = CallId(allocateId(state));
    call.timeout_ = source.peer_.empty() ? callTimeout : peerTimeout;
    if (std::holds_alternative<ReadMembers>(request) && !source.peer_.empty()) {
        const Duration transfer = state.sessions_->schedule_.directoryTransferTime_;
        call.timeout_ = transfer == Duration(0) ? firstMembersTimeout : std::max(peerTimeout, 2 * transfer);
    }
    if (concernsConfiguration(request)) {
        // A check may also return the whole configuration, so it gets the same time as a read. With a shorter timeout it would be repeated over and over on a
        // small, busy link, and the data already received would be discarded each time.
        const auto *watch = std::get_if<WatchConfiguration>(&request);
        call.timeout_ = configurationTimeout + (watch == nullptr ? Duration(0) : watch->wait_);
    }
    call.source_ = source;
    call.request_ = std::move(request);
    state.sessions_->calls_.emplace(call.id_, PendingStoreCall{call.request_, source.peer_, now});
    const CallId id = call.id_;
    out.emplace_back(SessionEffect(CallStore{std::move(call)}));
    return id;
}

void reviewStoreReads(ProxyState &state, Time now, Effects &out)
{
    SessionServiceState &sessions = *state.sessions_;
    StoreSchedule &schedule = sessions.schedule_;
    if (!schedule.registered_ && isDue(schedule.register_, schedule.registerAt_, now) && !sessions.drainSince_) {
        schedule.registerAt_ = now + retryDelay;
        schedule.register_ = callStore(state, RegisterVm{sessions.identity_.vm_}, now, out);
    }
    reviewConfigurationReads(state, now, out);
    if (membersAreDue(state, now)) {
        readMembers(state, now, out);
    }
    if (schedule.registered_ && isDue(schedule.vms_, schedule.vmsAt_, now)) {
        schedule.vmsAt_ = now + (sessions.peers_.empty() ? firstVmInterval : reliesOnLeaderChecks(sessions, now) ? longVmInterval : vmInterval);
        schedule.vms_ = callStore(state, ReadVms{.mayBeStale_ = mayListBeStale(sessions)}, now, out);
    }
}

void onDirectoryReported(ProxyState &state, const VmHeartbeat &heartbeat, Time now, Effects &out)
{
    SessionServiceState &sessions = *state.sessions_;
    SharedCheck &check = sessions.schedule_.directoryCheck_;
    const Time askedAt = sendingTime(sessions, heartbeat, now) - *heartbeat.directoryAge_;
    if (heartbeat.directoryFingerprint_ == sessions.directoryFingerprint_) {
        recordCheck(check, askedAt);
        return;
    }
    const bool newer = !check.askedAt_ || *check.askedAt_ < askedAt;
    if (newer && now >= sessions.schedule_.membersAt_ && !isFetchPending<ReadMembers>(sessions)) {
        sessions.schedule_.membersAt_ = now + retryDelay;
        callStore(state, ReadMembers{}, now, out, {heartbeat.address_});
    }
}

void requestClaims(ProxyState &state, Time now, Effects &out)
{
    StoreSchedule &schedule = state.sessions_->schedule_;
    if (isDue(schedule.claims_, schedule.claimsAt_, now)) {
        const SessionServiceState &sessions = *state.sessions_;
        const bool usesLongInterval = !isFullMesh(static_cast<unsigned>(sessions.peers_.size() + 1)) && !isDelegate(sessions);
        schedule.claimsAt_ = now + (sessions.onDemand_ ? allClaimsInterval : usesLongInterval ? longClaimInterval : claimInterval);
        schedule.claims_ = callStore(state, ReadClaims{}, now, out);
    }
}

void requestClaim(ProxyState &state, SessionGroup &group, Time now, Effects &out)
{
    if (isDue(group.claimRead_, group.claimReadAfter_, now)) {
        group.claimReadAfter_ = now + oneClaimInterval;
        group.claimRead_ = callStore(state, ReadClaims{group.id_}, now, out);
    }
}

void requestVmList(ProxyState &state, Time now, Effects &out)
{
    StoreSchedule &schedule = state.sessions_->schedule_;
    schedule.vmsAt_ = now + vmInterval;
    schedule.vms_ = callStore(state, ReadVms{}, now, out);
}

namespace {

/** Ends a read of the claim on one group. */
void finishClaimRead(ProxyState &state, const ServiceId &id, const StoreAnswered &answer, Time askedAt, Time now)
{
    if (SessionGroup *group = findGroup(state, id)) {
        group->claimRead_.reset();
    }
    const auto *claims = std::get_if<std::vector<LeaderClaim>>(&answer.content_);
    if (answer.result_ == StoreResult::NotFound) {
        onClaimRead(state, id, {}, askedAt, now);
    } else if (answer.result_ == StoreResult::Done && claims != nullptr) {
        onClaimRead(state, id, *claims, askedAt, now);
    }
}

/** Applies the answer to a call of this VM; an answer to a call that has ended is passed over. */
void applyStoreAnswer(ProxyState &state, const StoreAnswered &answer, Time now, Effects &out)
{
    const auto found = state.sessions_->calls_.find(answer.id_);
    if (found == state.sessions_->calls_.end()) {
        return;
    }
    const PendingStoreCall call = found->second;
    state.sessions_->calls_.erase(found);
    clearPendingCall(state.sessions_->schedule_, answer.id_);
    recordReachability(state, call, answer.result_, now, out);
    if (concernsConfiguration(call.request_)) {
        onConfigurationAnswered(state, call, answer, now, out);
        return;
    }
    if (const auto *write = std::get_if<WriteClaim>(&call.request_)) {
        onClaimWritten(state, *write, answer, call.sentAt_, now, out);
        return;
    }
    if (const auto *read = std::get_if<ReadClaims>(&call.request_); read != nullptr && read->group_) {
        finishClaimRead(state, *read->group_, answer, call.sentAt_, now);
        return;
    }
    if (std::holds_alternative<RegisterVm>(call.request_) && answer.result_ == StoreResult::Done) {
        state.sessions_->schedule_.registered_ = true;
    }
    if (std::holds_alternative<ReadMembers>(call.request_) && answer.result_ != StoreResult::Done && call.peer_.empty()) {
        recordCheckFailure(state, state.sessions_->schedule_.directoryCheck_, now);
    }
    if (answer.result_ != StoreResult::Done) {
        return;
    }
    if (const auto *directory = std::get_if<MemberDirectory>(&answer.content_)) {
        updateDirectory(state, *directory, now, out);
        state.sessions_->schedule_.directoryTransferTime_ = now - call.sentAt_;
        if (call.peer_.empty()) {
            recordCheck(state.sessions_->schedule_.directoryCheck_, call.sentAt_);
        }
    } else if (const auto *vms = std::get_if<std::vector<EntryVm>>(&answer.content_)) {
        const bool mayBeStale = std::get<ReadVms>(call.request_).mayBeStale_;
        onVmsRead(state, *vms, mayBeStale, call.sentAt_, now);
    } else if (const auto *claims = std::get_if<std::vector<LeaderClaim>>(&answer.content_)) {
        onClaimsRead(state, *claims, call.sentAt_, now, out);
    }
}

} // namespace

void onStoreAnswered(ProxyState &state, const StoreAnswered &answer, Time now, Effects &out)
{
    applyStoreAnswer(state, answer, now, out);
    const SessionServiceState &sessions = *state.sessions_;
    if (!sessions.configuration_ || !sessions.directoryKnown_) {
        reviewStoreReads(state, now, out); // A VM that starts takes the next step at once.
    }
}

} // namespace Figward
