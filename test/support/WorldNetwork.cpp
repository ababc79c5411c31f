#include "World.h"

#include "Trace.h"

#include <algorithm>

namespace Figward::Testing {

namespace {

constexpr unsigned percent = 100;
constexpr unsigned half = 50;

} // namespace

void World::setZonesCut(std::size_t a, std::size_t b, bool cut)
{
    if (cut) {
        zoneCuts_.insert(std::minmax(a, b));
    } else {
        zoneCuts_.erase(std::minmax(a, b));
    }
    note("zones " + std::to_string(a) + " and " + std::to_string(b) + (cut ? " are cut" : " are joined"));
    for (std::size_t i = 0; i < groups_.size(); ++i) {
        Standin::GroupModel &group = *groups_[i];
        for (Standin::MemberIndex from = 0; from < group.size(); ++from) {
            for (Standin::MemberIndex to = from + 1; to < group.size(); ++to) {
                group.setCut(from, to, isCut(placeOfMember(i, from), placeOfMember(i, to)), now_);
            }
        }
    }
    releaseHeld();
}

void World::setPlatformCut(std::size_t zone, bool cut)
{
    if (cut) {
        platformCuts_.insert(zone);
    } else {
        platformCuts_.erase(zone);
    }
    releaseHeld();
}

void World::setPeerFaults(PeerFaults faults)
{
    peerFaults_ = faults;
}

/** Runs \p action when a message from \p from arrives at \p to; a message that meets a network cut is held until the cut is healed. */
void World::transmit(Place from, Place to, std::function<void()> action)
{
    schedule(now_ + delayBetween(from, to), [this, from, to, action = std::move(action)]() mutable {
        if (isCut(from, to)) {
            held_.push_back({from, to, std::move(action)});
            return;
        }
        action();
    });
}

bool World::isCut(Place a, Place b) const
{
    if (a.platform_ || b.platform_) {
        return platformCuts_.contains(a.platform_ ? b.zone_ : a.zone_);
    }
    return zoneCuts_.contains(std::minmax(a.zone_, b.zone_));
}

Duration World::delayBetween(Place a, Place b) const
{
    if (a.platform_ || b.platform_) {
        return config_.toPlatform_;
    }
    return a.zone_ == b.zone_ ? config_.insideZone_ : config_.betweenZones_;
}

void World::releaseHeld()
{
    std::vector<HeldMessage> stillHeld;
    for (HeldMessage &held : std::exchange(held_, {})) {
        if (isCut(held.from_, held.to_)) {
            stillHeld.push_back(std::move(held));
        } else {
            transmit(held.from_, held.to_, std::move(held.action_));
        }
    }
    held_ = std::move(stillHeld);
}

void World::execute(ProxyIndex proxy, const Effect &effect)
{
    std::visit([&](const auto &body) { execute(proxy, body); }, effect);
}

void World::execute(ProxyIndex proxy, const AnswerCaller &effect)
{
    const auto caller = proxies_[proxy].callers_.find(effect.id_);
    if (caller == proxies_[proxy].callers_.end()) {
        return;
    }
    schedule(now_, [reply = caller->second, answer = effect.answer_] { reply(answer); });
    proxies_[proxy].callers_.erase(caller);
    proxies_[proxy].unanswered_.erase(effect.id_);
}

void World::execute(ProxyIndex proxy, const SendPeer &effect)
{
    const VmId sender = proxies_[proxy].vm_.id_;
    const auto lose = [this, proxy, sender, address = effect.address_] { deliver(proxy, sender, PeerLost{address}); };
    const std::optional<ProxyIndex> peer = proxyAt(effect.address_);
    if (!peer || !proxies_[*peer].state_ || happens(peerFaults_.dropPercent_)) {
        schedule(now_ + config_.lossDetectionDelay_, lose);
        return;
    }
    const Place from = placeOf(proxy);
    const Place to = placeOf(*peer);
    const auto arrive = [this, to = *peer, incarnation = proxies_[*peer].vm_.id_, message = effect.message_] {
        deliver(to, incarnation, PeerReceived{message});
    };
    if (isCut(from, to)) {
        schedule(now_ + config_.lossDetectionDelay_, [this, from, to, lose] {
            if (isCut(from, to)) {
                lose();
            }
        });
        if (happens(half)) {
            return; // Half of the messages are lost with their connection; the others arrive after the cut is healed.
        }
    }
    const Duration delay = happens(peerFaults_.delayPercent_) ? peerFaults_.delay_ : Duration::zero();
    const int copies = happens(peerFaults_.doublePercent_) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        if (delay == Duration::zero()) {
            transmit(from, to, arrive);
        } else {
            schedule(now_ + delay, [this, from, to, arrive] { transmit(from, to, arrive); });
        }
    }
}

