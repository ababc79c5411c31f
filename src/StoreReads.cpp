#include "StoreReads.h"

#include "GroupLeadership.h"
#include "MemberDirectoryUpdate.h"
#include "ProxyState.h"
#include "SessionHeartbeats.h"
#include "SessionService.h"
#include "SessionStatements.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace Figward {

namespace {

/** The store answers in some 4 ms, in a slow spell in up to some 400 ms. */
constexpr Duration callTimeout = std::chrono::milliseconds(1500);
constexpr Duration peerTimeout = std::chrono::milliseconds(600);
/** Longest wait of a watch; shorter than the store's limit, so that a watch that went silent is noticed. */
constexpr Duration watchTime = std::chrono::seconds(20);
constexpr Duration watchSlack = std::chrono::seconds(2);
/** Pause between attempts to read the first configuration. */
constexpr Duration configurationInterval = std::chrono::milliseconds(300);
/**
 * A configuration is in force some 3 s after it was confirmed also where watches hear nothing and stale answers are seconds behind: some VM of those that
 * hear each other reads the latest one this often, and the others learn its number by heartbeat. One VM pays for all, as long as they hear it.
 */
constexpr Duration checkInterval = std::chrono::milliseconds(1200);
/** Spread of the VMs' reads, so that one mostly comes before the others. */
constexpr Duration checkSpread = std::chrono::milliseconds(400);
/** Members that leave are known some 3 s after they said so: stale reads find them sooner, one fresh read in freshEvery finds them for certain. */
constexpr Duration memberInterval = std::chrono::milliseconds(900);
constexpr unsigned freshEvery = 3;
constexpr Duration vmInterval = std::chrono::seconds(10);
/** Until other VMs are known, the list is read this often. */
constexpr Duration firstVmInterval = std::chrono::milliseconds(1000);
constexpr Duration claimInterval = std::chrono::milliseconds(350);
/** Pause after a call that failed. */
constexpr Duration failurePause = std::chrono::milliseconds(300);

/** A VM to ask in place of the store. */
std::string somePeer(ProxyState &state, Time now)
{
    std::vector<std::string> addresses;
    for (const auto &[name, peer] : state.sessions_->peers_) {
        if (isFresh(peer, now)) {
            addresses.push_back(peer.vm_.address_);
        }
    }
    if (addresses.empty()) {
        addresses = state.sessions_->identity_.seeds_;
    }
    return addresses.empty() ? std::string() : addresses[state.random_() % addresses.size()];
}

bool isDue(const std::optional<CallId> &underWay, Time at, Time now)
{
    return !underWay && now >= at;
}

void readConfiguration(ProxyState &state, Time now, Effects &out)
{
    SessionServiceState &sessions = *state.sessions_;
    StoreSchedule &schedule = sessions.schedule_;
    schedule.configurationAt_ = now + configurationInterval;
    const std::string peer = schedule.reachable_ || sessions.configuration_ ? std::string() : somePeer(state, now);
    schedule.configuration_ = callStore(state, ReadConfiguration{}, now, out, Freshness::Latest, peer);
}

/** Whether the latest configuration must be read by this VM now. */
bool checkIsDue(ProxyState &state, Time now)
{
    StoreSchedule &schedule = state.sessions_->schedule_;
    if (!state.sessions_->configuration_ || state.sessions_->configurationRevision_ == 0) {
        return now >= schedule.configurationAt_;
    }
    const Time lastCheck = schedule.configurationChecked_.value_or(Time());
    if (now < lastCheck + checkInterval) {
        schedule.checkAt_ = Time();
        return false;
    }
    if (schedule.checkAt_ == Time()) {
        schedule.checkAt_ = now + Duration(static_cast<std::int64_t>(state.random_() % static_cast<std::uint64_t>(checkSpread.count())));
    }
    return now >= schedule.checkAt_ && now >= schedule.configurationAt_;
}

void readMembers(ProxyState &state, Time now, Effects &out)
{
    StoreSchedule &schedule = state.sessions_->schedule_;
    schedule.membersAt_ = now + (state.sessions_->directoryKnown_ ? memberInterval : failurePause);
    const bool fresh = !state.sessions_->directoryKnown_ || schedule.memberReads_++ % freshEvery == 0;
    const std::string peer = schedule.reachable_ ? std::string() : somePeer(state, now);
    schedule.members_ = callStore(state, ReadMembers{}, now, out, fresh ? Freshness::Latest : Freshness::MayBeStale, peer);
}

void onConfigurationRead(ProxyState &state, const ConfigurationRead &read, Effects &out)
{
    SessionServiceState &sessions = *state.sessions_;
    sessions.configurationRevision_ = std::max(sessions.configurationRevision_, read.revision_);
    const bool newer = read.configuration_ && (!sessions.configuration_ || sessions.configuration_->version_ < read.configuration_->version_);
    if (!newer) {
        return;
    }
    sessions.configuration_ = read.configuration_;
    sessions.heartbeatNow_ = true; // Others learn the number at once.
    out.emplace_back(WriteLog{LogNumber::ConfigurationInForce,
                              {{"version", absl::StrCat(read.configuration_->version_.value())},
                               {"revision", absl::StrCat(read.revision_)},
                               {"databases", absl::StrCat(read.configuration_->databases_.size())}}});
    acceptWaitingSessions(state, out);
}

void onVmsRead(ProxyState &state, const std::vector<EntryVm> &vms, Time askedAt)
{
    SessionServiceState &sessions = *state.sessions_;
    sessions.schedule_.vmsReadAt_ = std::max(sessions.schedule_.vmsReadAt_, askedAt);
    for (auto &[name, peer] : sessions.peers_) {
        peer.registered_ = false;
    }
    for (const EntryVm &vm : vms) {
        if (vm.name_ == sessions.identity_.vm_.name_) {
            continue;
        }
        PeerVm &peer = sessions.peers_[vm.name_];
        peer.registered_ = true;
        if (!peer.heard_) {
            peer.vm_.address_ = vm.address_;
            peer.vm_.zone_ = vm.zone_;
            peer.vm_.name_ = vm.name_;
        }
    }
    sessions.heartbeatNow_ = true;
}

void noteReachable(ProxyState &state, const StoreCallUnderWay &call, StoreResult result, Effects &out)
{
    if (!call.peer_.empty() || std::holds_alternative<WatchConfiguration>(call.request_)) {
        return;
    }
    bool &reachable = state.sessions_->schedule_.reachable_;
    const bool answers = result != StoreResult::Refused && result != StoreResult::Unknown;
    if (answers != reachable) {
        out.emplace_back(WriteLog{answers ? LogNumber::StoreRegained : LogNumber::StoreLost, {}});
    }
    reachable = answers;
}

/** Forgets that a call is under way. */
void clearSlots(StoreSchedule &schedule, CallId id)
{
    for (std::optional<CallId> *slot :
         {&schedule.members_, &schedule.configuration_, &schedule.watch_, &schedule.vms_, &schedule.claims_, &schedule.register_}) {
        if (*slot == id) {
            slot->reset();
        }
    }
}

void onWatchAnswered(ProxyState &state, const StoreAnswered &answer, Time now)
{
    StoreSchedule &schedule = state.sessions_->schedule_;
    if (answer.result_ == StoreResult::Done) {
        return;
    }
    schedule.watchAt_ = now + failurePause;
    if (answer.result_ == StoreResult::HistoryGone) {
        schedule.configurationAt_ = now;
        state.sessions_->configurationRevision_ = 0; // Known again after the next read.
    }
}

} // namespace

