#include "SharedCheck.h"

#include "HeartbeatPace.h"
#include "ProxyState.h"
#include "SessionHeartbeats.h"

#include <algorithm>

namespace Figward {

namespace {

/** Spread of the VMs' reads, so that one mostly comes before the others. Where VMs are many, word passes through a leader: leaders go first. */
constexpr Duration checkSpread = std::chrono::milliseconds(400);
constexpr Duration lateSpread = std::chrono::milliseconds(800);
/** A VM that had no answer to a check asks again after the first pause, then after twice as long, up to the longest. */
constexpr Duration firstPause = std::chrono::milliseconds(300);
constexpr Duration longestPause = std::chrono::milliseconds(1200);

Duration randomBelow(ProxyState &state, Duration most)
{
    return Duration(static_cast<std::int64_t>(state.random_() % static_cast<std::uint64_t>(most.count())));
}

} // namespace

bool isCheckDue(ProxyState &state, SharedCheck &check, Duration interval, Time now)
{
    if (now < check.askedAt_.value_or(Time()) + interval) {
        check.notBefore_.reset();
        return false;
    }
    if (!check.notBefore_) {
        const Duration head = isReadFor(*state.sessions_, now) ? lateSpread : Duration(0);
        check.notBefore_ = now + head + randomBelow(state, head + checkSpread);
    }
    return now >= *check.notBefore_;
}

void noteCheckFailed(ProxyState &state, SharedCheck &check, Time now)
{
    constexpr unsigned maxDoublings = 2;
    const Duration pause = std::min(longestPause, firstPause * (1U << std::min(check.failures_, maxDoublings)));
    ++check.failures_;
    check.notBefore_ = now + pause / 2 + randomBelow(state, pause);
}

void noteChecked(SharedCheck &check, Time askedAt)
{
    check.askedAt_ = std::max(check.askedAt_.value_or(askedAt), askedAt);
    check.failures_ = 0;
}

bool leadsAny(const SessionServiceState &sessions)
{
    return std::ranges::any_of(sessions.groups_, [](const auto &entry) { return entry.second.leader_.has_value(); });
}

bool isReadFor(const SessionServiceState &sessions, Time now)
{
    const auto readsForOthers = [&](const auto &entry) { return entry.second.leads_ && isFresh(entry.second, now); };
    return !areAllClose(static_cast<unsigned>(sessions.peers_.size() + 1)) && !leadsAny(sessions) && std::ranges::any_of(sessions.peers_, readsForOthers);
}

} // namespace Figward
