/** \file
 * Defines the events that the reducer takes: everything that happens to a proxy, with the time at which it happened.
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
    std::uint64_t unixSeconds_ = 0; ///< Wall clock at this event, in seconds since the Unix epoch; zero if not known. Only old keys are judged by it.
};
/** The time asked for by ArmWakeUp has come. */
struct WakeUp
{
};
/** A caller asks something. The id was chosen by the shell and has not been used before in this process. */
struct CallerAsked
{
    RequestId id_;
    Request request_;
};
/** The caller of an open transaction is gone. */
struct CallerGone
{
    TransactionId transaction_;
};
/** A message from another proxy. */
struct PeerReceived
{
    PeerMessage message_;
};
/** A connection to another proxy failed; messages sent lately may or may not have arrived. */
struct PeerLost
{
    std::string address_;
};
/** A connection asked for by OpenConnection is ready. */
struct ConnectionOpened
{
    ConnectionId connection_;
};
/** Why a connection ended. */
enum class ConnectionEnd {
    Refused, ///< The upstream is at its connection limit; the connection never was.
    Unreachable, ///< Could not be opened.
    Misrouted, ///< Another member, or another service, than the one meant answered.
    Closed, ///< Ended after it was open.
};
/** A connection is gone. Statements sent on it and not answered are unknown. */
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
