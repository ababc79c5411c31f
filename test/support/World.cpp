#include "World.h"

#include "Trace.h"

#include <algorithm>
#include <stdexcept>

namespace Figward::Testing {

namespace {

constexpr Duration clockStep = std::chrono::hours(1);
constexpr Duration waitLimit = std::chrono::seconds(60);
constexpr std::size_t maxEventsPerInstant = 100000; // More than any burst of events causes; exceeded only if a timer is repeatedly armed for the current time.
const ServiceId service("ledger");

std::string memberName(std::size_t group, std::size_t member)
{
    return "g" + std::to_string(group) + "m" + std::to_string(member);
}

ZoneId zoneName(std::size_t zone)
{
    return ZoneId("z" + std::to_string(zone));
}

Configuration makeConfiguration(const WorldConfig &config)
{
    Configuration result;
    result.version_ = ConfigVersion(1);
    result.policy_ = config.policy_;
    ServiceConfig &ledger = result.services_[service];
    ledger.id_ = service;
    ledger.classes_ = {{ClassId("dispatch"), 0}, {ClassId("fitment"), 1}, {ClassId("planner"), 2}};
    for (std::size_t i = 0; i < config.groups_; ++i) {
        const GroupId id = World::groupId(i);
        ledger.groups_.push_back(id);
        GroupConfig &group = result.groups_[id];
        group.id_ = id;
        group.service_ = service;
        group.connectionLimit_ = config.group_.connectionLimit_;
        group.slots_ = config.group_.slots_;
        for (std::size_t m = 0; m < config.membersPerGroup_; ++m) {
            group.members_.push_back({MemberId(memberName(i, m)), zoneName((i + m) % config.zones_), memberName(i, m) + ":1", false});
        }
    }
    return result;
}

Standin::GroupModelConfig modelConfig(const WorldConfig &config, std::size_t group)
{
    Standin::GroupModelConfig result = config.group_;
    for (std::size_t m = 0; m < config.membersPerGroup_; ++m) {
        result.members_.emplace_back(memberName(group, m));
    }
    return result;
}

} // namespace

bool World::Later::operator()(const Scheduled &a, const Scheduled &b) const
{
    return a.at_ != b.at_ ? a.at_ > b.at_ : a.order_ > b.order_;
}

World::World(WorldConfig config)
    : config_(std::move(config))
    , configuration_(makeConfiguration(config_))
    , random_(config_.seed_)
    , proxies_(config_.proxies_)
    , linkOwners_(config_.groups_)
{
    for (std::size_t i = 0; i < config_.groups_; ++i) {
        groups_.push_back(std::make_unique<Standin::GroupModel>(modelConfig(config_, i), random_(), now_));
    }
    platform_ = std::make_unique<Standin::PlatformModel>(config_.platform_, random_());
    for (ProxyIndex i = 0; i < proxies_.size(); ++i) {
        proxies_[i].zone_ = i % config_.zones_;
        proxies_[i].clockOffset_ = static_cast<int>(i + 1) * clockStep;
        proxies_[i].vm_ = {VmId(nextVm_++), zoneName(proxies_[i].zone_), "vm" + std::to_string(i) + ":1", false};
    }
    for (ProxyIndex i = 0; i < proxies_.size(); ++i) {
        boot(i);
    }
    publishVms();
}

Time World::now() const
{
    return now_;
}

void World::run(Duration duration)
{
    const Time until = now_ + duration;
    while (!queue_.empty() && queue_.top().at_ <= until) {
        const Scheduled next = queue_.top();
        queue_.pop();
        eventsAtThisInstant_ = next.at_ > now_ ? 0 : eventsAtThisInstant_ + 1;
        if (eventsAtThisInstant_ > maxEventsPerInstant) {
            throw std::runtime_error("the proxies process events without progress of the virtual time at " + timeText());
        }
        now_ = std::max(now_, next.at_);
        next.action_();
    }
    now_ = until;
}

void World::schedule(Time at, std::function<void()> action)
{
    queue_.push({std::max(at, now_), nextOrder_++, std::move(action)});
}

void World::ask(ProxyIndex proxy, Request request, CallerReply reply)
{
    Proxy &asked = proxies_.at(proxy);
    if (!asked.state_) {
        schedule(now_, [reply = std::move(reply)] { reply(std::nullopt); });
        return;
    }
    const RequestId id = asked.nextRequest_;
    asked.nextRequest_ = RequestId(id.value() + 1);
    asked.callers_[id] = std::move(reply);
    deliver(proxy, asked.vm_.id_, CallerAsked{id, std::move(request)});
}

std::optional<Answer> World::askAndWait(ProxyIndex proxy, Request request)
{
    std::optional<Answer> answer;
    bool ended = false;
    ask(proxy, std::move(request), [&](const std::optional<Answer> &given) {
        answer = given;
        ended = true;
    });
    const Time limit = now_ + waitLimit;
    while (!ended && now_ < limit && !queue_.empty()) {
        run(std::max(Duration::zero(), queue_.top().at_ - now_));
    }
    return answer;
}

void World::leaveTransaction(ProxyIndex proxy, TransactionId transaction)
{
    deliver(proxy, proxies_.at(proxy).vm_.id_, CallerGone{transaction});
}

void World::pauseProxy(ProxyIndex proxy)
{
    trace(proxy, "is paused");
    proxies_.at(proxy).paused_ = true;
}

void World::resumeProxy(ProxyIndex proxy)
{
    trace(proxy, "is resumed");
    Proxy &resumed = proxies_.at(proxy);
    resumed.paused_ = false;
    const std::vector<EventBody> waiting = std::exchange(resumed.queuedEvents_, {});
    for (const EventBody &body : waiting) {
        deliver(proxy, resumed.vm_.id_, body);
    }
}

void World::killProxy(ProxyIndex proxy)
{
    Proxy &killed = proxies_.at(proxy);
    if (!killed.state_) {
        return;
    }
    trace(proxy, killed.exited_ ? "is gone" : "is killed");
    killed.state_.reset();
    killed.paused_ = false;
    killed.queuedEvents_.clear();
    for (auto &[connection, link] : killed.links_) {
        if (link.link_) {
            closeLink(link.group_, *link.link_, placeOf(proxy), placeOfMember(link.group_, link.member_));
        }
    }
    killed.links_.clear();
    killed.unanswered_.clear();
    for (auto &[id, reply] : std::exchange(killed.callers_, {})) {
        schedule(now_, [reply = std::move(reply)] { reply(std::nullopt); });
    }
    for (ProxyIndex peer = 0; peer < proxies_.size(); ++peer) {
        if (peer != proxy) {
            const VmId incarnation = proxies_[peer].vm_.id_;
            transmit(
                placeOf(proxy), placeOf(peer), [this, peer, incarnation, address = killed.vm_.address_] { deliver(peer, incarnation, PeerLost{address}); });
        }
    }
}

void World::startProxy(ProxyIndex proxy)
{
    Proxy &started = proxies_.at(proxy);
    if (started.state_) {
        return;
    }
    started.vm_.id_ = VmId(nextVm_++);
    started.vm_.leaving_ = false;
    started.exited_ = false;
    started.paused_ = false;
    started.clockOffset_ += clockStep;
    boot(proxy);
    publishVms();
}

void World::drainProxy(ProxyIndex proxy)
{
    trace(proxy, "is asked to drain");
    deliver(proxy, proxies_.at(proxy).vm_.id_, DrainAsked{});
}

void World::publishVms()
{
    std::vector<VmInfo> vms;
    for (const Proxy &proxy : proxies_) {
        if (proxy.state_) {
            vms.push_back(proxy.vm_);
        }
    }
    platform_->setVms(std::move(vms), now_);
}

void World::killMember(std::size_t group, Standin::MemberIndex member, bool closesLinks)
{
    note("member " + groups_.at(group)->config().members_.at(member).value() + " is killed");
    groups_[group]->kill(member, closesLinks, now_);
    scheduleGroupReplies(group);
}

void World::restartMember(std::size_t group, Standin::MemberIndex member)
{
    note("member " + groups_.at(group)->config().members_.at(member).value() + " restarts");
    groups_[group]->restart(member, now_);
    scheduleGroupReplies(group);
}

void World::pauseMember(std::size_t group, Standin::MemberIndex member)
{
    note("member " + groups_.at(group)->config().members_.at(member).value() + " pauses");
    groups_[group]->pause(member, now_);
}

void World::resumeMember(std::size_t group, Standin::MemberIndex member)
{
    note("member " + groups_.at(group)->config().members_.at(member).value() + " resumes");
    groups_[group]->resume(member, now_);
    scheduleGroupReplies(group);
}

void World::applyConfiguration(const Configuration &configuration)
{
    configuration_ = configuration;
    for (ProxyIndex proxy = 0; proxy < proxies_.size(); ++proxy) {
        if (proxies_[proxy].state_) {
            Effects effects;
            activateConfiguration(*proxies_[proxy].state_, configuration, now_ + proxies_[proxy].clockOffset_, effects);
            for (const Effect &effect : effects) {
                execute(proxy, effect);
            }
        }
    }
}

void World::healAll()
{
    zoneCuts_.clear();
    platformCuts_.clear();
    peerFaults_ = {};
    platform_->setFaults({});
    for (const auto &group : groups_) {
        for (Standin::MemberIndex a = 0; a < group->size(); ++a) {
            for (Standin::MemberIndex b = 0; b < group->size(); ++b) {
                group->setCut(a, b, false, now_);
                group->setDelay(a, b, config_.group_.replicationDelay_, now_);
            }
            group->resume(a, now_);
            if (!group->isUp(a)) {
                group->restart(a, now_);
            }
        }
    }
    releaseHeld();
    for (std::size_t i = 0; i < groups_.size(); ++i) {
        scheduleGroupReplies(i);
    }
    for (ProxyIndex proxy = 0; proxy < proxies_.size(); ++proxy) {
        resumeProxy(proxy);
        startProxy(proxy);
    }
}

std::size_t World::proxies() const
{
    return proxies_.size();
}

bool World::isUp(ProxyIndex proxy) const
{
    return isAlive(proxy) && !proxies_.at(proxy).paused_;
}

bool World::isAlive(ProxyIndex proxy) const
{
    return proxies_.at(proxy).state_ != nullptr;
}

bool World::hasExited(ProxyIndex proxy) const
{
    return proxies_.at(proxy).exited_;
}

std::size_t World::cutByExit() const
{
    return cutByExit_;
}

ProxyState &World::state(ProxyIndex proxy)
{
    return *proxies_.at(proxy).state_;
}

std::size_t World::groups() const
{
    return groups_.size();
}

Standin::GroupModel &World::group(std::size_t index)
{
    return *groups_.at(index);
}

Standin::PlatformModel &World::platform()
{
    return *platform_;
}

const Configuration &World::configuration() const
{
    return configuration_;
}

GroupId World::groupId(std::size_t index)
{
    return GroupId("g" + std::to_string(index));
}

Standin::MemberIndex World::primaryOf(std::size_t group) const
{
    Standin::MemberIndex primary = 0;
    Term highest;
    for (Standin::MemberIndex member = 0; member < groups_.at(group)->size(); ++member) {
        const MemberStatus status = groups_[group]->status(member);
        if (status.primary_ && status.log_.term_ > highest) {
            highest = status.log_.term_;
            primary = member;
        }
    }
    return primary;
}

void World::note(const std::string &line)
{
    if (trace_ != nullptr) {
        trace_->push_back(timeText() + " " + line);
    }
}

void World::setTrace(std::vector<std::string> *lines)
{
    trace_ = lines;
}

/** Starts a proxy process on the VM of \p proxy. */
void World::boot(ProxyIndex proxy)
{
    Proxy &booted = proxies_.at(proxy);
    std::vector<std::string> seeds;
    for (const Proxy &other : proxies_) {
        seeds.push_back(other.vm_.address_);
    }
    booted.state_ = std::make_unique<ProxyState>(makeProxyState({booted.vm_, std::move(seeds)}, random_()));
    booted.links_.clear();
    booted.queuedEvents_.clear();
    deliver(proxy, booted.vm_.id_, Started{});
    Effects effects;
    activateConfiguration(*booted.state_, configuration_, now_ + booted.clockOffset_, effects);
    for (const Effect &effect : effects) {
        execute(proxy, effect);
    }
}

/** Schedules \p body for \p proxy at the current time. A paused proxy gets it when it resumes; another incarnation does not get it. */
void World::deliver(ProxyIndex proxy, VmId incarnation, EventBody body)
{
    schedule(now_, [this, proxy, incarnation, body = std::move(body)]() mutable {
        Proxy &receiver = proxies_.at(proxy);
        if (!receiver.state_ || receiver.vm_.id_ != incarnation) {
            return;
        }
        if (receiver.paused_) {
            receiver.queuedEvents_.push_back(std::move(body));
            return;
        }
        processEvent(proxy, std::move(body));
    });
}

void World::processEvent(ProxyIndex proxy, EventBody body)
{
    Proxy &receiver = proxies_.at(proxy);
    if (hooks_.beforeEvent_) {
        hooks_.beforeEvent_(proxy, *receiver.state_, body);
    }
    if (const auto *asked = std::get_if<CallerAsked>(&body)) {
        receiver.unanswered_.insert(asked->id_);
    }
    const auto *control = std::get_if<ControlAnswered>(&body);
    const bool probe = control != nullptr && receiver.probes_.erase(control->answer_.id_) > 0;
    if (trace_ != nullptr && !probe) {
        trace(proxy, describe(body));
    }
    Effects effects = reduce(*receiver.state_, {now_ + receiver.clockOffset_, std::move(body)});
    if (hooks_.afterEvent_) {
        hooks_.afterEvent_(proxy, *receiver.state_, effects);
    }
    for (const Effect &effect : effects) {
        if (trace_ != nullptr) {
            trace(proxy, describe(effect));
        }
        execute(proxy, effect);
    }
}

void World::trace(ProxyIndex proxy, const std::string &line)
{
    if (!line.empty()) {
        note("vm" + std::to_string(proxy) + " " + line);
    }
}

/** Returns the current time in milliseconds with three decimals. */
std::string World::timeText() const
{
    constexpr std::int64_t microsPerMilli = 1000;
    constexpr std::size_t decimals = 3;
    const std::int64_t micros = now_.time_since_epoch().count();
    std::string fraction = std::to_string(micros % microsPerMilli);
    fraction.insert(0, decimals - fraction.size(), '0');
    return std::to_string(micros / microsPerMilli) + "." + fraction;
}

} // namespace Figward::Testing
