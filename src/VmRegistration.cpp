#include "VmRegistration.h"

#include "WirePlatform.h"

namespace Figward {

namespace {

constexpr std::chrono::milliseconds interval(1000);
constexpr std::chrono::milliseconds timeout(500);

} // namespace

VmRegistration::VmRegistration(const std::shared_ptr<grpc::Channel> &channel, VmInfo vm)
    : stub_(v1::Platform::NewStub(channel))
    , vm_(std::move(vm))
{
    thread_ = std::thread([this] { work(); });
}

VmRegistration::~VmRegistration()
{
    {
        const std::scoped_lock lock(mutex_);
        ending_ = true;
    }
    changed_.notify_all();
    thread_.join();
}

void VmRegistration::leave()
{
    {
        const std::scoped_lock lock(mutex_);
        vm_.leaving_ = true;
        stale_ = true;
    }
    changed_.notify_all();
}

void VmRegistration::end()
{
    VmInfo vm;
    {
        const std::scoped_lock lock(mutex_);
        ending_ = true;
        vm = vm_;
    }
    changed_.notify_all();
    registerOnce(vm, true);
}

void VmRegistration::work()
{
    std::unique_lock lock(mutex_);
    while (!ending_) {
        stale_ = false;
        const VmInfo vm = vm_;
        lock.unlock();
        registerOnce(vm, false);
        lock.lock();
        changed_.wait_for(lock, interval, [this] { return stale_ || ending_; });
    }
}

void VmRegistration::registerOnce(const VmInfo &vm, bool gone)
{
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + timeout);
    v1::RegisterVmRequest request;
    Wire::encode(vm, *request.mutable_vm());
    request.set_gone(gone);
    v1::RegisterVmAnswer reply;
    // A failure is ignored, because the next registration follows within a second.
    stub_->RegisterVm(&context, request, &reply);
}

} // namespace Figward
