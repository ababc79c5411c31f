/** \file
 * Defines the interfaces between the event loop of a proxy and the adapters that do its I/O.
 *
 * The loop calls the ports from its one thread; none of them blocks. What comes of a call returns through EventSink, from any thread.
 */
#pragma once

#include "Effect.h"
#include "Event.h"

namespace Figward {

/** Takes what has happened. Thread-safe. */
class EventSink
{
public:
    EventSink() = default;
    EventSink(const EventSink &) = delete;
    EventSink &operator=(const EventSink &) = delete;
    virtual ~EventSink() = default;
    virtual void post(EventBody event) = 0;
};

/** Gives callers their answers. */
class CallerPort
{
public:
    virtual ~CallerPort() = default;
    virtual void answer(RequestId id, Answer answer) = 0;
};

/** Sends messages to other proxies; a failure returns as PeerLost. */
class PeerPort
{
public:
    virtual ~PeerPort() = default;
    virtual void send(const std::string &address, const PeerMessage &message) = 0;
    /** The loop has taken in PeerLost of \p address: the next message needs a new stream. */
    virtual void forget(const std::string &address) = 0;
};

/** Holds connections to upstreams. */
class UpstreamPort
{
public:
    virtual ~UpstreamPort() = default;
    virtual void open(const OpenConnection &effect) = 0;
    virtual void close(ConnectionId connection) = 0;
    virtual void send(const SendStatement &effect) = 0;
    virtual void control(const SendControl &effect) = 0;
};

/** Calls the platform; each call is answered by one PlatformAnswered. */
class PlatformPort
{
public:
    virtual ~PlatformPort() = default;
    virtual void call(const PlatformCall &call) = 0;
};

/** Carries out what sessions, and the proxies that serve them, ask for. */
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
    /** Lines that were not written, to keep the volume bounded. */
    [[nodiscard]] virtual std::uint64_t droppedLines() const
    {
        return 0;
    }
};

} // namespace Figward
