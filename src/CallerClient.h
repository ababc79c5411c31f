/** \file
 * Defines a caller's library: it sends requests to one proxy and returns their answers.
 */
#pragma once

#include "Request.h"
#include "Transport.h"

#include "Protocol.h"

#include <caller.grpc.pb.h>
#include <functional>

namespace Figward {

/**
 * What became of a request at the client's end. An error status means that no answer came: the request may or may not have run, and the same
 * idempotency key asks again safely through any proxy.
 */
using ClientResult = absl::StatusOr<Answer>;

/** A stream of requests to one proxy, needed for transactions. Not thread-safe. */
class CallerStream
{
public:
    explicit CallerStream(v1::Caller::Stub &stub);
    CallerStream(const CallerStream &) = delete;
    CallerStream &operator=(const CallerStream &) = delete;
    /** Ends the stream; an open transaction is rolled back. */
    ~CallerStream();
    /** Sends a request and waits for its answer. After an error the stream is of no more use. */
    ClientResult execute(const Request &request);

private:
    grpc::ClientContext context_;
    std::unique_ptr<grpc::ClientReaderWriter<v1::ExecuteRequest, v1::ExecuteAnswer>> stream_;
    bool ended_ = false;
};

/** A connection to one proxy. Thread-safe. */
class CallerClient
{
public:
    explicit CallerClient(const std::string &address, const std::optional<TlsMaterial> &tls = std::nullopt);
    /** Sends a single statement and waits for its answer. */
    ClientResult execute(const Request &request);
    /** Sends a single statement; \p done is called once, from another thread. */
    void execute(const Request &request, std::function<void(ClientResult)> done);
    std::unique_ptr<CallerStream> openStream();

private:
    std::unique_ptr<v1::Caller::Stub> stub_;
};

/** What a session keeps between its requests, whichever proxies it asks: its keys and its token. */
class CallerSession
{
public:
    CallerSession(ServiceId service, SessionId id);
    [[nodiscard]] Request read(const GroupId &group, std::string body) const;
    /** A write or commit with a fresh key; send the same request again to ask what became of it. */
    Request keyed(RequestKind kind, const GroupId &group, std::string body);
    /** A step without a key of its own: BEGIN, ROLLBACK, or a write inside a transaction. */
    [[nodiscard]] Request step(RequestKind kind, const GroupId &group, std::string body) const;
    /** Takes in the token of an answer. */
    void take(const Answer &answer);
    [[nodiscard]] const SessionToken &token() const;

    Duration timeout_ = std::chrono::seconds(2); ///< Of the requests to come.

private:
    ServiceId service_;
    SessionId id_;
    Sequence next_{1};
    SessionToken token_;
};

} // namespace Figward
