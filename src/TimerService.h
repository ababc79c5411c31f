/** \file
 * Defines the timer service of the core: parts subscribe to a topic and are called when a time they armed has come.
 */
#pragma once

#include "Ids.h"
#include "Units.h"

#include <optional>
#include <queue>
#include <vector>

namespace Figward {

/** What a timer is for; the reducer has one subscriber a topic. */
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
};

/** One armed timer. Timers are not cancelled: a subscriber ignores a tag whose key it no longer knows. */
struct TimerTag
{
    TimerTopic topic_{};
    GroupId group_; ///< Empty when the timer is not of one group.
    std::uint64_t key_ = 0; ///< The subscriber's own, such as a request id.
};

/** Orders armed timers by time, then by the order of arming, so that runs repeat exactly. */
class TimerService
{
public:
    /** Asks that \p tag be returned by takeDue() at \p at or soon after. */
    void arm(Time at, TimerTag tag);
    /** Removes and returns what is due at \p now, earliest first. */
    std::vector<TimerTag> takeDue(Time now);
    /** The earliest armed time. */
    [[nodiscard]] std::optional<Time> next() const;
    /** Number of timers armed. */
    [[nodiscard]] std::size_t size() const;

private:
    struct Armed
    {
        Time at_;
        std::uint64_t order_ = 0;
        TimerTag tag_;
    };
    struct Later
    {
        bool operator()(const Armed &a, const Armed &b) const;
    };

    std::priority_queue<Armed, std::vector<Armed>, Later> armed_;
    std::uint64_t nextOrder_ = 0;
};

} // namespace Figward
