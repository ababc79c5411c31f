#include "ConfigurationReads.h"

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

/** Longest wait of a watch: the next one begins at a revision of some watches ago, which must not be older than the store's history, of some 20 s. */
constexpr Duration watchTime = std::chrono::seconds(8);
/** That nothing was heard of a change is believed when later answers, this long after, say so too. */
constexpr Duration quietTime = std::chrono::milliseconds(2500);
/** Until a VM has heard who leads and watches for it; checks find a change meanwhile. */
constexpr Duration firstWatchAfter = std::chrono::milliseconds(1500);
/** Pause between reads of the store. */
constexpr Duration configurationInterval = std::chrono::milliseconds(300);
/**
 * A configuration is in force some 3 s after it was confirmed also where watches hear nothing: some VM of those that hear each other reads the latest one this
 * often, and the others learn its number by heartbeat. One VM pays for all, as long as they hear it.
 */
constexpr Duration checkInterval = std::chrono::milliseconds(1200);
/**
 * Where VMs are many, whose links may be small, a check is a watch that ends at once: read whole every 1.2 s, a configuration of 260 kB filled a link of 2 Mbit/s,
 * and the statements of its VM were answered late for 25 s, until the configuration was smaller again.
 */
constexpr Duration checkWait = std::chrono::milliseconds(1);
/** Calls to the store at a time for one check: the first may hang on a connection that has gone silent, a third says no more than the second. */
constexpr std::size_t mostAtStore = 2;
/** A read of the configuration that takes longer is told: on a link that is not busy even a large one takes about a second. */
constexpr Duration slowFetch = std::chrono::milliseconds(1000);
/** Pause after a call that failed. */
constexpr Duration failurePause = std::chrono::milliseconds(300);
/** Pause after an answer that cannot be used: it stays so until an operator changes it. */
constexpr Duration unreadablePause = std::chrono::milliseconds(1200);

bool vmsAreMany(const SessionServiceState &sessions)
{
    return !areAllClose(static_cast<unsigned>(sessions.peers_.size() + 1));
}

ConfigVersion versionOf(const SessionServiceState &sessions)
{
    return sessions.configuration_ ? sessions.configuration_->version_ : ConfigVersion(0);
}

bool isCheck(const WatchConfiguration &watch)
{
    return watch.wait_ <= checkWait;
}

/** Whether the call is a watch that waits for a change, and so no attempt to read. */
bool waitsForChange(const StoreRequest &request)
{
    const auto *watch = std::get_if<WatchConfiguration>(&request);
    return watch != nullptr && !isCheck(*watch);
}

/** A second call to the same goes on a connection of its own: those that are kept may have gone silent together with that of the first. */
void ask(ProxyState &state, StoreRequest request, const std::string &peer, Time now, Effects &out)
{
    const bool isSecond = countAsking(state.sessions_->schedule_.configurationAttempts_, peer) > 0;
    const CallId call = callStore(state, std::move(request), now, out, {peer, isSecond});
    state.sessions_->schedule_.configurationAttempts_.push_back({call, peer, now, std::nullopt});
}

void askVm(ProxyState &state, const std::string &address, Time now, Effects &out)
{
    ask(state, ReadConfiguration{}, address, now, out);
}

void askStore(ProxyState &state, StoreRequest request, Time now, Effects &out)
{
    state.sessions_->schedule_.configurationAt_ = now + configurationInterval;
    ask(state, std::move(request), {}, now, out);
}

/** The VM to ask next for a newer configuration: one that is not being asked, of those one that has the newest, and of those the one that was heard last. */
const PeerVm *chooseTeller(const SessionServiceState &sessions, Time now)
{
    const ConfigurationAttempts &attempts = sessions.schedule_.configurationAttempts_;
    const PeerVm *best = nullptr;
    const auto isBetter = [&](const PeerVm &a, const PeerVm &b) {
        const auto key = [&](const PeerVm &peer) { return std::tuple(countAsking(attempts, peer.vm_.address_) == 0, peer.configuration_, peer.heard_); };
        return key(a) > key(b);
    };
    for (const auto &[name, peer] : sessions.peers_) {
        const bool isNewer = versionOf(sessions) < peer.configuration_;
        if (isNewer && isFresh(peer, now) && now >= peer.configurationAfter_ && mayAsk(attempts, peer.vm_.address_, now)
            && (best == nullptr || isBetter(peer, *best))) {
            best = &peer;
        }
    }
    return best;
}

/**
 * Another VM has a newer configuration. It is read there, or where VMs are many from the store as long as that answers: there the few VMs that know it first would
 * send it to all others over their own links. One that told of it may have gone silent since, and would hold up this VM for a whole
 * time-out while all others have the version: the next is asked as soon as that one is overdue.
 */
