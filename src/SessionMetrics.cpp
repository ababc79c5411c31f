#include "SessionMetrics.h"

#include "Overloaded.h"

#include <algorithm>

namespace Figward {

namespace {

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::BuildHistogram;

/** Histogram bounds in seconds, from a fast read within a zone to the longest timeout of a route. */
const prometheus::Histogram::BucketBoundaries boundaries{0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4};

/** A VM whose last message is older than this is not counted in figward_vms_heard. */
constexpr Duration vmHeardWindow = std::chrono::seconds(1);

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

std::string routeName(Consistency consistency)
{
    switch (consistency) {
    case Consistency::Primary:
        return "primary";
    case Consistency::BoundedStaleness:
        return "bounded-staleness";
    case Consistency::ReadYourWrites:
        return "read-your-writes";
    }
    return "unknown";
}

/** Returns the metric label for the alternative that \p request holds. */
std::string callName(const StoreRequest &request)
{
    return std::visit(Overloaded{
                          [](const ReadConfiguration &) { return "read-configuration"; },
                          [](const WatchConfiguration &) { return "watch-configuration"; },
                          [](const ReadMembers &) { return "read-members"; },
                          [](const ReadVms &) { return "read-vms"; },
                          [](const ReadClaims &) { return "read-claims"; },
                          [](const RegisterVm &) { return "register-vm"; },
                          [](const WriteClaim &) { return "write-claim"; },
                      },
                      request);
}

prometheus::Gauge &gauge(prometheus::Registry &registry, const char *name, const char *help)
{
    return BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

prometheus::Counter &counter(prometheus::Registry &registry, const char *name, const char *help)
{
    return BuildCounter().Name(name).Help(help).Register(registry).Add({});
}

} // namespace

SessionMetrics::SessionMetrics(prometheus::Registry &registry)
    : statements_(BuildCounter().Name("figward_statements_total").Help("Statements answered, by route, kind and outcome").Register(registry))
    , times_(BuildHistogram().Name("figward_statement_seconds").Help("Times of statements, by route and stage").Register(registry))
    , storeCalls_(BuildCounter().Name("figward_store_calls_total").Help("Calls to the platform's store, or to other VMs in its place").Register(registry))
    , storeAnswers_(BuildCounter().Name("figward_store_answers_total").Help("Answers of the store by result; unknown: none came").Register(registry))
    , promotions_(BuildCounter().Name("figward_promotion_calls_total").Help("Answers to calls that make a member the primary").Register(registry))
    , memberConnections_(BuildGauge().Name("figward_member_connections").Help("Connections to members, in use or idle").Register(registry))
    , authority_(BuildGauge().Name("figward_authority_seconds").Help("How much longer the group's primary may be used; zero: not").Register(registry))
    , forwardedReads_(BuildCounter()
                          .Name("figward_forwarded_reads_total")
                          .Help("Reads forwarded to another VM, answered by it or run here after all, and reads received from other VMs")
                          .Register(registry))
    , admissionLevels_(BuildGauge()
                           .Name("figward_admission_level")
                           .Help("Number of priorities admitted in full, plus the admitted fraction of the next; -1: all operations are admitted")
                           .Register(registry))
    , replicaReads_(counter(registry, "figward_statements_by_replicas_total", "Statements that a replica ran"))
    , retries_(counter(registry, "figward_statement_retries_total", "Further tries of statements"))
    , sessions_(gauge(registry, "figward_sessions", "Sessions that are open"))
    , waiting_(gauge(registry, "figward_statements_waiting", "Statements that wait for a connection"))
    , atMembers_(gauge(registry, "figward_statements_at_members", "Statements that a member runs for this VM"))
    , forwarded_(gauge(registry, "figward_statements_forwarded", "Reads that another VM runs for this one"))
    , draining_(gauge(registry, "figward_drain_seconds", "Since the process was asked to end; zero: it was not"))
    , configurationVersion_(gauge(registry, "figward_session_configuration_version", "Version of the configuration in force"))
    , configurationAge_(gauge(registry, "figward_configuration_age_seconds", "Since the configuration was last known to be the latest"))
    , configurationBehind_(
          gauge(registry, "figward_configuration_behind_seconds", "Since this VM first heard of a newer configuration that it lacks; zero: none"))
    , membersAge_(gauge(registry, "figward_member_list_age_seconds", "Since the newest list of members was asked for, of the store or of another VM"))
    , vmsHeard_(gauge(registry, "figward_vms_heard", "Other VMs that were heard within a second"))
    , ready_(gauge(registry, "figward_ready", "Whether the VM says that it takes new clients"))
{
}

void SessionMetrics::observe(const SessionEvent &event)
{
    if (const auto *answered = std::get_if<StoreAnswered>(&event)) {
        storeAnswers_.Add({{"result", std::string(toString(answered->result_))}}).Increment();
    } else if (const auto *promoted = std::get_if<PromotionAnswered>(&event)) {
        promotions_.Add({{"status", std::to_string(promoted->status_)}}).Increment();
    }
}

void SessionMetrics::observe(const SessionEffect &effect)
{
    if (const auto *ended = std::get_if<StatementEnded>(&effect)) {
        observeStatement(*ended);
    } else if (const auto *call = std::get_if<CallStore>(&effect)) {
        storeCalls_.Add({{"call", callName(call->call_.request_)}, {"to", call->call_.source_.peer_.empty() ? "store" : "vm"}}).Increment();
    }
}

prometheus::Counter &SessionMetrics::statementCounter(const StatementEnded &ended)
{
    auto &byCode = statementsByRoute_[static_cast<std::size_t>(ended.consistency_)][ended.writes_ ? 1 : 0];
    prometheus::Counter *&found = byCode[static_cast<std::size_t>(ended.code_)];
    if (found == nullptr) {
        found = &statements_.Add({{"route", routeName(ended.consistency_)}, {"kind", ended.writes_ ? "write" : "read"}, {"outcome", toString(ended.code_)}});
    }
    return *found;
}

void SessionMetrics::observeTime(Consistency route, Stage stage, Duration time)
{
    static constexpr std::array stageNames{"total", "waiting", "member"};
    prometheus::Histogram *&found = timesByRoute_[static_cast<std::size_t>(route)][static_cast<std::size_t>(stage)];
    if (found == nullptr) {
        found = &times_.Add({{"route", routeName(route)}, {"stage", stageNames[static_cast<std::size_t>(stage)]}}, boundaries);
    }
    found->Observe(seconds(time));
}

void SessionMetrics::observeStatement(const StatementEnded &ended)
{
    statementCounter(ended).Increment();
    observeTime(ended.consistency_, Stage::Total, ended.total_);
    observeTime(ended.consistency_, Stage::Waiting, ended.waiting_);
    if (ended.atMember_) {
        observeTime(ended.consistency_, Stage::Member, *ended.atMember_);
    }
    if (ended.code_ == ReplyCode::None && !ended.usedPrimary_ && !ended.forwarded_) {
        replicaReads_.Increment();
    }
    if (ended.attempts_ > 1) {
        retries_.Increment(ended.attempts_ - 1);
    }
}

void SessionMetrics::observeForwarding(const ForwardingTotals &totals)
{
    const auto set = [&](const char *event, std::uint64_t total) {
        prometheus::Counter &found = forwardedReads_.Add({{"event", event}});
        found.Increment(static_cast<double>(total) - found.Value());
    };
    set("forwarded", totals.forwarded_);
    set("answered", totals.answered_);
    set("fallback", totals.fallbacks_);
    set("received", totals.received_);
}

void SessionMetrics::observe(const SessionServiceState &state, Time now)
{
    observeForwarding(state.forwarding_.totals_);
    sessions_.Set(static_cast<double>(state.sessions_.size()));
    std::size_t waiting = 0;
    for (const auto &[id, group] : state.groups_) {
        waiting += countWaiting(group.waiting_);
    }
    waiting_.Set(static_cast<double>(waiting));
    atMembers_.Set(static_cast<double>(std::ranges::count_if(
        state.connections_, [](const auto &entry) { return entry.second.use_ == MemberConnectionUse::Statement && entry.second.pending_; })));
    forwarded_.Set(static_cast<double>(state.forwarding_.sent_.size()));
    draining_.Set(state.drainSince_ ? seconds(now - *state.drainSince_) : 0);
    ready_.Set(state.ready_.value_or(false) ? 1 : 0);
    observeMembers(state);
    observeAges(state, now);
}

void SessionMetrics::observeMembers(const SessionServiceState &state)
{
    for (const auto &[id, member] : state.members_) {
        const auto [entry, isNew] = members_.try_emplace(id);
        if (isNew) {
            const prometheus::Labels labels{{"group", member.entry_.service_.value()}, {"member", id.value()}};
            for (const std::size_t idle : {0U, 1U}) {
                prometheus::Labels all = labels;
                all["state"] = idle == 1 ? "idle" : "in-use";
                entry->second[idle] = &memberConnections_.Add(all);
            }
        }
        entry->second[0]->Set(static_cast<double>(member.connections_.size() - member.idle_.all_.size()));
        entry->second[1]->Set(static_cast<double>(member.idle_.all_.size()));
    }
    std::erase_if(members_, [&](const auto &entry) {
        const bool gone = !state.members_.contains(entry.first);
        for (prometheus::Gauge *connections : entry.second) {
            if (gone) {
                memberConnections_.Remove(connections);
            }
        }
        return gone;
    });
}

void SessionMetrics::observeLevels(const SessionGroup &group, Time now)
{
    const GroupAdvice *advice = currentAdvice(group.advice_, now);
    const auto [entry, isNew] = levels_.try_emplace(group.id_);
    if (isNew) {
        entry->second = {&admissionLevels_.Add({{"group", group.id_.value()}, {"pool", "primary"}}),
                         &admissionLevels_.Add({{"group", group.id_.value()}, {"pool", "replicas"}})};
    }
    const auto valueOf = [](const std::optional<AdmissionLevel> &level) { return level ? level->priority_ + level->fraction_ : -1; };
    entry->second[0]->Set(advice == nullptr ? -1 : valueOf(advice->primaryLevel_));
    entry->second[1]->Set(advice == nullptr ? -1 : valueOf(advice->replicaLevel_));
}

void SessionMetrics::observeAges(const SessionServiceState &state, Time now)
{
    for (const auto &[id, group] : state.groups_) {
        prometheus::Gauge *&left = groups_[id];
        if (left == nullptr) {
            left = &authority_.Add({{"group", id.value()}});
        }
        observeLevels(group, now);
        left->Set(holdsAuthority(group.authority_, now) ? seconds(group.authority_.validUntil_ - now) : 0);
    }
    if (state.configuration_) {
        configurationVersion_.Set(static_cast<double>(state.configuration_->version_.value()));
        configurationAge_.Set(seconds(now - state.schedule_.configurationCheck_.askedAt_.value_or(state.startedAt_)));
    }
    configurationBehind_.Set(seconds(timeBehind(state, now).value_or(Duration(0))));
    membersAge_.Set(seconds(now - state.schedule_.directoryCheck_.askedAt_.value_or(state.startedAt_)));
    const auto heard = std::ranges::count_if(
        state.peers_, [&](const auto &entry) { return entry.second.lastReceivedAt_ && now - *entry.second.lastReceivedAt_ < vmHeardWindow; });
    vmsHeard_.Set(static_cast<double>(heard));
}

} // namespace Figward
