#include "SlowStatements.h"

#include "ProxyState.h"

#include <algorithm>

namespace Figward {

namespace {

constexpr Duration slowThreshold = std::chrono::milliseconds(100); // Far above the usual time of a statement, and far below the timeouts that callers set.
constexpr unsigned missedProbesUntilUnresponsive = 2;

/** Removes a statement and closes its connection, so that a late answer cannot reach another request. */
void dropStatement(ProxyState &state, GroupOwner &owner, StatementId id, Effects &out)
{
    const SentStatement sent = owner.requests_.sent_.at(id);
    owner.requests_.sent_.erase(id);
    closeConnection(state, owner, sent.connection_, out);
}

/** Returns the request that still waits for statement \p id, or null. */
const OwnedRequest *pendingRequestOf(const GroupOwner &owner, StatementId id, const SentStatement &sent)
{
    const auto owned = owner.requests_.byTicket_.find(sent.ticket_);
    const bool waits = owned != owner.requests_.byTicket_.end() && owned->second.statement_ == id;
    return waits ? &owned->second : nullptr;
}

bool isOverdue(const ProxyState &state, const SentStatement &sent, Time now)
{
    return now - sent.sentAt_ > state.configuration_.policy_.statementTimeout_;
}

void failOverdueStatements(ProxyState &state, GroupOwner &owner, Time now, Effects &out)
{
    std::vector<StatementId> overdue;
    for (const auto &[id, sent] : owner.requests_.sent_) {
        if (isOverdue(state, sent, now)) {
            overdue.push_back(id);
        }
    }
    for (const StatementId id : overdue) {
        const auto found = owner.requests_.sent_.find(id);
        if (found == owner.requests_.sent_.end()) {
            continue; // Removed with the transaction of an earlier overdue statement.
        }
        const SentStatement sent = found->second;
        const bool waits = pendingRequestOf(owner, id, sent) != nullptr;
        out.push_back(WriteLog{LogNumber::ConnectionOverdue, {{"group", owner.config_.id_.value()}, {"connection", std::to_string(sent.connection_.value())}}});
        dropStatement(state, owner, id, out);
        if (waits) {
            failRequest(state, owner, sent.ticket_, ErrorKind::UpstreamFailed, out);
        }
    }
}

bool isUnresponsive(const GroupOwner &owner, const MemberId &id)
{
    const MemberView *member = findMember(owner.view_, id);
    return member == nullptr || member->missedProbes_ >= missedProbesUntilUnresponsive;
}

/**
 * Queues reads again that are in flight at a member that no longer answers probes, so that another member serves them. Reads are repeatable, and their callers
 * need not wait for a failover.
 */
void moveReadsElsewhere(ProxyState &state, GroupOwner &owner, Effects &out)
{
    std::vector<StatementId> moved;
    for (const auto &[id, sent] : owner.requests_.sent_) {
        const OwnedRequest *owned = pendingRequestOf(owner, id, sent);
        const bool read = owned != nullptr && owned->request_.kind_ == RequestKind::Read && !isTransactionStep(owned->request_);
        if (read && isUnresponsive(owner, owned->member_)) {
            moved.push_back(id);
        }
    }
    for (const StatementId id : moved) {
        const Ticket ticket = owner.requests_.sent_.at(id).ticket_;
        dropStatement(state, owner, id, out);
        requeue(owner, ticket, true);
    }
}

bool anySlow(const GroupOwner &owner, Time now)
{
    return std::ranges::any_of(owner.requests_.sent_, [&](const auto &entry) { return now - entry.second.sentAt_ > slowThreshold; });
}

} // namespace

void handleSlowStatements(ProxyState &state, GroupOwner &owner, Time now, Effects &out)
{
    failOverdueStatements(state, owner, now, out);
    moveReadsElsewhere(state, owner, out);
    // Owners that are not first in rank probe rarely; probing when a statement hangs detects a failed member sooner.
    if (anySlow(owner, now) && now - owner.probes_.lastRoundAt_ >= slowThreshold) {
        probeRound(state, owner, now, out);
    }
}

} // namespace Figward
