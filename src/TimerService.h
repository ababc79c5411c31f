/** \file
 * Defines the timer service of the core. Each timer has a topic, and the subscriber of that topic is called when the timer expires.
 */
#pragma once

#include "Ids.h"
#include "Units.h"

#include <optional>
#include <queue>
#include <vector>

namespace Figward {

/** Purpose of a timer. The reducer has one subscriber for each topic. */
enum class TimerTopic {
    EntryDeadline,
    OwnerDeadline,
    ProbeRound,
    PositionPoll,
    Failover,
    OwnerPool,
    Membership,
    Configuration,
    GroupRecord,
    Quota,
    Status,
    Drain,
    KeyTrim,
    SessionStatement,
    SessionReview,
    ForwardedRead,
};

/** Identifies a timer to its subscriber. Timers cannot be cancelled; the subscriber ignores a tag whose key it no longer knows. */
struct TimerTag
{
    TimerTopic topic_{};
    GroupId group_; ///< Empty if the timer does not belong to a group.
    std::uint64_t key_ = 0; ///< Chosen by the subscriber, such as a request id.
};

/** Holds armed timers, ordered by time and then by the order in which they were armed, so that runs are reproducible. */
class TimerService
{
public:
    /** Arms a timer. popExpired() returns \p tag at the first call with a time not before \p at. */
    void arm(Time at, TimerTag tag);
    /** Removes the timers that have expired at \p now and returns their tags, earliest first. */
    std::vector<TimerTag> popExpired(Time now);
    /** Expiry time of the next timer; nothing if none is armed. */
    [[nodiscard]] std::optional<Time> next() const;
    /** Number of armed timers. */
    [[nodiscard]] std::size_t size() const;

private:
    struct ArmedTimer
    {
        Time at_;
        std::uint64_t order_ = 0;
        TimerTag tag_;
    };
    struct ExpiresLater
    {
        bool operator()(const ArmedTimer &a, const ArmedTimer &b) const;
    };

    std::priority_queue<ArmedTimer, std::vector<ArmedTimer>, ExpiresLater> armed_;
    std::uint64_t nextOrder_ = 0;
};

} // namespace Figward
