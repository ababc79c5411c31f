#include "CallerServer.h"

#include "WireRequest.h"

namespace Figward {

namespace {

/** A caller of Execute(), which runs a single statement. */
class UnaryCaller : public WaitingCaller
{
public:
    UnaryCaller(grpc::ServerUnaryReactor *reactor, v1::ExecuteAnswer *out)
        : reactor_(reactor)
        , out_(out)
    {
    }

    void sendAnswer(v1::ExecuteAnswer answer) override
    {
        *out_ = std::move(answer);
        reactor_->Finish(grpc::Status::OK);
        delete this;
    }

    void cutOff() override
    {
        reactor_->Finish(grpc::Status(grpc::StatusCode::UNAVAILABLE, "the proxy ended"));
        delete this;
    }

private:
    grpc::ServerUnaryReactor *reactor_;
    v1::ExecuteAnswer *out_;
};

/** Returns the refusal of \p request. It carries the request's token, so that a caller that adopts the answer's token keeps its session's points. */
v1::ExecuteAnswer refusal(const v1::ExecuteRequest &request, ErrorKind error)
{
    v1::ExecuteAnswer out;
    Wire::encode(notRun(error), *out.mutable_answer());
    out.set_token(request.token());
    return out;
}

/** Returns why \p request is invalid from a caller whose open transaction is \p transaction, or None if it is valid. */
ErrorKind validate(const Request &request, TransactionId transaction)
{
    if (request.transaction_ != TransactionId(0) && request.transaction_ != transaction) {
        return ErrorKind::NoSuchTransaction; // The transaction could belong to another caller.
    }
    const bool ends = request.kind_ == RequestKind::Commit || request.kind_ == RequestKind::Rollback;
    return ends && request.transaction_ == TransactionId(0) ? ErrorKind::BadRequest : ErrorKind::None;
}

} // namespace

/** A caller's stream of requests. Deletes itself when the stream has ended. */
class CallerServer::SessionStream : public grpc::ServerBidiReactor<v1::ExecuteRequest, v1::ExecuteAnswer>, public WaitingCaller
{
public:
    explicit SessionStream(CallerServer &server)
        : server_(server)
    {
    }

    void begin()
    {
        StartRead(&incoming_);
    }

    void OnReadDone(bool ok) override
    {
        TransactionId transaction;
        {
            const std::scoped_lock lock(mutex_);
            if (!ok) {
                finish(grpc::Status::OK);
            }
            if (finished_) {
                return; // A request received after the stream was finished is not run; the status tells the caller.
            }
            busy_ = true;
            transaction = transaction_;
        }
        server_.submit(incoming_, transaction, this);
    }

    void sendAnswer(v1::ExecuteAnswer answer) override
    {
        const std::scoped_lock lock(mutex_);
        if (finished_) {
            return; // The stream was cut off meanwhile.
        }
        if (answer.answer().transaction() != 0) {
            abandonTransaction();
            transaction_ = TransactionId(answer.answer().transaction());
        }
        if (cancelled_) {
            finish(grpc::Status::CANCELLED);
            return;
        }
        outgoing_ = std::move(answer);
        writing_ = true;
        StartWrite(&outgoing_);
    }

    void OnWriteDone(bool ok) override
    {
        const std::scoped_lock lock(mutex_);
        busy_ = false;
        writing_ = false;
        if (!ok || cancelled_) {
            finish(grpc::Status::CANCELLED);
        } else if (closing_) {
            finish(closed());
        } else {
            StartRead(&incoming_);
        }
    }

    void OnCancel() override
    {
        const std::scoped_lock lock(mutex_);
        cancelled_ = true;
        if (!busy_) {
            finish(grpc::Status::CANCELLED);
        }
    }

    void close()
    {
        const std::scoped_lock lock(mutex_);
        closing_ = true;
        if (!busy_) {
            finish(closed());
        }
    }

    void cutOff() override
    {
        const std::scoped_lock lock(mutex_);
        closing_ = true;
        if (!writing_) { // Otherwise OnWriteDone() finishes the stream.
            finish(grpc::Status(grpc::StatusCode::UNAVAILABLE, "the proxy ended"));
        }
    }

    void OnDone() override
    {
        server_.removeSession(this);
        delete this;
    }

private:
    /** Returns the status that tells the caller that its unanswered requests were not run. */
    static grpc::Status closed()
    {
        return {grpc::StatusCode::ABORTED, "the proxy is shutting down; nothing unanswered was run"};
    }

