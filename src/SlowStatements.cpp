#include "SlowStatements.h"

#include "ProxyState.h"

#include <algorithm>

namespace Figward {

namespace {

constexpr Duration slow = std::chrono::milliseconds(100); // Far above a statement's usual time, far below what a caller allows.
constexpr unsigned missedProbesToMoveReads = 2;

/** Forgets a statement and closes its connection: a late answer can then reach nobody. */
void dropStatement(ProxyState &state, GroupOwner &owner, StatementId id, Effects &out)
{
    const SentStatement sent = owner.requests_.sent_.at(id);
    owner.requests_.sent_.erase(id);
    closeConnection(state, owner, sent.connection_, out);
}

/** The request that still waits for statement \p id, or null. */
const OwnedRequest *waiterOf(const GroupOwner &owner, StatementId id, const SentStatement &sent)
{
    const auto owned = owner.requests_.byTicket_.find(sent.ticket_);
    const bool waits = owned != owner.requests_.byTicket_.end() && owned->second.statement_ == id;
    return waits ? &owned->second : nullptr;
}

bool isOverdue(const ProxyState &state, const SentStatement &sent, Time now)
{
    return now - sent.sentAt_ > state.configuration_.policy_.statementTimeout_;
}

void giveUpOverdue(ProxyState &state, GroupOwner &owner, Time now, Effects &out)
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
            continue; // It went with the transaction of one before it.
        }
        const SentStatement sent = found->second;
        const bool waits = waiterOf(owner, id, sent) != nullptr;
        out.push_back(WriteLog{LogNumber::ConnectionOverdue, {{"group", owner.config_.id_.value()}, {"connection", std::to_string(sent.connection_.value())}}});
        dropStatement(state, owner, id, out);
        if (waits) {
            giveUp(state, owner, sent.ticket_, ErrorKind::UpstreamFailed, out);
        }
    }
}

bool isLost(const GroupOwner &owner, const MemberId &id)
{
    const MemberView *member = findMember(owner.view_, id);
    return member == nullptr || member->missedProbes_ >= missedProbesToMoveReads;
}

/** A read at a member that no longer answers probes runs again elsewhere: it may repeat, and its caller need not wait for a failover. */
void moveReads(ProxyState &state, GroupOwner &owner, Effects &out)
{
    std::vector<StatementId> moved;
    for (const auto &[id, sent] : owner.requests_.sent_) {
        const OwnedRequest *owned = waiterOf(owner, id, sent);
        const bool read = owned != nullptr && owned->request_.kind_ == RequestKind::Read && !isTransactionStep(owned->request_);
        if (read && isLost(owner, owned->member_)) {
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
    return std::ranges::any_of(owner.requests_.sent_, [&](const auto &entry) { return now - entry.second.sentAt_ > slow; });
}

} // namespace

void tendSlowStatements(ProxyState &state, GroupOwner &owner, Time now, Effects &out)
{
    giveUpOverdue(state, owner, now, out);
    moveReads(state, owner, out);
    // Owners that are not first in rank probe rarely; a statement that hangs tells them sooner that a member may be lost.
    if (anySlow(owner, now) && now - owner.probes_.lastRoundAt_ >= slow) {
        probeRound(state, owner, now, out);
    }
}

} // namespace Figward
