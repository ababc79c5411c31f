#include "StoreReads.h"

#include "GroupLeadership.h"
#include "MemberDirectoryUpdate.h"
#include "ProxyState.h"
#include "SessionAccess.h"
#include "SessionHeartbeats.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace Figward {

namespace {

/** The store answers in some 4 ms, in a slow spell in up to some 400 ms. */
constexpr Duration callTimeout = std::chrono::milliseconds(1500);
constexpr Duration peerTimeout = std::chrono::milliseconds(600);
/** A configuration of some 2,000 routes is 260 kB: a second on a link of 2 Mbit/s. Given up after 600 ms it would never arrive. */
constexpr Duration configurationTimeout = std::chrono::milliseconds(3000);
/** Longest wait of a watch; shorter than the store's limit, so that a watch that went silent is noticed. */
constexpr Duration watchTime = std::chrono::seconds(20);
constexpr Duration watchSlack = std::chrono::seconds(2);
/** Until a VM has heard who leads and watches for it; checks find a change meanwhile. */
constexpr Duration firstWatchAfter = std::chrono::milliseconds(1500);
/** Pause between attempts to read the first configuration. */
constexpr Duration configurationInterval = std::chrono::milliseconds(300);
/**
 * A configuration is in force some 3 s after it was confirmed also where watches hear nothing and stale answers are seconds behind: some VM of those that
 * hear each other reads the latest one this often, and the others learn its number by heartbeat. One VM pays for all, as long as they hear it.
 */
constexpr Duration checkInterval = std::chrono::milliseconds(1200);
/**
 * Where VMs are many, whose links may be small, a check is a watch that ends at once: read whole every 1.2 s, a configuration of 260 kB filled a link of 2 Mbit/s,
 * and the statements of its VM were answered late for 25 s, until the configuration was smaller again.
 */
constexpr Duration checkWait = std::chrono::milliseconds(1);
/** Members that leave are known everywhere some 2 s after they said so; read in the same way by one VM for all. */
constexpr Duration memberInterval = std::chrono::milliseconds(1200);
/** Spread of the VMs' reads, so that one mostly comes before the others. Where VMs are many, word passes through a leader: leaders go first. */
constexpr Duration checkSpread = std::chrono::milliseconds(400);
constexpr Duration lateSpread = std::chrono::milliseconds(800);
/** A VM that had no answer to a check asks again after configurationInterval, then after twice as long, up to this. */
constexpr Duration longestPause = std::chrono::milliseconds(1200);
/** Where one VM reads for all, only leaders need the whole list of VMs at hand. */
constexpr Duration vmInterval = std::chrono::seconds(10);
constexpr Duration seldomVmInterval = std::chrono::seconds(40);
/** Until other VMs are known, the list is read this often. */
constexpr Duration firstVmInterval = std::chrono::milliseconds(1000);
constexpr Duration claimInterval = std::chrono::milliseconds(350);
/** The same where VMs are many, of those that are no delegates. */
constexpr Duration seldomClaimInterval = std::chrono::milliseconds(1000);
/** A read of the configuration that takes longer is told: on a link that is not busy even a large one takes about a second. */
constexpr Duration slowFetch = std::chrono::milliseconds(1000);
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

bool leadsAny(const SessionServiceState &sessions)
{
    return std::ranges::any_of(sessions.groups_, [](const auto &entry) { return entry.second.leader_.has_value(); });
}

/** Whether VMs are many, and this one hears a leader that reads for it. */
bool isReadFor(const SessionServiceState &sessions, Time now)
{
    const auto readsForOthers = [&](const auto &entry) { return entry.second.leads_ && isFresh(entry.second, now); };
    return !areAllClose(static_cast<unsigned>(sessions.peers_.size() + 1)) && !leadsAny(sessions) && std::ranges::any_of(sessions.peers_, readsForOthers);
}

Duration randomBelow(ProxyState &state, Duration most)
{
    return Duration(static_cast<std::int64_t>(state.random_() % static_cast<std::uint64_t>(most.count())));
}

/** Whether this VM must ask now, since nobody has done so for \p interval. */
bool isCheckDue(ProxyState &state, SharedCheck &check, Duration interval, Time now)
{
    if (now < check.askedAt_.value_or(Time()) + interval) {
        check.notBefore_.reset();
        return false;
    }
    if (!check.notBefore_) {
        const Duration head = isReadFor(*state.sessions_, now) ? lateSpread : Duration(0);
        check.notBefore_ = now + head + randomBelow(state, head + checkSpread);
    }
    return now >= *check.notBefore_;
}

/** A check of this VM had no answer: many VMs ask a store that is away, so each waits longer every time. */
void noteCheckFailed(ProxyState &state, SharedCheck &check, Time now)
{
    constexpr unsigned maxDoublings = 2;
    const Duration pause = std::min(longestPause, configurationInterval * (1U << std::min(check.failures_, maxDoublings)));
    ++check.failures_;
    check.notBefore_ = now + pause / 2 + randomBelow(state, pause);
}

/** Some VM had an answer of the store to what it asked at \p askedAt. */
void noteChecked(SharedCheck &check, Time askedAt)
{
    check.askedAt_ = std::max(check.askedAt_.value_or(askedAt), askedAt);
    check.failures_ = 0;
}

bool isCheck(const WatchConfiguration &watch)
{
    return watch.wait_ <= checkWait;
}

/** Asks whether there is a configuration that this VM does not know. */
void checkConfiguration(ProxyState &state, Time now, Effects &out)
{
    SessionServiceState &sessions = *state.sessions_;
    const bool known = sessions.configuration_ && sessions.configurationRevision_ != 0;
    if (!known || areAllClose(static_cast<unsigned>(sessions.peers_.size() + 1))) {
        readConfiguration(state, now, out);
        return;
    }
    sessions.schedule_.configurationAt_ = now + configurationInterval;
    sessions.schedule_.configuration_ = callStore(state, WatchConfiguration{sessions.configurationRevision_, checkWait}, now, out);
}

/** Whether the latest configuration must be read by this VM now. */
bool configurationIsDue(ProxyState &state, Time now)
{
    StoreSchedule &schedule = state.sessions_->schedule_;
    if (!state.sessions_->configuration_ || state.sessions_->configurationRevision_ == 0) {
        return now >= schedule.configurationAt_;
    }
    return isCheckDue(state, schedule.configurationCheck_, checkInterval, now) && now >= schedule.configurationAt_;
}

bool membersAreDue(ProxyState &state, Time now)
{
    StoreSchedule &schedule = state.sessions_->schedule_;
    const bool due = !state.sessions_->directoryKnown_ || isCheckDue(state, schedule.directoryCheck_, memberInterval, now);
    return due && isDue(schedule.members_, schedule.membersAt_, now);
}

void readMembers(ProxyState &state, Time now, Effects &out)
{
    StoreSchedule &schedule = state.sessions_->schedule_;
    schedule.membersAt_ = now + failurePause;
    // A VM that knows members learns by heartbeat what others know, also while the store is away.
    const std::string peer = schedule.reachable_ || state.sessions_->directoryKnown_ ? std::string() : somePeer(state, now);
    schedule.members_ = callStore(state, ReadMembers{}, now, out, Freshness::Latest, peer);
}

/** Whether a fetch of that kind from another VM is under way. */
template<typename Request>
bool fetches(const SessionServiceState &sessions)
{
    return std::ranges::any_of(sessions.calls_,
                               [](const auto &entry) { return !entry.second.peer_.empty() && std::holds_alternative<Request>(entry.second.request_); });
}

void onConfigurationRead(ProxyState &state, const ConfigurationRead &read, Time now, Effects &out)
{
    SessionServiceState &sessions = *state.sessions_;
    sessions.configurationRevision_ = std::max(sessions.configurationRevision_, read.revision_);
    const bool newer = read.configuration_ && (!sessions.configuration_ || sessions.configuration_->version_ < read.configuration_->version_);
    if (!newer) {
        return;
    }
    sessions.configuration_ = read.configuration_;
    sessions.heartbeatNow_ = true; // Others learn the number at once.
    const std::optional<Duration> behind = timeBehind(sessions, now);
    noteInForce(sessions, now);
    out.emplace_back(WriteLog{LogNumber::ConfigurationInForce,
                              {{"version", absl::StrCat(read.configuration_->version_.value())},
                               {"revision", absl::StrCat(read.revision_)},
                               {"databases", absl::StrCat(read.configuration_->databases_.size())},
                               {"behind_ms", behind ? absl::StrCat(toMillis(*behind)) : "-"}}});
    onConfigurationInForce(state, now, out);
}

/** Tells of a read that brought a newer configuration, failed, or took long; a watch that ends without a change is none. */
void tellFetch(const SessionServiceState &sessions, const StoreCallUnderWay &call, const StoreAnswered &answer, Time now, Effects &out)
{
    const auto *watch = std::get_if<WatchConfiguration>(&call.request_);
    if (watch == nullptr && !std::holds_alternative<ReadConfiguration>(call.request_)) {
        return;
    }
    const auto *read = std::get_if<ConfigurationRead>(&answer.content_);
    const bool whole = read != nullptr && read->configuration_;
    const bool newer = whole && (!sessions.configuration_ || sessions.configuration_->version_ < read->configuration_->version_);
    const bool slow = whole && now - call.sentAt_ > slowFetch;
    if (answer.result_ == StoreResult::Done && !newer && !slow) {
        return;
    }
    out.emplace_back(WriteLog{LogNumber::ConfigurationFetched,
                              {{"by",
                                watch == nullptr  ? "read"
                                : isCheck(*watch) ? "check"
                                                  : "watch"},
                               {"from", call.peer_.empty() ? "store" : call.peer_},
                               {"outcome", std::string(toString(answer.result_))},
                               {"version", whole ? absl::StrCat(read->configuration_->version_.value()) : "-"},
                               {"bytes", read == nullptr ? "-" : absl::StrCat(read->bytes_)},
                               {"ms", absl::StrCat(toMillis(now - call.sentAt_))}}});
}

void onVmsRead(ProxyState &state, const std::vector<EntryVm> &vms, Time askedAt, Time now)
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
        peer.listed_ = vm.incarnation_;
        if (!peer.heard_) {
            peer.vm_.address_ = vm.address_;
            peer.vm_.zone_ = vm.zone_;
            peer.vm_.name_ = vm.name_;
        }
    }
    if (!areAllClose(static_cast<unsigned>(vms.size())) && !leadsAny(sessions)) {
        // A VM that registers later finds this one in the list and makes itself known.
        sessions.schedule_.vmsAt_ = now + seldomVmInterval;
    }
    sessions.heartbeatNow_ = true;
}

