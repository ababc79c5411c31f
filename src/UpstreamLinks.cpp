#include "UpstreamLinks.h"

#include "WireUpstream.h"
#include "WriteQueue.h"

namespace Figward {

/** A connection. Owns a reference to itself until its stream has ended. */
class UpstreamLinks::Link : public grpc::ClientBidiReactor<v1::ConnectionRequest, v1::ConnectionAnswer>
{
public:
    Link(UpstreamLinks &owner, ConnectionId id)
        : owner_(owner)
        , id_(id)
    {
    }

    static void start(const std::shared_ptr<Link> &link, v1::Upstream::Stub &stub, const MemberId &member)
    {
        if (!link->owner_.rundown_.enter(link->context_)) {
            return;
        }
        link->self_ = link;
        stub.async()->Connect(&link->context_, link.get());
        link->AddHold(); // Writes start outside of callbacks; the hold keeps the stream alive for them until a read fails.
        v1::ConnectionRequest open;
        open.mutable_open()->set_member(member.value());
        link->write(std::move(open));
        link->startRead();
        link->StartCall();
    }

    void write(v1::ConnectionRequest request)
    {
        const std::scoped_lock lock(mutex_);
        if (!writable_) {
            return; // The pending ConnectionLost event reports the failure.
        }
        if (const v1::ConnectionRequest *next = outgoing_.push(std::move(request))) {
            StartWrite(next);
        }
    }

    /** Closes the connection. No further event of it is posted. */
    void close()
    {
        {
            const std::scoped_lock lock(mutex_);
            closed_ = true;
        }
        context_.TryCancel();
    }

    void OnWriteDone(bool ok) override
    {
        const std::scoped_lock lock(mutex_);
        if (!ok) {
            return; // The stream has failed; OnDone() reports why.
        }
        if (const v1::ConnectionRequest *next = outgoing_.pop()) {
            StartWrite(next);
        }
    }

    void OnReadDone(bool ok) override
    {
        if (ok && handleMessage(incoming_)) {
            startRead();
            return;
        }
        {
            const std::scoped_lock lock(mutex_);
            writable_ = false;
        }
        context_.TryCancel(); // Ends the stream after an invalid message; OnDone() reports the connection as lost.
        RemoveHold();
    }

    void OnDone(const grpc::Status &status) override
    {
        post(ConnectionLost{id_, connectionEndFor(status)});
        const std::shared_ptr<Link> self = std::move(self_);
        owner_.rundown_.leave(context_);
    }

private:
    void startRead()
    {
        StartRead(&incoming_);
    }

    bool handleMessage(const v1::ConnectionAnswer &message)
    {
        if (message.has_opened() && !opened_) {
            opened_ = true;
            post(ConnectionOpened{id_});
            return true;
        }
        absl::StatusOr<UpstreamAnswer> answer = Wire::decode(message.answer());
        if (!opened_ || !answer.ok()) {
            return false;
        }
        post(UpstreamAnswered{id_, *std::move(answer)});
        return true;
    }

    [[nodiscard]] ConnectionEnd connectionEndFor(const grpc::Status &status) const
    {
        if (opened_) {
            return ConnectionEnd::Closed;
        }
        return status.error_code() == grpc::StatusCode::RESOURCE_EXHAUSTED ? ConnectionEnd::Refused : ConnectionEnd::Unreachable;
    }

    void post(EventBody event)
    {
        const std::scoped_lock lock(mutex_);
        if (!closed_) {
            owner_.events_.post(std::move(event));
        }
    }

    UpstreamLinks &owner_;
    const ConnectionId id_;
    grpc::ClientContext context_;
    std::shared_ptr<Link> self_;
    v1::ConnectionAnswer incoming_;
    bool opened_ = false; ///< Used only by the stream's callbacks, which run one at a time.
    std::mutex mutex_; ///< Guards the members below.
    WriteQueue<v1::ConnectionRequest> outgoing_;
    bool writable_ = true;
    bool closed_ = false;
};

UpstreamLinks::UpstreamLinks(ChannelPool &channels, EventSink &events)
    : channels_(channels)
    , events_(events)
{
}

UpstreamLinks::~UpstreamLinks()
{
    rundown_.cancelAndWait();
}

v1::Upstream::Stub &UpstreamLinks::stubTo(const std::string &address)
{
    std::unique_ptr<v1::Upstream::Stub> &stub = stubs_[address];
    if (!stub) {
        stub = v1::Upstream::NewStub(channels_.to(address));
    }
    return *stub;
}

void UpstreamLinks::open(const OpenConnection &effect)
{
    const auto link = std::make_shared<Link>(*this, effect.connection_);
    links_[effect.connection_] = link;
    Link::start(link, stubTo(effect.address_), effect.member_);
}

void UpstreamLinks::close(ConnectionId connection)
{
    const auto found = links_.find(connection);
    if (found != links_.end()) {
        found->second->close();
        links_.erase(found);
    }
}

void UpstreamLinks::send(const SendStatement &effect)
{
    const auto found = links_.find(effect.connection_);
    if (found == links_.end()) {
        return; // The core has closed the connection itself and expects no answer.
    }
    v1::ConnectionRequest request;
    Wire::encode(effect.statement_, *request.mutable_statement());
    found->second->write(std::move(request));
}

void UpstreamLinks::control(const SendControl &effect)
{
    struct Call
    {
        grpc::ClientContext context_;
        v1::ControlRequest request_;
        v1::ControlReply reply_;
    };
    const auto call = std::make_shared<Call>();
    call->context_.set_deadline(std::chrono::system_clock::now() + effect.timeout_);
    call->request_ = Wire::encodeControl(effect.member_, effect.call_.body_);
    if (!rundown_.enter(call->context_)) {
        return;
    }
    const auto finish = [this, call, id = effect.call_.id_](const grpc::Status &status) {
        events_.post(ControlAnswered{status.ok() ? Wire::decodeControlReply(id, call->reply_) : ControlAnswer{id, ControlResult::Failed, {}}});
        rundown_.leave(call->context_);
    };
    stubTo(effect.address_).async()->Control(&call->context_, &call->request_, &call->reply_, finish);
}

} // namespace Figward