void askForNewer(ProxyState &state, Time now, Effects &out)
{
    StoreSchedule &schedule = state.sessions_->schedule_;
    const bool storeFirst = vmsAreMany(*state.sessions_) && schedule.reachable_;
    const ConfigurationAttempts &attempts = schedule.configurationAttempts_;
    // Where VMs are few a check that is under way is not waited for: it may have been asked before the change.
    if (!mayAskAnother(storeFirst ? attempts : attemptsAtVms(attempts), schedule.transferTime_, now)) {
        return;
    }
    const bool storeIsFree = countAsking(attempts, {}) == 0 && now >= schedule.configurationAt_;
    const PeerVm *teller = storeFirst && storeIsFree ? nullptr : chooseTeller(*state.sessions_, now);
    if (teller != nullptr) {
        askVm(state, teller->vm_.address_, now, out);
    } else if (schedule.reachable_ && storeIsFree) {
        askStore(state, ReadConfiguration{}, now, out);
    }
}

/** Reads the first configuration, of another VM if the store does not answer this one. */
void readFirst(ProxyState &state, Time now, Effects &out)
{
    const StoreSchedule &schedule = state.sessions_->schedule_;
    if (!mayAskAnother(schedule.configurationAttempts_, schedule.transferTime_, now)) {
        return;
    }
    const bool storeIsSilent = !schedule.reachable_ || countAsking(schedule.configurationAttempts_, {}) > 0;
    const std::string peer = storeIsSilent ? somePeer(state, now) : std::string();
    if (!peer.empty() && countAsking(schedule.configurationAttempts_, peer) == 0) {
        state.sessions_->schedule_.configurationAt_ = now + configurationInterval;
        askVm(state, peer, now, out);
    } else if (countAsking(schedule.configurationAttempts_, {}) < mostAtStore) {
        askStore(state, ReadConfiguration{}, now, out);
    }
}

/** Asks the store whether there is a configuration that this VM does not know. */
void checkStore(ProxyState &state, Time now, Effects &out)
{
    const SessionServiceState &sessions = *state.sessions_;
    const StoreSchedule &schedule = sessions.schedule_;
    const auto isWaitedFor = [&](const ConfigurationAttempt &attempt) { return attempt.peer_.empty() && !isOverdue(attempt, schedule.transferTime_, now); };
    if (std::ranges::any_of(schedule.configurationAttempts_, isWaitedFor) || countAsking(schedule.configurationAttempts_, {}) >= mostAtStore) {
        return;
    }
    if (sessions.configurationRevision_ != 0 && vmsAreMany(sessions)) {
        askStore(state, WatchConfiguration{sessions.configurationRevision_, checkWait}, now, out);
    } else {
        askStore(state, ReadConfiguration{}, now, out);
    }
}

/**
 * A watch or a check has heard of no change. The store may tell of one only a second after it was made, and names a later revision meanwhile: asked from there, it would never tell
 * of that change, and where VMs are many and check by events only, all would stay with the version before.
 */
void noteQuiet(SessionServiceState &sessions, std::uint64_t revision, Time now)
{
    std::optional<QuietRevision> &quiet = sessions.quietRevision_;
    if (quiet && now - quiet->heardAt_ >= quietTime) {
        sessions.configurationRevision_ = std::max(sessions.configurationRevision_, quiet->revision_);
        quiet.reset();
    }
    if (!quiet) {
        quiet = QuietRevision{revision, now};
    }
}