void noteReachable(ProxyState &state, const StoreCallUnderWay &call, StoreResult result, Time now, Effects &out)
{
    if (!call.peer_.empty() || std::holds_alternative<WatchConfiguration>(call.request_)) {
        return;
    }
    bool &reachable = state.sessions_->schedule_.reachable_;
    const bool answers = result != StoreResult::Refused && result != StoreResult::Unknown;
    if (answers != reachable) {
        out.emplace_back(WriteLog{answers ? LogNumber::StoreRegained : LogNumber::StoreLost, {}});
    }
    if (reachable && !answers) {
        state.sessions_->schedule_.unreachableSince_ = now;
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

void noteFailedRead(ProxyState &state, const StoreCallUnderWay &call, Time now)
{
    StoreSchedule &schedule = state.sessions_->schedule_;
    if (!call.peer_.empty()) {
        return;
    }
    const auto *watch = std::get_if<WatchConfiguration>(&call.request_);
    if (std::holds_alternative<ReadConfiguration>(call.request_) || (watch != nullptr && isCheck(*watch))) {
        noteCheckFailed(state, schedule.configurationCheck_, now);
    } else if (std::holds_alternative<ReadMembers>(call.request_)) {
        noteCheckFailed(state, schedule.directoryCheck_, now);
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
    if (std::holds_alternative<ReadConfiguration>(request)) {
        call.timeout_ = configurationTimeout;
    } else if (const auto *watch = std::get_if<WatchConfiguration>(&request)) {
        // A check may bring the whole configuration. Given up earlier than a read, it began again and again on a small, busy link, and what it had brought was lost.
        call.timeout_ = watch->wait_ + (isCheck(*watch) ? configurationTimeout : watchSlack);
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
    if (!schedule.configuration_ && configurationIsDue(state, now)) {
        checkConfiguration(state, now, out);
    }
    tellConfigurationDelay(sessions, now, out);
    const bool settled = now - sessions.startedAt_ > firstWatchAfter;
    if (sessions.configurationRevision_ != 0 && settled && !isReadFor(sessions, now) && isDue(schedule.watch_, schedule.watchAt_, now)) {
        schedule.watch_ = callStore(state, WatchConfiguration{sessions.configurationRevision_, watchTime}, now, out);
    }
    if (membersAreDue(state, now)) {
        readMembers(state, now, out);
    }
    if (schedule.registered_ && isDue(schedule.vms_, schedule.vmsAt_, now)) {
        schedule.vmsAt_ = now + (sessions.peers_.empty() ? firstVmInterval : isReadFor(sessions, now) ? seldomVmInterval : vmInterval);
        schedule.vms_ = callStore(state, ReadVms{}, now, out);
    }
}

void noteConfigurationChecked(ProxyState &state, Time askedAt)
{
    noteChecked(state.sessions_->schedule_.configurationCheck_, askedAt);
}

void noteDirectoryOf(ProxyState &state, const VmHeartbeat &heartbeat, Time now, Effects &out)
{
    SessionServiceState &sessions = *state.sessions_;
    SharedCheck &check = sessions.schedule_.directoryCheck_;
    const Time askedAt = now - *heartbeat.directoryAge_;
    if (heartbeat.directoryMark_ == sessions.directoryMark_) {
        noteChecked(check, askedAt);
        return;
    }
    const bool newer = !check.askedAt_ || *check.askedAt_ < askedAt;
    if (newer && now >= sessions.schedule_.membersAt_ && !fetches<ReadMembers>(sessions)) {
        sessions.schedule_.membersAt_ = now + failurePause;
        callStore(state, ReadMembers{}, now, out, Freshness::Latest, heartbeat.address_);
    }
}

void fetchConfiguration(ProxyState &state, const std::string &address, Time now, Effects &out)
{
    StoreSchedule &schedule = state.sessions_->schedule_;
    if (!areAllClose(static_cast<unsigned>(state.sessions_->peers_.size() + 1)) && schedule.reachable_) {
        if (!schedule.configuration_ && now >= schedule.configurationAt_) {
            readConfiguration(state, now, out);
        }
    } else if (!fetches<ReadConfiguration>(*state.sessions_)) {
        callStore(state, ReadConfiguration{}, now, out, Freshness::Latest, address);
    }
}

void wantClaims(ProxyState &state, Time now, Effects &out)
{
    StoreSchedule &schedule = state.sessions_->schedule_;
    if (isDue(schedule.claims_, schedule.claimsAt_, now)) {
        const SessionServiceState &sessions = *state.sessions_;
        const bool asksSeldom = !areAllClose(static_cast<unsigned>(sessions.peers_.size() + 1)) && !isDelegate(sessions);
        schedule.claimsAt_ = now + (asksSeldom ? seldomClaimInterval : claimInterval);
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
    noteReachable(state, call, answer.result_, now, out);
    tellFetch(*state.sessions_, call, answer, now, out);
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
        noteFailedRead(state, call, now);
        return;
    }
    if (const auto *read = std::get_if<ConfigurationRead>(&answer.content_)) {
        if (call.peer_.empty()) {
            noteConfigurationChecked(state, call.sentAt_);
        }
        onConfigurationRead(state, *read, now, out);
    } else if (const auto *directory = std::get_if<MemberDirectory>(&answer.content_)) {
        updateDirectory(state, *directory, now, out);
        if (call.peer_.empty()) {
            noteChecked(state.sessions_->schedule_.directoryCheck_, call.sentAt_);
        }
    } else if (const auto *vms = std::get_if<std::vector<EntryVm>>(&answer.content_)) {
        onVmsRead(state, *vms, call.sentAt_, now);
    } else if (const auto *claims = std::get_if<std::vector<LeaderClaim>>(&answer.content_)) {
        onClaimsRead(state, *claims, call.sentAt_, now, out);
    }
}

} // namespace Figward
