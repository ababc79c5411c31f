/** \file
 * Defines the interfaces between the event loop of a proxy and the adapters that do its I/O.
 *
 * The loop calls the ports from its one thread; none of them blocks. The results of a call return through EventSink, from any thread.
 */
#pragma once

#include "Effect.h"
#include "Event.h"

namespace Figward {

/** Accepts events for the loop. Thread-safe. */
class EventSink
{
public:
    EventSink() = default;
    EventSink(const EventSink &) = delete;
    EventSink &operator=(const EventSink &) = delete;
    virtual ~EventSink() = default;
    virtual void post(EventBody event) = 0;
};

/** Delivers answers to callers. */
class CallerPort
{
public:
    virtual ~CallerPort() = default;
    virtual void answer(RequestId id, Answer answer) = 0;
};

/** Sends messages to other proxies; a failure is reported as PeerLost. */
class PeerPort
{
public:
    virtual ~PeerPort() = default;
    virtual void send(const std::string &address, const PeerMessage &message) = 0;
    /** Called when the loop has processed PeerLost for \p address: the next message to it needs a new stream. */
    virtual void forget(const std::string &address) = 0;
};

/** Manages connections to upstreams. */
class UpstreamPort
{
public:
    virtual ~UpstreamPort() = default;
    virtual void open(const OpenConnection &effect) = 0;
    virtual void close(ConnectionId connection) = 0;
    virtual void send(const SendStatement &effect) = 0;
    virtual void control(const SendControl &effect) = 0;
};

/** Calls the platform; each call produces exactly one PlatformAnswered. */
class PlatformPort
{
public:
    virtual ~PlatformPort() = default;
    virtual void call(const PlatformCall &call) = 0;
};

/** Executes the effects of sessions and of the proxies that serve them. */
class SessionPort
{
public:
    virtual ~SessionPort() = default;
    virtual void perform(const SessionEffect &effect) = 0;
};

/** Writes log events. Thread-safe. */
class LogPort
{
public:
    virtual ~LogPort() = default;
    virtual void write(LogNumber number, const std::vector<LogField> &fields) = 0;
    /** The number of lines dropped to bound the volume of the log. */
    [[nodiscard]] virtual std::uint64_t droppedLines() const
    {
        return 0;
    }
};

} // namespace Figward