void onConfigurationRead(ProxyState &state, const ConfigurationRead &read, Time now, Effects &out)
{
    SessionServiceState &sessions = *state.sessions_;
    if (!read.configuration_) {
        noteQuiet(sessions, read.revision_, now);
        return;
    }
    sessions.configurationRevision_ = std::max(sessions.configurationRevision_, read.revision_);
    if (read.configuration_->version_ <= versionOf(sessions)) {
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
    const auto *read = std::get_if<ConfigurationRead>(&answer.content_);
    const bool whole = read != nullptr && read->configuration_;
    const bool newer = whole && versionOf(sessions) < read->configuration_->version_;
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

/** The VM is not asked again at once. */
void noteVmFailed(SessionServiceState &sessions, const std::string &address, Time now)
{
    for (auto &[name, peer] : sessions.peers_) {
        if (peer.vm_.address_ == address) {
            peer.configurationAfter_ = now + failurePause;
        }
    }
}

void onReadFailed(ProxyState &state, const StoreCallUnderWay &call, StoreResult result, Time now)
{
    SessionServiceState &sessions = *state.sessions_;
    StoreSchedule &schedule = sessions.schedule_;
    if (!call.peer_.empty()) {
        noteVmFailed(sessions, call.peer_, now);
        return;
    }
    const bool fromEvents = std::holds_alternative<WatchConfiguration>(call.request_);
    if (fromEvents) {
        schedule.watchAt_ = now + (result == StoreResult::Unreadable ? unreadablePause : failurePause);
    }
    if (fromEvents && (result == StoreResult::HistoryGone || result == StoreResult::Unreadable)) {
        sessions.configurationRevision_ = 0; // Known again after a read of the whole, which is made at once.
        sessions.quietRevision_.reset();
        schedule.configurationAt_ = now;
    } else if (result == StoreResult::Unreadable) {
        schedule.configurationAt_ = now + unreadablePause;
    }
    const bool isOvertaken = schedule.configurationCheck_.askedAt_ && call.sentAt_ < *schedule.configurationCheck_.askedAt_;
    if (!waitsForChange(call.request_) && !isOvertaken) {
        noteCheckFailed(state, schedule.configurationCheck_, now);
    }
}

/** Ends the attempt, and notes how long a whole configuration takes to arrive here. */
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

/** Whether the first configuration is to be read, or the latest one compared with this VM's. */
bool isReadDue(ProxyState &state, Time now)
{
    StoreSchedule &schedule = state.sessions_->schedule_;
    const bool isKnown = state.sessions_->configuration_ && state.sessions_->configurationRevision_ != 0;
    const bool isDue = !isKnown || isCheckDue(state, schedule.configurationCheck_, checkInterval, now);
    return isDue && now >= schedule.configurationAt_;
}

void watchIfDue(ProxyState &state, Time now, Effects &out)
{
    const SessionServiceState &sessions = *state.sessions_;
    StoreSchedule &schedule = state.sessions_->schedule_;
    const bool settled = now - sessions.startedAt_ > firstWatchAfter;
    if (sessions.configurationRevision_ != 0 && settled && !schedule.watch_ && now >= schedule.watchAt_ && !isReadFor(sessions, now)) {
        schedule.watch_ = callStore(state, WatchConfiguration{sessions.configurationRevision_, watchTime}, now, out);
    }
}

/** Tells of each newer version once. */
void noteNewerHeard(SessionServiceState &sessions, const VmHeartbeat &heartbeat, Time now, Effects &out)
{
    noteBehind(sessions, now);
    if (heartbeat.configuration_ <= sessions.newestHeard_) {
        return;
    }
    sessions.newestHeard_ = heartbeat.configuration_;
    out.emplace_back(WriteLog{
        LogNumber::ConfigurationNewerHeard,
        {{"version", absl::StrCat(heartbeat.configuration_.value())}, {"from", heartbeat.name_}, {"mine", absl::StrCat(versionOf(sessions).value())}}});
}

} // namespace

void reviewConfigurationReads(ProxyState &state, Time now, Effects &out)
{
    SessionServiceState &sessions = *state.sessions_;
    if (versionOf(sessions) < sessions.newestHeard_) {
        askForNewer(state, now, out);
    }
    if (isReadDue(state, now)) {
        sessions.configuration_ ? checkStore(state, now, out) : readFirst(state, now, out);
    }
    watchIfDue(state, now, out);
    tellConfigurationDelay(sessions, now, out);
}

void onConfigurationAnswered(ProxyState &state, const StoreCallUnderWay &call, const StoreAnswered &answer, Time now, Effects &out)
{
    SessionServiceState &sessions = *state.sessions_;
    endAttempt(sessions.schedule_, answer, now);
    tellFetch(sessions, call, answer, now, out);
    const auto *read = std::get_if<ConfigurationRead>(&answer.content_);
    if (answer.result_ != StoreResult::Done || read == nullptr) {
        onReadFailed(state, call, answer.result_, now);
        return;
    }
    if (call.peer_.empty()) {
        noteChecked(sessions.schedule_.configurationCheck_, call.sentAt_);
    }
    onConfigurationRead(state, *read, now, out);
}

void onStoreAnswerBegan(ProxyState &state, const StoreAnswerBegan &began, Time now)
{
    ConfigurationAttempts &attempts = state.sessions_->schedule_.configurationAttempts_;
    const auto attempt = std::ranges::find(attempts, began.id_, &ConfigurationAttempt::call_);
    if (attempt != attempts.end()) {
        attempt->beganAt_ = now;
    }
}

void noteConfigurationOf(ProxyState &state, const VmHeartbeat &heartbeat, Time now, Effects &out)
{
    SessionServiceState &sessions = *state.sessions_;
    // What a VM with a newer configuration compared with the store's is not what this VM has: taken for a check, it would keep this one from asking by itself.
    if (heartbeat.configurationAge_ && heartbeat.configuration_ <= versionOf(sessions)) {
        noteChecked(sessions.schedule_.configurationCheck_, sendingTime(sessions, heartbeat, now) - *heartbeat.configurationAge_);
    }
    if (versionOf(sessions) < heartbeat.configuration_) {
        noteNewerHeard(sessions, heartbeat, now, out);
        askForNewer(state, now, out);
    }
}

} // namespace Figward
