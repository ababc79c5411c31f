#include "support/SessionWorld.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace Figward::Testing {

namespace {

Duration scaled(Duration time, double factor)
{
    return std::chrono::duration_cast<Duration>(time * factor);
}

unsigned numberOf(const MemberId &member)
{
    const std::string &name = member.value();
    return static_cast<unsigned>(std::stoul(name.substr(name.find('-') + 1)));
}

} // namespace

ConnectionId SessionWorld::worldConnection(unsigned vm, ConnectionId connection) const
{
    constexpr std::uint64_t perVm = std::uint64_t{1} << 32U;
    // Each incarnation numbers its connections from the start; they must not be confused with those of the previous incarnation.
    return ConnectionId((vms_[vm].incarnation_ % perVm) * perVm + connection.value());
}

void SessionWorld::openConnection(unsigned vm, const OpenConnection &effect)
{
    const unsigned member = numberOf(effect.member_);
    openings_ += effect.organisation_ == OrganisationId() ? 0 : 1;
    vms_[vm].connections_[effect.connection_] = member;
    vms_[vm].connectionOrganisations_[effect.connection_] = effect.organisation_;
    const std::uint64_t incarnation = vms_[vm].incarnation_;
    if (vmMemberCuts_.contains({vm, member})) {
        if (cutsReset_) {
            vms_[vm].connections_.erase(effect.connection_);
            schedule(now_ + config_.networkDelay_, [this, vm, incarnation, effect] {
                deliverEvent(vm, incarnation, ConnectionLost{effect.connection_, ConnectionEnd::Unreachable});
            });
        }
        return; // Packets are lost; the proxy's own timeout ends the connection attempt.
    }
    if (config_.slots_ != 0) {
        schedule(now_ + config_.networkDelay_, [this, vm, member, incarnation, effect] { openAtBusyMember(vm, member, incarnation, effect); });
        return;
    }
    const Duration openTime = scaled(config_.openTime_, faultOf(vm, member).workFactor_);
    schedule(now_ + openTime + 2 * config_.networkDelay_, [this, vm, member, incarnation, effect] {
        if (vms_[vm].incarnation_ != incarnation || !vms_[vm].connections_.contains(effect.connection_)) {
            return;
        }
        if (!refuseIfUnavailable(vm, member, effect) && !vmMemberCuts_.contains({vm, member})) {
            groupOf(member).connect(worldConnection(vm, effect.connection_), effect.member_);
            deliverEvent(vm, incarnation, ConnectionOpened{effect.connection_});
        }
    });
}

bool SessionWorld::refuseIfUnavailable(unsigned vm, unsigned member, const OpenConnection &effect)
{
    const bool up = groupOf(member).member(effect.member_).up_;
    if (up && !isFull(member)) {
        return false;
    }
    vms_[vm].connections_.erase(effect.connection_);
    deliverEvent(vm, vms_[vm].incarnation_, ConnectionLost{effect.connection_, up ? ConnectionEnd::Refused : ConnectionEnd::Unreachable});
    return true;
}

void SessionWorld::openAtBusyMember(unsigned vm, unsigned member, std::uint64_t incarnation, const OpenConnection &effect)
{
    const auto isAwaited = [this, vm, incarnation, effect] {
        return vms_[vm].incarnation_ == incarnation && vms_[vm].connections_.contains(effect.connection_);
    };
    if (!isAwaited() || refuseIfUnavailable(vm, member, effect) || vmMemberCuts_.contains({vm, member})) {
        return;
    }
    groupOf(member).connect(worldConnection(vm, effect.connection_), effect.member_);
    const Duration openTime = scaled(config_.openTime_, faultOf(vm, member).workFactor_);
    schedule(scheduleWork(member, now_, openTime) + config_.networkDelay_, [this, vm, member, incarnation, effect, isAwaited] {
        if (isAwaited() && !vmMemberCuts_.contains({vm, member})) {
            deliverEvent(vm, incarnation, ConnectionOpened{effect.connection_});
        }
    });
}

Time SessionWorld::scheduleWork(unsigned member, Time arrives, Duration work)
{
    if (config_.slots_ == 0) {
        return arrives + work;
    }
    std::vector<Time> &free = slots_.try_emplace(member, config_.slots_).first->second;
    const auto first = std::ranges::min_element(free);
    *first = std::max(arrives, *first) + work;
    slotTime_ += work;
    return *first;
}

bool SessionWorld::isFull(unsigned member)
{
    const bool enforced = config_.slots_ != 0;
    return fullMembers_.contains(member) || (enforced && groupOf(member).connections(memberId(member)) >= config_.maxConnections_);
}

void SessionWorld::sendToMember(unsigned vm, const SendToMember &effect)
{
    const std::uint64_t incarnation = vms_[vm].incarnation_;
    const bool works =
        effect.request_.verb_ == MemberVerb::Forward || effect.request_.verb_ == MemberVerb::Execute || effect.request_.verb_ == MemberVerb::Commit;
    const auto own = work_.find(effect.request_.id_);
    const Time arrives = now_ + config_.networkDelay_;
    const auto connection = vms_[vm].connections_.find(effect.connection_);
    const bool held = works && connection != vms_[vm].connections_.end();
    const double factor = held ? faultOf(vm, connection->second).workFactor_ : 1;
    const Duration work = !works ? Duration(0) : scaled(own == work_.end() ? config_.workTime_ : own->second, factor);
    const Time done = held ? scheduleWork(connection->second, arrives, work) : arrives + work;
    schedule(done, [this, vm, incarnation, effect] { runAtMember(vm, incarnation, effect); });
}

