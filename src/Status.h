/** \file
 * Defines how status reports travel: each proxy sends its own to one writer of its availability zone, which writes a single object, sparingly.
 *
 * The proxies keep what they cannot write: while the platform is away the writer goes on collecting, and writes the present state when the platform is back.
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

/** What is remembered of a group between reports. */
struct PrimaryHistory
{
    Term term_;
    bool hadPrimary_ = false;
    Time since_; ///< When the primary, or the lack of one, began.
    std::uint64_t failovers_ = 0;
    Duration lastGap_{};
};

/** Reports of this proxy, and at the writer of a zone those of the others. */
struct StatusState
{
    VmReport reported_; ///< The last own report that was sent.
    Time sentAt_;
    VmId sentTo_;
    std::map<GroupId, PrimaryHistory> history_;
    std::map<VmId, VmReport> collected_; ///< At the writer.
    bool changed_ = false; ///< Since the last write.
    bool writing_ = false; ///< A call is under way.
    bool versionKnown_ = false;
    ObjectVersion version_; ///< Of the zone's object.
    Time writtenAt_;
    std::size_t writtenBytes_ = 0;
};

/** Begins to report. */
void startStatus(ProxyState &state, Time now, Effects &out);
/** Subscriber of Status. */
void onStatusTimer(ProxyState &state, const TimerTag &tag, Time now, Effects &out);
void onStatusNews(ProxyState &state, const PeerMessage &message, const StatusNews &news, Time now, Effects &out);
void onStatusAnswer(ProxyState &state, const PlatformAnswer &answer, Time now, Effects &out);
/** What this proxy has to report at \p now. */
VmReport ownReport(const ProxyState &state, Time now);

} // namespace Figward
