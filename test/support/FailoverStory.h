/** \file
 * Defines a small simulated deployment for failover tests: one group of three members, one owner in each of three availability zones, and a caller that writes.
 */
#pragma once

#include "World.h"

#include <optional>
#include <string>
#include <vector>

namespace Figward::Testing {

/** A simulated deployment in steady state: member 0 is primary of term 1 and each owner holds its block of terms. */
class FailoverStory
{
public:
    explicit FailoverStory(WorldConfig config = {});

    /** Writes \p body through \p proxy as a caller and waits up to five seconds for the answer. */
    std::optional<Answer> write(ProxyIndex proxy, const std::string &body);
    /** Advances the simulation until a write through \p proxy is acknowledged or \p limit has passed; returns the time it took. */
    std::optional<Duration> timeToWrite(ProxyIndex proxy, Duration limit);
    /** Returns the owner whose failover rank is \p rank; the owner of rank 0 attempts a failover first. */
    ProxyIndex ownerOfRank(unsigned rank);
    FailoverState &failover(ProxyIndex proxy);
    const GroupView &view(ProxyIndex proxy);
    /** Isolates \p zone from all others, or reconnects it if \p cut is false. */
    void isolate(std::size_t zone, bool cut);
    /** Returns the number of promotions recorded in the log of the primary of the highest term. */
    std::size_t promotions();
    /** Stops the primary's process and host; its connections are not closed. */
    void losePrimary();
    /** Returns the value of \p key in each member's log, in the order of the members; empty if there is none. */
    std::vector<std::string> valuesOf(const std::string &key);

    World world_;

private:
    std::uint64_t sequence_ = 0;
};

} // namespace Figward::Testing
