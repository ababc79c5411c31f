#include "World.h"

#include <stdexcept>

namespace Figward::Testing {

namespace {

constexpr Duration pausePollInterval = std::chrono::milliseconds(1); // Interval at which a member that paused before it sent its answer is checked.

} // namespace

void World::execute(ProxyIndex proxy, const OpenConnection &effect)
{
    const std::size_t group = memberAt(effect.member_).group_;
    const Standin::MemberIndex member = memberAt(effect.member_).member_;
    const VmId incarnation = proxies_[proxy].vm_.id_;
    const ConnectionId connection = effect.connection_;
    proxies_[proxy].links_[connection] = {.group_ = group, .member_ = member};
    const Standin::ReplyTag tag(nextTag_++);
    const Place from = placeOf(proxy);
    const Place to = placeOfMember(group, member);
    connects_[tag] = [this, proxy, incarnation, connection, from, to, group](const Standin::ConnectReply &reply) {
        transmit(to, from, [this, proxy, incarnation, connection, from, to, group, reply] {
            if (!onConnected(proxy, incarnation, connection, reply) && !reply.refused_) {
                closeLink(group, reply.link_, from, to); // The proxy abandoned the connection before it was established.
            }
        });
    };
    transmit(from, to, [this, group, member, tag] {
        groups_[group]->connect(member, tag, now_);
        scheduleGroupReplies(group);
    });
    schedule(now_ + config_.group_.connectTime_ + config_.lossDetectionDelay_, [this, proxy, incarnation, connection] {
        const auto link = proxies_[proxy].links_.find(connection);
        const bool opening = proxies_[proxy].vm_.id_ == incarnation && link != proxies_[proxy].links_.end() && !link->second.link_;
        if (opening) {
            proxies_[proxy].links_.erase(link);
            deliver(proxy, incarnation, ConnectionLost{connection, ConnectionEnd::Unreachable});
        }
    });
}

void World::execute(ProxyIndex proxy, const CloseConnection &effect)
{
    const auto found = proxies_[proxy].links_.find(effect.connection_);
    if (found == proxies_[proxy].links_.end()) {
        return;
    }
    const UpstreamLink link = found->second;
    proxies_[proxy].links_.erase(found);
    if (link.link_) {
        closeLink(link.group_, *link.link_, placeOf(proxy), placeOfMember(link.group_, link.member_));
    }
}

void World::execute(ProxyIndex proxy, const SendStatement &effect)
{
    const auto found = proxies_[proxy].links_.find(effect.connection_);
    if (found == proxies_[proxy].links_.end() || !found->second.link_) {
        return;
    }
    const UpstreamLink &link = found->second;
    sendOnLink(link.group_, *link.link_, placeOf(proxy), placeOfMember(link.group_, link.member_), effect.statement_);
}

void World::execute(ProxyIndex proxy, const SendControl &effect)
{
    if (std::holds_alternative<Probe>(effect.call_.body_)) {
        proxies_[proxy].probes_.insert(effect.call_.id_);
    }
    const std::size_t group = memberAt(effect.member_).group_;
    const Standin::MemberIndex member = memberAt(effect.member_).member_;
    const VmId incarnation = proxies_[proxy].vm_.id_;
    const Place from = placeOf(proxy);
    const Place to = placeOfMember(group, member);
    const Standin::ReplyTag tag(nextTag_++);
    const auto ended = std::make_shared<bool>(false);
    controls_[tag] = [this, proxy, incarnation, from, to, ended](const Standin::ControlReply &reply) {
        transmit(to, from, [this, proxy, incarnation, ended, answer = reply.answer_] {
            if (!std::exchange(*ended, true)) {
                deliver(proxy, incarnation, ControlAnswered{answer});
            }
        });
    };
    transmit(from, to, [this, group, member, tag, call = effect.call_] {
        groups_[group]->control(member, tag, call, now_);
        scheduleGroupReplies(group);
    });
    schedule(now_ + effect.timeout_, [this, proxy, incarnation, ended, id = effect.call_.id_] {
        if (!std::exchange(*ended, true)) {
            deliver(proxy, incarnation, ControlAnswered{{.id_ = id, .result_ = ControlResult::Failed}});
        }
    });
}

void World::sendOnLink(std::size_t group, Standin::LinkId link, Place from, Place to, const UpstreamStatement &statement)
{
    transmit(from, to, [this, group, link, from, to, statement] {
        if (!groups_[group]->isOpen(link)) {
            loseLink(group, link, from, to);
            return;
        }
        groups_[group]->send(link, statement, now_);
        scheduleGroupReplies(group);
    });
}

/** Tells the proxy that the connection is closed at the member. */
void World::loseLink(std::size_t group, Standin::LinkId link, Place proxyPlace, Place memberPlace)
{
    const auto found = linkOwners_[group].find(link);
    if (found == linkOwners_[group].end()) {
        return;
    }
    transmit(memberPlace, proxyPlace, [this, owner = found->second] {
        Proxy &proxy = proxies_[owner.proxy_];
        const bool open = proxy.vm_.id_ == owner.incarnation_ && proxy.links_.erase(owner.connection_) > 0;
        if (open) {
            deliver(owner.proxy_, owner.incarnation_, ConnectionLost{owner.connection_, ConnectionEnd::Closed});
        }
    });
}

void World::closeLink(std::size_t group, Standin::LinkId link, Place from, Place to)
{
    transmit(from, to, [this, group, link] { groups_[group]->close(link, now_); });
}

/** Handles the result of a connection attempt; returns whether the proxy still waited for \p connection. */
bool World::onConnected(ProxyIndex proxy, VmId incarnation, ConnectionId connection, const Standin::ConnectReply &reply)
{
    Proxy &opener = proxies_[proxy];
    const auto found = opener.links_.find(connection);
    const bool wanted = opener.vm_.id_ == incarnation && opener.state_ && found != opener.links_.end();
    if (!wanted) {
        return false;
    }
    if (reply.refused_) {
        opener.links_.erase(found);
        deliver(proxy, incarnation, ConnectionLost{connection, ConnectionEnd::Refused});
        return true;
    }
    found->second.link_ = reply.link_;
    linkOwners_[found->second.group_][reply.link_] = {proxy, incarnation, connection, found->second.member_};
    deliver(proxy, incarnation, ConnectionOpened{connection});
    return true;
}

void World::scheduleGroupReplies(std::size_t group)
{
    for (const Standin::GroupReply &reply : groups_[group]->takeReplies()) {
        schedule(reply.at_, [this, group, body = reply.body_] { onGroupReply(group, body); });
    }
}

void World::onGroupReply(std::size_t group, const Standin::GroupReply::Body &body)
{
    if (const auto *reply = std::get_if<Standin::ConnectReply>(&body)) {
        const auto handler = connects_.extract(reply->tag_);
        handler.mapped()(*reply);
    } else if (const auto *reply = std::get_if<Standin::ControlReply>(&body)) {
        const auto handler = controls_.extract(reply->tag_);
        handler.mapped()(*reply);
    } else if (const auto *reply = std::get_if<Standin::StatementReply>(&body)) {
        onStatementReply(group, *reply);
    } else if (const auto *reply = std::get_if<Standin::LinkClosed>(&body)) {
        const auto owner = linkOwners_[group].find(reply->link_);
        if (owner != linkOwners_[group].end()) {
            loseLink(group, reply->link_, placeOf(owner->second.proxy_), placeOfMember(group, owner->second.member_));
        }
    }
}

void World::onStatementReply(std::size_t group, const Standin::StatementReply &reply)
{
    Standin::GroupModel &model = *groups_[group];
    const auto found = linkOwners_[group].find(reply.link_);
    if (!model.isOpen(reply.link_) || found == linkOwners_[group].end()) {
        return;
    }
    const Standin::MemberIndex member = model.memberOf(reply.link_);
    if (!model.isUp(member)) {
        schedule(now_ + pausePollInterval, [this, group, reply] { onStatementReply(group, reply); });
        return;
    }
    const LinkOwner &owner = found->second;
    transmit(placeOfMember(group, member), placeOf(owner.proxy_), [this, owner, answer = reply.answer_] {
        Proxy &proxy = proxies_[owner.proxy_];
        if (proxy.vm_.id_ == owner.incarnation_ && proxy.links_.contains(owner.connection_)) {
            deliver(owner.proxy_, owner.incarnation_, UpstreamAnswered{owner.connection_, answer});
        }
    });
}

Place World::placeOfMember(std::size_t group, Standin::MemberIndex member) const
{
    return {zoneOfMember(group, member)};
}

std::size_t World::zoneOfMember(std::size_t group, Standin::MemberIndex member) const
{
    return (group + member) % config_.zones_;
}

/** Returns the group of \p member and its index in that group. */
World::MemberPlace World::memberAt(const MemberId &member) const
{
    for (std::size_t group = 0; group < groups_.size(); ++group) {
        const Standin::MemberIndex index = groups_[group]->indexOf(member);
        if (index < groups_[group]->size()) {
            return {group, index};
        }
    }
    throw std::out_of_range(member.value());
}

} // namespace Figward::Testing
