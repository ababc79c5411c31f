/** \file
 * Defines the metrics of database sessions: statements by route and outcome, time spent per stage, and the age of the data that routing relies on.
 */
#pragma once

#include "SessionEvents.h"
#include "SessionState.h"

#include <array>
#include <map>
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace Figward {

/** The metrics of one process that serves sessions. Must be updated from one thread only; other threads may read the registry. */
class SessionMetrics
{
public:
    explicit SessionMetrics(prometheus::Registry &registry);
    void observe(const SessionEvent &event);
    void observe(const SessionEffect &effect);
    /** Updates the gauges from \p state. */
    void observe(const SessionServiceState &state, Time now);

private:
    /** The stages that a statement's time is measured for. */
    enum class Stage {
        Total,
        Waiting,
        Member,
    };

    void observeStatement(const StatementEnded &ended);
    void observeTime(Consistency route, Stage stage, Duration time);
    prometheus::Counter &statementCounter(const StatementEnded &ended);
    void observeForwarding(const ForwardingTotals &totals);
    void observeMembers(const SessionServiceState &state);
    void observeAges(const SessionServiceState &state, Time now);
    void observeLevels(const SessionGroup &group, Time now);

    prometheus::Family<prometheus::Counter> &statements_;
    prometheus::Family<prometheus::Histogram> &times_;
    prometheus::Family<prometheus::Counter> &storeCalls_;
    prometheus::Family<prometheus::Counter> &storeAnswers_;
    prometheus::Family<prometheus::Counter> &promotions_;
    prometheus::Family<prometheus::Gauge> &memberConnections_;
    prometheus::Family<prometheus::Gauge> &authority_;
    prometheus::Family<prometheus::Counter> &forwardedReads_;
    prometheus::Family<prometheus::Gauge> &admissionLevels_;
    prometheus::Counter &replicaReads_;
    prometheus::Counter &retries_;
    prometheus::Gauge &sessions_;
    prometheus::Gauge &waiting_;
    prometheus::Gauge &atMembers_;
    prometheus::Gauge &forwarded_;
    prometheus::Gauge &draining_;
    prometheus::Gauge &configurationVersion_;
    prometheus::Gauge &configurationAge_;
    prometheus::Gauge &configurationBehind_;
    prometheus::Gauge &membersAge_;
    prometheus::Gauge &vmsHeard_;
    prometheus::Gauge &ready_;
    // Caches of metrics that every statement updates: a look-up by labels would cost some microseconds each time.
    static constexpr std::size_t routes = 3;
    static constexpr std::size_t stages = 3;
    static constexpr std::size_t codes = static_cast<std::size_t>(ReplyCode::Other) + 1;
    std::array<std::array<prometheus::Histogram *, stages>, routes> timesByRoute_{};
    std::array<std::array<std::array<prometheus::Counter *, codes>, 2>, routes> statementsByRoute_{};
    std::map<MemberId, std::array<prometheus::Gauge *, 2>> members_; ///< Connections in use and idle, for each known member.
    std::map<ServiceId, prometheus::Gauge *> groups_;
    std::map<ServiceId, std::array<prometheus::Gauge *, 2>> levels_; ///< Of the primary and of the replicas, for each group.
};

} // namespace Figward
