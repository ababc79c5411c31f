/** \file
 * Defines the metrics of a proxy, derived from the events that it processes and the effects that they produce.
 */
#pragma once

#include "Effect.h"
#include "Event.h"
#include "SessionMetrics.h"

#include <absl/status/status.h>
#include <array>
#include <memory>
#include <prometheus/counter.h>
#include <prometheus/exposer.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

namespace Figward {

struct ProxyState;

/** The metrics of one proxy. observe() must be called from one thread only; other threads may read the registry. */
class Metrics
{
public:
    Metrics();
    /** Serves the metrics at \p address, "host:port". Returns Unavailable if the port cannot be bound. */
    absl::Status expose(const std::string &address);
    void observe(const Event &event);
    void observe(const Effect &effect);
    /** Updates the gauges from \p state. Called periodically, not for each event. */
    void observe(const ProxyState &state, Time now);
    /** Sets the gauge of log lines dropped since the start. */
    void observeDroppedLines(std::uint64_t lines);
    [[nodiscard]] const prometheus::Registry &registry() const;

private:
    void observeAnswer(const Answer &answer);

    static constexpr std::size_t outcomes = static_cast<std::size_t>(Outcome::Unknown) + 1;
    static constexpr std::size_t errors = static_cast<std::size_t>(ErrorKind::NoSuchTransaction) + 1;

    std::shared_ptr<prometheus::Registry> registry_;
    std::array<prometheus::Counter *, outcomes> requests_{};
    std::array<prometheus::Counter *, errors> errors_{};
    std::array<prometheus::Counter *, std::variant_size_v<EventBody>> events_{};
    prometheus::Counter *replicaReads_;
    prometheus::Counter *failovers_;
    prometheus::Counter *peerMessages_;
    prometheus::Counter *platformCalls_;
    prometheus::Counter *controlCalls_;
    prometheus::Gauge *connections_;
    prometheus::Gauge *queued_;
    prometheus::Gauge *requestsInFlight_;
    prometheus::Gauge *configurationVersion_;
    prometheus::Gauge *droppedLines_;
    std::unique_ptr<SessionMetrics> sessions_; ///< Null until the process serves sessions.
    std::unique_ptr<prometheus::Exposer> exposer_;
};

} // namespace Figward
