/** \file
 * Defines how a proxy registers with the platform's stand-in, which has no VMs of its own to list.
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

/** Registers a VM once a second, so that the stand-in detects when its process has ended. A real platform rejects the call as unimplemented. */
class VmRegistration
{
public:
    VmRegistration(const std::shared_ptr<grpc::Channel> &channel, VmInfo vm);
    VmRegistration(const VmRegistration &) = delete;
    VmRegistration &operator=(const VmRegistration &) = delete;
    ~VmRegistration();
    /** Makes the stand-in list the VM as leaving from now on. */
    void leave();
    /** Called at an orderly end of the VM: removes it from the list immediately. */
    void end();

private:
    void work();
    void registerOnce(const VmInfo &vm, bool gone);

    std::unique_ptr<v1::Platform::Stub> stub_;
    std::mutex mutex_; ///< Guards the members below.
    std::condition_variable changed_;
    VmInfo vm_;
    bool stale_ = true; ///< The last change has not been sent to the stand-in.
    bool ending_ = false;
    std::thread thread_;
};

} // namespace Figward
