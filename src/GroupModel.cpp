#include "GroupModel.h"

#include <algorithm>

namespace Figward::Standin {

namespace {

constexpr Duration closeTime = std::chrono::microseconds(100);

} // namespace

GroupModel::GroupModel(GroupModelConfig config, std::uint64_t seed, Time now)
    : config_(std::move(config))
    , random_(seed)
    , members_(config_.members_.size())
{
    for (MemberIndex i = 0; i < members_.size(); ++i) {
        members_[i].fenced_ = Term(1);
        if (i != 0) {
            members_[i].follows_ = 0;
        }
        for (MemberIndex j = 0; j < members_.size(); ++j) {
            delays_[{i, j}] = config_.replicationDelay_;
        }
    }
    members_[0].primary_ = true;
    members_[0].log_.append({.point_ = {Term(1), {}}}, now);
}

void GroupModel::connect(MemberIndex member, ReplyTag tag, Time now)
{
    receive(member, PendingConnect{tag}, now);
}

void GroupModel::send(LinkId link, const UpstreamStatement &statement, Time now)
{
    const auto found = links_.find(link);
    if (found != links_.end()) {
        receive(found->second.member_, PendingStatement{link, statement}, now);
    }
}

void GroupModel::close(LinkId link, Time now)
{
    advance(now);
    const auto found = links_.find(link);
    if (found == links_.end()) {
        return;
    }
    if (members_[found->second.member_].paused_) {
        found->second.closing_ = true;
        return;
    }
    links_.erase(found);
}

void GroupModel::control(MemberIndex member, ReplyTag tag, const ControlCall &call, Time now)
{
    receive(member, PendingControl{tag, call}, now);
}

std::vector<GroupReply> GroupModel::takeReplies()
{
    return std::exchange(replies_, {});
}

void GroupModel::kill(MemberIndex member, bool closesLinks, Time now)
{
    advance(now);
    members_[member].alive_ = false;
    members_[member].paused_ = false;
    members_[member].pending_.clear();
    dropLinks(member, closesLinks, now);
}

void GroupModel::restart(MemberIndex member, Time now)
{
    kill(member, true, now);
    members_[member].alive_ = true;
}

void GroupModel::pause(MemberIndex member, Time now)
{
    advance(now);
    members_[member].paused_ = members_[member].alive_;
}

void GroupModel::resume(MemberIndex member, Time now)
{
    advance(now);
    if (!members_[member].paused_) {
        return;
    }
    members_[member].paused_ = false;
    advance(now);
    for (const Pending &pending : std::exchange(members_[member].pending_, {})) {
        std::visit([&](const auto &body) { run(member, body, now); }, pending);
    }
    std::erase_if(links_, [&](const auto &entry) { return entry.second.member_ == member && entry.second.closing_; });
}

void GroupModel::setCut(MemberIndex a, MemberIndex b, bool cut, Time now)
{
    advance(now);
    if (cut) {
        cuts_.insert(std::minmax(a, b));
    } else {
        cuts_.erase(std::minmax(a, b));
    }
}

void GroupModel::setDelay(MemberIndex from, MemberIndex to, Duration delay, Time now)
{
    advance(now);
    delays_[{from, to}] = delay;
}

void GroupModel::advance(Time now)
{
    for (MemberIndex i = 0; i < members_.size(); ++i) {
        replicate(i, now);
    }
}

const GroupLog &GroupModel::log(MemberIndex member) const
{
    return members_.at(member).log_;
}

MemberStatus GroupModel::status(MemberIndex member) const
{
    const Member &reported = members_.at(member);
    return {reported.log_.end(), reported.fenced_, reported.primary_, reported.log_.termStarts()};
}

bool GroupModel::isUp(MemberIndex member) const
{
    return members_.at(member).alive_ && !members_.at(member).paused_;
}

bool GroupModel::isOpen(LinkId link) const
{
    return links_.contains(link);
}

MemberIndex GroupModel::memberOf(LinkId link) const
{
    return links_.at(link).member_;
}

std::size_t GroupModel::links() const
{
    return links_.size();
}

std::size_t GroupModel::size() const
{
    return members_.size();
}

const GroupModelConfig &GroupModel::config() const
{
    return config_;
}

MemberIndex GroupModel::indexOf(const MemberId &id) const
{
    return static_cast<MemberIndex>(std::ranges::find(config_.members_, id) - config_.members_.begin());
}

void GroupModel::receive(MemberIndex index, Pending pending, Time now)
{
    advance(now);
    Member &member = members_.at(index);
    if (!member.alive_) {
        return;
    }
    if (member.paused_) {
        member.pending_.push_back(std::move(pending));
        return;
    }
    std::visit([&](const auto &body) { run(index, body, now); }, pending);
}

void GroupModel::run(MemberIndex member, const PendingConnect &pending, Time now)
{
    if (links_.size() >= config_.connectionLimit_.value()) {
        reply(now + closeTime, ConnectReply{pending.tag_, {}, true});
        return;
    }
    const LinkId link(nextLink_++);
    links_[link] = {.member_ = member};
    reply(now + config_.connectTime_, ConnectReply{pending.tag_, link, false});
}

void GroupModel::run(MemberIndex /*member*/, const PendingStatement &pending, Time now)
{
    const auto found = links_.find(pending.link_);
    if (found == links_.end()) {
        return;
    }
    UpstreamAnswer answer = execute(found->second, pending.statement_, now);
    const Duration took = answer.result_ == UpstreamResult::Busy ? closeTime : statementTime();
    if (answer.result_ != UpstreamResult::Busy) {
        running_.insert(now + took);
    }
    reply(now + took, StatementReply{pending.link_, std::move(answer)});
}

void GroupModel::run(MemberIndex member, const PendingControl &pending, Time now)
{
    const ControlResult result = runControl(member, pending.call_.body_, now);
    advance(now);
    reply(now + closeTime, ControlReply{pending.tag_, {pending.call_.id_, result, status(member)}});
}

void GroupModel::reply(Time at, GroupReply::Body body)
{
    GroupReply &added = replies_.emplace_back();
    added.at_ = at;
    added.body_ = std::move(body);
}

void GroupModel::rollBackAll(MemberIndex index)
{
    for (auto &[id, link] : links_) {
        if (link.member_ == index) {
            link.transaction_.reset();
        }
    }
}

void GroupModel::dropLinks(MemberIndex index, bool notifyClients, Time now)
{
    for (auto link = links_.begin(); link != links_.end();) {
        if (link->second.member_ != index) {
            ++link;
            continue;
        }
        if (notifyClients) {
            reply(now + closeTime, LinkClosed{link->first});
        }
        link = links_.erase(link);
    }
}

bool GroupModel::slotsLeft(Time now)
{
    running_.erase(running_.begin(), running_.upper_bound(now));
    return running_.size() < config_.slots_.value();
}

Duration GroupModel::statementTime()
{
    if (config_.statementJitter_ <= Duration::zero()) {
        return config_.statementTime_;
    }
    const auto jitter = random_() % static_cast<std::uint64_t>(config_.statementJitter_.count());
    return config_.statementTime_ + Duration(static_cast<std::int64_t>(jitter));
}

} // namespace Figward::Standin
