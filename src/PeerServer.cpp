#include "PeerServer.h"

#include "WirePeer.h"

namespace Figward {

namespace {

/** A stream from another proxy. Deletes itself when the stream has ended. */
class IncomingStream : public grpc::ServerBidiReactor<v1::PeerBatch, v1::PeerBatch>
{
public:
    explicit IncomingStream(EventSink &events)
        : events_(events)
    {
        StartRead(&batch_);
    }

    void OnReadDone(bool ok) override
    {
        if (!ok) {
            Finish(grpc::Status::OK);
            return;
        }
        for (const v1::PeerMessage &message : batch_.messages()) {
            absl::StatusOr<PeerMessage> decoded = Wire::decodePeer(message);
            if (!decoded.ok()) {
                Finish(grpc::Status(grpc::StatusCode::INVALID_ARGUMENT, "malformed message"));
                return;
            }
            events_.post(PeerReceived{*std::move(decoded)});
        }
        StartRead(&batch_);
    }

    void OnDone() override
    {
        delete this;
    }

private:
    EventSink &events_;
    v1::PeerBatch batch_;
};

} // namespace

PeerServer::PeerServer(EventSink &events)
    : events_(events)
{
}

grpc::ServerBidiReactor<v1::PeerBatch, v1::PeerBatch> *PeerServer::Connect(grpc::CallbackServerContext * /*context*/)
{
    return new IncomingStream(events_);
}

} // namespace Figward
