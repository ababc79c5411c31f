/** \file
 * Defines how status reports are collected: each proxy sends its own to one writer in its availability zone, which writes a single object at a limited rate.
 *
 * While the platform is unavailable, the writer continues to collect reports; it writes the current state once the platform is available again.
 */
#pragma once

#include "Effect.h"
#include "Event.h"
#include "StatusReport.h"
#include "TimerService.h"
#include "Units.h"

#include <map>
#include <string>

namespace Figward {

struct ProxyState;

/** State of a group kept between reports. */
struct PrimaryHistory
{
    Term term_;
    bool hadPrimary_ = false;
    Time since_; ///< When the current primary was first seen, or when the group was first seen without one.
    std::uint64_t failovers_ = 0;
    Duration lastGap_{};
};

/** Reports of this proxy and, at the writer of a zone, those of the other proxies. */
struct StatusState
{
    VmReport reported_; ///< The last report that this proxy sent.
    Time sentAt_;
    VmId sentTo_;
    std::map<GroupId, PrimaryHistory> history_;
    std::map<VmId, VmReport> collected_; ///< Received reports; used at the writer.
    bool changed_ = false; ///< Whether a collected report changed since the last write.
    bool callPending_ = false; ///< Whether a read or write of the zone's object is pending.
    bool versionKnown_ = false;
    ObjectVersion version_; ///< Version of the zone's object; valid if versionKnown_.
    Time writtenAt_;
    std::size_t writtenBytes_ = 0;
};

/** Starts periodic reports. */
void startStatus(ProxyState &state, Time now, Effects &out);
/** Handles timers of TimerTopic::Status. */
void onStatusTimer(ProxyState &state, const TimerTag &tag, Time now, Effects &out);
void onStatusNews(ProxyState &state, const PeerMessage &message, const StatusNews &news, Time now, Effects &out);
void onStatusAnswer(ProxyState &state, const PlatformAnswer &answer, Time now, Effects &out);
/** Returns the report of this proxy at \p now. */
VmReport ownReport(const ProxyState &state, Time now);

} // namespace Figward
