/** \file
 * Defines the client library for callers, which sends requests to a proxy and returns the answers.
 */
#pragma once

#include "Request.h"
#include "Transport.h"

#include "Protocol.h"

#include <caller.grpc.pb.h>
#include <functional>

namespace Figward {

/**
 * The result of a request as the client sees it. An error status means that no answer was received: the request may or may not have run, and it can
 * be retried safely through any proxy with the same idempotency key.
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
    /** Sends a request and waits for its answer. After an error the stream can no longer be used. */
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

/** The state that a session keeps between requests, to whichever proxies they go: its idempotency keys and its token. */
class CallerSession
{
public:
    CallerSession(ServiceId service, SessionId id);
    [[nodiscard]] Request read(const GroupId &group, std::string body) const;
    /** Builds a write or commit with a new key. To learn its outcome after an error, send the same request again. */
    Request keyed(RequestKind kind, const GroupId &group, std::string body);
    /** Builds a request without an idempotency key: BEGIN, ROLLBACK, or a write inside a transaction. */
    [[nodiscard]] Request step(RequestKind kind, const GroupId &group, std::string body) const;
    /** Merges the token of \p answer into the session's token. */
    void take(const Answer &answer);
    [[nodiscard]] const SessionToken &token() const;

    Duration timeout_ = std::chrono::seconds(2); ///< Timeout set in subsequent requests.

private:
    ServiceId service_;
    SessionId id_;
    Sequence next_{1};
    SessionToken token_;
};

} // namespace Figward
