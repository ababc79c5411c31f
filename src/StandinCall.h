/** \file
 * Defines a unary call to a stand-in that is answered later, or never.
 */
#pragma once

#include <functional>
#include <grpcpp/support/server_callback.h>
#include <mutex>

namespace Figward::Standin {

/** Waits for answer() or refuse(); ends when the client cancels it first. Deletes itself once it is done and release() was called. */
class StandinCall : public grpc::ServerUnaryReactor
{
public:
    /** Lets \p fill write the reply and ends the call. No effect if the call has already ended, because its reply no longer exists then. */
    void answer(const std::function<void()> &fill)
    {
        end(grpc::Status::OK, fill);
    }

    /** Ends the call with an error. */
    void refuse(const grpc::Status &status)
    {
        end(status, [] {});
    }

    /** Releases the reference held by the model. */
    void release()
    {
        dropReference();
    }

    void OnCancel() override
    {
        refuse(grpc::Status::CANCELLED);
    }

    void OnDone() override
    {
        dropReference();
    }

private:
    void end(const grpc::Status &status, const std::function<void()> &fill)
    {
        {
            const std::scoped_lock lock(mutex_);
            if (ended_) {
                return;
            }
            ended_ = true;
            fill();
        }
        Finish(status);
    }

    void dropReference()
    {
        bool last = false;
        {
            const std::scoped_lock lock(mutex_);
            last = --references_ == 0;
        }
        if (last) {
            delete this;
        }
    }

    std::mutex mutex_;
    int references_ = 2; // One held by gRPC, one by the model.
    bool ended_ = false;
};

} // namespace Figward::Standin
