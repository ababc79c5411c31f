#include "SharedCheck.h"

#include "HeartbeatPace.h"
#include "ProxyState.h"
#include "SessionHeartbeats.h"

#include <algorithm>

namespace Figward {

namespace {

/** Random spread of the VMs' checks, so that usually one VM is clearly first. */
constexpr Duration checkSpread = std::chrono::milliseconds(400);
/** Additional delay, and additional spread, of VMs that hear a leader in a large fleet: updates pass through leaders there, which check earlier. */
constexpr Duration nonLeaderDelay = std::chrono::milliseconds(800);
/** Mean delay before an unanswered check is repeated; it doubles with each failure up to the maximum. */
constexpr Duration minRetryDelay = std::chrono::milliseconds(300);
constexpr Duration maxRetryDelay = std::chrono::milliseconds(1200);

/** Whether this VM hears a relay of its zone. */
bool hearsRelay(const SessionServiceState &sessions, Time now)
{
    return std::ranges::any_of(sessions.relays_, [&](const std::string &name) {
        const auto peer = sessions.peers_.find(name);
        return peer != sessions.peers_.end() && peer->second.vm_.zone_ == sessions.identity_.vm_.zone_ && wasHeardRecently(peer->second, now);
    });
}

Duration randomBelow(ProxyState &state, Duration limit)
{
    return Duration(static_cast<std::int64_t>(state.random_() % static_cast<std::uint64_t>(limit.count())));
}

} // namespace

bool isCheckDue(ProxyState &state, SharedCheck &check, Duration interval, Time now)
{
    if (now < check.askedAt_.value_or(Time()) + interval) {
        check.notBefore_.reset();
        return false;
    }
    if (!check.notBefore_) {
        const Duration delay = reliesOnLeaderChecks(*state.sessions_, now) ? nonLeaderDelay : Duration(0);
        check.notBefore_ = now + delay + randomBelow(state, delay + checkSpread);
    }
    return now >= *check.notBefore_;
}

void recordCheckFailure(ProxyState &state, SharedCheck &check, Time now)
{
    constexpr unsigned maxDoublings = 2;
    const Duration retryDelay = std::min(maxRetryDelay, minRetryDelay * (1U << std::min(check.failures_, maxDoublings)));
    ++check.failures_;
    check.notBefore_ = now + retryDelay / 2 + randomBelow(state, retryDelay);
}

void recordCheck(SharedCheck &check, Time askedAt)
{
    check.askedAt_ = std::max(check.askedAt_.value_or(askedAt), askedAt);
    check.failures_ = 0;
}

bool leadsAnyGroup(const SessionServiceState &sessions)
{
    return std::ranges::any_of(sessions.groups_, [](const auto &entry) { return entry.second.leader_.has_value(); });
}

bool reliesOnLeaderChecks(const SessionServiceState &sessions, Time now)
{
    if (sessions.onDemand_) {
        return !sessions.relays_.contains(sessions.identity_.vm_.name_) && hearsRelay(sessions, now);
    }
    const auto readsForOthers = [&](const auto &entry) { return entry.second.leads_ && wasHeardRecently(entry.second, now); };
    return !isFullMesh(static_cast<unsigned>(sessions.peers_.size() + 1)) && !leadsAnyGroup(sessions) && std::ranges::any_of(sessions.peers_, readsForOthers);
}

} // namespace Figward
