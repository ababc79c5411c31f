#include "Fleet.h"

#include "ConfigurationApply.h"
#include "Overloaded.h"
#include "WirePeer.h"
#include "WirePlatform.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <stdexcept>

namespace Figward::Testing {

namespace {

constexpr unsigned percent = 100;
constexpr unsigned octet = 256;
constexpr Duration upstreamLatency = std::chrono::microseconds(300);
constexpr Duration lossDetectionDelay = std::chrono::milliseconds(20); // Time until a sender is told that its connection is lost.

std::string addressOf(std::size_t vm)
{
    return "vm-" + std::to_string(vm) + ":7000";
}

/** Estimates the size of a platform call on the wire, to which paths and values contribute most. */
std::uint64_t sizeOf(const PlatformBody &body)
{
    constexpr std::uint64_t frame = 16;
    const Overloaded handle{
        [](const GetObject &get) { return get.path_.size(); },
        [](const PutObject &put) { return put.path_.size() + put.value_.size(); },
        [](const WatchObject &watch) { return watch.path_.size(); },
        [](const ListVms &) { return std::size_t(0); },
    };
    return frame + std::visit(handle, body);
}

std::uint64_t sizeOf(const PlatformAnswer &answer)
{
    constexpr std::uint64_t frame = 16;
    constexpr std::uint64_t vmFrame = 16;
    std::uint64_t size = frame + answer.value_.size();
    for (const VmInfo &vm : answer.vms_) {
        size += vmFrame + vm.zone_.value().size() + vm.address_.size();
    }
    return size;
}

} // namespace

bool Fleet::Later::operator()(const ScheduledEvent &a, const ScheduledEvent &b) const
{
    return std::tie(a.at_, a.order_) > std::tie(b.at_, b.order_);
}

Fleet::Fleet(FleetOptions options)
    : options_(options)
    , platform_(options_.platform_, options_.seed_)
    , random_(options_.seed_)
{
    vms_.reserve(options_.vms_);
    for (unsigned i = 0; i < options_.vms_; ++i) {
        startVm(i % options_.zones_);
    }
    listVms();
    for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
        give(vm, Started{});
    }
}

Time Fleet::now() const
{
    return now_;
}

std::vector<FleetVm> &Fleet::vms()
{
    return vms_;
}

Standin::PlatformModel &Fleet::platform()
{
    return platform_;
}

void Fleet::run(Duration span)
{
    const Time until = now_ + span;
    while (true) {
        collectPlatform();
        if (queue_.empty() || queue_.top().at_ > until) {
            break;
        }
        const ScheduledEvent next = queue_.top();
        queue_.pop();
        now_ = std::max(now_, next.at_);
        next.action_();
    }
    now_ = until;
}

void Fleet::give(std::size_t vm, EventBody body)
{
    FleetVm &target = vms_.at(vm);
    if (!target.running_) {
        return;
    }
    const Effects effects = reduce(target.state_, {now_, std::move(body)});
    const bool configured = awaitedVersion_ && target.state_.configuration_.version_ >= *awaitedVersion_;
    if (configured && !target.configuredAt_) {
        target.configuredAt_ = now_;
    }
    if (observer_) {
        observer_(*this, vm);
    }
    for (const Effect &effect : effects) {
        perform(vm, effect);
    }
}

ConfigVersion Fleet::apply(const std::string &text)
{
    ConfigurationApply apply = startApply(text, std::nullopt, AttemptId(random_()));
    ApplyStep step = stepApply(apply, std::nullopt);
    while (!step.result_) {
        const Standin::PlatformTag tag(nextTag_++);
        platform_.call(tag, *step.call_, now_);
        std::optional<PlatformAnswer> own;
        for (Standin::PlatformReply &reply : platform_.takeReplies(now_)) {
            if (reply.tag_ == tag) {
                own = std::move(reply.answer_);
            } else {
                deliver(std::move(reply));
            }
        }
        step = stepApply(apply, own);
    }
    if (step.result_->outcome_ != ApplyOutcome::Accepted) {
        throw std::runtime_error("the configuration was not accepted");
    }
    return step.result_->version_;
}

void Fleet::awaitVersion(ConfigVersion version)
{
    awaitedVersion_ = version;
    for (FleetVm &vm : vms_) {
        vm.configuredAt_.reset();
    }
}

