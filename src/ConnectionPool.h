/** \file
 * Defines an owner's connections to the members of one group. Connections are scarce, so they are shared by all callers and never left in doubt.
 */
#pragma once

#include "CircuitBreaker.h"
#include "Configuration.h"
#include "Effect.h"
#include "Quota.h"
#include "Units.h"

#include <map>
#include <optional>

namespace Figward {

struct ProxyState;
struct GroupOwner;

/** What a connection is doing. */
enum class ConnectionUse {
    Opening,
    Idle,
    Busy, ///< A statement is unanswered.
    Pinned, ///< Held by an open transaction between its statements.
};

/** One connection of this owner. */
struct PooledConnection
{
    MemberId member_;
    ConnectionUse use_ = ConnectionUse::Opening;
    Time since_; ///< When it came to this use.
    bool pinned_ = false; ///< Belongs to an open transaction, whether busy or not.
};

/** All connections of this owner to one group. */
struct ConnectionPool
{
    std::map<ConnectionId, PooledConnection> connections_;
    std::map<MemberId, CircuitBreaker> circuits_;
    Time busyUntil_; ///< The group had no slot left: no new statement before this.
    Time refusedUntil_; ///< An upstream refused a connection: no new one before this.
};

/**
 * Returns an idle connection to \p member. If there is none, begins to open one where the quota allows, closing an idle connection to another member if
 * need be, and returns nothing: the dispatcher is called again when it is ready.
 */
std::optional<ConnectionId> takeConnection(ProxyState &state, GroupOwner &owner, const MemberId &member, Time now, Effects &out);
/** Statements under way that use a slot. What was sent to a member that no longer answers probes does not count. */
unsigned slotsInUse(const GroupOwner &owner);
/** Marks \p connection busy with a statement. */
void markBusy(GroupOwner &owner, ConnectionId connection, Time now);
/** The statement on \p connection was answered. */
void markAnswered(GroupOwner &owner, ConnectionId connection, Time now);
/** Removes a connection that is gone. Returns the member it led to, or nothing if it was not known. */
std::optional<MemberId> forgetConnection(ProxyState &state, GroupOwner &owner, ConnectionId connection);
/** Closes a connection for good. */
void closeConnection(ProxyState &state, GroupOwner &owner, ConnectionId connection, Effects &out);
/** Opens a first connection to each member, so that no caller waits for it, and closes those idle for too long or to members that leave. */
void tendConnections(ProxyState &state, GroupOwner &owner, Time now, Effects &out);

} // namespace Figward