void SessionWorld::runAtMember(unsigned vm, std::uint64_t incarnation, const SendToMember &effect)
{
    if (vms_[vm].incarnation_ != incarnation || !vms_[vm].connections_.contains(effect.connection_)) {
        return;
    }
    const unsigned member = vms_[vm].connections_.at(effect.connection_);
    if (vmMemberCuts_.contains({vm, member})) {
        return;
    }
    MemberRequest request = effect.request_;
    const bool works = request.verb_ == MemberVerb::Forward || request.verb_ == MemberVerb::Execute || request.verb_ == MemberVerb::Commit;
    const ReplyCode failure = works ? drawFailure(vm, member) : ReplyCode::None;
    if (failure == ReplyCode::Timeout) {
        return;
    }
    if (failure != ReplyCode::None) {
        request.verb_ = MemberVerb::Rollback; // A statement that fails ends its transaction.
    }
    if (request.verb_ == MemberVerb::Forward) {
        lastRuns_[member] = now_;
    }
    const Standin::LineMember &target = groupOf(member).member(memberId(member));
    const LogPoint before = endOf(target);
    std::optional<Standin::LineAnswer> answer = groupOf(member).run(worldConnection(vm, effect.connection_), request, now_);
    if (!answer) {
        return;
    }
    const std::optional<LogPoint> committed = target.primary_ && before != endOf(target) ? std::optional(endOf(target)) : std::nullopt;
    answer->reply_.code_ = failure == ReplyCode::None ? answer->reply_.code_ : failure;
    checkOrganisation(vm, effect, answer->reply_);
    answerFromMember(vm, incarnation, member, effect, *answer, committed);
}

void SessionWorld::answerFromMember(unsigned vm,
                                    std::uint64_t incarnation,
                                    unsigned member,
                                    const SendToMember &effect,
                                    const Standin::LineAnswer &answer,
                                    std::optional<LogPoint> committed)
{
    Standin::LineGroupModel &group = groupOf(member);
    group.replicate(now_);
    if (committed && group.replicasHolding(memberId(member), *committed) < config_.syncReplicas_) {
        constexpr Duration retryInterval = std::chrono::milliseconds(1);
        schedule(now_ + retryInterval, [this, vm, incarnation, member, effect, answer, committed] {
            if (groupOf(member).member(memberId(member)).up_) {
                answerFromMember(vm, incarnation, member, effect, answer, committed);
            }
        });
        return;
    }
    schedule(now_ + config_.networkDelay_, [this, vm, incarnation, member, effect, answer] {
        if (!vmMemberCuts_.contains({vm, member})) {
            deliverEvent(vm, incarnation, SessionEvent(MemberReplyArrived{effect.connection_, answer.reply_, answer.report_}));
        }
    });
}

void SessionWorld::setFault(unsigned member, const MemberFault &fault)
{
    faults_[member] = fault;
}

MemberFault SessionWorld::faultOf(unsigned vm, unsigned member) const
{
    const auto found = faults_.find(member);
    const bool seen = found != faults_.end() && (!found->second.seenFrom_ || *found->second.seenFrom_ == vms_[vm].zone_);
    return seen ? found->second : MemberFault();
}

ReplyCode SessionWorld::drawFailure(unsigned vm, unsigned member)
{
    const MemberFault fault = faultOf(vm, member);
    StatementTries &tries = tries_[member];
    ++tries.all_;
    if (fault.failed_ + fault.busy_ + fault.silent_ == 0) {
        return ReplyCode::None;
    }
    const double drawn = std::uniform_real_distribution<double>()(faultRandom_);
    const ReplyCode code = drawn < fault.failed_                                 ? ReplyCode::Failed
                           : drawn < fault.failed_ + fault.busy_                 ? ReplyCode::Retry
                           : drawn < fault.failed_ + fault.busy_ + fault.silent_ ? ReplyCode::Timeout
                                                                                 : ReplyCode::None;
    tries.failed_ += code == ReplyCode::None ? 0 : 1;
    return code;
}

StatementTries SessionWorld::tries(unsigned member) const
{
    const auto found = tries_.find(member);
    return found == tries_.end() ? StatementTries() : found->second;
}

void SessionWorld::crashMember(unsigned member)
{
    groupOf(member).crash(memberId(member));
    resetConnections(member);
}

void SessionWorld::resetConnections(unsigned member)
{
    for (unsigned vm = 0; vm < vms_.size(); ++vm) {
        std::vector<ConnectionId> lost;
        for (const auto &[connection, other] : vms_[vm].connections_) {
            if (other == member) {
                lost.push_back(connection);
            }
        }
        for (const ConnectionId connection : lost) {
            vms_[vm].connections_.erase(connection);
            schedule(now_ + config_.networkDelay_, [this, vm, connection, incarnation = vms_[vm].incarnation_] {
                deliverEvent(vm, incarnation, ConnectionLost{connection, ConnectionEnd::Closed});
            });
        }
    }
}

