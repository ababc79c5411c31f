#include "PlannedRevocation.h"

#include "ProxyState.h"
#include "SessionLookup.h"

#include <algorithm>

namespace Figward {

namespace {

/** Time for which statements under way may delay a revocation; most end within a fraction of it, and writes stall meanwhile. */
constexpr Duration maxDeferral = std::chrono::milliseconds(200);

bool hasStatementsAtPrimary(const SessionServiceState &sessions, const SessionGroup &group)
{
    return std::ranges::any_of(sessions.connections_, [&](const auto &entry) {
        const MemberConnection &connection = entry.second;
        return connection.member_ == group.authority_.primary_ && connection.use_ == MemberConnectionUse::Statement && connection.pending_.has_value();
    });
}

} // namespace

void revokePrimary(ProxyState &state, SessionGroup &group, std::uint64_t epoch, Time now)
{
    if (epoch <= group.authority_.epoch_) {
        return;
    }
    const MemberState *primary = findMember(state, group.authority_.primary_);
    const bool isLeaving = primary != nullptr && primary->entry_.leaving_;
    if (isLeaving && holdsAuthority(group.authority_, now) && hasStatementsAtPrimary(*state.sessions_, group)) {
        const Time since = group.deferredRevocation_ ? group.deferredRevocation_->since_ : now;
        group.deferredRevocation_ = DeferredRevocation{epoch, since};
    } else {
        revokeAuthority(group.authority_, epoch);
    }
    reviewDeferredRevocation(state, group, now);
}

void reviewDeferredRevocation(ProxyState &state, SessionGroup &group, Time now)
{
    if (!group.deferredRevocation_) {
        return;
    }
    const DeferredRevocation deferred = *group.deferredRevocation_;
    const bool isOver = deferred.epoch_ <= group.authority_.epoch_ || now - deferred.since_ > maxDeferral || !holdsAuthority(group.authority_, now);
    if (isOver || !hasStatementsAtPrimary(*state.sessions_, group)) {
        group.deferredRevocation_.reset();
        revokeAuthority(group.authority_, deferred.epoch_);
        state.sessions_->heartbeatNow_ = true; // The leader waits for this VM's confirmation.
    }
}

bool mayStartAtPrimary(const SessionGroup &group, Time now)
{
    return holdsAuthority(group.authority_, now) && !group.deferredRevocation_;
}

} // namespace Figward
