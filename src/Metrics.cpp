#include "Metrics.h"

#include "ProxyState.h"

#include <absl/strings/str_cat.h>

namespace Figward {

namespace {

using prometheus::BuildCounter;
using prometheus::BuildGauge;

/** Names of the alternatives of EventBody, in their order. */
constexpr std::array<const char *, std::variant_size_v<EventBody>> eventNames{"started",
                                                                              "wake-up",
                                                                              "caller-asked",
                                                                              "caller-gone",
                                                                              "peer-received",
                                                                              "peer-lost",
                                                                              "connection-opened",
                                                                              "connection-lost",
                                                                              "upstream-answered",
                                                                              "control-answered",
                                                                              "platform-answered",
                                                                              "drain-asked",
                                                                              "session"};

prometheus::Counter &counter(prometheus::Registry &registry, const char *name, const char *help)
{
    return BuildCounter().Name(name).Help(help).Register(registry).Add({});
}

prometheus::Gauge &gauge(prometheus::Registry &registry, const char *name, const char *help)
{
    return BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

} // namespace

Metrics::Metrics()
    : registry_(std::make_shared<prometheus::Registry>())
    , replicaReads_(&counter(*registry_, "figward_replica_reads_total", "Reads that a replica answered"))
    , failovers_(&counter(*registry_, "figward_failovers_total", "Primaries that this proxy promoted"))
    , peerMessages_(&counter(*registry_, "figward_peer_messages_sent_total", "Messages to other proxies"))
    , platformCalls_(&counter(*registry_, "figward_platform_calls_total", "Calls to the platform"))
    , controlCalls_(&counter(*registry_, "figward_control_calls_total", "Control calls to upstreams"))
    , connections_(&gauge(*registry_, "figward_upstream_connections", "Connections to upstreams, those being opened included"))
    , queued_(&gauge(*registry_, "figward_queued_requests", "Requests that wait for a connection"))
    , requestsInFlight_(&gauge(*registry_, "figward_requests_under_way", "Callers' requests that are not answered yet"))
    , configurationVersion_(&gauge(*registry_, "figward_configuration_version", "Version of the configuration in force"))
    , droppedLines_(&gauge(*registry_, "figward_log_lines_dropped", "Log lines not written since the start, to keep the volume bounded"))
{
    prometheus::Family<prometheus::Counter> &requests = BuildCounter().Name("figward_requests_total").Help("Answers by outcome").Register(*registry_);
    for (std::size_t outcome = 0; outcome < outcomes; ++outcome) {
        requests_[outcome] = &requests.Add({{"outcome", std::string(toString(static_cast<Outcome>(outcome)))}});
    }
    prometheus::Family<prometheus::Counter> &failures = BuildCounter().Name("figward_errors_total").Help("Answers by error").Register(*registry_);
    for (std::size_t error = 1; error < errors; ++error) { // Skips ErrorKind::None.
        errors_[error] = &failures.Add({{"error", std::string(toString(static_cast<ErrorKind>(error)))}});
    }
    prometheus::Family<prometheus::Counter> &events = BuildCounter().Name("figward_events_total").Help("Events taken").Register(*registry_);
    for (std::size_t kind = 0; kind < eventNames.size(); ++kind) {
        events_[kind] = &events.Add({{"event", eventNames[kind]}});
    }
}

absl::Status Metrics::expose(const std::string &address)
{
    constexpr std::size_t threads = 1; // One thread suffices: the metrics are scraped once every few seconds.
    try {
        exposer_ = std::make_unique<prometheus::Exposer>(address, threads);
    } catch (const std::exception &) { // The library throws if the port is in use.
        return absl::UnavailableError(absl::StrCat("cannot serve metrics at ", address));
    }
    exposer_->RegisterCollectable(registry_);
    return absl::OkStatus();
}

void Metrics::observe(const Event &event)
{
    events_[event.body_.index()]->Increment();
    if (const auto *session = std::get_if<SessionEvent>(&event.body_); session != nullptr && sessions_) {
        sessions_->observe(*session);
    }
}

void Metrics::observe(const Effect &effect)
{
    if (const auto *answered = std::get_if<AnswerCaller>(&effect)) {
        observeAnswer(answered->answer_);
    } else if (std::holds_alternative<SendPeer>(effect)) {
        peerMessages_->Increment();
    } else if (std::holds_alternative<CallPlatform>(effect)) {
        platformCalls_->Increment();
    } else if (std::holds_alternative<SendControl>(effect)) {
        controlCalls_->Increment();
    } else if (const auto *session = std::get_if<SessionEffect>(&effect)) {
        if (sessions_) {
            sessions_->observe(*session);
        }
    } else if (const auto *log = std::get_if<WriteLog>(&effect)) {
        if (log->number_ == LogNumber::PrimaryPromoted) {
            failovers_->Increment();
        }
    }
}

void Metrics::observeAnswer(const Answer &answer)
{
    requests_[static_cast<std::size_t>(answer.outcome_)]->Increment();
    if (answer.error_ != ErrorKind::None) {
        errors_[static_cast<std::size_t>(answer.error_)]->Increment();
    }
    if (answer.fromReplica_) {
        replicaReads_->Increment();
    }
}

void Metrics::observeDroppedLines(std::uint64_t lines)
{
    droppedLines_->Set(static_cast<double>(lines));
}

void Metrics::observe(const ProxyState &state, Time now)
{
    if (state.sessions_) {
        if (!sessions_) {
            sessions_ = std::make_unique<SessionMetrics>(*registry_);
        }
        sessions_->observe(*state.sessions_, now);
    }
    std::size_t connections = 0;
    std::size_t queued = 0;
    for (const auto &[id, owner] : state.owners_) {
        connections += owner.pool_.connections_.size();
        queued += owner.queue_.places_.size();
    }
    connections_->Set(static_cast<double>(connections));
    queued_->Set(static_cast<double>(queued));
    requestsInFlight_->Set(static_cast<double>(state.entry_.requests_.size()));
    configurationVersion_->Set(static_cast<double>(state.configuration_.version_.value()));
}

const prometheus::Registry &Metrics::registry() const
{
    return *registry_;
}

} // namespace Figward
