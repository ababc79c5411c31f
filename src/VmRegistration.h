/** \file
 * Defines how a proxy makes itself known to the platform's stand-in, which has no VMs of its own to list.
 */
#pragma once

#include "Platform.h"
#include "Protocol.h"
#include "Rundown.h"
#include "Transport.h"

#include <condition_variable>
#include <platform.grpc.pb.h>
#include <thread>

namespace Figward {

/** Registers a VM once a second, so that the stand-in notices when its process has gone. A real platform answers that it knows no such call. */
class VmRegistration
{
public:
    VmRegistration(const std::shared_ptr<grpc::Channel> &channel, VmInfo vm);
    VmRegistration(const VmRegistration &) = delete;
    VmRegistration &operator=(const VmRegistration &) = delete;
    ~VmRegistration();
    /** From now on the VM is listed as leaving. */
    void leave();
    /** The VM ends in good order and is taken off the list at once. */
    void end();

private:
    void work();
    void registerOnce(const VmInfo &vm, bool gone);

    std::unique_ptr<v1::Platform::Stub> stub_;
    std::mutex mutex_; ///< Guards what follows.
    std::condition_variable changed_;
    VmInfo vm_;
    bool stale_ = true; ///< The stand-in has not been told of the last change.
    bool ending_ = false;
    std::thread thread_;
};

} // namespace Figward
