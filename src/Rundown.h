/** \file
 * Defines Rundown, which lets the owner of asynchronous calls wait until the last of them has ended.
 */
#pragma once

#include <chrono>
#include <condition_variable>
#include <grpcpp/client_context.h>
#include <mutex>
#include <unordered_set>

namespace Figward {

/**
 * The client calls of one adapter that are under way. A gRPC callback may come at any time until its call has ended; an adapter that went away
 * before that would be used after its end. Its destructor therefore calls cancelAndWait(). Thread-safe.
 */
class Rundown
{
public:
    /** Registers a call before it starts; false when the adapter is ending and the call must not start. */
    [[nodiscard]] bool enter(grpc::ClientContext &call)
    {
        const std::scoped_lock lock(mutex_);
        if (ending_) {
            return false;
        }
        calls_.insert(&call);
        return true;
    }

    /** The call has ended: the last thing that its callback does with the adapter. */
    void leave(grpc::ClientContext &call)
    {
        const std::scoped_lock lock(mutex_);
        calls_.erase(&call);
        empty_.notify_all();
    }

    /** Returns when all calls have ended, or after \p limit. Not from a gRPC callback. */
    void waitFor(std::chrono::milliseconds limit)
    {
        std::unique_lock lock(mutex_);
        empty_.wait_for(lock, limit, [this] { return calls_.empty(); });
    }

    /** Cancels all calls, lets no new one start and returns when all have ended. Not from a gRPC callback. */
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