    void abandonTransaction()
    {
        if (transaction_ != TransactionId(0)) {
            server_.events_.post(CallerGone{transaction_}); // Has no effect if the transaction has ended.
        }
    }

    void finish(const grpc::Status &status)
    {
        if (!finished_) {
            finished_ = true;
            abandonTransaction();
            Finish(status);
        }
    }

    CallerServer &server_;
    v1::ExecuteRequest incoming_;
    v1::ExecuteAnswer outgoing_;
    std::mutex mutex_; ///< Guards the members below. The server's mutex must not be locked while this one is held.
    TransactionId transaction_; ///< Last transaction opened on this stream; may have ended.
    bool busy_ = false; ///< From the arrival of a request until its answer is written.
    bool writing_ = false; ///< An answer is being written.
    bool cancelled_ = false; ///< The caller has cancelled the stream or is lost.
    bool closing_ = false;
    bool finished_ = false;
};

CallerServer::CallerServer(EventSink &events)
    : events_(events)
{
}

grpc::ServerUnaryReactor *CallerServer::Execute(grpc::CallbackServerContext *context, const v1::ExecuteRequest *request, v1::ExecuteAnswer *answer)
{
    grpc::ServerUnaryReactor *reactor = context->DefaultReactor();
    const v1::RequestKind kind = request->request().kind();
    auto *caller = new UnaryCaller(reactor, answer); // Deletes itself when it is answered.
    if (kind == v1::REQUEST_KIND_BEGIN) {
        caller->sendAnswer(refusal(*request, ErrorKind::BadRequest)); // No later request could end the transaction.
    } else {
        submit(*request, TransactionId(0), caller);
    }
    return reactor;
}

grpc::ServerBidiReactor<v1::ExecuteRequest, v1::ExecuteAnswer> *CallerServer::Session(grpc::CallbackServerContext * /*context*/)
{
    auto *session = new SessionStream(*this); // Deletes itself in OnDone().
    {
        const std::scoped_lock lock(mutex_);
        sessions_.insert(session);
        if (closed_) {
            session->close();
            return session;
        }
    }
    session->begin();
    return session;
}

void CallerServer::submit(const v1::ExecuteRequest &request, TransactionId transaction, WaitingCaller *caller)
{
    Wire::CallerRequest decoded = Wire::decodeCallerRequest(request);
    if (decoded.refusal_ == ErrorKind::None) {
        decoded.refusal_ = validate(decoded.request_, transaction);
    }
    if (decoded.refusal_ != ErrorKind::None) {
        caller->sendAnswer(refusal(request, decoded.refusal_));
        return;
    }
    const std::optional<RequestId> id = registerCaller(caller);
    if (!id) {
        caller->sendAnswer(refusal(request, ErrorKind::Draining));
        return;
    }
    events_.post(CallerAsked{*id, std::move(decoded.request_)});
}

std::optional<RequestId> CallerServer::registerCaller(WaitingCaller *caller)
{
    const RequestId id(nextId_.fetch_add(1, std::memory_order_relaxed));
    const std::scoped_lock lock(mutex_);
    if (closed_) {
        return std::nullopt;
    }
    waiting_[id] = caller;
    return id;
}

void CallerServer::answer(RequestId id, Answer answer)
{
    WaitingCaller *caller = nullptr;
    {
        const std::scoped_lock lock(mutex_);
        const auto found = waiting_.find(id);
        if (found == waiting_.end()) {
            return;
        }
        caller = found->second;
        waiting_.erase(found);
    }
    caller->sendAnswer(Wire::encodeCallerAnswer(answer));
}

void CallerServer::close()
{
    const std::scoped_lock lock(mutex_);
    closed_ = true;
    for (SessionStream *session : sessions_) {
        session->close();
    }
}

void CallerServer::cutOff()
{
    absl::flat_hash_map<RequestId, WaitingCaller *> waiting;
    const std::scoped_lock lock(mutex_);
    closed_ = true;
    waiting.swap(waiting_);
    for (const auto &[id, caller] : waiting) {
        caller->cutOff();
    }
    for (SessionStream *session : sessions_) {
        session->cutOff();
    }
}

void CallerServer::removeSession(SessionStream *session)
{
    const std::scoped_lock lock(mutex_);
    sessions_.erase(session);
}

} // namespace Figward