CallId callStore(ProxyState &state, StoreRequest request, Time now, Effects &out, Freshness freshness, std::string peer)
{
    StoreCall call;
    call.id_ = CallId(takeId(state));
    call.freshness_ = freshness;
    call.timeout_ = peer.empty() ? callTimeout : peerTimeout;
    if (const auto *watch = std::get_if<WatchConfiguration>(&request)) {
        call.timeout_ = watch->wait_ + watchSlack;
    }
    call.peer_ = std::move(peer);
    call.request_ = std::move(request);
    state.sessions_->calls_.emplace(call.id_, StoreCallUnderWay{call.request_, call.peer_, now, freshness});
    const CallId id = call.id_;
    out.emplace_back(SessionEffect(CallStore{std::move(call)}));
    return id;
}

void reviewStoreReads(ProxyState &state, Time now, Effects &out)
{
    SessionServiceState &sessions = *state.sessions_;
    StoreSchedule &schedule = sessions.schedule_;
    if (!schedule.registered_ && isDue(schedule.register_, schedule.registerAt_, now) && !sessions.drainSince_) {
        schedule.registerAt_ = now + failurePause;
        schedule.register_ = callStore(state, RegisterVm{sessions.identity_.vm_}, now, out);
    }
    if (!schedule.configuration_ && checkIsDue(state, now)) {
        readConfiguration(state, now, out);
    }
    if (sessions.configurationRevision_ != 0 && isDue(schedule.watch_, schedule.watchAt_, now)) {
        schedule.watch_ = callStore(state, WatchConfiguration{sessions.configurationRevision_, watchTime}, now, out);
    }
    if (isDue(schedule.members_, schedule.membersAt_, now)) {
        readMembers(state, now, out);
    }
    if (schedule.registered_ && isDue(schedule.vms_, schedule.vmsAt_, now)) {
        schedule.vmsAt_ = now + (sessions.peers_.empty() ? firstVmInterval : vmInterval);
        schedule.vms_ = callStore(state, ReadVms{}, now, out);
    }
}

