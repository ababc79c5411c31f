/** \file
 * Defines a unary call to a stand-in that is answered later, or never.
 */
#pragma once

#include <functional>
#include <grpcpp/support/server_callback.h>
#include <mutex>

namespace Figward::Standin {

/** Waits for answer(); ends by itself when the client gives up first. Deletes itself when it is done and release() was called. */
class StandinCall : public grpc::ServerUnaryReactor
{
public:
    /** Lets \p fill write the reply and ends the call. Without effect if it has ended: its reply is gone then. */
    void answer(const std::function<void()> &fill)
    {
        end(grpc::Status::OK, fill);
    }

    /** Ends the call with an error. */
    void refuse(const grpc::Status &status)
    {
        end(status, [] {});
    }

    /** The model holds no reference any more. */
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
    int references_ = 2; // gRPC's and the model's.
    bool ended_ = false;
};

} // namespace Figward::Standin
