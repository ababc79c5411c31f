/** \file
 * Defines the service that receives callers' requests and answers each exactly once.
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
    /** Sends the answer. Called at most once. */
    virtual void sendAnswer(v1::ExecuteAnswer answer) = 0;
    /** Ends the call without an answer because the process ends. Called instead of sendAnswer(). */
    virtual void cutOff() = 0;
};

/** Accepts requests until it is closed. */
class CallerServer : public v1::Caller::CallbackService, public CallerPort
{
public:
    explicit CallerServer(EventSink &events);
    grpc::ServerUnaryReactor *Execute(grpc::CallbackServerContext *context, const v1::ExecuteRequest *request, v1::ExecuteAnswer *answer) override;
    grpc::ServerBidiReactor<v1::ExecuteRequest, v1::ExecuteAnswer> *Session(grpc::CallbackServerContext *context) override;
    void answer(RequestId id, Answer answer) override;

    /** Called once the proxy has drained: refuses further requests with Draining and ends idle sessions. */
    void close();
    /** Called when the process ends abruptly: ends pending requests without an answer, and all sessions. */
    void cutOff();

private:
    class SessionStream;

    /** Posts \p request on behalf of \p caller, or refuses it immediately. \p transaction is the transaction that the caller may use. */
    void submit(const v1::ExecuteRequest &request, TransactionId transaction, WaitingCaller *caller);
    /** Registers a caller that waits for an answer. Returns nothing if the server is closed. */
    std::optional<RequestId> registerCaller(WaitingCaller *caller);
    void removeSession(SessionStream *session);

    EventSink &events_;
    std::atomic<std::uint64_t> nextId_ = 1;
    std::mutex mutex_; ///< Guards the members below.
    absl::flat_hash_map<RequestId, WaitingCaller *> waiting_;
    absl::flat_hash_set<SessionStream *> sessions_;
    bool closed_ = false;
};

} // namespace Figward