void Fleet::kill(std::size_t vm, bool listed)
{
    vms_.at(vm).running_ = false;
    byAddress_.erase(vms_.at(vm).state_.identity_.self_.address_);
    if (!listed) {
        unlisted_.insert(vm);
    }
    std::vector<ConnectionId> open;
    for (const auto &[key, link] : links_) {
        if (key.first == vm) {
            open.push_back(key.second);
        }
    }
    for (const ConnectionId connection : open) {
        perform(vm, CloseConnection{connection});
    }
    listVms();
}

std::size_t Fleet::replace(std::size_t vm)
{
    const std::size_t fresh = startVm(zoneOf(vm));
    unlisted_.insert(vm);
    listVms();
    give(fresh, Started{});
    return fresh;
}

void Fleet::setCut(unsigned zoneA, unsigned zoneB, bool cut)
{
    for (const auto &pair : {std::pair(zoneA, zoneB), std::pair(zoneB, zoneA)}) {
        if (cut) {
            cuts_.insert(pair);
        } else {
            cuts_.erase(pair);
        }
    }
}

void Fleet::setPlatformCut(unsigned zone, bool cut)
{
    if (cut) {
        platformCuts_.insert(zone);
    } else {
        platformCuts_.erase(zone);
    }
}

void Fleet::addGroup(const GroupId &group, Standin::GroupModelConfig config)
{
    for (const MemberId &member : config.members_) {
        members_[member] = group;
    }
    groups_[group] = std::make_unique<Standin::GroupModel>(std::move(config), options_.seed_, now_);
}

Standin::GroupModel &Fleet::group(const GroupId &group)
{
    return *groups_.at(group);
}

void Fleet::setObserver(std::function<void(Fleet &, std::size_t)> observer)
{
    observer_ = std::move(observer);
}

void Fleet::setMeasuring(bool measuring)
{
    measuring_ = measuring;
}

void Fleet::after(Duration delay, std::function<void()> action)
{
    at(now_ + delay, std::move(action));
}

void Fleet::at(Time time, std::function<void()> action)
{
    queue_.push({std::max(time, now_), nextOrder_++, std::move(action)});
}

std::size_t Fleet::startVm(unsigned zone)
{
    const std::size_t index = vms_.size();
    ProxyIdentity identity;
    identity.self_ = {.id_ = VmId(random_()), .zone_ = zoneName(zone), .address_ = addressOf(index)};
    for (unsigned seed = 0; options_.seeds_ && seed < options_.zones_; ++seed) {
        identity.seeds_.push_back(addressOf(seed));
    }
    FleetVm vm;
    vm.state_ = makeProxyState(std::move(identity), random_());
    vm.state_.membership_.tuning_ = options_.tuning_;
    byAddress_[vm.state_.identity_.self_.address_] = index;
    vms_.push_back(std::move(vm));
    return index;
}

void Fleet::listVms()
{
    std::vector<VmInfo> list;
    for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
        if (!unlisted_.contains(vm)) {
            list.push_back(vms_[vm].state_.identity_.self_);
        }
    }
    platform_.setVms(std::move(list), now_);
}

