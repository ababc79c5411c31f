#include "LineGroupModel.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace Figward::Standin {

namespace {

SessionReply failure(ReplyCode code)
{
    SessionReply reply;
    reply.code_ = code;
    return reply;
}

TransactionState stateOf(const LineSession &session)
{
    if (!session.inTransaction_) {
        return TransactionState::None;
    }
    return session.failed_ ? TransactionState::Failed : TransactionState::Open;
}

void endTransaction(LineSession &session)
{
    session.inTransaction_ = false;
    session.readOnly_ = false;
    session.failed_ = false;
    session.writes_.clear();
}

ReplicationReport reportOf(const LineMember &member)
{
    return ReplicationReport{member.primary_, member.term_, endOf(member)};
}

} // namespace

bool holds(const std::vector<LineCommit> &log, const LogPoint &point)
{
    if (point.position_ == Position(0)) {
        return true;
    }
    return std::ranges::any_of(log, [&](const LineCommit &commit) { return commit.point_ == point; });
}

LogPoint endOf(const LineMember &member)
{
    return member.log_.empty() ? LogPoint{Term(1), Position(0)} : member.log_.back().point_;
}

LineGroupModel::LineGroupModel(const std::vector<MemberId> &members)
{
    for (const MemberId &id : members) {
        members_[id].id_ = id;
    }
    members_.at(members.front()).primary_ = true;
    members_.at(members.front()).sendsLog_ = true;
}

LineMember &LineGroupModel::member(const MemberId &id)
{
    return members_.at(id);
}

const LineMember &LineGroupModel::member(const MemberId &id) const
{
    return members_.at(id);
}

const std::map<MemberId, LineMember> &LineGroupModel::members() const
{
    return members_;
}

const LineMember &LineGroupModel::leader() const
{
    const LineMember *best = nullptr;
    for (const auto &[id, member] : members_) {
        if (member.primary_ && (best == nullptr || best->term_ < member.term_)) {
            best = &member;
        }
    }
    return best == nullptr ? members_.begin()->second : *best;
}

void LineGroupModel::connect(ConnectionId connection, const MemberId &member)
{
    sessions_[connection].member_ = member;
}

unsigned LineGroupModel::connections(const MemberId &member) const
{
    return static_cast<unsigned>(std::ranges::count_if(sessions_, [&](const auto &entry) { return entry.second.member_ == member; }));
}

void LineGroupModel::disconnect(ConnectionId connection)
{
    sessions_.erase(connection);
}

std::optional<LineAnswer> LineGroupModel::run(ConnectionId connection, const MemberRequest &request, Time now)
{
    const auto found = sessions_.find(connection);
    if (found == sessions_.end() || !member(found->second.member_).up_) {
        return std::nullopt;
    }
    replicate(now);
    LineSession &session = found->second;
    LineMember &target = member(session.member_);
    LineAnswer answer;
    if (request.verb_ == MemberVerb::StepDown && target.primary_ && target.term_ < request.term_) {
        target.primary_ = false;
    }
    if (request.verb_ == MemberVerb::Status || request.verb_ == MemberVerb::StepDown) {
        answer.report_ = reportOf(target);
    } else {
        answer.reply_ = runStatement(session, target, request, now);
    }
    const bool inTransaction = session.inTransaction_;
    session.failed_ = session.failed_ || (inTransaction && answer.reply_.code_ != ReplyCode::None);
    answer.reply_.state_ = stateOf(session);
    answer.reply_.position_ = endOf(target);
    return answer;
}

SessionReply LineGroupModel::runStatement(LineSession &session, LineMember &member, const MemberRequest &request, Time now)
{
    switch (request.verb_) {
    case MemberVerb::Begin:
    case MemberVerb::BeginRead: {
        SessionReply reply = begin(session, member, request);
        if (reply.code_ == ReplyCode::None) {
            session.inTransaction_ = true;
            session.readOnly_ = request.verb_ == MemberVerb::BeginRead;
        }
        return reply;
    }
    case MemberVerb::Forward:
        return runQuery(session, member, request, request.text_.starts_with("WRITE"), now);
    case MemberVerb::Execute: {
        const auto prepared = session.prepared_.find(request.name_);
        return prepared == session.prepared_.end() ? failure(ReplyCode::NoStatement) : runQuery(session, member, request, prepared->second, now);
    }
    case MemberVerb::Commit:
        return commit(session, member, request, now);
    case MemberVerb::Rollback:
        endTransaction(session);
        return {};
    case MemberVerb::Set:
        session.values_[request.name_] = request.value_;
        return {};
    case MemberVerb::Prepare:
        session.prepared_[request.name_] = request.writes_;
        return {};
    case MemberVerb::Reset:
        session.values_.clear();
        session.prepared_.clear();
        return {};
    case MemberVerb::Status:
    case MemberVerb::StepDown:
        break;
    }
    return {};
}