void SessionWorld::memberIsFull(unsigned member, bool full)
{
    full ? (void)fullMembers_.insert(member) : (void)fullMembers_.erase(member);
}

void SessionWorld::restartMember(unsigned member)
{
    groupOf(member).restart(memberId(member));
}

void SessionWorld::restartMemberEmpty(unsigned member, Duration listedAfter)
{
    groupOf(member).restartEmpty(memberId(member));
    after(listedAfter, [this, member] {
        MemberStart &started = store_.members_[member].started_;
        started = MemberStart(started.value() + 1);
        ++store_.revision_;
    });
}

void SessionWorld::memberLeaves(unsigned member)
{
    store_.members_[member].leaving_ = true;
    ++store_.revision_;
}

void SessionWorld::callPromotion(unsigned vm, const CallPromotion &effect)
{
    const std::uint64_t incarnation = vms_[vm].incarnation_;
    if (promotionsDown_) {
        schedule(now_ + effect.timeout_, [this, vm, incarnation, effect] {
            deliverEvent(vm, incarnation, SessionEvent(PromotionAnswered{effect.group_, effect.member_, 0}));
        });
        return;
    }
    if (!promotionHolds_.contains(vm)) {
        receivePromotion(vm, incarnation, effect);
        return;
    }
    note(absl::StrCat("promotion of ", effect.member_.value(), " by ", vm, " is held up"));
    const std::uint64_t number = nextPromotion_++;
    heldUpPromotions_.push_back({number, vm, incarnation, effect});
    schedule(now_ + effect.timeout_, [this, number, vm, incarnation, effect] {
        if (std::erase_if(heldUpPromotions_, [&](const HeldUpPromotion &call) { return call.number_ == number; }) > 0) {
            deliverEvent(vm, incarnation, SessionEvent(PromotionAnswered{effect.group_, effect.member_, 0}));
        }
    });
}

void SessionWorld::holdUpPromotions(unsigned vm, bool heldUp)
{
    if (heldUp) {
        promotionHolds_.insert(vm);
        return;
    }
    promotionHolds_.erase(vm);
    std::vector<HeldUpPromotion> arriving;
    std::ranges::copy_if(heldUpPromotions_, std::back_inserter(arriving), [&](const HeldUpPromotion &call) { return call.vm_ == vm; });
    std::erase_if(heldUpPromotions_, [&](const HeldUpPromotion &call) { return call.vm_ == vm; });
    for (const HeldUpPromotion &call : arriving) {
        if (vms_[vm].incarnation_ == call.incarnation_) {
            receivePromotion(vm, call.incarnation_, call.effect_);
        }
    }
}

void SessionWorld::receivePromotion(unsigned vm, std::uint64_t incarnation, const CallPromotion &effect)
{
    const std::string &promoter = promoters_.try_emplace({effect.group_, effect.generation_}, vms_[vm].name_).first->second;
    if (promoter != vms_[vm].name_) {
        reportViolation(absl::StrCat("two VMs promote with generation ", effect.generation_));
    }
    std::uint64_t &highest = highestGenerations_[effect.group_];
    if (effect.generation_ < highest) {
        reportViolation(absl::StrCat("a promotion with generation ", effect.generation_, " after ", highest));
    }
    highest = std::max(highest, effect.generation_);
    Standin::LineGroupModel &group = groupOf(numberOf(effect.member_));
    const bool running = group.member(effect.member_).up_;
    constexpr unsigned accepted = 200;
    constexpr unsigned notRunning = 409;
    schedule(now_ + 2 * config_.networkDelay_, [this, vm, incarnation, effect, running] {
        deliverEvent(vm, incarnation, SessionEvent(PromotionAnswered{effect.group_, effect.member_, running ? accepted : notRunning}));
    });
    note(absl::StrCat("promotion of ", effect.member_.value(), " asked by ", vm));
    if (running) {
        schedule(now_ + config_.promotionTime_, [this, effect, &group] {
            note(absl::StrCat(effect.member_.value(), " leads"));
            promotions_ += group.promote(effect.member_, now_) ? 1 : 0;
            checkPromoted(numberOf(effect.member_));
        });
    }
}

void SessionWorld::checkPromoted(unsigned member)
{
    if (config_.syncReplicas_ == 0) {
        return;
    }
    std::set<std::string> kept;
    for (const Standin::LineCommit &commit : groupOf(member).member(memberId(member)).log_) {
        kept.insert(commit.statements_.begin(), commit.statements_.end());
    }
    for (const Acknowledged &write : acknowledged_) {
        if (write.group_ == member / config_.members_ && !kept.contains(write.id_)) {
            reportViolation(absl::StrCat("write ", write.id_, " was acknowledged, and ", memberId(member).value(), ", which was promoted, lacks it"));
        }
    }
}

} // namespace Figward::Testing
