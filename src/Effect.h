/** \file
 * Defines the effects that the reducer returns as data. None is assumed to have worked: what comes of it returns as an event.
 */
#pragma once

#include "LogEvents.h"
#include "Peer.h"
#include "Platform.h"
#include "Request.h"
#include "SessionEvents.h"
#include "Upstream.h"

#include <string>
#include <variant>
#include <vector>

namespace Figward {

/** Send the answer to the caller of request id_. */
struct AnswerCaller
{
    RequestId id_;
    Answer answer_;
};
/** Send a message to the proxy at an address; failure comes back as PeerLost. */
struct SendPeer
{
    std::string address_;
    PeerMessage message_;
};
/** Open a connection; comes back as ConnectionOpened or ConnectionLost. */
struct OpenConnection
{
    ConnectionId connection_;
    MemberId member_;
    std::string address_;
    ServiceId service_{}; ///< Of a member that serves sessions; it refuses the name of another.
    OrganisationId organisation_{}; ///< For which the connection runs statements; empty: for none, or for the proxy itself.
};
/** Close a connection; ConnectionLost does not follow, answers that are still under way are dropped. */
struct CloseConnection
{
    ConnectionId connection_;
};
/** Send a statement; comes back as UpstreamAnswered or ConnectionLost, or never. */
struct SendStatement
{
    ConnectionId connection_;
    UpstreamStatement statement_;
};
/** Make a control call; always comes back as ControlAnswered. */
struct SendControl
{
    MemberId member_;
    std::string address_;
    Duration timeout_{};
    ControlCall call_;
};
/** Call the platform; always comes back as PlatformAnswered. */
struct CallPlatform
{
    PlatformCall call_;
};
/** Send WakeUp at this time; replaces the time armed before. */
struct ArmWakeUp
{
    Time at_;
};
/** Write a log event. */
struct WriteLog
{
    LogNumber number_;
    std::vector<LogField> fields_;
};
/** Nothing is in flight any more: end the process. */
struct ExitProcess
{
};

using Effect = std::
    variant<AnswerCaller, SendPeer, OpenConnection, CloseConnection, SendStatement, SendControl, CallPlatform, ArmWakeUp, WriteLog, ExitProcess, SessionEffect>;
using Effects = std::vector<Effect>;

} // namespace Figward
