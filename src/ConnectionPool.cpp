#include "ConnectionPool.h"

#include "ProxyState.h"

#include <algorithm>

namespace Figward {

namespace {

constexpr std::size_t maxOpening = 4; // An opening takes about 10 ms; a few at a time keep up with a burst without using up the quota for one member.

constexpr unsigned missedProbesUntilUnresponsive = 2;
constexpr Duration openingTimeout = std::chrono::seconds(1); // A hundred times the usual opening time.

bool isLeaving(const GroupOwner &owner, const MemberId &member)
{
    const MemberView *view = findMember(owner.view_, member);
    return view == nullptr || view->config_.leaving_;
}

std::size_t countTo(const ConnectionPool &pool, const MemberId &member, ConnectionUse use)
{
    const auto matches = [&](const auto &entry) { return entry.second.member_ == member && entry.second.use_ == use; };
    return static_cast<std::size_t>(std::ranges::count_if(pool.connections_, matches));
}

/** Returns the connection that has been idle longest among those to members other than \p member. */
std::optional<ConnectionId> longestIdleToOtherMember(const ConnectionPool &pool, const MemberId &member)
{
    std::optional<ConnectionId> best;
    Time bestSince = Time::max();
    for (const auto &[id, connection] : pool.connections_) {
        const bool idle = connection.use_ == ConnectionUse::Idle && connection.member_ != member;
        if (idle && connection.since_ < bestSince) {
            best = id;
            bestSince = connection.since_;
        }
    }
    return best;
}

void open(ProxyState &state, GroupOwner &owner, const MemberView &member, Time now, Effects &out)
{
    const ConnectionId id(allocateId(state));
    owner.pool_.connections_[id] = {.member_ = member.config_.id_, .use_ = ConnectionUse::Opening, .since_ = now};
    state.connections_[id] = owner.config_.id_;
    out.push_back(OpenConnection{id, member.config_.id_, member.config_.address_});
}

bool quotaLeft(const GroupOwner &owner, Time now)
{
    return owner.pool_.connections_.size() < usableQuota(owner, now).connections_.value();
}

/** Starts to open a connection to \p member unless the quota, the circuit breaker or a recent refusal prevents it. */
void openIfAllowed(ProxyState &state, GroupOwner &owner, const MemberId &member, Time now, Effects &out)
{
    const MemberView *view = findMember(owner.view_, member);
    const bool forbidden = view == nullptr || now < owner.pool_.refusedUntil_ || !allowsWork(owner.pool_.circuits_[member], now);
    if (forbidden) {
        return;
    }
    if (!quotaLeft(owner, now)) {
        const std::optional<ConnectionId> spare = longestIdleToOtherMember(owner.pool_, member);
        if (!spare) {
            onQuotaShortage(state, owner, now, out);
            return;
        }
        closeConnection(state, owner, *spare, out);
    }
    open(state, owner, *view, now, out);
}

/**
 * Closes connections whose opening has timed out. A member that is cut off neither accepts nor refuses a connection; without a timeout its openings would
 * occupy part of the quota indefinitely.
 */
void closeOverdueOpenings(ProxyState &state, GroupOwner &owner, Time now, Effects &out)
{
    std::vector<ConnectionId> overdue;
    for (const auto &[id, connection] : owner.pool_.connections_) {
        if (connection.use_ == ConnectionUse::Opening && now - connection.since_ > openingTimeout) {
            overdue.push_back(id);
            recordFailure(owner.pool_.circuits_[connection.member_], now, state.random_);
        }
    }
    for (const ConnectionId id : overdue) {
        closeConnection(state, owner, id, out);
    }
}

} // namespace

std::optional<ConnectionId> takeConnection(ProxyState &state, GroupOwner &owner, const MemberId &member, Time now, Effects &out)
{
    for (const auto &[id, connection] : owner.pool_.connections_) {
        if (connection.member_ == member && connection.use_ == ConnectionUse::Idle) {
            return id;
        }
    }
    if (countTo(owner.pool_, member, ConnectionUse::Opening) < maxOpening) {
        openIfAllowed(state, owner, member, now, out);
    }
    return std::nullopt;
}

unsigned slotsInUse(const GroupOwner &owner)
{
    // Statements to a failed primary stay unanswered until their timeout. If they occupied their slots for that time, reads at healthy replicas would stall as
    // well.
    const auto usesSlot = [&](const auto &entry) {
        const MemberView *member = findMember(owner.view_, entry.second.member_);
        return entry.second.use_ == ConnectionUse::Busy && member != nullptr && member->missedProbes_ < missedProbesUntilUnresponsive;
    };
    return static_cast<unsigned>(std::ranges::count_if(owner.pool_.connections_, usesSlot));
}

void markBusy(GroupOwner &owner, ConnectionId connection, Time now)
{
    PooledConnection &pooled = owner.pool_.connections_.at(connection);
    pooled.use_ = ConnectionUse::Busy;
    pooled.since_ = now;
}

void markAnswered(GroupOwner &owner, ConnectionId connection, Time now)
{
    const auto found = owner.pool_.connections_.find(connection);
    if (found == owner.pool_.connections_.end() || found->second.use_ != ConnectionUse::Busy) {
        return;
    }
    found->second.use_ = found->second.pinned_ ? ConnectionUse::Pinned : ConnectionUse::Idle;
    found->second.since_ = now;
}

std::optional<MemberId> removeConnection(ProxyState &state, GroupOwner &owner, ConnectionId connection)
{
    const auto found = owner.pool_.connections_.find(connection);
    if (found == owner.pool_.connections_.end()) {
        return std::nullopt;
    }
    const PooledConnection removed = found->second;
    if (removed.use_ == ConnectionUse::Busy) {
    }
    owner.pool_.connections_.erase(found);
    state.connections_.erase(connection);
    return removed.member_;
}

void closeConnection(ProxyState &state, GroupOwner &owner, ConnectionId connection, Effects &out)
{
    if (removeConnection(state, owner, connection)) {
        out.push_back(CloseConnection{connection});
    }
}

void maintainConnections(ProxyState &state, GroupOwner &owner, Time now, Effects &out)
{
    closeOverdueOpenings(state, owner, now, out);
    std::vector<ConnectionId> surplus;
    std::map<MemberId, unsigned> idle;
    for (const auto &[id, connection] : owner.pool_.connections_) {
        if (connection.use_ != ConnectionUse::Idle) {
            continue;
        }
        const bool unused = now - connection.since_ > state.configuration_.policy_.idleConnectionLife_;
        const bool spare = ++idle[connection.member_] > 1 && unused;
        if (spare || owner.leaving_ || isLeaving(owner, connection.member_)) {
            surplus.push_back(id);
        }
    }
    for (const ConnectionId id : surplus) {
        closeConnection(state, owner, id, out);
    }
    trimToQuota(state, owner, now, out);
    if (owner.leaving_) {
        return;
    }
    for (const MemberView &member : owner.view_.members_) {
        const auto leadsThere = [&](const auto &entry) { return entry.second.member_ == member.config_.id_; };
        const bool connected = std::ranges::any_of(owner.pool_.connections_, leadsThere);
        if (!connected && !member.config_.leaving_ && quotaLeft(owner, now)) {
            openIfAllowed(state, owner, member.config_.id_, now, out);
        }
    }
}

} // namespace Figward
