/** \file
 * Defines a blocking client of the platform's object API, for commands such as apply and status.
 */
#pragma once

#include "PlatformLink.h"

#include <future>

namespace Figward {

/** Makes one call at a time; not thread-safe. */
class PlatformCaller
{
public:
    explicit PlatformCaller(const std::string &address);
    /** Calls the platform and waits for the answer. Always returns: if no answer arrives, the result is Lost shortly after \p timeout. */
    PlatformAnswer call(PlatformBody body, Duration timeout);

private:
    /** Passes the answer of the current call to the waiting thread. */
    class Mailbox : public EventSink
    {
    public:
        void post(EventBody event) override;
        std::promise<PlatformAnswer> promise_;
    };

    Mailbox mailbox_;
    PlatformLink link_;
    std::uint64_t nextCall_ = 1;
};

} // namespace Figward
