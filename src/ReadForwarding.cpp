#include "ReadForwarding.h"

#include "ConnectionHolder.h"
#include "ConnectionPlan.h"
#include "GroupInterest.h"
#include "ProxyState.h"
#include "SessionHeartbeats.h"
#include "SessionLookup.h"
#include "StatementNeeds.h"
#include "StatementOutcome.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <vector>

namespace Figward {

namespace {

/** Time without an answer after which a read is repeated, and after which a repeated read is run here: a small part of interactive latency targets. */
constexpr Duration answerTimeout = std::chrono::milliseconds(60);
/** Minimum time to the deadline of a read that is forwarded: enough for a holder that does not answer, and as much again to run the read here. */
constexpr Duration minTimeLeft = 4 * answerTimeout;
/** Time for which the result of a read is kept for repeated requests: several times that within which a request is repeated, or a datagram is delayed. */
constexpr Duration resultRetention = std::chrono::seconds(1);
/** Maximum size of a forwarded read or of its reply: a larger datagram consists of many packets, each of which may be lost. */
constexpr std::size_t maxDatagramBytes = std::size_t{16} * 1024;
/** Size of the encoding of a session value or a row, beyond its content. */
constexpr std::size_t entryBytes = 10;
/** Maximum number of reads of other VMs that are running or whose results are kept; this limits their memory to some ten megabytes. */
constexpr std::size_t maxReceivedReads = 1000;
/**
 * Time for which no read is forwarded to a holder that did not answer, even if a heartbeat from it is received; doubles with each further failure. Requests to
 * it may be lost although its heartbeats arrive.
 */
constexpr Duration silentHolderPause = std::chrono::seconds(1);
constexpr unsigned maxPauseDoublings = 3;
/** Minimum interval of log events about holders that do not answer. */
constexpr Duration silenceLogInterval = std::chrono::seconds(1);
/** Set in the key of each session that represents a read of another VM; clients' sessions are numbered from 1. */
constexpr std::uint64_t receivedReadKey = std::uint64_t{1} << 63U;

bool isAlive(const SessionServiceState &sessions, const PeerVm &peer, Time now)
{
    // In a large fleet, a VM may be heard for the first time only after minutes.
    const bool isExpected = sessions.onDemand_ && !peer.lastReceivedAt_ && peer.registered_;
    return isExpected || wasHeardRecently(peer, now);
}

/** Name of the connection holder for this VM's zone; it may be this VM itself. */
std::string holderOf(const SessionServiceState &sessions, const OrganisationId &organisation, const ServiceId &service, Time now)
{
    const EntryVm &self = sessions.identity_.vm_;
    std::vector<std::string> vms;
    if (!sessions.drainSince_) {
        vms.push_back(self.name_);
    }
    for (const auto &[name, peer] : sessions.peers_) {
        if (peer.vm_.zone_ == self.zone_ && !peer.leaving_ && isAlive(sessions, peer, now)) {
            vms.push_back(name);
        }
    }
    return connectionHolder(organisation, service, vms);
}

/** Whether the holder did not answer, and nothing shows since that it does. */
bool isSilent(const ForwardingState &forwarding, const PeerVm &holder, Time now)
{
    const auto silent = forwarding.silent_.find(holder.vm_.name_);
    return silent != forwarding.silent_.end()
           && (now < silent->second.notBefore_ || !holder.lastReceivedAt_ || *holder.lastReceivedAt_ <= silent->second.since_);
}

std::size_t sizeOf(const ClientSession &session)
{
    const ClientStatement &statement = session.run_->statement_;
    std::size_t bytes = statement.id_.size() + statement.text_.size() + statement.name_.size() + statement.value_.size();
    for (const auto &[name, value] : session.values_) {
        bytes += name.size() + value.size() + entryBytes;
    }
    const auto prepared = session.prepared_.find(statement.name_);
    return bytes + (prepared == session.prepared_.end() ? 0 : prepared->second.shape_.size());
}

std::size_t sizeOf(const SessionReply &reply)
{
    std::size_t bytes = reply.receipt_.size() + reply.text_.size();
    for (const std::string &row : reply.rows_) {
        bytes += row.size() + entryBytes;
    }
    return bytes;
}

/** Whether the statement of \p session is a read that another VM may run. */
bool isForwardable(const ClientSession &session, Time now)
{
    const StatementRun &run = *session.run_;
    const bool isRead = run.statement_.kind_ == StatementKind::Read || run.statement_.kind_ == StatementKind::Execute;
    const bool isSingle = session.state_ == TransactionState::None && isRead && !isWrite(session, run.statement_);
    const bool isNew = run.attempts_ == 0 && !run.runsHere_ && !run.forward_;
    return isSingle && isNew && session.organisation_ != OrganisationId() && run.deadline_ - now >= minTimeLeft && sizeOf(session) <= maxDatagramBytes;
}

ForwardedRead makeRead(const SessionServiceState &sessions, const ClientSession &session, Time now)
{
    const EntryVm &self = sessions.identity_.vm_;
    const StatementRun &run = *session.run_;
    ForwardedRead read{self.name_, self.incarnation_, self.address_, self.zone_, run.forward_->number_, session.organisation_};
    read.database_ = session.database_;
    read.service_ = session.route_.service_;
    read.consistency_ = session.route_.consistency_;
    read.maxStaleness_ = session.route_.maxStaleness_;
    read.priority_ = session.route_.priority_;
    read.timeLeft_ = run.deadline_ - answerMargin - now; // The holder answers before this VM has to.
    read.lastCommit_ = session.lastCommit_;
    read.values_ = session.values_;
    read.statement_ = run.statement_;
    if (run.statement_.kind_ == StatementKind::Execute) {
        read.shape_ = session.prepared_.at(run.statement_.name_).shape_;
    }
    return read;
}

/** Sends the read to its holder, and sets the time of its timeout. */
void sendRead(ProxyState &state, ClientSession &session, Time now, Effects &out)
{
    PendingForward &forward = *session.run_->forward_;
    const auto holder = state.sessions_->peers_.find(forward.holder_);
    if (holder != state.sessions_->peers_.end()) {
        out.emplace_back(SessionEffect(SendForwardedRead{holder->second.vm_.address_, makeRead(*state.sessions_, session, now)}));
    }
    forward.sentAt_ = now;
    state.timers_.arm(now + answerTimeout, TimerTag{TimerTopic::ForwardedRead, {}, session.key_.value()});
}

/**
 * Records the forwarded read as a use of a member that may run it; the one that does is not known here. The idle time of connections assumes that all VMs use a
 * member as often as this one. That holds for the statements of their clients, which are spread over all VMs, but not for those that holders run.
 */
void recordForwardedUse(ProxyState &state, const ClientSession &session, Time now)
{
    const SessionGroup *group = findGroup(state, session.route_.service_);
    if (group == nullptr) {
        return;
    }
    const bool primary = needsPrimary(session, *session.run_);
    std::vector<MemberState *> members;
    for (const MemberId &id : group->members_) {
        MemberState *member = findMember(state, id);
        if (member != nullptr && (group->authority_.primary_ == id) == primary) {
            members.push_back(member);
        }
    }
    if (!members.empty()) {
        recordUse(members[session.run_->forward_->number_ % members.size()]->use_, now);
    }
}

/** Queues the read for a member of this VM. */
void runHere(ProxyState &state, ClientSession &session)
{
    endForward(*state.sessions_, *session.run_);
    session.run_->forward_.reset();
    session.run_->runsHere_ = true;
    ++state.sessions_->forwarding_.totals_.fallbacks_;
    enqueueStatement(state, session);
}

void recordSilence(ForwardingState &forwarding, const std::string &holder, Time now, Effects &out)
{
    SilentHolder &silent = forwarding.silent_[holder];
    silent.since_ = now;
    if (now < silent.notBefore_) {
        return; // A read that was sent before the holder counted as silent.
    }
    silent.notBefore_ = now + silentHolderPause * (1U << std::min(silent.failures_, maxPauseDoublings));
    ++silent.failures_;
    if (!forwarding.silenceLoggedAt_ || now - *forwarding.silenceLoggedAt_ >= silenceLogInterval) {
        forwarding.silenceLoggedAt_ = now;
        out.emplace_back(WriteLog{LogNumber::HolderSilent, {{"vm", holder}, {"failures", absl::StrCat(silent.failures_)}}});
    }
}

void sendResult(const SessionServiceState &sessions, const ForwardSender &sender, ForwardedReadResult result, Effects &out)
{
    result.from_ = sessions.identity_.vm_.incarnation_;
    result.to_ = sender.incarnation_;
    result.number_ = sender.number_;
    out.emplace_back(SessionEffect(SendForwardedReadResult{sender.address_, std::move(result)}));
}

/** Ends a read of another VM with \p result, which is kept for repeated requests. */
void endReceivedRead(SessionServiceState &sessions, const ClientSession &session, ForwardedReadResult result, Time now, Effects &out)
{
    const auto read = sessions.forwarding_.received_.find(session.key_);
    if (read == sessions.forwarding_.received_.end()) {
        return;
    }
    sendResult(sessions, *session.sender_, result, out);
    read->second.result_ = std::move(result);
    read->second.endedAt_ = now;
    sessions.forwarding_.ended_.push_back(session.key_);
}

void discardOldestResult(ForwardingState &forwarding)
{
    const auto read = forwarding.received_.find(forwarding.ended_.front());
    forwarding.ended_.pop_front();
    const ForwardSender &sender = *read->second.session_.sender_;
    forwarding.receivedKeys_.erase({sender.incarnation_, sender.number_});
    forwarding.received_.erase(read);
}

/** Whether this VM may run the read: it takes itself for the holder, continues to run, knows the group, and has room for another read. */
bool mayServe(const ProxyState &state, const ForwardedRead &read, Time now)
{
    const SessionServiceState &sessions = *state.sessions_;
    const bool isActive = !sessions.drainSince_ && forwardsReads(sessions, read.service_) && sessions.groups_.contains(read.service_);
    return isActive && holderOf(sessions, read.organisation_, read.service_, now) == sessions.identity_.vm_.name_
           && sessions.forwarding_.received_.size() < maxReceivedReads;
}

ClientSession makeSession(ProxyState &state, const ForwardedRead &read, Time now)
{
    ClientSession session;
    session.key_ = SessionKey(receivedReadKey | allocateId(state));
    session.database_ = read.database_;
    session.organisation_ = read.organisation_;
    session.openedAt_ = now;
    session.lastActive_ = now;
    session.accepted_ = true;
    session.route_.service_ = read.service_;
    session.route_.consistency_ = read.consistency_;
    session.route_.maxStaleness_ = read.maxStaleness_;
    session.route_.priority_ = read.priority_;
    session.route_.statementTimeout_ = read.timeLeft_;
    session.values_ = read.values_;
    if (read.statement_.kind_ == StatementKind::Execute) {
        session.prepared_[read.statement_.name_] = PreparedStatement{read.shape_, false};
    }
    session.lastCommit_ = read.lastCommit_;
    session.sender_ = ForwardSender{read.name_, read.from_, read.address_, read.number_};
    StatementRun run;
    run.statement_ = read.statement_;
    run.arrived_ = now;
    run.deadline_ = now + read.timeLeft_;
    run.first_ = true;
    run.runsHere_ = true;
    session.run_ = std::move(run);
    return session;
}

/** Runs a read of another VM, which has counted it in the organisation's quota. */
void runReceivedRead(ProxyState &state, const ForwardedRead &read, Time now)
{
    ForwardingState &forwarding = state.sessions_->forwarding_;
    ClientSession session = makeSession(state, read, now);
    const SessionKey key = session.key_;
    forwarding.receivedKeys_[{read.from_, read.number_}] = key;
    ClientSession &kept = forwarding.received_.emplace(key, ReceivedRead{std::move(session), {}, {}}).first->second.session_;
    ++forwarding.totals_.received_;
    state.timers_.arm(kept.run_->deadline_ - answerMargin, TimerTag{TimerTopic::SessionStatement, {}, key.value()});
    recordGroupUse(state, *findGroup(state, read.service_), now);
    enqueueStatement(state, kept);
}

/** The session whose read \p result answers; null if the read has ended, or the result comes from another process than the read was sent to. */
ClientSession *sessionOf(ProxyState &state, const ForwardedReadResult &result)
{
    const ForwardingState &forwarding = state.sessions_->forwarding_;
    const auto sent = forwarding.sent_.find(result.number_);
    if (result.to_ != state.sessions_->identity_.vm_.incarnation_ || sent == forwarding.sent_.end()) {
        return nullptr;
    }
    ClientSession *session = findSession(state, sent->second);
    const bool isPending = session != nullptr && session->run_ && session->run_->forward_ && session->run_->forward_->number_ == result.number_;
    return isPending && session->run_->forward_->incarnation_ == result.from_ ? session : nullptr;
}

} // namespace

bool forwardsReads(const SessionServiceState &sessions, const ServiceId &service)
{
    const SessionPolicies &policies = sessions.identity_.policies_;
    if (!policies.forwardsReads_ || !policies.usesTemporaryConnections_ || sessions.zoneVms_ < 2 || !sessions.configuration_
        || !sessions.configuration_->organisations_) {
        return false;
    }
    const auto limits = sessions.configuration_->services_.find(service);
    return limits != sessions.configuration_->services_.end() && areConnectionsScarce(limits->second.maxConnections_, sessions.entryVms_);
}

bool forwardRead(ProxyState &state, ClientSession &session, Time now, Effects &out)
{
    SessionServiceState &sessions = *state.sessions_;
    if (sessions.cutOff_ || !forwardsReads(sessions, session.route_.service_) || !isForwardable(session, now)) {
        return false;
    }
    const auto holder = sessions.peers_.find(holderOf(sessions, session.organisation_, session.route_.service_, now));
    if (holder == sessions.peers_.end() || isSilent(sessions.forwarding_, holder->second, now)) {
        return false; // This VM is the holder, or runs the read in its place.
    }
    dequeueStatement(state, session);
    const PeerVm &peer = holder->second;
    session.run_->forward_ = PendingForward{allocateId(state), peer.vm_.name_, peer.vm_.incarnation_, now, false};
    session.run_->placedAt_ = now;
    sessions.forwarding_.sent_[session.run_->forward_->number_] = session.key_;
    ++sessions.forwarding_.totals_.forwarded_;
    recordForwardedUse(state, session, now);
    sendRead(state, session, now, out);
    return true;
}

void onForwardTimeout(ProxyState &state, SessionKey key, Time now, Effects &out)
{
    ClientSession *session = findSession(state, key);
    if (session == nullptr || !session->run_ || !session->run_->forward_ || now - session->run_->forward_->sentAt_ < answerTimeout) {
        return;
    }
    PendingForward &forward = *session->run_->forward_;
    if (!forward.repeated_) {
        forward.repeated_ = true;
        sendRead(state, *session, now, out);
        return;
    }
    recordSilence(state.sessions_->forwarding_, forward.holder_, now, out);
    runHere(state, *session);
}

void onForwardedReadResult(ProxyState &state, const ForwardedReadResult &result, Time now, Effects &out)
{
    ClientSession *session = sessionOf(state, result);
    if (session == nullptr) {
        return;
    }
    ForwardingState &forwarding = state.sessions_->forwarding_;
    PendingForward &forward = *session->run_->forward_;
    forwarding.silent_.erase(forward.holder_);
    switch (result.outcome_) {
    case ForwardedReadOutcome::Running:
        // It is asked again at intervals, since the result may be lost, or the holder may end.
        forward.repeated_ = false;
        forward.sentAt_ = now;
        state.timers_.arm(now + answerTimeout, TimerTag{TimerTopic::ForwardedRead, {}, session->key_.value()});
        break;
    case ForwardedReadOutcome::Answered:
        ++forwarding.totals_.answered_;
        finishStatement(state, *session, result.reply_, now, out);
        break;
    case ForwardedReadOutcome::NotServed:
    case ForwardedReadOutcome::TooLarge:
        runHere(state, *session);
        break;
    }
}

void endForward(SessionServiceState &sessions, const StatementRun &run)
{
    if (run.forward_) {
        sessions.forwarding_.sent_.erase(run.forward_->number_);
    }
}

void onForwardedRead(ProxyState &state, const ForwardedRead &read, Time now, Effects &out)
{
    SessionServiceState &sessions = *state.sessions_;
    ForwardingState &forwarding = sessions.forwarding_;
    const ForwardSender sender{read.name_, read.from_, read.address_, read.number_};
    const auto key = forwarding.receivedKeys_.find({read.from_, read.number_});
    if (key != forwarding.receivedKeys_.end()) {
        sendResult(sessions, sender, forwarding.received_.at(key->second).result_.value_or(ForwardedReadResult()), out);
        return;
    }
    if (forwarding.received_.size() >= maxReceivedReads && !forwarding.ended_.empty()) {
        discardOldestResult(forwarding); // If its request is repeated, the read runs twice.
    }
    if (!mayServe(state, read, now)) {
        ForwardedReadResult refusal;
        refusal.outcome_ = ForwardedReadOutcome::NotServed;
        sendResult(sessions, sender, std::move(refusal), out);
        return;
    }
    runReceivedRead(state, read, now);
}

void answerForwardedRead(ProxyState &state, const ClientSession &session, SessionReply reply, Time now, Effects &out)
{
    ForwardedReadResult result;
    if (sizeOf(reply) > maxDatagramBytes) {
        result.outcome_ = ForwardedReadOutcome::TooLarge;
    } else {
        result.outcome_ = ForwardedReadOutcome::Answered;
        result.reply_ = std::move(reply);
    }
    endReceivedRead(*state.sessions_, session, std::move(result), now, out);
}

void refuseForwardedRead(ProxyState &state, ClientSession &session, Time now, Effects &out)
{
    dequeueStatement(state, session);
    session.run_.reset();
    ForwardedReadResult result;
    result.outcome_ = ForwardedReadOutcome::NotServed;
    endReceivedRead(*state.sessions_, session, std::move(result), now, out);
}

bool runsForwardedReads(const SessionServiceState &sessions)
{
    return sessions.forwarding_.received_.size() > sessions.forwarding_.ended_.size();
}

void reviewForwardedReads(SessionServiceState &sessions, Time now)
{
    ForwardingState &forwarding = sessions.forwarding_;
    while (!forwarding.ended_.empty() && now - forwarding.received_.at(forwarding.ended_.front()).endedAt_ >= resultRetention) {
        discardOldestResult(forwarding);
    }
    std::erase_if(forwarding.silent_, [&](const auto &entry) { return !sessions.peers_.contains(entry.first); });
}

} // namespace Figward
