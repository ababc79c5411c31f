/** \file
 * Defines an owner's connections to the members of one group. Connections are scarce, so all callers share them. A connection in an uncertain state is closed
 * rather than reused.
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

/** State of a connection. */
enum class ConnectionUse {
    Opening,
    Idle,
    Busy, ///< A statement is in flight.
    Pinned, ///< Reserved for an open transaction between its statements.
};

/** A connection from this owner to a member. */
struct PooledConnection
{
    MemberId member_;
    ConnectionUse use_ = ConnectionUse::Opening;
    Time since_; ///< When the connection entered this state.
    bool pinned_ = false; ///< Reserved for an open transaction, whether busy or not.
};

/** All connections of this owner to one group. */
struct ConnectionPool
{
    std::map<ConnectionId, PooledConnection> connections_;
    std::map<MemberId, CircuitBreaker> circuits_;
    Time busyUntil_; ///< The group had no free slot: no statement is sent before this time.
    Time refusedUntil_; ///< An upstream refused a connection: no connection is opened before this time.
};

/**
 * Returns an idle connection to \p member. If there is none, starts to open one if the quota allows, closing an idle connection to another member if necessary,
 * and returns nothing. The dispatcher is called again when the connection is open.
 */
std::optional<ConnectionId> takeConnection(ProxyState &state, GroupOwner &owner, const MemberId &member, Time now, Effects &out);
/** Number of statements in flight that occupy a slot. Statements sent to a member that no longer answers probes do not count. */
unsigned slotsInUse(const GroupOwner &owner);
/** Marks \p connection as busy with a statement. */
void markBusy(GroupOwner &owner, ConnectionId connection, Time now);
/** Marks \p connection as no longer busy after its statement was answered. */
void markAnswered(GroupOwner &owner, ConnectionId connection, Time now);
/** Removes a connection that has been closed or lost. Returns the member it led to, or nothing if the connection is unknown. */
std::optional<MemberId> removeConnection(ProxyState &state, GroupOwner &owner, ConnectionId connection);
/** Closes and removes a connection. */
void closeConnection(ProxyState &state, GroupOwner &owner, ConnectionId connection, Effects &out);
/**
 * Opens a connection to each member that has none, so that callers need not wait for one. Closes connections that have been idle too long or that lead to
 * members being removed.
 */
void maintainConnections(ProxyState &state, GroupOwner &owner, Time now, Effects &out);

} // namespace Figward
