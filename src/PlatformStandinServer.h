/** \file
 * Defines a gRPC server that runs the model of the platform in real time; the proxies that register with it are its VMs.
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

/** Serves the object API of the platform and the registration of VMs. */
class PlatformStandinServer : public v1::Platform::CallbackService
{
public:
    /** An operation on the model, such as the injection of a fault. */
    using Step = std::function<void(PlatformModel &, Time)>;

    PlatformStandinServer(PlatformModelConfig config, std::uint64_t seed);
    PlatformStandinServer(const PlatformStandinServer &) = delete;
    PlatformStandinServer &operator=(const PlatformStandinServer &) = delete;
    ~PlatformStandinServer() override;

    /** Starts the server; returns Unavailable if \p address cannot be bound. */
    absl::Status start(const std::string &address);
    [[nodiscard]] const std::string &address() const;
    /** Runs \p step on the clock's thread, between calls. */
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
    /** This and the following functions run on the clock's thread. */
    void deliverReplies();
    void deliver(PlatformTag tag, const PlatformAnswer &answer);
    void registerVm(const VmInfo &vm, bool gone);
    void publishVms();
    void expireVms();

    PlatformModel model_;
    std::uint64_t nextTag_ = 1;
    std::map<PlatformTag, WaitingCall> waiting_;
    std::optional<Time> timeoutAt_; ///< Time for which deliverReplies() is scheduled, to end the first watch that times out.
    std::map<VmId, RegisteredVm> vms_;
    std::vector<VmInfo> published_;
    std::string address_;
    StandinClock clock_; // Declared after the members that its thread uses, so that the thread ends before they are destroyed.
    ListeningServer server_;
};

} // namespace Figward::Standin
