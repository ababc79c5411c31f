/** \file
 * Defines Rundown, which lets the owner of asynchronous calls wait until all of them have ended.
 */
#pragma once

#include <chrono>
#include <condition_variable>
#include <grpcpp/client_context.h>
#include <mutex>
#include <unordered_set>

namespace Figward {

/**
 * The client calls of one adapter that are in flight. A gRPC callback may run at any time until its call has ended, and would use the adapter after its
 * destruction. The destructor of the adapter therefore calls cancelAndWait(). Thread-safe.
 */
class Rundown
{
public:
    /** Registers a call before it starts. Returns false if the adapter is being destroyed and the call must not start. */
    [[nodiscard]] bool enter(grpc::ClientContext &call)
    {
        const std::scoped_lock lock(mutex_);
        if (ending_) {
            return false;
        }
        calls_.insert(&call);
        return true;
    }

    /** Unregisters a call that has ended. Must be the callback's last use of the adapter. */
    void leave(grpc::ClientContext &call)
    {
        const std::scoped_lock lock(mutex_);
        calls_.erase(&call);
        empty_.notify_all();
    }

    /** Waits until all calls have ended, for at most \p limit. Must not be called from a gRPC callback. */
    void waitFor(std::chrono::milliseconds limit)
    {
        std::unique_lock lock(mutex_);
        empty_.wait_for(lock, limit, [this] { return calls_.empty(); });
    }

    /** Cancels all calls, prevents new ones and waits until all have ended. Must not be called from a gRPC callback. */
    void cancelAndWait()
    {
        std::unique_lock lock(mutex_);
        ending_ = true;
        for (grpc::ClientContext *call : calls_) {
            call->TryCancel();
        }
        empty_.wait(lock, [this] { return calls_.empty(); });
    }

private:
    std::mutex mutex_;
    std::condition_variable empty_;
    std::unordered_set<grpc::ClientContext *> calls_;
    bool ending_ = false;
};

} // namespace Figward
