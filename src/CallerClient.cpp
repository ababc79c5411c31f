#include "CallerClient.h"

#include "WireRequest.h"

namespace Figward {

namespace {

/** Added to the request's timeout, within which a working proxy answers; this expires too only if the proxy is lost. */
constexpr Duration answerGrace = std::chrono::milliseconds(500);

/**
 * Opens a channel without the keepalive that links between processes have. A caller's thread reads its socket only while it waits for an answer, so
 * with keepalive the client would leave the reply to a ping unread and close a stream, with its transaction, that is idle for a few seconds.
 */
std::shared_ptr<grpc::Channel> openCallerChannel(const std::string &address, const std::optional<TlsMaterial> &tls)
{
    constexpr int longestReconnectMillis = 500;
    grpc::ChannelArguments arguments;
    arguments.SetMaxReceiveMessageSize(messageLimit);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, longestReconnectMillis);
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1); // Clients in one process do not share connections.
    return grpc::CreateCustomChannel(address, clientCredentials(tls), arguments);
}

std::chrono::system_clock::time_point deadlineOf(const Request &request)
{
    return std::chrono::system_clock::now() + request.timeout_ + answerGrace;
}

ClientResult resultOf(const grpc::Status &status, const v1::ExecuteAnswer &answer)
{
    if (!status.ok()) {
        return absl::Status(static_cast<absl::StatusCode>(status.error_code()), status.error_message());
    }
    return Wire::decodeCallerAnswer(answer);
}

} // namespace

CallerStream::CallerStream(v1::Caller::Stub &stub)
    : stream_(stub.Session(&context_))
{
}

CallerStream::~CallerStream()
{
    if (!ended_) {
        context_.TryCancel();
        stream_->Finish();
    }
}

ClientResult CallerStream::execute(const Request &request)
{
    if (ended_) {
        return absl::UnavailableError("the stream has ended");
    }
    v1::ExecuteAnswer answer;
    if (stream_->Write(Wire::encodeCallerRequest(request)) && stream_->Read(&answer)) {
        return Wire::decodeCallerAnswer(answer);
    }
    ended_ = true;
    const grpc::Status status = stream_->Finish();
    if (status.error_code() == grpc::StatusCode::ABORTED) {
        Answer refused = notRun(ErrorKind::Draining); // A draining proxy ends the stream with this status if it did not run the request.
        refused.token_ = request.token_;
        return refused;
    }
    return absl::UnavailableError(status.error_message());
}

CallerClient::CallerClient(const std::string &address, const std::optional<TlsMaterial> &tls)
    : stub_(v1::Caller::NewStub(openCallerChannel(address, tls)))
{
}

ClientResult CallerClient::execute(const Request &request)
{
    grpc::ClientContext context;
    context.set_deadline(deadlineOf(request));
    v1::ExecuteAnswer answer;
    const grpc::Status status = stub_->Execute(&context, Wire::encodeCallerRequest(request), &answer);
    return resultOf(status, answer);
}

void CallerClient::execute(const Request &request, std::function<void(ClientResult)> done)
{
    struct Call
    {
        grpc::ClientContext context_;
        v1::ExecuteRequest request_;
        v1::ExecuteAnswer answer_;
    };
    const auto call = std::make_shared<Call>();
    call->context_.set_deadline(deadlineOf(request));
    call->request_ = Wire::encodeCallerRequest(request);
    stub_->async()->Execute(&call->context_, &call->request_, &call->answer_, [call, done = std::move(done)](const grpc::Status &status) {
        done(resultOf(status, call->answer_));
    });
}

std::unique_ptr<CallerStream> CallerClient::openStream()
{
    return std::make_unique<CallerStream>(*stub_);
}

CallerSession::CallerSession(ServiceId service, SessionId id)
    : service_(std::move(service))
    , id_(id)
{
}

Request CallerSession::read(const GroupId &group, std::string body) const
{
    return step(RequestKind::Read, group, std::move(body));
}

Request CallerSession::keyed(RequestKind kind, const GroupId &group, std::string body)
{
    Request request = step(kind, group, std::move(body));
    request.key_ = IdempotencyKey{id_, next_};
    next_ = Sequence(next_.value() + 1);
    return request;
}

Request CallerSession::step(RequestKind kind, const GroupId &group, std::string body) const
{
    Request request;
    request.kind_ = kind;
    request.service_ = service_;
    request.group_ = group;
    request.body_ = std::move(body);
    request.token_ = token_;
    request.timeout_ = timeout_;
    return request;
}

void CallerSession::take(const Answer &answer)
{
    merge(token_, answer.token_);
}

const SessionToken &CallerSession::token() const
{
    return token_;
}

} // namespace Figward
