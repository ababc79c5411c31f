/** \file
 * Defines the effects that the reducer returns as data. No effect is assumed to succeed: its result is reported to the reducer as an event.
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
/** Send a message to the proxy at an address; a failure is reported as PeerLost. */
struct SendPeer
{
    std::string address_;
    PeerMessage message_;
};
/** Open a connection; the result is reported as ConnectionOpened or ConnectionLost. */
struct OpenConnection
{
    ConnectionId connection_;
    MemberId member_;
    std::string address_;
    ServiceId service_{}; ///< Set for a member that serves sessions; the member refuses the connection if it belongs to another service.
    OrganisationId organisation_{}; ///< Organisation whose statements the connection runs; empty if none, or for statements of the proxy itself.
};
/** Close a connection. ConnectionLost is not reported, and answers still in flight are discarded. */
struct CloseConnection
{
    ConnectionId connection_;
};
/** Send a statement; the result is reported as UpstreamAnswered or ConnectionLost, or not at all. */
struct SendStatement
{
    ConnectionId connection_;
    UpstreamStatement statement_;
};
/** Make a control call; the result is always reported as ControlAnswered. */
struct SendControl
{
    MemberId member_;
    std::string address_;
    Duration timeout_{};
    ControlCall call_;
};
/** Call the platform; the result is always reported as PlatformAnswered. */
struct CallPlatform
{
    PlatformCall call_;
};
/** Report WakeUp at this time; replaces the previously armed time. */
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
/** End the process; nothing is in flight any more. */
struct ExitProcess
{
};

using Effect = std::
    variant<AnswerCaller, SendPeer, OpenConnection, CloseConnection, SendStatement, SendControl, CallPlatform, ArmWakeUp, WriteLog, ExitProcess, SessionEffect>;
using Effects = std::vector<Effect>;

} // namespace Figward
