/** \file
 * Defines the record that a group has on the platform: its primary and the blocks of terms granted to its owners.
 *
 * The record changes only through conditional updates. A failover does not wait for it; the record is updated afterwards, once the platform answers.
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

/** An owner and the block of terms granted to it. */
struct OwnerGrant
{
    VmId vm_;
    ZoneId zone_;
    TermBlock block_;
    bool operator==(const OwnerGrant &) const = default;
};

/** The content of the group's object on the platform. */
struct GroupRecord
{
    AttemptId attempt_; ///< Id of the update that wrote the record; lets the author of an update whose answer was lost recognise it.
    Term term_; ///< Term of primary_; zero if there has been no primary.
    std::optional<MemberId> primary_;
    std::uint64_t nextBlock_ = 1; ///< Number of the next block. It never decreases, so that no block is granted twice, even when its owner is no longer listed.
    std::vector<OwnerGrant> owners_; ///< Owners in rank order at the time of the update.
    bool operator==(const GroupRecord &) const = default;
};

/** Encodes \p record as JSON. */
std::string encodeGroupRecord(const GroupRecord &record);
/** Decodes the output of encodeGroupRecord(); InvalidArgument for any other text. */
absl::StatusOr<GroupRecord> decodeGroupRecord(std::string_view text);

/** An owner's state of the record and of its call to the platform. */
struct GroupRecordState
{
    std::optional<GroupRecord> known_; ///< Record as last read or written; empty if the platform may hold another version.
    ObjectVersion version_; ///< Version of known_.
    std::optional<GroupRecord> pendingUpdate_; ///< An update in flight, or one whose answer was lost.
    bool busy_ = false; ///< A call is in flight.
    unsigned failures_ = 0; ///< Consecutive failed calls.
    Time retryAt_;
    std::optional<Time> staleSince_; ///< Time since which the record has been known to lag behind the group.
};

/** Returns the path of the record of \p group. */
std::string groupRecordPath(const GroupId &group);
/** Reads or updates the record if this owner has no usable block or the record lags behind the group. Otherwise makes no call. */
void maintainGroupRecord(ProxyState &state, GroupOwner &owner, Time now, Effects &out);
/** Handles the platform's answer to a call about the record. */
void handleGroupRecordAnswer(ProxyState &state, GroupOwner &owner, const PlatformAnswer &answer, Time now, Effects &out);

} // namespace Figward
