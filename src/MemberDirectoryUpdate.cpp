#include "MemberDirectoryUpdate.h"

#include "MemberConnections.h"
#include "ProxyState.h"
#include "SessionHeartbeats.h"
#include "SessionLookup.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <iterator>
#include <utility>
#include <xxhash.h>

namespace Figward {

namespace {

/**
 * A member is removed after it has been missing for this long. Entries that expired during an outage of the store are back about two seconds after the store
 * returns, and must not cause a removal.
 */
constexpr Duration removalDelay = std::chrono::milliseconds(2600);
/** Changes of one update that are logged one by one; a fleet that starts would otherwise write a line for each pair of a VM and a member. */
constexpr std::ptrdiff_t maxLoggedMembers = 12;

void logMember(const DirectoryEntry &entry, std::string_view what, std::uint64_t revision, Effects &out)
{
    out.emplace_back(WriteLog{LogNumber::MemberChanged,
                              {{"member", entry.id_.value()},
                               {"group", entry.service_.value()},
                               {"change", std::string(what)},
                               {"address", entry.address_},
                               {"revision", absl::StrCat(revision)}}});
}

/**
 * Logs entries that cannot be parsed, because another writer made them or their fields are corrupted. Each is logged once, rather than on every read of the
 * directory.
 */
void logUnusable(const MemberDirectory &directory, const std::set<std::string> &known, Effects &out)
{
    for (const std::string &name : directory.unusable_) {
        if (!known.contains(name)) {
            out.emplace_back(WriteLog{LogNumber::StoreObjectUnreadable,
                                      {{"object", name.empty() ? "an entry without a name" : name},
                                       {"reason", "no entry of a member"},
                                       {"revision", absl::StrCat(directory.revision_)}}});
        }
    }
}

/** Closes the member's idle connections; connections with statements in flight close when those end. */
void closeIdle(ProxyState &state, MemberState &member, Effects &out)
{
    const std::vector<ConnectionId> idle = member.idle_.all_;
    for (const ConnectionId id : idle) {
        closeMemberConnection(state, id, out);
    }
}

/**
 * Drops what is known about the previous process of a member that was started again under its id: the new process may hold nothing of what that one held.
 * Connections that run statements remain until they end by themselves, so that each statement gets the outcome that fits. Without the revocation, VMs would
 * read from a primary that has lost its log.
 */
void forgetPreviousProcess(ProxyState &state, MemberState &member, Effects &out)
{
    closeIdle(state, member, out);
    MemberState fresh;
    fresh.entry_ = member.entry_;
    fresh.connections_ = std::move(member.connections_);
    fresh.control_ = member.control_;
    fresh.use_ = member.use_;
    member = std::move(fresh);
    SessionGroup *group = findGroup(state, member.entry_.service_);
    if (group != nullptr && group->authority_.primary_ == member.entry_.id_) {
        revokeAuthority(group->authority_, group->authority_.epoch_ + 1);
    }
}

void update(ProxyState &state, const DirectoryEntry &entry, std::uint64_t revision, Time now, Effects &out)
{
    MemberState &member = state.sessions_->members_[entry.id_];
    const DirectoryEntry previous = member.entry_;
    const bool isNew = previous.id_ == MemberId();
    if (isNew) {
        logMember(entry, "came", revision, out);
    } else if (entry.started_ < previous.started_) {
        member.missingSince_.reset();
        return; // An entry of the previous process that arrives late.
    } else if (previous.started_ < entry.started_ || previous.address_ != entry.address_) {
        logMember(entry, "started again", revision, out);
        forgetPreviousProcess(state, member, out);
    } else if (!previous.leaving_ && entry.leaving_) {
        logMember(entry, "leaves", revision, out);
    }
    member.entry_ = entry;
    member.missingSince_.reset();
    if (!entry.leaving_) {
        member.leavingSince_.reset();
    } else if (!member.leavingSince_) {
        member.leavingSince_ = now;
    }
    SessionGroup &group = state.sessions_->groups_[entry.service_];
    group.id_ = entry.service_;
    group.members_.insert(entry.id_);
}

/** Adds the effects of an update; the log entries of many changes at once become a single one. */
void logChanges(const SessionServiceState &sessions, Effects changes, std::uint64_t revision, Effects &out)
{
    const auto isLog = [](const Effect &effect) { return std::holds_alternative<WriteLog>(effect); };
    const auto lines = std::ranges::count_if(changes, isLog);
    if (lines > maxLoggedMembers) {
        std::erase_if(changes, isLog);
        out.emplace_back(WriteLog{LogNumber::MembersChanged,
                                  {{"changes", absl::StrCat(lines)},
                                   {"members", absl::StrCat(sessions.members_.size())},
                                   {"groups", absl::StrCat(sessions.groups_.size())},
                                   {"revision", absl::StrCat(revision)}}});
    }
    std::ranges::move(changes, std::back_inserter(out));
}

/** Fingerprint of the directory: equal in all processes for the same entries in any order, and never zero. */
std::uint64_t fingerprint(const MemberDirectory &directory)
{
    std::uint64_t sum = 1;
    for (const DirectoryEntry &entry : directory.entries_) {
        const std::string text = absl::StrCat(entry.id_.value(),
                                              "|",
                                              entry.service_.value(),
                                              "|",
                                              entry.address_,
                                              "|",
                                              entry.zone_.value(),
                                              "|",
                                              entry.leaving_,
                                              entry.claimsPrimary_,
                                              entry.started_.value());
        sum += XXH3_64bits(text.data(), text.size());
    }
    return std::max<std::uint64_t>(sum, 1);
}

void remove(ProxyState &state, const MemberId &id, std::uint64_t revision, Effects &out)
{
    MemberState &member = state.sessions_->members_.at(id);
    logMember(member.entry_, "gone", revision, out);
    if (SessionGroup *group = findGroup(state, member.entry_.service_)) {
        group->members_.erase(id);
    }
    closeIdle(state, member, out);
    if (member.control_) {
        closeMemberConnection(state, *member.control_, out);
    }
    state.sessions_->members_.erase(id);
}

} // namespace

void updateDirectory(ProxyState &state, const MemberDirectory &directory, Time now, Effects &out)
{
    SessionServiceState &sessions = *state.sessions_;
    if (directory.revision_ <= sessions.directoryRevision_) {
        return;
    }
    sessions.directoryRevision_ = directory.revision_;
    sessions.directoryKnown_ = true;
    sessions.directoryFingerprint_ = fingerprint(directory);
    logUnusable(directory, sessions.unusableEntries_, out);
    sessions.unusableEntries_ = directory.unusable_;
    std::set<MemberId> present;
    Effects changes;
    for (const DirectoryEntry &entry : directory.entries_) {
        present.insert(entry.id_);
        update(state, entry, directory.revision_, now, changes);
    }
    logChanges(sessions, std::move(changes), directory.revision_, out);
    // Heartbeats depend on the number of groups, so the first ones after this must know it.
    sessions.delegatesReviewAt_ = Time();
    reviewDelegates(sessions, now);
    if (sessions.onDemand_) {
        sessions.heartbeatNow_ = true; // Close VMs read the list here: if all of a zone read it from its relays, it would take them many seconds.
    }
    for (auto &[id, member] : sessions.members_) {
        if (!present.contains(id) && !member.missingSince_) {
            member.missingSince_ = now;
            sessions.missingMembers_.insert(id);
        }
    }
}

void removeMissingMembers(ProxyState &state, Time now, Effects &out)
{
    std::vector<MemberId> gone;
    std::erase_if(state.sessions_->missingMembers_, [&](const MemberId &id) {
        const MemberState *member = findMember(state, id);
        const bool isGone = member != nullptr && member->missingSince_ && now - *member->missingSince_ > removalDelay;
        if (isGone) {
            gone.push_back(id);
        }
        return isGone || member == nullptr || !member->missingSince_;
    });
    for (const MemberId &id : gone) {
        remove(state, id, state.sessions_->directoryRevision_, out);
    }
}

} // namespace Figward