void noteConfigurationChecked(ProxyState &state, Time askedAt)
{
    std::optional<Time> &checked = state.sessions_->schedule_.configurationChecked_;
    checked = std::max(checked.value_or(askedAt), askedAt);
}

void askPeerForConfiguration(ProxyState &state, const std::string &address, Time now, Effects &out)
{
    const bool asking = std::ranges::any_of(state.sessions_->calls_, [&](const auto &entry) {
        return !entry.second.peer_.empty() && std::holds_alternative<ReadConfiguration>(entry.second.request_);
    });
    if (!asking) {
        callStore(state, ReadConfiguration{}, now, out, Freshness::Latest, address);
    }
}

void wantClaims(ProxyState &state, Time now, Effects &out)
{
    StoreSchedule &schedule = state.sessions_->schedule_;
    if (isDue(schedule.claims_, schedule.claimsAt_, now)) {
        schedule.claimsAt_ = now + claimInterval;
        schedule.claims_ = callStore(state, ReadClaims{}, now, out);
    }
}

void wantVms(ProxyState &state, Time now, Effects &out)
{
    StoreSchedule &schedule = state.sessions_->schedule_;
    schedule.vmsAt_ = now + vmInterval;
    schedule.vms_ = callStore(state, ReadVms{}, now, out);
}

void onStoreAnswered(ProxyState &state, const StoreAnswered &answer, Time now, Effects &out)
{
    const auto found = state.sessions_->calls_.find(answer.id_);
    if (found == state.sessions_->calls_.end()) {
        return;
    }
    const StoreCallUnderWay call = found->second;
    state.sessions_->calls_.erase(found);
    clearSlots(state.sessions_->schedule_, answer.id_);
    noteReachable(state, call, answer.result_, out);
    if (const auto *write = std::get_if<WriteClaim>(&call.request_)) {
        onClaimWritten(state, *write, answer, call.sentAt_, now, out);
        return;
    }
    if (std::holds_alternative<WatchConfiguration>(call.request_)) {
        onWatchAnswered(state, answer, now);
    }
    if (std::holds_alternative<RegisterVm>(call.request_) && answer.result_ == StoreResult::Done) {
        state.sessions_->schedule_.registered_ = true;
    }
    if (answer.result_ != StoreResult::Done) {
        return;
    }
    if (const auto *read = std::get_if<ConfigurationRead>(&answer.content_)) {
        const bool fromStore = call.peer_.empty() && std::holds_alternative<ReadConfiguration>(call.request_);
        if (fromStore) {
            noteConfigurationChecked(state, call.sentAt_);
        }
        onConfigurationRead(state, *read, out);
    } else if (const auto *directory = std::get_if<MemberDirectory>(&answer.content_)) {
        state.sessions_->directoryReadAt_ = std::max(state.sessions_->directoryReadAt_, call.sentAt_);
        updateDirectory(state, *directory, now, out);
    } else if (const auto *vms = std::get_if<std::vector<EntryVm>>(&answer.content_)) {
        onVmsRead(state, *vms, call.sentAt_);
    } else if (const auto *claims = std::get_if<std::vector<LeaderClaim>>(&answer.content_)) {
        onClaimsRead(state, *claims, call.sentAt_, now, out);
    }
}

} // namespace Figward
