#include "Status.h"

#include "Gossip.h"
#include "KeyTrim.h"
#include "ProxyState.h"
#include "Rendezvous.h"

#include <algorithm>
#include <bit>

namespace Figward {

namespace {

constexpr Duration reportInterval = std::chrono::seconds(2);
constexpr Duration refreshInterval = std::chrono::minutes(5); // An unchanged report is sent again after this time, in case the writer started after the last.
constexpr Duration writeInterval = std::chrono::seconds(5);
constexpr Duration writeDelayPerByte = std::chrono::milliseconds(1);
constexpr Duration maxWriteAge = std::chrono::minutes(5); // An unchanged report is rewritten after this time to show that the zone is alive.
constexpr Duration callTimeout = std::chrono::seconds(2);
constexpr unsigned quarters = 4;

std::uint64_t roundUp(std::uint64_t value)
{
    return value == 0 ? 0 : std::bit_ceil(value);
}

std::optional<VmInfo> writerOf(const ProxyState &state)
{
    const VmInfo &self = state.identity_.self_;
    std::vector<VmInfo> zone;
    std::ranges::copy_if(state.membership_.vms_, std::back_inserter(zone), [&](const VmInfo &vm) { return vm.zone_ == self.zone_; });
    const std::vector<VmInfo> writers = rendezvousOwners(GroupId(statusPath(self.zone_)), zone, 1);
    return writers.empty() ? std::nullopt : std::optional(writers.front());
}

void updateHistory(PrimaryHistory &history, const GroupView &view, Time now)
{
    const bool hasPrimary = view.primary_.has_value();
    const bool regained = hasPrimary && !history.hadPrimary_;
    if (regained && history.term_ != Term()) {
        history.lastGap_ = now - history.since_;
    }
    if (hasPrimary && history.term_ != Term() && view.term_ != history.term_) {
        ++history.failovers_;
    }
    if (hasPrimary != history.hadPrimary_ || view.term_ != history.term_) {
        history.since_ = now;
    }
    history.hadPrimary_ = hasPrimary;
    history.term_ = view.term_;
}

MemberReport memberReport(const ProxyState &state, const GroupOwner &owner, const MemberView &member)
{
    MemberReport report{.id_ = member.config_.id_, .leaving_ = member.config_.leaving_};
    report.reachable_ = member.status_ && member.missedProbes_ < state.configuration_.policy_.missedProbes_;
    const MemberView *primary = primaryOf(owner.view_);
    const bool comparable = primary != nullptr && primary->status_ && member.status_;
    if (comparable) {
        const std::uint64_t primaryPosition = primary->status_->log_.position_.value();
        const std::uint64_t memberPosition = member.status_->log_.position_.value();
        report.behind_ = primaryPosition > memberPosition ? roundUp(primaryPosition - memberPosition) : 0;
    }
    return report;
}

GroupReport groupReport(const ProxyState &state, const GroupOwner &owner, Time now)
{
    GroupReport report{.id_ = owner.config_.id_, .service_ = owner.config_.service_, .term_ = owner.view_.term_, .primary_ = owner.view_.primary_};
    const auto history = state.status_.history_.find(owner.config_.id_);
    if (history != state.status_.history_.end()) {
        report.primarySince_ = unixSeconds(state, history->second.since_);
        report.failovers_ = history->second.failovers_;
        report.lastGapMillis_ = static_cast<std::uint64_t>(toMillis(history->second.lastGap_));
    }
    report.queued_ = static_cast<unsigned>(roundUp(owner.queue_.places_.size()));
    const std::uint32_t usable = std::max(1U, usableQuota(owner, now).connections_.value());
    report.connections_ = std::min<unsigned>(quarters + 1, static_cast<unsigned>(owner.pool_.connections_.size()) * quarters / usable);
    for (const MemberView &member : owner.view_.members_) {
        report.members_.push_back(memberReport(state, owner, member));
    }
    return report;
}

void sendReport(ProxyState &state, Time now, Effects &out)
{
    VmReport report = ownReport(state, now);
    const std::optional<VmInfo> writer = writerOf(state);
    if (!writer) {
        return;
    }
    const bool due = now - state.status_.sentAt_ >= refreshInterval || writer->id_ != state.status_.sentTo_;
    if (report == state.status_.reported_ && !due) {
        return;
    }
    state.status_.sentTo_ = writer->id_;
    sendPeer(state, *writer, StatusNews{encodeVmReport(report)}, out);
    state.status_.reported_ = std::move(report);
    state.status_.sentAt_ = now;
}

ZoneReport zoneReport(const ProxyState &state, Time now)
{
    ZoneReport zone{.zone_ = state.identity_.self_.zone_, .writtenAt_ = unixSeconds(state, now)};
    for (const auto &[id, report] : state.status_.collected_) {
        zone.vms_.push_back(report);
    }
    for (const auto &[id, service] : state.configuration_.services_) {
        if (!service.dependsOn_.empty()) {
            zone.dependencies_.push_back({id, service.dependsOn_});
        }
    }
    return zone;
}

/** Removes the reports of VMs that are no longer known. */
void removeReportsOfUnknownVms(ProxyState &state)
{
    const auto gone = [&](const auto &entry) { return findVm(state, entry.first) == nullptr; };
    const bool changed = std::erase_if(state.status_.collected_, gone) > 0;
    state.status_.changed_ = state.status_.changed_ || changed;
}

/** Returns the delay after a write. The object of a large zone is written less often, so that its writer writes at most one kilobyte per second. */
Duration writeDelay(const StatusState &status)
{
    return std::max(writeInterval, writeDelayPerByte * static_cast<std::int64_t>(status.writtenBytes_));
}

/** Writes the zone's object if a report changed or the last write is too old. If the object's version is not known, it is read first. */
void writeZone(ProxyState &state, Time now, Effects &out)
{
    StatusState &status = state.status_;
    const bool needed = status.changed_ || now >= status.writtenAt_ + maxWriteAge;
    const bool idle = !needed || status.callPending_ || now < status.writtenAt_ + writeDelay(status);
    if (idle || status.collected_.empty()) {
        return;
    }
    status.callPending_ = true;
    status.writtenAt_ = now;
    const std::string path = statusPath(state.identity_.self_.zone_);
    if (!status.versionKnown_) {
        callPlatform(state, PlatformRequester::Status, GetObject{path}, callTimeout, out);
        return;
    }
    status.changed_ = false;
    std::string report = encodeZoneReport(zoneReport(state, now));
    status.writtenBytes_ = report.size();
    callPlatform(state, PlatformRequester::Status, PutObject{path, status.version_, std::move(report)}, callTimeout, out);
}

} // namespace

void startStatus(ProxyState &state, Time now, Effects & /*out*/)
{
    state.timers_.arm(now + jittered(state, reportInterval), {TimerTopic::Status, {}, 0});
}

void onStatusTimer(ProxyState &state, const TimerTag & /*tag*/, Time now, Effects &out)
{
    std::erase_if(state.status_.history_, [&](const auto &entry) { return !state.owners_.contains(entry.first); });
    for (const auto &[group, owner] : state.owners_) {
        updateHistory(state.status_.history_[group], owner.view_, now);
    }
    sendReport(state, now, out);
    removeReportsOfUnknownVms(state);
    writeZone(state, now, out);
    state.timers_.arm(now + jittered(state, reportInterval), {TimerTopic::Status, {}, 0});
}

void onStatusNews(ProxyState &state, const PeerMessage &message, const StatusNews &news, Time /*now*/, Effects & /*out*/)
{
    absl::StatusOr<VmReport> report = decodeVmReport(news.report_);
    if (!report.ok() || report->id_ != message.from_) {
        return;
    }
    VmReport &known = state.status_.collected_[message.from_];
    state.status_.changed_ = state.status_.changed_ || known != *report;
    known = *std::move(report);
}

void onStatusAnswer(ProxyState &state, const PlatformAnswer &answer, Time now, Effects &out)
{
    StatusState &status = state.status_;
    status.callPending_ = false;
    switch (answer.status_) {
    case PlatformStatus::Ok:
    case PlatformStatus::NotFound:
        status.version_ = answer.version_;
        if (!status.versionKnown_) {
            status.versionKnown_ = true;
            status.writtenAt_ = now - writeDelay(status);
            writeZone(state, now, out);
        }
        return;
    case PlatformStatus::Conflict:
    case PlatformStatus::Unavailable:
    case PlatformStatus::Lost:
        // Either another VM wrote the object because the lists of VMs differed, or the write may have taken effect. The next write replaces it in either case.
        status.versionKnown_ = false;
        status.changed_ = true;
        return;
    }
}

VmReport ownReport(const ProxyState &state, Time now)
{
    const VmInfo &self = state.identity_.self_;
    VmReport report{.id_ = self.id_, .zone_ = self.zone_, .address_ = self.address_, .version_ = state.configuration_.version_};
    report.refusedVersion_ = state.sync_.refusedVersion_;
    report.refusal_ = state.sync_.refusal_;
    report.draining_ = state.drain_.draining_;
    report.platformAway_ = state.membership_.platformUnavailable_;
    for (const auto &[group, owner] : state.owners_) {
        if (owner.rank_ == 0 && !owner.leaving_) {
            report.groups_.push_back(groupReport(state, owner, now));
        }
    }
    return report;
}

} // namespace Figward
