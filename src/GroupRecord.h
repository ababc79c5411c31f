/** \file
 * Defines the record that a group has on the platform: its primary, and the blocks of terms granted to its owners.
 *
 * It is changed by conditional updates only, in quiet times. A failover does not wait for it: the record follows when the platform answers.
 */
#pragma once

#include "Effect.h"
#include "Event.h"
#include "TermBlocks.h"
#include "Units.h"

#include <absl/status/statusor.h>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Figward {

struct ProxyState;
struct OutstandingCall;
struct GroupOwner;

/** An owner and its block. */
struct OwnerGrant
{
    VmId vm_;
    ZoneId zone_;
    TermBlock block_;
    bool operator==(const OwnerGrant &) const = default;
};

/** The group's object on the platform. */
struct GroupRecord
{
    AttemptId attempt_; ///< The update that wrote it: after a lost answer its author recognises its own.
    Term term_; ///< Of primary_; zero before the first.
    std::optional<MemberId> primary_;
    std::uint64_t nextBlock_ = 1; ///< Never falls, so that no block is granted twice even when its owner is long forgotten.
    std::vector<OwnerGrant> owners_; ///< In rank order at the time of the update.
    bool operator==(const GroupRecord &) const = default;
};

/** The JSON text of \p record. */
std::string encodeGroupRecord(const GroupRecord &record);
/** Reads what encodeGroupRecord() made; InvalidArgument for anything else. */
absl::StatusOr<GroupRecord> decodeGroupRecord(std::string_view text);

/** What an owner knows of the record, and its call under way. */
struct GroupRecordState
{
    std::optional<GroupRecord> known_; ///< As last read or written; empty if another version may exist.
    ObjectVersion version_; ///< Of known_.
    std::optional<GroupRecord> proposed_; ///< An update under way, or one whose answer was lost.
    bool busy_ = false; ///< A call is under way.
    unsigned failures_ = 0; ///< Calls in a row that brought nothing.
    Time retryAt_;
    std::optional<Time> staleSince_; ///< The record has been known to lag behind the group since then.
};

/** Path of the record of \p group. */
std::string groupRecordPath(const GroupId &group);
/** Reads or updates the record if this owner lacks a block or the record lags behind the group. Calls nothing in quiet times. */
void tendGroupRecord(ProxyState &state, GroupOwner &owner, Time now, Effects &out);
/** Takes in the platform's answer to a call about the record. */
void takeGroupRecordAnswer(ProxyState &state, GroupOwner &owner, const PlatformAnswer &answer, Time now, Effects &out);

} // namespace Figward
