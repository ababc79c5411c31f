#include "Reducer.h"

#include "MemberConnections.h"
#include "Overloaded.h"
#include "OwnerAnswers.h"
#include "OwnerDispatch.h"
#include "OwnerTransactions.h"
#include "SessionDrain.h"
#include "SessionService.h"

namespace Figward {

namespace {

using TimerHandler = void (*)(ProxyState &, const TimerTag &, Time, Effects &);

/** Returns the handler of \p topic; each topic has exactly one. */
TimerHandler timerHandlerOf(TimerTopic topic)
{
    switch (topic) {
    case TimerTopic::EntryDeadline:
        return onEntryTimer;
    case TimerTopic::OwnerDeadline:
        return onOwnerDeadline;
    case TimerTopic::ProbeRound:
    case TimerTopic::PositionPoll:
        return onProbeTimer;
    case TimerTopic::Failover:
    case TimerTopic::GroupRecord:
        return onFailoverTimer;
    case TimerTopic::OwnerPool:
        return onOwnerPoolTimer;
    case TimerTopic::Membership:
        return onMembershipTimer;
    case TimerTopic::Configuration:
        return onConfigurationTimer;
    case TimerTopic::Quota:
        return onQuotaTimer;
    case TimerTopic::Status:
        return onStatusTimer;
    case TimerTopic::Drain:
        return onDrainTimer;
    case TimerTopic::KeyTrim:
        return onKeyTrimTimer;
    case TimerTopic::SessionStatement:
    case TimerTopic::SessionReview:
    case TimerTopic::ForwardedRead:
        return onSessionTimer;
    }
    return nullptr;
}

void onStarted(ProxyState &state, const Started &started, Time now, Effects &out)
{
    startKeyTrim(state, started, now);
    startMembership(state, now, out);
    startConfigurationSync(state, now, out);
    startStatus(state, now, out);
}

void onWakeUp(ProxyState &state, Time now, Effects &out)
{
    state.armedAt_.reset();
    for (const TimerTag &tag : state.timers_.popExpired(now)) {
        timerHandlerOf(tag.topic_)(state, tag, now, out);
    }
}

void onPeerMessage(ProxyState &state, const PeerMessage &message, Time now, Effects &out)
{
    const bool forPreviousIncarnation = message.to_ != VmId(0) && message.to_ != state.identity_.self_.id_;
    if (forPreviousIncarnation) {
        // A message addressed to a previous process at this address, such as an answer or a quota loan, must not be attributed to this process.
        return;
    }
    onPeerVersion(state, message, now, out);
    const Overloaded handle{
        [&](const ForwardRequest &body) { acceptRequest(state, message, body, now, out); },
        [&](const ForwardAnswer &body) { onForwardAnswer(state, message, body, now, out); },
        [&](const AbandonTransaction &body) { onAbandonTransaction(state, message, body, out); },
        [&](const SuspicionQuery &body) { onSuspicionQuery(state, message, body, now, out); },
        [&](const SuspicionAnswer &body) { onSuspicionAnswer(state, message, body, now, out); },
        [&](const PrimaryNews &body) { onPrimaryNews(state, message, body, now, out); },
        [&](const Heartbeat &body) { onHeartbeat(state, message, body, now, out); },
        [&](const VmListNews &body) { onVmListNews(state, message, body, now, out); },
        [&](const ManifestRequest &) { onManifestRequest(state, message, now, out); },
        [&](const ManifestNews &body) { onManifestNews(state, message, body, now, out); },
        [&](const PartsRequest &body) { onPartsRequest(state, message, body, now, out); },
        [&](const PartsNews &body) { onPartsNews(state, message, body, now, out); },
        [&](const QuotaRequest &body) { onQuotaRequest(state, message, body, now, out); },
        [&](const QuotaLoan &body) { onQuotaLoan(state, message, body, now, out); },
        [&](const TermHandover &body) { onTermHandover(state, message, body, now, out); },
        [&](const StatusNews &body) { onStatusNews(state, message, body, now, out); },
        [&](const QuotaReturn &body) { onQuotaReturn(state, message, body, now, out); },
    };
    std::visit(handle, message.body_);
}

void applyProxyEvent(ProxyState &state, const Event &event, Effects &out)
{
    const Time now = event.now_;
    const Overloaded handle{
        [&](const Started &body) { onStarted(state, body, now, out); },
        [&](const WakeUp &) { onWakeUp(state, now, out); },
        [&](const CallerAsked &body) { onCallerAsked(state, body, now, out); },
        [&](const CallerGone &body) { onCallerGone(state, body, now, out); },
        [&](const PeerReceived &body) { onPeerMessage(state, body.message_, now, out); },
        [&](const PeerLost &body) { onPeerLost(state, body, now, out); },
        [&](const ConnectionOpened &body) { onConnectionOpened(state, body, now, out); },
        [&](const ConnectionLost &body) { onConnectionLost(state, body, now, out); },
        [&](const UpstreamAnswered &body) { onUpstreamAnswered(state, body, now, out); },
        [&](const ControlAnswered &body) { onControlAnswered(state, body.answer_, now, out); },
        [&](const PlatformAnswered &body) { onPlatformAnswered(state, body.answer_, now, out); },
        [&](const DrainAsked &) { onDrainAsked(state, now, out); },
        [&](const SessionEvent &) {}, // Handled only in a process that serves sessions.
    };
    std::visit(handle, event.body_);
}

/** Applies an event in a process that serves database sessions. */
void applySessionEvent(ProxyState &state, const Event &event, Effects &out)
{
    const Time now = event.now_;
    const Overloaded handle{
        [&](const Started &) { startSessionService(state, now, out); },
        [&](const WakeUp &) { onWakeUp(state, now, out); },
        [&](const ConnectionOpened &body) { onMemberConnected(state, body.connection_, now, out); },
        [&](const ConnectionLost &body) { onMemberDisconnected(state, body, now, out); },
        [&](const DrainAsked &) { startSessionDrain(state, now, out); },
        [&](const SessionEvent &body) { onSessionEvent(state, body, now, out); },
        [](const auto &) {}, // Events of the entry and owner roles do not occur here.
    };
    std::visit(handle, event.body_);
    runPendingSessionWork(state, now, out);
}

/** Processes the follow-up work of an event until none is left: messages of the proxy to itself, and groups whose queued requests may now be dispatched. */
void processPendingWork(ProxyState &state, Time now, Effects &out)
{
    while (!state.localMessages_.empty() || !state.groupsToDispatch_.empty()) {
        while (!state.localMessages_.empty()) {
            const PeerMessage message = std::move(state.localMessages_.front());
            state.localMessages_.pop_front();
            onPeerMessage(state, message, now, out);
        }
        std::set<GroupId> groups;
        groups.swap(state.groupsToDispatch_);
        for (const GroupId &group : groups) {
            if (GroupOwner *owner = findOwner(state, group)) {
                dispatch(state, *owner, now, out);
            }
        }
    }
}

void armWakeUp(ProxyState &state, Effects &out)
{
    const std::optional<Time> next = state.timers_.next();
    if (next && (!state.armedAt_ || *next < *state.armedAt_)) {
        state.armedAt_ = next;
        out.push_back(ArmWakeUp{*next});
    }
}

} // namespace

Effects reduce(ProxyState &state, const Event &event)
{
    Effects out;
    if (state.sessions_) {
        applySessionEvent(state, event, out);
        armWakeUp(state, out);
        return out;
    }
    applyProxyEvent(state, event, out);
    processPendingWork(state, event.now_, out);
    if (state.drain_.draining_) {
        continueDrain(state, event.now_, out);
    }
    armWakeUp(state, out);
    return out;
}

} // namespace Figward
