#include "GroupView.h"

#include <algorithm>

namespace Figward {

namespace {

/** First entry of the current term as reported by the primary; empty until the primary has reported it. */
std::optional<LogPoint> currentTermStart(const GroupView &view)
{
    const MemberView *primary = primaryOf(view);
    if (primary == nullptr || !primary->status_) {
        return std::nullopt;
    }
    const auto &starts = primary->status_->termStarts_;
    const auto start = std::ranges::find(starts, view.term_, &LogPoint::term_);
    if (start == starts.end()) {
        return std::nullopt;
    }
    return *start;
}

std::size_t countHolders(const GroupView &view, LogPoint point)
{
    const auto holds = [&](const MemberView &member) { return member.status_ && contains(*member.status_, point); };
    return static_cast<std::size_t>(std::ranges::count_if(view.members_, holds));
}

} // namespace

MemberView *findMember(GroupView &view, const MemberId &id)
{
    const auto found = std::ranges::find_if(view.members_, [&](const MemberView &m) { return m.config_.id_ == id; });
    return found == view.members_.end() ? nullptr : &*found;
}

const MemberView *findMember(const GroupView &view, const MemberId &id)
{
    const auto found = std::ranges::find_if(view.members_, [&](const MemberView &m) { return m.config_.id_ == id; });
    return found == view.members_.end() ? nullptr : &*found;
}

const MemberView *primaryOf(const GroupView &view)
{
    return view.primary_ ? findMember(view, *view.primary_) : nullptr;
}

std::size_t majorityOf(const GroupView &view)
{
    return view.members_.size() / 2 + 1;
}

Term highestFence(const GroupView &view)
{
    Term highest;
    for (const MemberView &member : view.members_) {
        if (member.status_) {
            highest = std::max(highest, member.status_->fenced_);
        }
    }
    return highest;
}

bool contains(const MemberStatus &status, LogPoint point)
{
    const bool beforeAnyEntry = point.position_ == Position(0);
    if (beforeAnyEntry || point.term_ == status.log_.term_) {
        return point.position_ <= status.log_.position_;
    }
    // The entries of a term extend from its first entry to the first entry of the next term. Example (term/position): with terms starting at 1/1 and 3/8, the
    // log contains 1/7. It does not contain 1/8, which was in the tail that the primary of term 3 never had, nor 2/7: no entry of term 2 was kept, although a
    // later term began at a higher position. A term older than the reported starts cannot be checked and is treated as absent.
    const auto start = std::ranges::find(status.termStarts_, point.term_, &LogPoint::term_);
    if (start == status.termStarts_.end() || point.position_ < start->position_) {
        return false;
    }
    const auto next = std::next(start);
    return next != status.termStarts_.end() && point.position_ < next->position_;
}

bool majorityHolds(const GroupView &view, LogPoint point)
{
    // A member fenced at a later term may already have helped to replace the primary, so the members' positions no longer prove that the entry survives.
    if (highestFence(view) > view.term_ || point.term_ > view.term_) {
        return false;
    }
    LogPoint evidence = point;
    if (point.term_ < view.term_) {
        // An entry of an earlier term may be held by a majority and still be overwritten by a longer log of an intermediate term. Once a majority holds an
        // entry of the current term that follows it, this cannot happen.
        const std::optional<LogPoint> start = currentTermStart(view);
        const MemberView *primary = primaryOf(view);
        if (!start || primary == nullptr || !contains(*primary->status_, point)) {
            return false;
        }
        evidence = *start;
    }
    return countHolders(view, evidence) >= majorityOf(view);
}

void recordStatus(GroupView &view, const MemberId &member, const MemberStatus &status, Time sentAt)
{
    MemberView *known = findMember(view, member);
    if (known == nullptr) {
        return;
    }
    // The answer to an earlier request may arrive after that of a later one. If the later request reports a shorter log, the log has been truncated.
    const bool shorter = known->status_ && (status.fenced_ < known->status_->fenced_ || status.log_ < known->status_->log_);
    const bool outdated = shorter && sentAt < known->statusAsOf_;
    if (outdated) {
        return;
    }
    known->status_ = status;
    known->statusAsOf_ = std::max(known->statusAsOf_, sentAt);
}

} // namespace Figward
