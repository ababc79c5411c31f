#include "support/SessionWorld.h"

#include "Overloaded.h"

#include <cmath>

namespace Figward::Testing {

namespace {

constexpr Duration storeTime = std::chrono::milliseconds(4);

std::string kindOf(const StoreRequest &request)
{
    const Overloaded handle{
        [](const ReadConfiguration &) { return "read configuration"; },
        [](const WatchConfiguration &) { return "watch configuration"; },
        [](const ReadMembers &) { return "read members"; },
        [](const ReadVms &) { return "read VMs"; },
        [](const ReadClaims &body) { return body.group_ ? "read claim" : "read claims"; },
        [](const RegisterVm &) { return "register"; },
        [](const WriteClaim &) { return "write claim"; },
    };
    return std::visit(handle, request);
}

/** The list of members as the VM has read it. */
MemberDirectory mirroredMembers(const SessionServiceState &sessions)
{
    MemberDirectory directory{sessions.directoryRevision_, {}, sessions.unusableEntries_};
    for (const auto &[id, member] : sessions.members_) {
        if (!member.missingSince_) {
            directory.entries_.push_back(member.entry_);
        }
    }
    return directory;
}

} // namespace

void SessionWorld::garbleEntry(const std::string &name, bool garbled)
{
    if (garbled) {
        store_.unreadableEntries_.insert(name);
    } else {
        store_.unreadableEntries_.erase(name);
    }
    ++store_.revision_;
}

void SessionWorld::newConfiguration(const std::function<void(SessionConfiguration &)> &change)
{
    change(store_.configuration_);
    store_.configuration_.version_ = ConfigVersion(store_.configuration_.version_.value() + 2);
    store_.configurationRevision_ = ++store_.revision_;
}

void SessionWorld::watchesAreSilent(bool silent)
{
    watchesMissChanges_ = silent;
}

void SessionWorld::dropHistory()
{
    store_.oldestRevision_ = store_.revision_;
}

void SessionWorld::garbleEvents(bool garbled)
{
    unreadableEvents_ = garbled;
}

void SessionWorld::silenceStoreConnections(unsigned vm)
{
    constexpr unsigned existingConnections = 3;
    vms_[vm].silentConnections_ = existingConnections;
    ++vms_[vm].silenceCount_;
}

void SessionWorld::mirrorsAreCutFrom(unsigned vm, bool cut)
{
    cut ? (void)mirrorCuts_.insert(vm) : (void)mirrorCuts_.erase(vm);
}

void SessionWorld::configurationTakes(Duration transfer)
{
    configurationTransferTime_ = transfer;
}

void SessionWorld::watchesAreDeaf(bool deaf)
{
    longWatchesMissChanges_ = deaf;
}

void SessionWorld::answerConfiguration(unsigned vm, const StoreCall &call, StoreAnswered answer, Time askedAt)
{
    const std::uint64_t incarnation = vms_[vm].incarnation_;
    const Time end = askedAt + call.timeout_;
    const Time arrives = now_ + configurationTransferTime_;
    deliverEvent(vm, incarnation, SessionEvent(StoreAnswerBegan{call.id_}));
    if (arrives > end) {
        answer = StoreAnswered{call.id_, StoreResult::Unknown, {}};
    }
    schedule(std::min(arrives, end), [this, vm, incarnation, answer = std::move(answer)] { deliverEvent(vm, incarnation, SessionEvent(answer)); });
}

void SessionWorld::endCallAtTimeout(unsigned vm, const StoreCall &call)
{
    schedule(now_ + call.timeout_, [this, vm, incarnation = vms_[vm].incarnation_, id = call.id_] {
        deliverEvent(vm, incarnation, SessionEvent(StoreAnswered{id, StoreResult::Unknown, {}}));
    });
}

void SessionWorld::callStore(unsigned vm, const StoreCall &call)
{
    ++storeCalls_[kindOf(call.request_)];
    const std::uint64_t incarnation = vms_[vm].incarnation_;
    if (!call.source_.newConnection_ && vms_[vm].silentConnections_ > 0) {
        --vms_[vm].silentConnections_;
        endCallAtTimeout(vm, call);
        return;
    }
    const bool lost = storeDown_ || storeCuts_.contains(vm);
    const bool isWrite = std::holds_alternative<WriteClaim>(call.request_) || std::holds_alternative<RegisterVm>(call.request_);
    if (const auto *watch = std::get_if<WatchConfiguration>(&call.request_)) {
        // The watch is answered as soon as there is a change, or at the end of its wait.
        const auto poll = std::make_shared<std::function<void()>>();
        const Time end = now_ + watch->wait_;
        constexpr Duration longWait = std::chrono::milliseconds(100);
        *poll = [this,
                 vm,
                 incarnation,
                 call,
                 waitsLong = watch->wait_ > longWait,
                 since = watch->sinceRevision_,
                 silences = vms_[vm].silenceCount_,
                 end,
                 poll,
                 askedAt = now_] {
            const bool hears = (!longWatchesMissChanges_ || !waitsLong) && silences == vms_[vm].silenceCount_;
            if (since < store_.oldestRevision_ && silences == vms_[vm].silenceCount_ && !storeDown_ && !storeCuts_.contains(vm)) {
                deliverEvent(vm, incarnation, SessionEvent(StoreAnswered{call.id_, StoreResult::HistoryGone, {}}));
                schedule(now_, [poll] { *poll = nullptr; });
                return;
            }
            const bool changed = hears && store_.configurationRevision_ > since && !watchesMissChanges_ && !storeDown_ && !storeCuts_.contains(vm);
            if (!changed && now_ < end && vms_[vm].incarnation_ == incarnation) {
                schedule(now_ + std::chrono::milliseconds(5), *poll);
                return;
            }
            StoreAnswered answer{call.id_, StoreResult::Done, ConfigurationRead{store_.revision_, std::nullopt}};
            if (changed && unreadableEvents_) {
                deliverEvent(vm, incarnation, SessionEvent(StoreAnswered{call.id_, StoreResult::Unreadable, {}}));
            } else if (changed) {
                answer.content_ = ConfigurationRead{store_.revision_, store_.configuration_};
                answerConfiguration(vm, call, answer, askedAt);
            } else {
                deliverEvent(vm, incarnation, SessionEvent(answer));
            }
            schedule(now_, [poll] { *poll = nullptr; });
        };
        schedule(now_ + storeTime, *poll);
        return;
    }
    schedule(now_ + storeTime, [this, vm, incarnation, call, lost, isWrite] {
        const bool cut = lost || storeDown_ || storeCuts_.contains(vm);
        if (cut || (isWrite && storeLosesAnswers_)) {
            if (!cut) {
                execute(call);
            }
            endCallAtTimeout(vm, call);
            return;
        }
        StoreAnswered answer = execute(call);
        if (config_.transfers_.storeBytesPerSecond_ > 0) {
            transfer(vm, call, std::move(answer), config_.transfers_.storeBytesPerSecond_, storeTransfers_);
            return;
        }
        if (configurationTransferTime_ > Duration(0) && std::holds_alternative<ReadConfiguration>(call.request_)) {
            answerConfiguration(vm, call, std::move(answer), now_ - storeTime);
            return;
        }
        schedule(now_ + config_.networkDelay_, [this, vm, incarnation, answer = std::move(answer)] { deliverEvent(vm, incarnation, SessionEvent(answer)); });
    });
}

void SessionWorld::callMirror(unsigned vm, const StoreCall &call)
{
    const std::uint64_t incarnation = vms_[vm].incarnation_;
    const unsigned peer = static_cast<unsigned>(std::stoul(call.source_.peer_));
    schedule(now_ + 2 * config_.networkDelay_, [this, vm, incarnation, peer, call] {
        const bool isSilent = vmCuts_.contains(std::minmax(vm, peer)) || vms_[peer].frozen_ || mirrorCuts_.contains(vm);
        if (isSilent) {
            endCallAtTimeout(vm, call);
            return;
        }
        const bool asksConfiguration = std::holds_alternative<ReadConfiguration>(call.request_);
        unsigned &active = mirrorTransfers_[peer];
        if (config_.transfers_.vmBytesPerSecond_ > 0 && active >= config_.transfers_.mirrorAnswers_) {
            deliverEvent(vm, incarnation, SessionEvent(StoreAnswered{call.id_, StoreResult::Refused, {}}));
            return;
        }
        const auto answer = [&](StoreContent content) {
            StoreAnswered answered{call.id_, StoreResult::Done, std::move(content)};
            if (config_.transfers_.vmBytesPerSecond_ > 0) {
                transfer(vm, call, std::move(answered), config_.transfers_.vmBytesPerSecond_, active);
            } else {
                deliverEvent(vm, incarnation, SessionEvent(std::move(answered)));
            }
        };
        if (vms_[peer].state_ && std::holds_alternative<ReadMembers>(call.request_) && vms_[peer].state_->sessions_->directoryKnown_) {
            answer(mirroredMembers(*vms_[peer].state_->sessions_));
            return;
        }
        if (!vms_[peer].state_ || !asksConfiguration || !vms_[peer].state_->sessions_->configuration_) {
            deliverEvent(vm, incarnation, SessionEvent(StoreAnswered{call.id_, StoreResult::Unknown, {}}));
            return;
        }
        answer(ConfigurationRead{1, vms_[peer].state_->sessions_->configuration_});
    });
}

double SessionWorld::bytesOf(const StoreContent &content) const
{
    const TransferModel &model = config_.transfers_;
    const Overloaded size{
        [](std::monostate) { return 0.0; },
        [&](const ConfigurationRead &read) { return read.configuration_ ? model.configurationBytes_ : 0.0; },
        [&](const MemberDirectory &directory) { return model.entryBytes_ * static_cast<double>(directory.entries_.size()); },
        [&](const auto &list) { return model.entryBytes_ * static_cast<double>(list.size()); },
    };
    return std::visit(size, content);
}

void SessionWorld::transfer(unsigned vm, const StoreCall &call, StoreAnswered answer, double bytesPerSecond, unsigned &active)
{
    const double bytes = bytesOf(answer.content_);
    const std::uint64_t incarnation = vms_[vm].incarnation_;
    if (bytes <= 0) {
        schedule(now_ + config_.networkDelay_, [this, vm, incarnation, answer = std::move(answer)] { deliverEvent(vm, incarnation, SessionEvent(answer)); });
        return;
    }
    ++active;
    constexpr double microsPerSecond = 1e6;
    const auto needed = Duration(static_cast<std::int64_t>(active * bytes / bytesPerSecond * microsPerSecond));
    const double pageBytes = config_.transfers_.entryBytes_ * config_.transfers_.pageEntries_;
    const bool isList = !std::holds_alternative<ConfigurationRead>(answer.content_);
    const auto pages = static_cast<std::int64_t>(isList && call.source_.peer_.empty() ? std::ceil(bytes / pageBytes) : 1.0);
    const Duration allowed = call.timeout_ * pages;
    deliverEvent(vm, incarnation, SessionEvent(StoreAnswerBegan{call.id_}));
    if (needed > allowed) {
        answer = StoreAnswered{call.id_, StoreResult::Unknown, {}};
    }
    schedule(now_ + std::min(needed, allowed), [this, vm, incarnation, &active, answer = std::move(answer)] {
        --active;
        deliverEvent(vm, incarnation, SessionEvent(answer));
    });
}

StoreAnswered SessionWorld::execute(const StoreCall &call)
{
    StoreAnswered answer{call.id_, StoreResult::Done, {}};
    const Overloaded handle{
        [&](const ReadConfiguration &) {
            answer.content_ = ConfigurationRead{store_.revision_, store_.configuration_};
        },
        [&](const WatchConfiguration &) {},
        [&](const ReadMembers &) {
            answer.content_ = MemberDirectory{++store_.revision_, store_.members_, store_.unreadableEntries_};
        },
        [&](const ReadVms &) {
            std::vector<EntryVm> vms;
            for (const auto &[name, vm] : store_.vms_) {
                vms.push_back(vm);
            }
            answer.content_ = std::move(vms);
        },
        [&](const ReadClaims &body) {
            std::vector<LeaderClaim> claims;
            for (const auto &[group, claim] : store_.claims_) {
                if (!body.group_ || *body.group_ == group) {
                    claims.push_back(claim);
                }
            }
            answer.content_ = std::move(claims);
        },
        [&](const RegisterVm &body) { store_.vms_[body.vm_.name_] = body.vm_; },
        [&](const WriteClaim &body) { answer = executeWrite(call.id_, body); },
    };
    std::visit(handle, call.request_);
    return answer;
}

StoreAnswered SessionWorld::executeWrite(CallId id, const WriteClaim &write)
{
    const auto existing = store_.claims_.find(write.claim_.group_);
    const std::uint64_t revision = existing == store_.claims_.end() ? 0 : existing->second.revision_;
    if (revision != write.claim_.revision_) {
        std::vector<LeaderClaim> present;
        if (existing != store_.claims_.end()) {
            present.push_back(existing->second);
        }
        return StoreAnswered{id, present.empty() ? StoreResult::NotFound : StoreResult::Conflict, present};
    }
    LeaderClaim claim = write.claim_;
    claim.revision_ = ++store_.revision_;
    store_.claims_[claim.group_] = claim;
    return StoreAnswered{id, StoreResult::Done, std::vector<LeaderClaim>{claim}};
}

} // namespace Figward::Testing