void Fleet::perform(std::size_t vm, const Effect &effect)
{
    const Overloaded handle{
        [&](const AnswerCaller &body) { vms_[vm].answers_.emplace_back(body.id_, body.answer_); },
        [&](const SendPeer &body) { send(vm, body); },
        [&](const OpenConnection &body) { open(vm, body); },
        [&](const CloseConnection &body) {
            const auto link = links_.find({vm, body.connection_});
            if (link == links_.end()) {
                return;
            }
            if (link->second.link_) {
                linkOwners_.erase(*link->second.link_);
                groups_.at(link->second.group_)->close(*link->second.link_, now_);
            }
            links_.erase(link);
        },
        [&](const SendStatement &body) {
            const auto link = links_.find({vm, body.connection_});
            if (link != links_.end() && link->second.link_) {
                groups_.at(link->second.group_)->send(*link->second.link_, body.statement_, now_);
                collectGroup(link->second.group_);
            }
        },
        [&](const SendControl &body) {
            const std::optional<GroupId> group = groupOf(body.member_);
            if (!group) {
                return;
            }
            const Standin::ReplyTag tag(nextTag_++);
            controls_[tag] = {vm};
            Standin::GroupModel &model = *groups_.at(*group);
            model.control(model.indexOf(body.member_), tag, body.call_, now_);
            collectGroup(*group);
            after(body.timeout_, [this, vm, tag, id = body.call_.id_] {
                if (controls_.erase(tag) > 0) {
                    give(vm, ControlAnswered{{.id_ = id}});
                }
            });
        },
        [&](const CallPlatform &body) { callPlatform(vm, body.call_); },
        [&](const ArmWakeUp &body) {
            const std::uint64_t number = ++vms_[vm].wakeUp_;
            at(body.at_, [this, vm, number] {
                if (vms_[vm].wakeUp_ == number) {
                    give(vm, WakeUp{});
                }
            });
        },
        [](const WriteLog &) {},
        [&](const ExitProcess &) { kill(vm, false); },
        [](const SessionEffect &) {}, // The simulated fleet supports only figward's own protocol.
    };
    std::visit(handle, effect);
}

void Fleet::send(std::size_t vm, const SendPeer &effect)
{
    if (measuring_) {
        figward::v1::PeerMessage encoded;
        Wire::encodePeer(effect.message_, encoded);
        const std::uint64_t size = encoded.ByteSizeLong();
        ++vms_[vm].traffic_.sentMessages_;
        vms_[vm].traffic_.sentBytes_ += size;
        const auto receiver = byAddress_.find(effect.address_);
        if (receiver != byAddress_.end()) {
            vms_[receiver->second].traffic_.receivedBytes_ += size;
        }
    }
    const auto receiver = byAddress_.find(effect.address_);
    const unsigned from = zoneOf(vm);
    const bool reachable = receiver != byAddress_.end() && !cuts_.contains({from, zoneOf(receiver->second)});
    if (!reachable) {
        after(lossDetectionDelay, [this, vm, address = effect.address_] { give(vm, PeerLost{address}); });
        return;
    }
    if (random_() % percent < options_.lossPercent_) {
        return;
    }
    const Duration latency = from == zoneOf(receiver->second) ? options_.zoneLatency_ : options_.latency_;
    after(latency, [this, to = receiver->second, message = effect.message_] { give(to, PeerReceived{message}); });
}

void Fleet::callPlatform(std::size_t vm, const PlatformCall &call)
{
    Traffic &traffic = vms_[vm].traffic_;
    ++traffic.platformCalls_;
    traffic.platformBytes_ += sizeOf(call.body_);
    if (platformCuts_.contains(zoneOf(vm))) {
        after(std::chrono::milliseconds(1), [this, vm, id = call.id_] { give(vm, PlatformAnswered{{.id_ = id, .status_ = PlatformStatus::Unavailable}}); });
        return;
    }
    const std::uint64_t tag = nextTag_++;
    platformTags_[tag] = {vm, call.id_};
    platform_.call(Standin::PlatformTag(tag), call, now_);
    if (const std::optional<Time> timeout = platform_.nextTimeout()) {
        at(*timeout, [] {}); // The platform ends watches at their timeout; this event makes the run collect their answers then.
    }
}

void Fleet::collectPlatform()
{
    for (Standin::PlatformReply &reply : platform_.takeReplies(now_)) {
        deliver(std::move(reply));
    }
}

void Fleet::deliver(Standin::PlatformReply reply)
{
    const auto found = platformTags_.find(reply.tag_.value());
    if (found == platformTags_.end()) {
        return; // The call was made by a test, not by a VM.
    }
    const std::size_t vm = found->second.first;
    platformTags_.erase(found);
    vms_[vm].traffic_.platformBytes_ += sizeOf(reply.answer_);
    const bool cutOff = platformCuts_.contains(zoneOf(vm));
    PlatformAnswer answer = cutOff ? PlatformAnswer{.id_ = reply.answer_.id_} : std::move(reply.answer_);
    at(reply.at_, [this, vm, answer = std::move(answer)] { give(vm, PlatformAnswered{answer}); });
}

