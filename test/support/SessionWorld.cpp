#include "support/SessionWorld.h"

#include "LogLine.h"
#include "Overloaded.h"
#include "Reducer.h"

#include <absl/strings/str_cat.h>
#include <absl/time/time.h>
#include <algorithm>

namespace Figward::Testing {

namespace {

ServiceId serviceOf(unsigned group)
{
    return ServiceId(group == 0 ? "ledger-group" : absl::StrCat("ledger-group-", group));
}

DatabaseRoute route(unsigned group, Consistency consistency, Duration timeout, Duration staleness, unsigned priority, Duration target)
{
    DatabaseRoute route;
    route.service_ = serviceOf(group);
    route.consistency_ = consistency;
    route.statementTimeout_ = timeout;
    route.maxStaleness_ = staleness;
    route.priority_ = priority;
    route.target_ = target;
    return route;
}

SessionConfiguration firstConfiguration(const SessionWorldConfig &config)
{
    SessionConfiguration configuration;
    configuration.version_ = ConfigVersion(3);
    configuration.transactionIdle_ = std::chrono::seconds(3);
    for (unsigned group = 0; group < config.groups_; ++group) {
        const auto add = [&](const std::string &kind, Consistency consistency, Duration timeout, Duration staleness, unsigned priority, Duration target) {
            configuration.databases_[SessionWorld::databaseOf(kind, group)] = route(group, consistency, timeout, staleness, priority, target);
        };
        using std::chrono::milliseconds;
        using std::chrono::seconds;
        add("ledger", Consistency::Primary, seconds(1), {}, 1, milliseconds(200));
        add("history", Consistency::BoundedStaleness, seconds(3), milliseconds(1500), 2, milliseconds(800));
        add("dispatch", Consistency::ReadYourWrites, seconds(1), milliseconds(2500), 2, milliseconds(400));
        configuration.services_[serviceOf(group)] = ServiceLimits{config.maxConnections_, config.syncReplicas_};
    }
    if (config.organisations_ != 0) {
        configuration.organisations_.emplace();
    }
    for (unsigned organisation = 0; organisation < config.organisations_; ++organisation) {
        const OrganisationId id = SessionWorld::organisationId(organisation);
        configuration.organisations_->limits_[id] = config.limits_;
        configuration.organisations_->keys_[digestOf(SessionWorld::keyOf(organisation))] = id;
    }
    return configuration;
}

std::vector<MemberId> memberIds(unsigned group, unsigned count)
{
    std::vector<MemberId> ids;
    for (unsigned member = 0; member < count; ++member) {
        ids.push_back(SessionWorld::memberId(group * count + member));
    }
    return ids;
}

std::string zoneName(unsigned number)
{
    constexpr unsigned zones = 3;
    return absl::StrCat("zone-", number % zones);
}

/** Returns the line that LogWriter writes for an event. */
std::string logLine(Time now, const std::string &process, const WriteLog &event)
{
    const std::chrono::sys_days day{std::chrono::year(2026) / 1 / 2};
    const absl::Time time = absl::FromChrono(day + std::chrono::hours(3)) + absl::Milliseconds(toMillis(now.time_since_epoch()) - 1'000'000);
    return absl::StrCat(absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ ", time, absl::UTCTimeZone()),
                        std::string(toString(logEventInfo(event.number_).level_)),
                        " ",
                        formatLogBody(event.number_, process, event.fields_),
                        "\n");
}

} // namespace

MemberId SessionWorld::memberId(unsigned member)
{
    return MemberId(absl::StrCat("member-", member));
}

std::string SessionWorld::databaseOf(const std::string &kind, unsigned group)
{
    return group == 0 ? kind : absl::StrCat(kind, "-", group);
}

SessionWorld::SessionWorld(const SessionWorldConfig &config)
    : config_(config)
    , random_(config.seed_)
{
    store_.configuration_ = firstConfiguration(config);
    for (unsigned group = 0; group < config.groups_; ++group) {
        groups_.emplace_back(memberIds(group, config.members_));
        for (unsigned place = 0; place < config.members_; ++place) {
            const unsigned member = group * config.members_ + place;
            const ZoneId zone(zoneName(group + place));
            store_.members_.push_back(DirectoryEntry{memberId(member), serviceOf(group), absl::StrCat(member), zone, false, place == 0, MemberStart(1)});
        }
    }
    vms_.resize(config.vms_);
    for (unsigned vm = 0; vm < config.vms_; ++vm) {
        vms_[vm].name_ = absl::StrCat("vm-", vm);
        vms_[vm].address_ = absl::StrCat(vm);
        vms_[vm].zone_ = ZoneId(zoneName(vm));
        startVm(vm);
    }
}

void SessionWorld::setBeforeEvent(BeforeEvent beforeEvent)
{
    beforeEvent_ = std::move(beforeEvent);
}

void SessionWorld::schedule(Time at, std::function<void()> step)
{
    queue_.push(Scheduled{std::max(at, now_), order_++, std::move(step)});
}

void SessionWorld::after(Duration delay, std::function<void()> step)
{
    schedule(now_ + delay, std::move(step));
}

Time SessionWorld::now() const
{
    return now_;
}

void SessionWorld::run(Duration duration)
{
    const Time end = now_ + duration;
    while (!queue_.empty() && queue_.top().at_ <= end) {
        const Scheduled next = queue_.top();
        queue_.pop();
        now_ = next.at_;
        next.step_();
    }
    now_ = end;
}

void SessionWorld::startVm(unsigned vm)
{
    Vm &place = vms_[vm];
    place.incarnation_ = random_() >> 1U;
    place.state_ = makeProxyState({}, random_());
    place.state_->sessions_.emplace();
    place.state_->sessions_->identity_.vm_ = EntryVm{place.name_, VmId(place.incarnation_), place.address_, place.zone_};
    place.state_->sessions_->identity_.drainTime_ = std::chrono::seconds(6);
    place.connections_.clear();
    place.queuedEvents_.clear();
    place.frozen_ = false;
    const std::uint64_t incarnation = place.incarnation_;
    schedule(now_ + Duration(random_() % 100000), [this, vm, incarnation] { deliverEvent(vm, incarnation, Started{}); });
}

void SessionWorld::killVm(unsigned vm)
{
    Vm &place = vms_[vm];
    for (const auto &[connection, member] : place.connections_) {
        groupOf(member).disconnect(worldConnection(vm, connection));
    }
    place.state_.reset();
    place.ready_ = false;
    for (WorldClient &client : clients_) {
        client.closed_ = client.closed_ || client.vm_ == vm;
    }
}

void SessionWorld::closeFromVm(WorldClient &client)
{
    cutOff_.insert(cutOff_.end(), client.unanswered_.begin(), client.unanswered_.end());
    client.closed_ = true;
}

void SessionWorld::exitVm(unsigned vm)
{
    for (WorldClient &client : clients_) {
        if (client.vm_ == vm && !client.closed_) {
            closeFromVm(client);
        }
    }
    killVm(vm);
}

void SessionWorld::freezeVm(unsigned vm, bool frozen)
{
    vms_[vm].frozen_ = frozen;
    if (frozen) {
        return;
    }
    for (EventBody &body : std::exchange(vms_[vm].queuedEvents_, {})) {
        deliverEvent(vm, std::move(body));
    }
}

void SessionWorld::drainVm(unsigned vm)
{
    deliverEvent(vm, DrainAsked{});
}

void SessionWorld::deliverEvent(unsigned vm, std::uint64_t incarnation, EventBody body)
{
    if (vms_[vm].state_ && vms_[vm].incarnation_ == incarnation) {
        deliverEvent(vm, std::move(body));
    }
}

void SessionWorld::deliverEvent(unsigned vm, EventBody body)
{
    Vm &place = vms_[vm];
    if (!place.state_) {
        return;
    }
    if (place.frozen_) {
        place.queuedEvents_.push_back(std::move(body));
        return;
    }
    if (beforeEvent_) {
        beforeEvent_(*place.state_, body, now_);
    }
    const Effects effects = reduce(*place.state_, Event{now_, std::move(body)});
    for (const Effect &effect : effects) {
        perform(vm, effect);
    }
}

void SessionWorld::perform(unsigned vm, const Effect &effect)
{
    const std::uint64_t incarnation = vms_[vm].incarnation_;
    const Overloaded handle{
        [&](const OpenConnection &body) { openConnection(vm, body); },
        [&](const CloseConnection &body) { disconnect(vm, body.connection_); },
        [&](const ArmWakeUp &body) {
            const std::uint64_t number = ++vms_[vm].wakeUp_;
            schedule(body.at_, [this, vm, number, incarnation] {
                if (vms_[vm].wakeUp_ == number) {
                    deliverEvent(vm, incarnation, WakeUp{});
                }
            });
        },
        [&](const WriteLog &body) {
            std::string text = absl::StrCat(toMillis(now_.time_since_epoch()), " vm-", vm, ":");
            for (const LogField &field : body.fields_) {
                absl::StrAppend(&text, " ", field.key_, "=", field.value_);
            }
            story_.push_back(absl::StrCat(std::string(logEventInfo(body.number_).name_), " ", text));
            log_.emplace_back(body.number_, text);
            logText_ += logLine(now_, vms_[vm].name_, body);
        },
        [&](const ExitProcess &) { exitVm(vm); },
        [&](const SessionEffect &body) { perform(vm, body); },
        [](const auto &) {}, // Effects of figward's own protocol.
    };
    std::visit(handle, effect);
}

void SessionWorld::perform(unsigned vm, const SessionEffect &effect)
{
    const Overloaded handle{
        [&](const AcceptSession &body) {
            if (WorldClient *client = findClient(vm, body.session_)) {
                client->open_ = true;
            }
        },
        [&](const RefuseSession &body) {
            if (WorldClient *client = findClient(vm, body.session_)) {
                client->refused_ = true;
                client->closed_ = true;
            }
        },
        [&](const AnswerSession &body) { recordAnswer(vm, body); },
        [&](const CloseSession &body) {
            if (WorldClient *client = findClient(vm, body.session_)) {
                closeFromVm(*client);
            }
        },
        [&](const SendToMember &body) { sendToMember(vm, body); },
        [&](const SendHeartbeat &body) { sendHeartbeat(vm, body); },
        [&](const SendAdmissionRequest &body) { sendDatagram(vm, body.address_, body.request_); },
        [&](const SendAdmissionGrant &body) { sendDatagram(vm, body.address_, body.grant_); },
        [&](const SendForwardedRead &body) { sendDatagram(vm, body.address_, body.read_); },
        [&](const SendForwardedReadResult &body) { sendDatagram(vm, body.address_, body.result_); },
        [&](const CallStore &body) { body.call_.source_.peer_.empty() ? callStore(vm, body.call_) : callMirror(vm, body.call_); },
        [&](const CallPromotion &body) { callPromotion(vm, body); },
        [&](const SetReady &body) { vms_[vm].ready_ = body.ready_; },
        [](const StatementEnded & /*body*/) {},
    };
    std::visit(handle, effect);
}

void SessionWorld::sendHeartbeat(unsigned vm, const SendHeartbeat &effect)
{
    ++heartbeats_;
    sendDatagram(vm, effect.address_, HeartbeatReceived{effect.heartbeat_});
}

void SessionWorld::sendDatagram(unsigned vm, const std::string &address, const SessionEvent &event)
{
    const unsigned to = static_cast<unsigned>(std::stoul(address));
    const std::vector<Duration> copies = datagramFault_ ? datagramFault_(vm, to, event) : std::vector<Duration>{Duration(0)};
    for (const Duration delay : copies) {
        schedule(now_ + config_.networkDelay_ + delay, [this, vm, to, event] {
            if (!vmCuts_.contains(std::minmax(vm, to))) {
                deliverEvent(to, event);
            }
        });
    }
}

void SessionWorld::setDatagramFault(DatagramFault fault)
{
    datagramFault_ = std::move(fault);
}

void SessionWorld::cutVmFromMember(unsigned vm, unsigned member, bool cut)
{
    cut ? (void)vmMemberCuts_.insert({vm, member}) : (void)vmMemberCuts_.erase({vm, member});
}

void SessionWorld::cutsReset(bool reset)
{
    cutsReset_ = reset;
}

void SessionWorld::cutVms(unsigned a, unsigned b, bool cut)
{
    cut ? (void)vmCuts_.insert(std::minmax(a, b)) : (void)vmCuts_.erase(std::minmax(a, b));
}

void SessionWorld::cutVmFromStore(unsigned vm, bool cut)
{
    cut ? (void)storeCuts_.insert(vm) : (void)storeCuts_.erase(vm);
}

void SessionWorld::storeDown(bool down)
{
    storeDown_ = down;
}

void SessionWorld::storeLosesAnswers(bool loses)
{
    storeLosesAnswers_ = loses;
}

void SessionWorld::promotionsDown(bool down)
{
    promotionsDown_ = down;
}

ProxyState &SessionWorld::vm(unsigned vm)
{
    return *vms_[vm].state_;
}

Standin::LineGroupModel &SessionWorld::groupOf(unsigned member)
{
    return groups_[member / config_.members_];
}

void SessionWorld::disconnect(unsigned vm, ConnectionId connection)
{
    const auto found = vms_[vm].connections_.find(connection);
    if (found != vms_[vm].connections_.end()) {
        groupOf(found->second).disconnect(worldConnection(vm, connection));
        vms_[vm].connections_.erase(found);
    }
}

std::uint64_t SessionWorld::heartbeats() const
{
    return heartbeats_;
}

const std::map<std::string, std::uint64_t> &SessionWorld::storeCalls() const
{
    return storeCalls_;
}

Standin::LineGroupModel &SessionWorld::group()
{
    return groups_.front();
}

std::uint64_t SessionWorld::openings() const
{
    return openings_;
}

bool SessionWorld::ready(unsigned vm) const
{
    return vms_[vm].ready_;
}

bool SessionWorld::runs(unsigned vm) const
{
    return vms_[vm].state_.has_value();
}

std::optional<unsigned> SessionWorld::leader(unsigned number) const
{
    for (unsigned vm = 0; vm < vms_.size(); ++vm) {
        if (!vms_[vm].state_) {
            continue;
        }
        const auto group = vms_[vm].state_->sessions_->groups_.find(serviceOf(number));
        if (group != vms_[vm].state_->sessions_->groups_.end() && group->second.leader_ && now_ < group->second.leader_->validUntil_) {
            return vm;
        }
    }
    return std::nullopt;
}

unsigned SessionWorld::promotions() const
{
    return promotions_;
}

const std::vector<std::string> &SessionWorld::violations() const
{
    return violations_;
}

const std::vector<std::string> &SessionWorld::cutOff() const
{
    return cutOff_;
}

std::vector<std::string> SessionWorld::story() const
{
    return story_;
}

std::string SessionWorld::logText() const
{
    return logText_;
}

void SessionWorld::note(const std::string &text)
{
    story_.push_back(absl::StrCat("world ", toMillis(now_.time_since_epoch()), " ", text));
}

Time SessionWorld::lastRun(unsigned member) const
{
    const auto found = lastRuns_.find(member);
    return found == lastRuns_.end() ? Time() : found->second;
}

Duration SessionWorld::slotTime() const
{
    return slotTime_;
}

std::vector<std::string> SessionWorld::logged(LogNumber number) const
{
    std::vector<std::string> lines;
    for (const auto &[logged, text] : log_) {
        if (logged == number) {
            lines.push_back(text);
        }
    }
    return lines;
}

} // namespace Figward::Testing
