#include "ConfigurationReads.h"

#include "FirstReads.h"
#include "HeartbeatPace.h"
#include "ProxyState.h"
#include "SessionAccess.h"
#include "SessionHeartbeats.h"
#include "StoreReads.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <tuple>

namespace Figward {

namespace {

/**
 * Maximum duration of a watch. The next watch starts at a revision from several watches ago, which must not be older than the store's history of about 20 s.
 */
constexpr Duration watchDuration = std::chrono::seconds(8);
/** Time that must pass between two answers without a change before the revision of the first is relied upon; see recordNoChange(). */
constexpr Duration noChangeConfirmTime = std::chrono::milliseconds(2500);
/** Delay before the first watch, during which a VM may hear a leader that watches on its behalf; meanwhile checks detect changes. */
constexpr Duration firstWatchDelay = std::chrono::milliseconds(1500);
/** Minimum interval between reads from the store. */
constexpr Duration configurationInterval = std::chrono::milliseconds(300);
/**
 * Interval between checks, which some VM of those that hear each other makes; the others learn the version from heartbeats. With it a configuration becomes
 * active within about 3 s of its confirmation even where watches report nothing. Only one VM's checks are charged for, as long as the others hear it.
 */
constexpr Duration checkInterval = std::chrono::milliseconds(1200);
/**
 * Duration of a watch that serves as a check in a large fleet, whose links may be small: it ends at once, and returns the configuration only if it changed. If
 * a configuration of 260 kB were read completely every 1.2 s, it would fill a link of 2 Mbit/s, and the statements of that VM would be answered late until the
 * configuration became smaller again (25 s in one case).
 */
constexpr Duration checkWatchDuration = std::chrono::milliseconds(1);
/**
 * Maximum number of concurrent store calls for one check: the first may hang on a connection that no longer responds, and a third would add nothing to the
 * second.
 */
constexpr std::size_t maxAtStore = 2;
/** A read of the configuration that takes longer is logged: on a link that is not busy even a large configuration takes about a second. */
constexpr Duration slowReadTime = std::chrono::milliseconds(1000);
/** A VM that has not received a newer configuration from another one within this time reads it from the store. */
constexpr Duration passOnTimeout = std::chrono::milliseconds(2500);
/** Delay before a failed call is retried. */
constexpr Duration retryDelay = std::chrono::milliseconds(300);
/** Delay after an answer that cannot be parsed: the object stays so until an operator changes it. */
constexpr Duration unreadableRetryDelay = std::chrono::milliseconds(1200);

bool isLargeFleet(const SessionServiceState &sessions)
{
    return !isFullMesh(static_cast<unsigned>(sessions.peers_.size() + 1));
}

ConfigVersion versionOf(const SessionServiceState &sessions)
{
    return sessions.configuration_ ? sessions.configuration_->version_ : ConfigVersion(0);
}

bool isCheck(const WatchConfiguration &watch)
{
    return watch.wait_ <= checkWatchDuration;
}

/** Whether the request is a watch that waits for a change, which does not count as an attempt to read. */
bool waitsForChange(const StoreRequest &request)
{
    const auto *watch = std::get_if<WatchConfiguration>(&request);
    return watch != nullptr && !isCheck(*watch);
}

/**
 * Makes an attempt. A second concurrent attempt at the same source uses a new connection, since the kept ones may have stopped responding together with that of
 * the first.
 */
void startAttempt(ProxyState &state, StoreRequest request, const std::string &peer, Time now, Effects &out)
{
    const bool isSecond = countAttemptsAt(state.sessions_->schedule_.configurationAttempts_, peer) > 0;
    const CallId call = callStore(state, std::move(request), now, out, {peer, isSecond});
    state.sessions_->schedule_.configurationAttempts_.push_back({call, peer, now, std::nullopt});
}

void readFromVm(ProxyState &state, const std::string &address, Time now, Effects &out)
{
    startAttempt(state, ReadConfiguration{}, address, now, out);
}

void callStoreForConfiguration(ProxyState &state, StoreRequest request, Time now, Effects &out)
{
    state.sessions_->schedule_.configurationAt_ = now + configurationInterval;
    startAttempt(state, std::move(request), {}, now, out);
}

/**
 * VM to ask next for a newer configuration: preferably one that is not being asked already, then one with the newest configuration, then the one that was heard
 * last.
 */
const PeerVm *choosePeerWithNewer(const SessionServiceState &sessions, Time now)
{
    const ConfigurationAttempts &attempts = sessions.schedule_.configurationAttempts_;
    const PeerVm *best = nullptr;
    const auto isBetter = [&](const PeerVm &a, const PeerVm &b) {
        const auto key = [&](const PeerVm &peer) {
            return std::tuple(countAttemptsAt(attempts, peer.vm_.address_) == 0, peer.configuration_, peer.lastReceivedAt_);
        };
        return key(a) > key(b);
    };
    for (const auto &[name, peer] : sessions.peers_) {
        const bool isNewer = versionOf(sessions) < peer.configuration_;
        if (isNewer && wasHeardRecently(peer, now) && now >= peer.configurationAfter_ && mayReadFrom(attempts, peer.vm_.address_, now)
            && (best == nullptr || isBetter(peer, *best))) {
            best = &peer;
        }
    }
    return best;
}

/**
 * Whether the newer configuration is left to other VMs: they have it, and pass it on from one to the next. If every VM of a fleet of hundreds read it from the
 * store, each change would take the store's whole link for seconds.
 */
bool awaitsOtherVms(const SessionServiceState &sessions, Time now)
{
    if (!sessions.onDemand_ || sessions.relays_.contains(sessions.identity_.vm_.name_) || timeBehind(sessions, now).value_or(Duration(0)) > passOnTimeout) {
        return false;
    }
    const auto hasNewer = [&](const auto &entry) { return versionOf(sessions) < entry.second.configuration_ && wasHeardRecently(entry.second, now); };
    return std::ranges::any_of(sessions.peers_, hasNewer);
}

/**
 * Reads a newer configuration that another VM has. In a small fleet it is read from such a VM. In a large one it is read from the store as long as that
 * answers, since otherwise the few VMs that have it first would send it to all others over their own links. A VM that announced the configuration may have
 * become unresponsive since; so that it does not delay this VM by a whole timeout while all others have the version, the next one is asked as soon as the
 * attempt is overdue.
 */
void readNewer(ProxyState &state, Time now, Effects &out)
{
    StoreSchedule &schedule = state.sessions_->schedule_;
    const bool passedOn = awaitsOtherVms(*state.sessions_, now);
    const bool storeFirst = isLargeFleet(*state.sessions_) && schedule.reachable_ && !passedOn;
    const ConfigurationAttempts &attempts = schedule.configurationAttempts_;
    // In a small fleet a check in flight is not waited for: it may have been sent before the change.
    if (!mayStartAnother(storeFirst ? attempts : attemptsAtVms(attempts), schedule.transferTime_, now)) {
        return;
    }
    const bool mayCallStore = countAttemptsAt(attempts, {}) == 0 && now >= schedule.configurationAt_;
    const PeerVm *newerPeer = storeFirst && mayCallStore ? nullptr : choosePeerWithNewer(*state.sessions_, now);
    if (newerPeer != nullptr) {
        readFromVm(state, newerPeer->vm_.address_, now, out);
    } else if (schedule.reachable_ && mayCallStore && !passedOn) {
        callStoreForConfiguration(state, ReadConfiguration{}, now, out);
    }
}

/** Reads the first configuration, from another VM if the store does not answer. */
void readFirst(ProxyState &state, Time now, Effects &out)
{
    const StoreSchedule &schedule = state.sessions_->schedule_;
    if (!mayStartAnother(schedule.configurationAttempts_, schedule.transferTime_, now)) {
        return;
    }
    const bool storeIsSilent = !schedule.reachable_ || countAttemptsAt(schedule.configurationAttempts_, {}) > 0;
    const std::string peer = storeIsSilent ? chooseReadPeer(state, now) : chooseFirstSource(state, now);
    if (!peer.empty() && countAttemptsAt(schedule.configurationAttempts_, peer) == 0) {
        state.sessions_->schedule_.configurationAt_ = now + configurationInterval;
        readFromVm(state, peer, now, out);
    } else if (countAttemptsAt(schedule.configurationAttempts_, {}) < maxAtStore) {
        callStoreForConfiguration(state, ReadConfiguration{}, now, out);
    }
}

/** Checks the store for a configuration that this VM does not have. */
void checkStore(ProxyState &state, Time now, Effects &out)
{
    const SessionServiceState &sessions = *state.sessions_;
    const StoreSchedule &schedule = sessions.schedule_;
    const auto isWaitedFor = [&](const ConfigurationAttempt &attempt) { return attempt.peer_.empty() && !isOverdue(attempt, schedule.transferTime_, now); };
    if (std::ranges::any_of(schedule.configurationAttempts_, isWaitedFor) || countAttemptsAt(schedule.configurationAttempts_, {}) >= maxAtStore) {
        return;
    }
    if (sessions.configurationRevision_ != 0 && isLargeFleet(sessions)) {
        callStoreForConfiguration(state, WatchConfiguration{sessions.configurationRevision_, checkWatchDuration}, now, out);
    } else {
        callStoreForConfiguration(state, ReadConfiguration{}, now, out);
    }
}

/**
 * Processes a watch or a check that reported no change up to \p revision. The store may report a change only a second after it was made, and state a later
 * revision meanwhile. A watch from that revision would never report the change, and in a large fleet, where checks use events only, all VMs would keep the
 * previous version. The revision is therefore used only after a later answer without a change.
 */
void recordNoChange(SessionServiceState &sessions, std::uint64_t revision, Time now)
{
    std::optional<UnchangedRevision> &noChange = sessions.unchangedRevision_;
    if (noChange && now - noChange->heardAt_ >= noChangeConfirmTime) {
        sessions.configurationRevision_ = std::max(sessions.configurationRevision_, noChange->revision_);
        noChange.reset();
    }
    if (!noChange) {
        noChange = UnchangedRevision{revision, now};
    }
}

void onConfigurationRead(ProxyState &state, const ConfigurationRead &read, Time now, Effects &out)
{
    SessionServiceState &sessions = *state.sessions_;
    if (!read.configuration_) {
        recordNoChange(sessions, read.revision_, now);
        return;
    }
    sessions.configurationRevision_ = std::max(sessions.configurationRevision_, read.revision_);
    if (read.configuration_->version_ <= versionOf(sessions)) {
        return;
    }
    sessions.configuration_ = read.configuration_;
    sessions.heartbeatNow_ = true; // Announces the version to the other VMs at once.
    const std::optional<Duration> behind = timeBehind(sessions, now);
    recordActiveVersion(sessions, now);
    out.emplace_back(WriteLog{LogNumber::ConfigurationInForce,
                              {{"version", absl::StrCat(read.configuration_->version_.value())},
                               {"revision", absl::StrCat(read.revision_)},
                               {"databases", absl::StrCat(read.configuration_->databases_.size())},
                               {"behind_ms", behind ? absl::StrCat(toMillis(*behind)) : "-"}}});
    onConfigurationInForce(state, now, out);
}

/** Logs a read that returned a newer configuration, failed, or took long. A watch that ends without a change is not logged. */
void logRead(const SessionServiceState &sessions, const PendingStoreCall &call, const StoreAnswered &answer, Time now, Effects &out)
{
    const auto *watch = std::get_if<WatchConfiguration>(&call.request_);
    const auto *read = std::get_if<ConfigurationRead>(&answer.content_);
    const bool whole = read != nullptr && read->configuration_;
    const bool newer = whole && versionOf(sessions) < read->configuration_->version_;
    const bool slow = whole && now - call.sentAt_ > slowReadTime;
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

/** Records that a read from the VM at \p address failed, so that it is not asked again at once. */
void recordVmFailure(SessionServiceState &sessions, const std::string &address, Time now)
{
    for (auto &[name, peer] : sessions.peers_) {
        if (peer.vm_.address_ == address) {
            peer.configurationAfter_ = now + retryDelay;
        }
    }
}

void onReadFailed(ProxyState &state, const PendingStoreCall &call, StoreResult result, Time now)
{
    SessionServiceState &sessions = *state.sessions_;
    StoreSchedule &schedule = sessions.schedule_;
    if (!call.peer_.empty()) {
        recordVmFailure(sessions, call.peer_, now);
        return;
    }
    const bool fromEvents = std::holds_alternative<WatchConfiguration>(call.request_);
    if (fromEvents) {
        schedule.watchAt_ = now + (result == StoreResult::Unreadable ? unreadableRetryDelay : retryDelay);
    }
    if (fromEvents && (result == StoreResult::HistoryGone || result == StoreResult::Unreadable)) {
        sessions.configurationRevision_ = 0; // Set again by a complete read, which is made at once.
        sessions.unchangedRevision_.reset();
        schedule.configurationAt_ = now;
    } else if (result == StoreResult::Unreadable) {
        schedule.configurationAt_ = now + unreadableRetryDelay;
    }
    const bool isSuperseded = schedule.configurationCheck_.askedAt_ && call.sentAt_ < *schedule.configurationCheck_.askedAt_;
    if (!waitsForChange(call.request_) && !isSuperseded) {
        recordCheckFailure(state, schedule.configurationCheck_, now);
    }
}

/** Removes the attempt, and records how long a complete configuration takes to arrive. */
void endAttempt(StoreSchedule &schedule, const StoreAnswered &answer, Time now)
{
    const auto attempt = std::ranges::find(schedule.configurationAttempts_, answer.id_, &ConfigurationAttempt::call_);
    if (attempt == schedule.configurationAttempts_.end()) {
        return;
    }
    const auto *read = std::get_if<ConfigurationRead>(&answer.content_);
    if (read != nullptr && read->configuration_) {
        schedule.transferTime_ = now - attempt->askedAt_;
    }
    schedule.configurationAttempts_.erase(attempt);
}

/** Whether the first configuration must be read, or the current one compared with the store's. */
bool isReadDue(ProxyState &state, Time now)
{
    StoreSchedule &schedule = state.sessions_->schedule_;
    const bool isKnown = state.sessions_->configuration_ && state.sessions_->configurationRevision_ != 0;
    const bool isDue = isKnown ? isCheckDue(state, schedule.configurationCheck_, checkInterval, now) : !awaitsVmList(*state.sessions_, now);
    return isDue && now >= schedule.configurationAt_;
}

void watchIfDue(ProxyState &state, Time now, Effects &out)
{
    const SessionServiceState &sessions = *state.sessions_;
    StoreSchedule &schedule = state.sessions_->schedule_;
    const bool settled = now - sessions.startedAt_ > firstWatchDelay;
    if (sessions.configurationRevision_ != 0 && settled && !schedule.watch_ && now >= schedule.watchAt_ && !reliesOnLeaderChecks(sessions, now)) {
        schedule.watch_ = callStore(state, WatchConfiguration{sessions.configurationRevision_, watchDuration}, now, out);
    }
}

/** Records a newer version stated in a heartbeat, and logs each version once. */
void recordNewerVersion(SessionServiceState &sessions, const VmHeartbeat &heartbeat, Time now, Effects &out)
{
    recordBehind(sessions, now);
    if (heartbeat.configuration_ <= sessions.newestReported_) {
        return;
    }
    sessions.newestReported_ = heartbeat.configuration_;
    out.emplace_back(WriteLog{
        LogNumber::ConfigurationNewerHeard,
        {{"version", absl::StrCat(heartbeat.configuration_.value())}, {"from", heartbeat.name_}, {"mine", absl::StrCat(versionOf(sessions).value())}}});
}

} // namespace

void reviewConfigurationReads(ProxyState &state, Time now, Effects &out)
{
    SessionServiceState &sessions = *state.sessions_;
    if (versionOf(sessions) < sessions.newestReported_) {
        readNewer(state, now, out);
    }
    if (isReadDue(state, now)) {
        sessions.configuration_ ? checkStore(state, now, out) : readFirst(state, now, out);
    }
    watchIfDue(state, now, out);
    logConfigurationDelay(sessions, now, out);
}

void onConfigurationAnswered(ProxyState &state, const PendingStoreCall &call, const StoreAnswered &answer, Time now, Effects &out)
{
    SessionServiceState &sessions = *state.sessions_;
    endAttempt(sessions.schedule_, answer, now);
    logRead(sessions, call, answer, now, out);
    const auto *read = std::get_if<ConfigurationRead>(&answer.content_);
    if (answer.result_ != StoreResult::Done || read == nullptr) {
        onReadFailed(state, call, answer.result_, now);
        return;
    }
    if (call.peer_.empty()) {
        recordCheck(sessions.schedule_.configurationCheck_, call.sentAt_);
    }
    onConfigurationRead(state, *read, now, out);
}

void onStoreAnswerBegan(ProxyState &state, const StoreAnswerBegan &began, Time now)
{
    ConfigurationAttempts &attempts = state.sessions_->schedule_.configurationAttempts_;
    const auto attempt = std::ranges::find(attempts, began.id_, &ConfigurationAttempt::call_);
    if (attempt != attempts.end()) {
        attempt->answerBeganAt_ = now;
    }
}

void onConfigurationReported(ProxyState &state, const VmHeartbeat &heartbeat, Time now, Effects &out)
{
    SessionServiceState &sessions = *state.sessions_;
    // A VM with a newer configuration compared that one with the store's, not the one that this VM has. If it counted as a check, this VM would not ask the
    // store by itself.
    if (heartbeat.configurationAge_ && heartbeat.configuration_ <= versionOf(sessions)) {
        recordCheck(sessions.schedule_.configurationCheck_, sendingTime(sessions, heartbeat, now) - *heartbeat.configurationAge_);
    }
    if (versionOf(sessions) < heartbeat.configuration_) {
        recordNewerVersion(sessions, heartbeat, now, out);
        readNewer(state, now, out);
    }
}

} // namespace Figward
