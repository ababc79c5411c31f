/** \file
 * Defines the events processed by the reducer: everything that happens to a proxy, with the time at which it happened.
 */
#pragma once

#include "Peer.h"
#include "Platform.h"
#include "Request.h"
#include "SessionEvents.h"
#include "Upstream.h"

#include <variant>

namespace Figward {

/** First event of a process. */
struct Started
{
    /** Wall-clock time of this event in seconds since the Unix epoch; zero if not known. Used only for the age of keys and for reports. */
    std::uint64_t unixSeconds_ = 0;
};
/** The time requested by ArmWakeUp has been reached. */
struct WakeUp
{
};
/** A caller sent a request. The id is assigned by the shell and has not been used before in this process. */
struct CallerAsked
{
    RequestId id_;
    Request request_;
};
/** The caller of an open transaction has disconnected. */
struct CallerGone
{
    TransactionId transaction_;
};
/** A message from another proxy. */
struct PeerReceived
{
    PeerMessage message_;
};
/** A connection to another proxy was lost; recently sent messages may or may not have arrived. */
struct PeerLost
{
    std::string address_;
};
/** A connection requested by OpenConnection is ready. */
struct ConnectionOpened
{
    ConnectionId connection_;
};
/** Why a connection ended. */
enum class ConnectionEnd {
    Refused, ///< The upstream is at its connection limit; the connection was never established.
    Unreachable, ///< The connection could not be opened.
    Misrouted, ///< A different member or service than the intended one answered.
    Closed, ///< The connection ended after it had been established.
};
/** A connection ended. The outcome of unanswered statements on it is unknown. */
struct ConnectionLost
{
    ConnectionId connection_;
    ConnectionEnd end_ = ConnectionEnd::Closed;
};
/** A member answered a statement on a connection. */
struct UpstreamAnswered
{
    ConnectionId connection_;
    UpstreamAnswer answer_;
};
/** A control call ended. */
struct ControlAnswered
{
    ControlAnswer answer_;
};
/** A platform call ended. */
struct PlatformAnswered
{
    PlatformAnswer answer_;
};
/** An operator or the platform asks this process to shut down gracefully. */
struct DrainAsked
{
};

using EventBody = std::variant<Started,
                               WakeUp,
                               CallerAsked,
                               CallerGone,
                               PeerReceived,
                               PeerLost,
                               ConnectionOpened,
                               ConnectionLost,
                               UpstreamAnswered,
                               ControlAnswered,
                               PlatformAnswered,
                               DrainAsked,
                               SessionEvent>;

/** Something that happened, and when. */
struct Event
{
    Time now_;
    EventBody body_;
};

} // namespace Figward