SessionReply LineGroupModel::begin(LineSession & /*session*/, const LineMember &member, const MemberRequest &request) const
{
    if (request.verb_ == MemberVerb::Begin && !member.primary_) {
        return failure(ReplyCode::ReadOnly);
    }
    return request.after_ && !holds(member.log_, *request.after_) ? failure(ReplyCode::Lagging) : SessionReply{};
}

SessionReply LineGroupModel::runQuery(LineSession &session, LineMember &member, const MemberRequest &request, bool writes, Time now)
{
    if (session.failed_) {
        return failure(ReplyCode::Malformed);
    }
    const bool readWriteTransaction = session.inTransaction_ && !session.readOnly_;
    if ((writes || readWriteTransaction) && !member.primary_) {
        return failure(ReplyCode::ReadOnly);
    }
    if (request.after_ && !holds(member.log_, *request.after_)) {
        return failure(ReplyCode::Lagging);
    }
    SessionReply reply;
    reply.receipt_ = absl::StrCat("receipt-", request.id_);
    if (!writes) {
        reply.rows_.push_back(absl::StrCat(endOf(member).position_.value(), " of ", member.id_.value()));
    } else if (session.inTransaction_) {
        session.writes_.push_back(request.id_);
    } else {
        append(member, {request.id_}, now);
    }
    return reply;
}

SessionReply LineGroupModel::commit(LineSession &session, LineMember &member, const MemberRequest &request, Time now)
{
    const bool writes = !session.writes_.empty();
    if (!session.inTransaction_ || session.failed_ || (writes && !member.primary_)) {
        const ReplyCode code = !session.inTransaction_ ? ReplyCode::Malformed : (session.failed_ ? ReplyCode::Aborted : ReplyCode::ReadOnly);
        endTransaction(session);
        return failure(code);
    }
    if (writes) {
        append(member, session.writes_, now);
    }
    endTransaction(session);
    SessionReply reply;
    reply.receipt_ = absl::StrCat("receipt-", request.id_);
    return reply;
}

void LineGroupModel::append(LineMember &member, std::vector<std::string> statements, Time now)
{
    const Position next(endOf(member).position_.value() + 1);
    member.log_.push_back(LineCommit{LogPoint{member.term_, next}, std::move(statements), now});
}

unsigned LineGroupModel::replicasHolding(const MemberId &primary, const LogPoint &point) const
{
    return static_cast<unsigned>(std::ranges::count_if(members_, [&](const auto &entry) {
        const LineMember &member = entry.second;
        return member.id_ != primary && member.up_ && holds(member.log_, point);
    }));
}

void LineGroupModel::replicate(Time now)
{
    const LineMember *sender = nullptr;
    for (const auto &[id, member] : members_) {
        if (member.sendsLog_ && (sender == nullptr || sender->term_ < member.term_)) {
            sender = &member;
        }
    }
    if (sender == nullptr || !sender->up_) {
        return;
    }
    const LineMember &source = *sender;
    for (auto &[id, member] : members_) {
        if (&member == sender || member.primary_ || !member.up_ || member.receivesNothing_) {
            continue;
        }
        member.term_ = source.term_;
        while (member.log_.size() < source.log_.size() && source.log_[member.log_.size()].committedAt_ + member.lag_ <= now) {
            member.log_.push_back(source.log_[member.log_.size()]);
        }
    }
}

bool LineGroupModel::promote(const MemberId &id, Time now)
{
    LineMember &target = member(id);
    if (!target.up_) {
        return false;
    }
    replicate(now);
    if (&leader() == &target && target.primary_) {
        return true;
    }
    Term highest = target.term_;
    for (const auto &[other, member] : members_) {
        highest = std::max(highest, member.term_);
    }
    target.primary_ = true;
    target.sendsLog_ = true;
    target.term_ = Term(highest.value() + 1);
    for (auto &[other, member] : members_) {
        if (!member.primary_) {
            member.sendsLog_ = false;
            member.log_.resize(std::min(member.log_.size(), target.log_.size()), LineCommit{});
            const auto differ = std::ranges::mismatch(member.log_, target.log_, {}, &LineCommit::point_, &LineCommit::point_);
            member.log_.erase(differ.in1, member.log_.end());
        }
    }
    return true;
}

void LineGroupModel::crash(const MemberId &id)
{
    member(id).up_ = false;
    std::erase_if(sessions_, [&](const auto &entry) { return entry.second.member_ == id; });
}

void LineGroupModel::restart(const MemberId &id)
{
    member(id).up_ = true;
    findNewPrimary(id);
}

void LineGroupModel::restartEmpty(const MemberId &id)
{
    member(id).log_.clear();
    restart(id);
}

void LineGroupModel::findNewPrimary(const MemberId &id)
{
    LineMember &old = member(id);
    const LineMember &current = leader();
    if (current.id_ == id || !current.primary_) {
        return;
    }
    old.primary_ = false;
    old.sendsLog_ = false;
    old.term_ = current.term_;
    const auto differ = std::ranges::mismatch(old.log_, current.log_, {}, &LineCommit::point_, &LineCommit::point_);
    old.log_.erase(differ.in1, old.log_.end());
}

} // namespace Figward::Standin
