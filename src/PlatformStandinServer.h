/** \file
 * Defines a server that lets the model of the platform be used over gRPC, in real time, with the proxies that register as its VMs.
 */
#pragma once

#include "PlatformModel.h"
#include "Protocol.h"
#include "StandinCall.h"
#include "StandinClock.h"
#include "Transport.h"

#include <functional>
#include <platform.grpc.pb.h>

namespace Figward::Standin {

/** Serves the object API. */
class PlatformStandinServer : public v1::Platform::CallbackService
{
public:
    /** A step on the model, such as a fault that is brought about. */
    using Step = std::function<void(PlatformModel &, Time)>;

    PlatformStandinServer(PlatformModelConfig config, std::uint64_t seed);
    PlatformStandinServer(const PlatformStandinServer &) = delete;
    PlatformStandinServer &operator=(const PlatformStandinServer &) = delete;
    ~PlatformStandinServer() override;

    /** Unavailable if \p address cannot be bound. */
    absl::Status start(const std::string &address);
    [[nodiscard]] const std::string &address() const;
    /** Runs \p step between calls. */
    void run(const Step &step);

    grpc::ServerUnaryReactor *Get(grpc::CallbackServerContext *context, const v1::GetRequest *request, v1::ObjectAnswer *reply) override;
    grpc::ServerUnaryReactor *Put(grpc::CallbackServerContext *context, const v1::PutRequest *request, v1::ObjectAnswer *reply) override;
    grpc::ServerUnaryReactor *Watch(grpc::CallbackServerContext *context, const v1::WatchRequest *request, v1::ObjectAnswer *reply) override;
    grpc::ServerUnaryReactor *ListVms(grpc::CallbackServerContext *context, const v1::ListVmsRequest *request, v1::ListVmsAnswer *reply) override;
    grpc::ServerUnaryReactor *RegisterVm(grpc::CallbackServerContext *context, const v1::RegisterVmRequest *request, v1::RegisterVmAnswer *reply) override;

private:
    struct WaitingCall
    {
        StandinCall *call_;
        std::function<void(const PlatformAnswer &)> fill_;
    };
    struct RegisteredVm
    {
        VmInfo vm_;
        Time expires_;
    };

    grpc::ServerUnaryReactor *begin(PlatformBody body, Duration timeout, std::function<void(const PlatformAnswer &)> fill);
    /** The following run on the clock's thread. */
    void deliverReplies();
    void deliver(PlatformTag tag, const PlatformAnswer &answer);
    void registerVm(const VmInfo &vm, bool gone);
    void publishVms();
    void expireVms();

    PlatformModel model_;
    std::uint64_t nextTag_ = 1;
    std::map<PlatformTag, WaitingCall> waiting_;
    std::optional<Time> timeoutAt_; ///< When deliverReplies() runs for the sake of the first watch that ends.
    std::map<VmId, RegisteredVm> vms_;
    std::vector<VmInfo> published_;
    std::string address_;
    StandinClock clock_; // Its thread uses all of the above, and is the first to end.
    ListeningServer server_;
};

} // namespace Figward::Standin
