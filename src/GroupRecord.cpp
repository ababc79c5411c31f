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
constexpr Duration takeoverDelay = std::chrono::seconds(3); // By rank: the owner that promoted writes the record first.

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

/** The grants of owners that are still such, in rank order; \p self gets a block if it has none. */
void renewOwners(GroupRecord &record, const std::vector<VmInfo> &ranked, VmId self, bool wantsBlock)
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
    GroupRecordState &own = owner.failover_.record_;
    const auto grant = std::ranges::find(record.owners_, state.identity_.self_.id_, &OwnerGrant::vm_);
    if (grant != record.owners_.end() && grant->block_.first_ > owner.failover_.newestGrant_) {
        // Adopted once: terms already taken from it must not come back when the record is read again.
        owner.failover_.newestGrant_ = grant->block_.first_;
        owner.failover_.blocks_.push_back(grant->block_);
        out.push_back(WriteLog{LogNumber::TermsGranted, {{"group", owner.config_.id_.value()}, {"first", std::to_string(grant->block_.first_.value())}}});
    }
    own.failures_ = 0;
    own.version_ = version;
    own.known_ = std::move(record);
    own.proposed_.reset();
    if (own.known_->primary_ && own.known_->term_ > owner.view_.term_) {
        adoptPrimary(state, owner, own.known_->term_, *own.known_->primary_, now, out);
    }
}

void retryLater(ProxyState &state, GroupRecordState &own, Time now)
{
    own.retryAt_ = now + backoffDelay(recordBackoff, own.failures_, state.random_);
    ++own.failures_;
}

void takeRead(ProxyState &state, GroupOwner &owner, const PlatformAnswer &answer, Time now, Effects &out)
{
    absl::StatusOr<GroupRecord> record = decodeGroupRecord(answer.value_);
    if (!record.ok()) {
        // Never overwritten: a guess at nextBlock_ could grant a block twice, and two primaries could then share a term.
        out.push_back(WriteLog{LogNumber::GroupRecordDamaged, {{"group", owner.config_.id_.value()}}});
        retryLater(state, owner.failover_.record_, now);
        return;
    }
    // After a lost answer this read tells whose update it was: our own attempt id means that it took effect. If it did not, the version expected
    // by the next update is the one read here, so that a late arrival of the lost update makes the next one fail instead of doubling it.
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

void tendGroupRecord(ProxyState &state, GroupOwner &owner, Time now, Effects &out)
{
    GroupRecordState &own = owner.failover_.record_;
    const bool lags = lagsBehind(own, owner.view_);
    if (!lags) {
        own.staleSince_.reset();
    } else if (!own.staleSince_) {
        own.staleSince_ = now;
    }
    const bool mayWrite = lags && now >= *own.staleSince_ + owner.failover_.rank_ * takeoverDelay;
    const bool wantsBlock = lacksBlock(owner);
    if (own.busy_ || now < own.retryAt_ || owner.leaving_ || !(wantsBlock || mayWrite)) {
        return;
    }
    own.busy_ = true;
    if (!own.known_) {
        callPlatform(state, PlatformUser::GroupRecord, GetObject{groupRecordPath(owner.config_.id_)}, recordTimeout, out, owner.config_.id_);
        return;
    }
    GroupRecord next = *own.known_;
    next.attempt_ = AttemptId(state.random_());
    if (owner.view_.primary_ && owner.view_.term_ > next.term_) {
        next.term_ = owner.view_.term_;
        next.primary_ = owner.view_.primary_;
    }
    renewOwners(next, failoverRanking(state, owner), state.identity_.self_.id_, wantsBlock);
    PutObject put{groupRecordPath(owner.config_.id_), own.version_, encodeGroupRecord(next)};
    own.proposed_ = std::move(next);
    callPlatform(state, PlatformUser::GroupRecord, std::move(put), recordTimeout, out, owner.config_.id_);
}

void takeGroupRecordAnswer(ProxyState &state, GroupOwner &owner, const PlatformAnswer &answer, Time now, Effects &out)
{
    GroupRecordState &own = owner.failover_.record_;
    own.busy_ = false;
    const bool wasUpdate = own.proposed_ && own.known_;
    switch (answer.status_) {
    case PlatformStatus::Ok:
        if (wasUpdate) {
            adoptRecord(state, owner, *own.proposed_, answer.version_, now, out);
        } else {
            takeRead(state, owner, answer, now, out);
        }
        break;
    case PlatformStatus::NotFound:
        // A record that was deleted is written again from memory: starting at block 1 would grant blocks twice.
        adoptRecord(state, owner, own.known_.value_or(GroupRecord{}), ObjectVersion(0), now, out);
        break;
    case PlatformStatus::Conflict:
    case PlatformStatus::Lost:
        // Another owner was first, or our own update may have taken effect: only the object itself can tell.
        own.known_.reset();
        retryLater(state, own, now);
        break;
    case PlatformStatus::Unavailable:
        retryLater(state, own, now);
        break;
    }
    tendGroupRecord(state, owner, now, out);
}

} // namespace Figward
