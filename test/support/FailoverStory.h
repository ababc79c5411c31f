/** \file
 * Defines a small world for stories of failover: one group of three members, an owner of it in each of three availability zones, a caller who writes.
 */
#pragma once

#include "World.h"

#include <optional>
#include <string>
#include <vector>

namespace Figward::Testing {

/** A world that has settled: member 0 is primary of term 1 and each owner has its block of terms. */
class FailoverStory
{
public:
    explicit FailoverStory(WorldConfig config = {});

    /** A caller writes \p body through \p proxy and waits up to five seconds. */
    std::optional<Answer> write(ProxyIndex proxy, const std::string &body);
    /** Runs the world until a write through \p proxy is acknowledged or \p limit has passed; returns the time it took. */
    std::optional<Duration> timeToWrite(ProxyIndex proxy, Duration limit);
    /** The owner that tries first, and the one that tries second. */
    ProxyIndex ownerOfRank(unsigned rank);
    FailoverState &failover(ProxyIndex proxy);
    const GroupView &view(ProxyIndex proxy);
    /** Cuts off \p zone from all others. */
    void isolate(std::size_t zone, bool cut);
    /** Number of promotions in the log of the primary of the highest term. */
    std::size_t promotions();
    /** Kills the primary's process and host. */
    void losePrimary();
    /** Values of \p key in the members' logs. */
    std::vector<std::string> valuesOf(const std::string &key);

    World world_;

private:
    std::uint64_t sequence_ = 0;
};

} // namespace Figward::Testing
