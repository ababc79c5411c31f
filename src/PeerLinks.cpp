#include "PeerLinks.h"

#include "WirePeer.h"
#include "WriteQueue.h"

namespace Figward {

namespace {

/** Size at which a batch accepts no further message. With one more message it is still far below the receiver's limit. */
constexpr std::size_t batchByteLimit = std::size_t{256} << 10U;
/** Limit on the bytes queued for a proxy that does not read. Above it the proxy counts as lost; otherwise the queue would exhaust this process's memory. */
constexpr std::size_t backlogByteLimit = std::size_t{32} << 20U;

} // namespace

/** The stream to one proxy. Owns a reference to itself until the stream has ended. */
class PeerLinks::Link : public grpc::ClientBidiReactor<v1::PeerBatch, v1::PeerBatch>
{
public:
    Link(PeerLinks &owner, std::string address, const std::shared_ptr<grpc::Channel> &channel)
        : owner_(owner)
        , address_(std::move(address))
        , stub_(v1::Peer::NewStub(channel))
    {
    }

    static void start(const std::shared_ptr<Link> &link)
    {
        if (!link->owner_.rundown_.enter(link->context_)) {
            return;
        }
        link->self_ = link;
        link->stub_->async()->Connect(&link->context_, link.get());
        link->AddHold(); // Writes start outside of callbacks; the hold keeps the stream alive for them until a read fails.
        link->writable_ = true;
        link->StartRead(&link->incoming_);
        link->StartCall();
    }

    void push(const PeerMessage &message)
    {
        v1::PeerMessage encoded;
        Wire::encodePeer(message, encoded);
        const std::size_t bytes = encoded.ByteSizeLong();
        const std::scoped_lock lock(mutex_);
        if (!writable_) {
            return; // The pending PeerLost event reports the loss of this message too.
        }
        if (backlog_ + bytes > backlogByteLimit) {
            context_.TryCancel();
            return;
        }
        backlog_ += bytes;
        if (v1::PeerBatch *tail = outgoing_.tail(); tail != nullptr && tailBytes_ < batchByteLimit) {
            tailBytes_ += bytes;
            *tail->add_messages() = std::move(encoded);
            return;
        }
        tailBytes_ = bytes;
        v1::PeerBatch batch;
        *batch.add_messages() = std::move(encoded);
        writeNext(outgoing_.push(std::move(batch)));
    }

    /** Ends the stream once all queued messages are written. */
    void finish()
    {
        const std::scoped_lock lock(mutex_);
        finishing_ = true;
        if (writable_ && outgoing_.empty()) {
            StartWritesDone();
        }
    }

    void OnWriteDone(bool ok) override
    {
        const std::scoped_lock lock(mutex_);
        backlog_ -= std::min(backlog_, writing_);
        if (!ok) {
            return; // The stream has failed; OnDone() reports it.
        }
        writeNext(outgoing_.pop());
        if (finishing_ && outgoing_.empty()) {
            StartWritesDone();
        }
    }

    void OnReadDone(bool ok) override
    {
        if (ok) {
            StartRead(&incoming_); // The receiver sends nothing on this stream, but a later version may.
            return;
        }
        {
            const std::scoped_lock lock(mutex_);
            writable_ = false;
        }
        RemoveHold();
    }

    void OnDone(const grpc::Status & /*status*/) override
    {
        owner_.events_.post(PeerLost{address_});
        const std::shared_ptr<Link> self = std::move(self_);
        owner_.rundown_.leave(context_);
    }

private:
    void writeNext(const v1::PeerBatch *batch)
    {
        if (batch != nullptr) {
            writing_ = batch->ByteSizeLong();
            StartWrite(batch);
        }
    }

    PeerLinks &owner_;
    const std::string address_;
    std::unique_ptr<v1::Peer::Stub> stub_;
    grpc::ClientContext context_;
    std::shared_ptr<Link> self_;
    v1::PeerBatch incoming_;
    std::mutex mutex_; ///< Guards the members below.
    WriteQueue<v1::PeerBatch> outgoing_;
    std::size_t tailBytes_ = 0; ///< Bytes of the last batch in the queue.
    std::size_t writing_ = 0; ///< Bytes of the write in flight.
    std::size_t backlog_ = 0; ///< Bytes not written yet.
    bool writable_ = false;
    bool finishing_ = false;
};

PeerLinks::PeerLinks(ChannelPool &channels, EventSink &events)
    : channels_(channels)
    , events_(events)
{
}

PeerLinks::~PeerLinks()
{
    rundown_.cancelAndWait();
}

void PeerLinks::send(const std::string &address, const PeerMessage &message)
{
    std::shared_ptr<Link> &link = links_[address];
    if (!link) {
        link = std::make_shared<Link>(*this, address, channels_.to(address));
        Link::start(link);
    }
    link->push(message);
}

void PeerLinks::finish(std::chrono::milliseconds grace)
{
    for (const auto &[address, link] : links_) {
        link->finish();
    }
    rundown_.waitFor(grace);
}

void PeerLinks::forget(const std::string &address)
{
    links_.erase(address);
}

} // namespace Figward