void Fleet::open(std::size_t vm, const OpenConnection &effect)
{
    const std::optional<GroupId> group = groupOf(effect.member_);
    if (!group) {
        return;
    }
    const Standin::ReplyTag tag(nextTag_++);
    opening_[tag] = {vm, effect.connection_, *group, std::nullopt};
    links_[{vm, effect.connection_}] = opening_[tag];
    Standin::GroupModel &model = *groups_.at(*group);
    model.connect(model.indexOf(effect.member_), tag, now_);
    collectGroup(*group);
}

void Fleet::collectGroup(const GroupId &group)
{
    for (const Standin::GroupReply &reply : groups_.at(group)->takeReplies()) {
        at(reply.at_ + upstreamLatency, [this, group, reply] { handleGroupReply(group, reply); });
    }
}

void Fleet::handleGroupReply(const GroupId &group, const Standin::GroupReply &reply)
{
    const Overloaded handle{
        [&](const Standin::ConnectReply &body) {
            const Link link = opening_.at(body.tag_);
            opening_.erase(body.tag_);
            const std::pair key{link.vm_, link.connection_};
            const auto known = links_.find(key);
            if (body.refused_) {
                links_.erase(key);
                give(link.vm_, ConnectionLost{link.connection_, ConnectionEnd::Refused});
                return;
            }
            if (known == links_.end()) {
                groups_.at(group)->close(body.link_, now_); // The proxy closed the connection before it was established.
                return;
            }
            known->second.link_ = body.link_;
            linkOwners_[body.link_] = key;
            give(link.vm_, ConnectionOpened{link.connection_});
        },
        [&](const Standin::StatementReply &body) {
            const auto owner = linkOwners_.find(body.link_);
            if (owner != linkOwners_.end()) {
                const auto [vm, connection] = owner->second;
                give(vm, UpstreamAnswered{connection, body.answer_});
            }
        },
        [&](const Standin::ControlReply &body) {
            const auto control = controls_.find(body.tag_);
            if (control != controls_.end()) {
                const std::size_t vm = control->second.vm_;
                controls_.erase(control);
                give(vm, ControlAnswered{body.answer_});
            }
        },
        [&](const Standin::LinkClosed &body) {
            const auto owner = linkOwners_.find(body.link_);
            if (owner == linkOwners_.end()) {
                return;
            }
            const auto [vm, connection] = owner->second;
            linkOwners_.erase(owner);
            links_.erase({vm, connection});
            give(vm, ConnectionLost{connection, ConnectionEnd::Closed});
        },
    };
    std::visit(handle, reply.body_);
}

unsigned Fleet::zoneOf(std::size_t vm) const
{
    const std::string &zone = vms_.at(vm).state_.identity_.self_.zone_.value();
    return static_cast<unsigned>(std::stoul(zone.substr(zone.find('-') + 1)));
}

std::optional<GroupId> Fleet::groupOf(const MemberId &member) const
{
    const auto found = members_.find(member);
    return found == members_.end() ? std::nullopt : std::optional(found->second);
}

std::string configurationText(unsigned services, unsigned mark, unsigned connectionLimit, unsigned slots)
{
    std::string text = R"({"services": [)";
    for (unsigned service = 0; service < services; ++service) {
        const std::string number = std::to_string(service);
        text += service == 0 ? "" : ",";
        text += R"({"name": "service-)" + number + R"(", "classes": [{"name": "class-)" + std::to_string(service == 0 ? mark : 0) + R"("}], "groups": [)";
        text += R"({"name": "group-)" + number + R"(", "connection_limit": )" + std::to_string(connectionLimit);
        text += R"(, "slots": )" + std::to_string(slots) + R"(, "members": [)";
        for (unsigned member = 0; member < 3; ++member) {
            const std::string name = "group-" + number + "-" + std::to_string(member);
            text += member == 0 ? "" : ",";
            const std::string address = "10." + std::to_string(member) + "." + std::to_string(service / octet) + "." + std::to_string(service % octet);
            text += absl::StrCat(R"({"name": ")", name, R"(", "zone": "zone-)", member, R"(", "address": ")", address, R"(:5432"})");
        }
        text += "]}]}";
    }
    return text + "]}";
}

ZoneId zoneName(unsigned zone)
{
    return ZoneId("zone-" + std::to_string(zone));
}

} // namespace Figward::Testing
