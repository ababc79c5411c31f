/** \file
 * Defines the service that takes callers' requests and gives each its one answer.
 */
#pragma once

#include "Protocol.h"
#include "ShellPorts.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <atomic>
#include <caller.grpc.pb.h>
#include <mutex>
#include <optional>

namespace Figward {

/** A caller that waits for an answer. */
class WaitingCaller
{
public:
    virtual ~WaitingCaller() = default;
    /** Gives the answer; called once. */
    virtual void give(v1::ExecuteAnswer answer) = 0;
    /** The process ends without an answer; called in place of give(). */
    virtual void cutOff() = 0;
};

/** Takes requests until it is closed. */
class CallerServer : public v1::Caller::CallbackService, public CallerPort
{
public:
    explicit CallerServer(EventSink &events);
    grpc::ServerUnaryReactor *Execute(grpc::CallbackServerContext *context, const v1::ExecuteRequest *request, v1::ExecuteAnswer *answer) override;
    grpc::ServerBidiReactor<v1::ExecuteRequest, v1::ExecuteAnswer> *Session(grpc::CallbackServerContext *context) override;
    void answer(RequestId id, Answer answer) override;

    /** The proxy has drained: requests from now on are refused as Draining, and idle sessions are ended. */
    void close();
    /** The process dies: requests that wait get no answer, and sessions are ended. */
    void cutOff();

private:
    class SessionStream;

    /** Posts \p request on behalf of \p caller, or refuses it at once. \p transaction is the one that the caller may use. */
    void ask(const v1::ExecuteRequest &request, TransactionId transaction, WaitingCaller *caller);
    /** Registers a caller, if the server is open. */
    std::optional<RequestId> expect(WaitingCaller *caller);
    void forget(SessionStream *session);

    EventSink &events_;
    std::atomic<std::uint64_t> nextId_ = 1;
    std::mutex mutex_; ///< Guards what follows.
    absl::flat_hash_map<RequestId, WaitingCaller *> waiting_;
    absl::flat_hash_set<SessionStream *> sessions_;
    bool closed_ = false;
};

} // namespace Figward
