/** \file
 * Defines the adapter that calls the platform's object API over gRPC.
 */
#pragma once

#include "Protocol.h"
#include "Rundown.h"
#include "ShellPorts.h"
#include "Transport.h"

#include <platform.grpc.pb.h>

namespace Figward {

/** Calls the platform. Every call is answered, at the latest shortly after its timeout. */
class PlatformLink : public PlatformPort
{
public:
    PlatformLink(const std::shared_ptr<grpc::Channel> &channel, EventSink &events);
    PlatformLink(const PlatformLink &) = delete;
    PlatformLink &operator=(const PlatformLink &) = delete;
    ~PlatformLink() override;
    void call(const PlatformCall &call) override;

private:
    template<typename Request, typename Reply>
    struct Call;

    void start(const PlatformCall &call, const GetObject &body);
    void start(const PlatformCall &call, const PutObject &body);
    void start(const PlatformCall &call, const WatchObject &body);
    void start(const PlatformCall &call, const ListVms &body);
    template<typename Request, typename Reply, typename Start>
    void run(const std::shared_ptr<Call<Request, Reply>> &call, Start start);

    std::unique_ptr<v1::Platform::Stub> stub_;
    EventSink &events_;
    Rundown rundown_;
};

} // namespace Figward
