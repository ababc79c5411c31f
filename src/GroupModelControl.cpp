#include "GroupModel.h"

#include <algorithm>

namespace Figward::Standin {

namespace {

std::size_t commonLength(const GroupLog &a, const GroupLog &b)
{
    const std::size_t shorter = std::min(a.entries().size(), b.entries().size());
    std::size_t length = 0;
    while (length < shorter && a.entries()[length].point_ == b.entries()[length].point_) {
        ++length;
    }
    return length;
}

} // namespace

ControlResult GroupModel::runControl(MemberIndex index, const ControlBody &body, Time now)
{
    if (const auto *call = std::get_if<Fence>(&body)) {
        return fence(index, call->term_);
    }
    if (const auto *call = std::get_if<Promote>(&body)) {
        return promote(members_[index], call->term_, now);
    }
    if (const auto *call = std::get_if<Follow>(&body)) {
        return follow(index, *call, now);
    }
    if (const auto *call = std::get_if<TrimKeys>(&body)) {
        Member &member = members_[index];
        const bool rightTerm = member.primary_ && member.log_.end().term_ == call->requiredTerm_;
        if (!rightTerm) {
            return ControlResult::Refused;
        }
        member.log_.append({.point_ = {call->requiredTerm_, {}}, .sessionsBefore_ = call->sessionsBefore_}, now);
    }
    return ControlResult::Ok;
}

ControlResult GroupModel::fence(MemberIndex index, Term term)
{
    Member &member = members_[index];
    if (member.fenced_ >= term) {
        return ControlResult::Refused;
    }
    member.fenced_ = term;
    member.primary_ = false;
    member.follows_.reset();
    rollBackAll(index);
    return ControlResult::Ok;
}

ControlResult GroupModel::promote(Member &member, Term term, Time now)
{
    if (member.fenced_ != term) {
        return ControlResult::Refused;
    }
    if (!member.primary_) {
        member.primary_ = true;
        member.follows_.reset();
        member.logCheckPending_ = false;
        member.log_.append({.point_ = {term, {}}}, now);
    }
    return ControlResult::Ok;
}

ControlResult GroupModel::follow(MemberIndex index, const Follow &call, Time now)
{
    Member &member = members_[index];
    const MemberIndex primary = indexOf(call.primary_);
    if (call.term_ < member.fenced_ || primary == members_.size() || primary == index) {
        return ControlResult::Refused;
    }
    const bool already = member.fenced_ == call.term_ && member.follows_ == primary;
    if (already) {
        return ControlResult::Ok;
    }
    member.fenced_ = call.term_;
    member.primary_ = false;
    member.follows_ = primary;
    member.logCheckPending_ = true;
    rollBackAll(index);
    replicate(index, now);
    return ControlResult::Ok;
}

/** Copies the entries that the primary's log had one replication delay ago; copies nothing while the primary is unreachable. */
void GroupModel::replicate(MemberIndex index, Time now)
{
    Member &member = members_[index];
    if (!member.follows_ || !isUp(index) || !isUp(*member.follows_) || cuts_.contains(std::minmax(index, *member.follows_))) {
        return;
    }
    const Member &primary = members_[*member.follows_];
    if (!primary.primary_ || primary.fenced_ != member.fenced_) {
        return;
    }
    if (member.logCheckPending_) {
        member.log_.truncate(commonLength(member.log_, primary.log_));
        member.logCheckPending_ = false;
    }
    const Duration delay = delays_.at({*member.follows_, index});
    while (member.log_.entries().size() < primary.log_.entries().size()) {
        const std::size_t next = member.log_.entries().size();
        if (primary.log_.appendedAt(next) + delay > now) {
            return;
        }
        member.log_.append(primary.log_.entries()[next], now);
    }
}

} // namespace Figward::Standin