void World::execute(ProxyIndex proxy, const CallPlatform &effect)
{
    const VmId incarnation = proxies_[proxy].vm_.id_;
    const Place from = placeOf(proxy);
    const Place platform{.platform_ = true};
    const Standin::PlatformTag tag(nextTag_++);
    const auto ended = std::make_shared<bool>(false);
    const auto end = [this, proxy, incarnation, ended](const PlatformAnswer &answer) {
        if (!std::exchange(*ended, true)) {
            deliver(proxy, incarnation, PlatformAnswered{answer});
        }
    };
    platformCalls_[tag] = [this, from, platform, end](const PlatformAnswer &answer) { transmit(platform, from, [end, answer] { end(answer); }); };
    transmit(from, platform, [this, tag, call = effect.call_] {
        platform_->call(tag, call, now_);
        schedulePlatformReplies();
    });
    schedule(now_ + effect.call_.timeout_ + 2 * config_.toPlatform_ + Duration(1),
             [end, id = effect.call_.id_] { end({.id_ = id, .status_ = PlatformStatus::Lost}); });
}

void World::execute(ProxyIndex proxy, const ArmWakeUp &effect)
{
    const std::uint64_t number = ++proxies_[proxy].wakeUp_;
    const VmId incarnation = proxies_[proxy].vm_.id_;
    schedule(effect.at_ - proxies_[proxy].clockOffset_, [this, proxy, number, incarnation] {
        if (proxies_[proxy].wakeUp_ == number) {
            deliver(proxy, incarnation, WakeUp{});
        }
    });
}

void World::execute(ProxyIndex /*proxy*/, const WriteLog & /*effect*/)
{
}

void World::execute(ProxyIndex proxy, const ExitProcess & /*effect*/)
{
    proxies_[proxy].exited_ = true;
    cutByExit_ += proxies_[proxy].unanswered_.size();
    killProxy(proxy);
}

void World::schedulePlatformReplies()
{
    for (const Standin::PlatformReply &reply : platform_->takeReplies(now_)) {
        schedule(reply.at_, [this, reply] {
            const auto call = platformCalls_.find(reply.tag_);
            if (call != platformCalls_.end()) {
                const auto handler = std::move(call->second);
                platformCalls_.erase(call);
                handler(reply.answer_);
            }
        });
    }
    if (const std::optional<Time> next = platform_->nextTimeout()) {
        schedule(*next, [this] { schedulePlatformReplies(); });
    }
}

bool World::happens(unsigned chance)
{
    return chance > 0 && random_() % percent < chance;
}

Place World::placeOf(ProxyIndex proxy) const
{
    return {proxies_.at(proxy).zone_};
}

std::size_t World::zoneOfProxy(ProxyIndex proxy) const
{
    return proxies_.at(proxy).zone_;
}

std::optional<ProxyIndex> World::proxyAt(const std::string &address) const
{
    const auto found = std::ranges::find_if(proxies_, [&](const Proxy &proxy) { return proxy.vm_.address_ == address; });
    return found == proxies_.end() ? std::nullopt : std::optional(static_cast<ProxyIndex>(found - proxies_.begin()));
}

} // namespace Figward::Testing
