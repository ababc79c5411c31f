/** \file
 * Defines a blocking client of the platform's object API, for commands such as apply and status.
 */
#pragma once

#include "PlatformLink.h"

#include <future>

namespace Figward {

/** Makes one call at a time. */
class PlatformCaller
{
public:
    explicit PlatformCaller(const std::string &address);
    /** Calls the platform and waits for the answer, which always comes: Lost soon after \p timeout if nothing else. */
    PlatformAnswer call(PlatformBody body, Duration timeout);

private:
    /** Hands the one answer to who waits for it. */
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
