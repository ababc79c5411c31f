#include "GroupRecord.h"

#include "Backoff.h"
#include "ProxyState.h"

#include <algorithm>
#include <boost/json.hpp>

namespace Figward {

namespace {

namespace json = boost::json;

constexpr Duration recordTimeout = std::chrono::seconds(1);
constexpr Backoff recordBackoff{std::chrono::milliseconds(200), 6};
constexpr Duration updateRankDelay = std::chrono::seconds(3); // Delay per rank, so that the owner that promoted the primary writes the record first.

json::value toJson(const OwnerGrant &grant)
{
    return {{"vm", grant.vm_.value()}, {"zone", grant.zone_.value()}, {"firstTerm", grant.block_.first_.value()}, {"lastTerm", grant.block_.last_.value()}};
}

OwnerGrant grantFrom(const json::value &value)
{
    OwnerGrant grant;
    grant.vm_ = VmId(value.at("vm").to_number<std::uint64_t>());
    grant.zone_ = ZoneId(json::value_to<std::string>(value.at("zone")));
    grant.block_.first_ = Term(value.at("firstTerm").to_number<std::uint64_t>());
    grant.block_.last_ = Term(value.at("lastTerm").to_number<std::uint64_t>());
    return grant;
}

GroupRecord recordFrom(const json::value &value)
{
    GroupRecord record;
    record.attempt_ = AttemptId(value.at("attempt").to_number<std::uint64_t>());
    record.term_ = Term(value.at("term").to_number<std::uint64_t>());
    const auto primary = json::value_to<std::string>(value.at("primary"));
    if (!primary.empty()) {
        record.primary_ = MemberId(primary);
    }
    record.nextBlock_ = value.at("nextBlock").to_number<std::uint64_t>();
    for (const json::value &grant : value.at("owners").as_array()) {
        record.owners_.push_back(grantFrom(grant));
    }
    return record;
}

bool lacksBlock(const GroupOwner &owner)
{
    const Term highest = std::max(owner.view_.term_, highestFence(owner.view_));
    return std::ranges::none_of(owner.failover_.blocks_, [&](const TermBlock &block) { return hasTermAbove(block, highest); });
}

bool lagsBehind(const GroupRecordState &state, const GroupView &view)
{
    return view.primary_ && (!state.known_ || state.known_->term_ < view.term_);
}

/** Keeps the grants of the current owners, in rank order. Grants a block to \p self if it has none or needs a new one. */
void updateGrants(GroupRecord &record, const std::vector<VmInfo> &ranked, VmId self, bool wantsBlock)
{
    std::vector<OwnerGrant> owners;
    for (const VmInfo &vm : ranked) {
        const auto known = std::ranges::find(record.owners_, vm.id_, &OwnerGrant::vm_);
        const bool renew = vm.id_ == self && (known == record.owners_.end() || wantsBlock);
        if (known != record.owners_.end() && !renew) {
            owners.push_back(*known);
        }
        const std::optional<TermBlock> block = renew ? termBlock(record.nextBlock_) : std::nullopt;
        if (block) {
            ++record.nextBlock_;
            owners.push_back({vm.id_, vm.zone_, *block});
        }
    }
    record.owners_ = std::move(owners);
}

void adoptRecord(ProxyState &state, GroupOwner &owner, GroupRecord record, ObjectVersion version, Time now, Effects &out)
{
    GroupRecordState &recordState = owner.failover_.record_;
    const auto grant = std::ranges::find(record.owners_, state.identity_.self_.id_, &OwnerGrant::vm_);
    if (grant != record.owners_.end() && grant->block_.first_ > owner.failover_.newestGrant_) {
        // Each grant is adopted only once: terms already used must not become available again when the record is read again.
        owner.failover_.newestGrant_ = grant->block_.first_;
        owner.failover_.blocks_.push_back(grant->block_);
        out.push_back(WriteLog{LogNumber::TermsGranted, {{"group", owner.config_.id_.value()}, {"first", std::to_string(grant->block_.first_.value())}}});
    }
    recordState.failures_ = 0;
    recordState.version_ = version;
    recordState.known_ = std::move(record);
    recordState.pendingUpdate_.reset();
    if (recordState.known_->primary_ && recordState.known_->term_ > owner.view_.term_) {
        adoptPrimary(state, owner, recordState.known_->term_, *recordState.known_->primary_, now, out);
    }
}

void retryLater(ProxyState &state, GroupRecordState &recordState, Time now)
{
    recordState.retryAt_ = now + backoffDelay(recordBackoff, recordState.failures_, state.random_);
    ++recordState.failures_;
}

void handleRead(ProxyState &state, GroupOwner &owner, const PlatformAnswer &answer, Time now, Effects &out)
{
    absl::StatusOr<GroupRecord> record = decodeGroupRecord(answer.value_);
    if (!record.ok()) {
        // A damaged record is never overwritten: a wrong nextBlock_ could grant a block twice, and two primaries could then share a term.
        out.push_back(WriteLog{LogNumber::GroupRecordDamaged, {{"group", owner.config_.id_.value()}}});
        retryLater(state, owner.failover_.record_, now);
        return;
    }
    // After a lost answer, the attempt id of the record read here tells whether this owner's update took effect. If it did not, the next update expects the
    // version read here, so that it fails if the lost update arrives late, instead of being applied as well.
    adoptRecord(state, owner, *std::move(record), answer.version_, now, out);
}

} // namespace

std::string encodeGroupRecord(const GroupRecord &record)
{
    json::array owners;
    for (const OwnerGrant &grant : record.owners_) {
        owners.push_back(toJson(grant));
    }
    const json::object object{{"attempt", record.attempt_.value()},
                              {"term", record.term_.value()},
                              {"primary", record.primary_ ? record.primary_->value() : std::string()},
                              {"nextBlock", record.nextBlock_},
                              {"owners", std::move(owners)}};
    return json::serialize(object);
}

absl::StatusOr<GroupRecord> decodeGroupRecord(std::string_view text)
{
    try {
        return recordFrom(json::parse(json::string_view(text.data(), text.size())));
    } catch (const std::exception &error) {
        return absl::InvalidArgumentError(error.what());
    }
}

std::string groupRecordPath(const GroupId &group)
{
    return "groups/" + group.value();
}

void maintainGroupRecord(ProxyState &state, GroupOwner &owner, Time now, Effects &out)
{
    GroupRecordState &recordState = owner.failover_.record_;
    const bool lags = lagsBehind(recordState, owner.view_);
    if (!lags) {
        recordState.staleSince_.reset();
    } else if (!recordState.staleSince_) {
        recordState.staleSince_ = now;
    }
    const bool mayWrite = lags && now >= *recordState.staleSince_ + owner.failover_.rank_ * updateRankDelay;
    const bool wantsBlock = lacksBlock(owner);
    if (recordState.busy_ || now < recordState.retryAt_ || owner.leaving_ || !(wantsBlock || mayWrite)) {
        return;
    }
    recordState.busy_ = true;
    if (!recordState.known_) {
        callPlatform(state, PlatformRequester::GroupRecord, GetObject{groupRecordPath(owner.config_.id_)}, recordTimeout, out, owner.config_.id_);
        return;
    }
    GroupRecord next = *recordState.known_;
    next.attempt_ = AttemptId(state.random_());
    if (owner.view_.primary_ && owner.view_.term_ > next.term_) {
        next.term_ = owner.view_.term_;
        next.primary_ = owner.view_.primary_;
    }
    updateGrants(next, failoverRanking(state, owner), state.identity_.self_.id_, wantsBlock);
    PutObject put{groupRecordPath(owner.config_.id_), recordState.version_, encodeGroupRecord(next)};
    recordState.pendingUpdate_ = std::move(next);
    callPlatform(state, PlatformRequester::GroupRecord, std::move(put), recordTimeout, out, owner.config_.id_);
}

void handleGroupRecordAnswer(ProxyState &state, GroupOwner &owner, const PlatformAnswer &answer, Time now, Effects &out)
{
    GroupRecordState &recordState = owner.failover_.record_;
    recordState.busy_ = false;
    const bool wasUpdate = recordState.pendingUpdate_ && recordState.known_;
    switch (answer.status_) {
    case PlatformStatus::Ok:
        if (wasUpdate) {
            adoptRecord(state, owner, *recordState.pendingUpdate_, answer.version_, now, out);
        } else {
            handleRead(state, owner, answer, now, out);
        }
        break;
    case PlatformStatus::NotFound:
        // A deleted record is written again from memory; starting at block 1 would grant blocks twice.
        adoptRecord(state, owner, recordState.known_.value_or(GroupRecord{}), ObjectVersion(0), now, out);
        break;
    case PlatformStatus::Conflict:
    case PlatformStatus::Lost:
        // Another owner's update came first, or this owner's update may have taken effect; the record must be read again to tell.
        recordState.known_.reset();
        retryLater(state, recordState, now);
        break;
    case PlatformStatus::Unavailable:
        retryLater(state, recordState, now);
        break;
    }
    maintainGroupRecord(state, owner, now, out);
}

} // namespace Figward
