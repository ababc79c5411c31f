#include "Quota.h"

#include "OwnerDispatch.h"
#include "ProxyState.h"
#include "QuotaLoans.h"

#include <algorithm>

namespace Figward {

namespace {

constexpr std::uint32_t reserveDivisor = 16; // One connection in 16 stays unassigned, because an upstream may see a close later than the open that follows it.
// Longer than a change of the list of VMs takes to reach the other owners, and longer than a loan lasts.
constexpr Duration increaseDelay = std::chrono::seconds(2);

/** Returns the share of \p total for \p rank among \p count owners; the first ranks share the remainder. */
std::uint32_t shareOf(std::uint32_t total, unsigned rank, unsigned count)
{
    const std::uint32_t extra = rank < total % count ? 1 : 0;
    return total / count + extra;
}

std::uint32_t saturatingSubtract(std::uint32_t a, std::uint32_t b)
{
    return a > b ? a - b : 0;
}

Quota minimumOf(const Quota &a, const Quota &b)
{
    return {std::min(a.connections_, b.connections_), std::min(a.slots_, b.slots_)};
}

/** Returns the quota of a new owner while the previous owner finishes its work, and of a leaving owner: a connection to each member and one slot. */
Quota initialQuota(const GroupOwner &owner)
{
    return {ConnectionCount(static_cast<std::uint32_t>(owner.config_.members_.size())), SlotCount(1)};
}

Quota targetQuota(const GroupOwner &owner, unsigned ownerCount)
{
    if (owner.leaving_) {
        // Statements and transactions that have begun still need a slot to finish.
        return initialQuota(owner);
    }
    const std::uint32_t limit = owner.config_.connectionLimit_.value();
    const std::uint32_t shared = limit - limit / reserveDivisor;
    return {ConnectionCount(shareOf(shared, owner.rank_, ownerCount)), SlotCount(shareOf(owner.config_.slots_.value(), owner.rank_, ownerCount))};
}

std::optional<ConnectionId> longestIdle(const ConnectionPool &pool)
{
    std::optional<ConnectionId> best;
    Time bestSince = Time::max();
    for (const auto &[id, connection] : pool.connections_) {
        if (connection.use_ == ConnectionUse::Idle && connection.since_ < bestSince) {
            best = id;
            bestSince = connection.since_;
        }
    }
    return best;
}

} // namespace

Quota ownQuota(const GroupOwner &owner, Time now)
{
    const QuotaState &quota = owner.quota_;
    return now < quota.increaseAt_ ? minimumOf(quota.previous_, quota.target_) : quota.target_;
}

Quota usableQuota(const GroupOwner &owner, Time now)
{
    const Quota own = ownQuota(owner, now);
    const Quota lent = lentQuota(owner.quota_, now);
    const Quota borrowed = borrowedQuota(owner.quota_, now);
    return {ConnectionCount(saturatingSubtract(own.connections_.value(), lent.connections_.value()) + borrowed.connections_.value()),
            SlotCount(saturatingSubtract(own.slots_.value(), lent.slots_.value()) + borrowed.slots_.value())};
}

void resetQuota(ProxyState &state, GroupOwner &owner, unsigned ownerCount, Time now, Effects &out)
{
    QuotaState &quota = owner.quota_;
    const bool fresh = quota.target_ == Quota{};
    const Quota before = fresh ? initialQuota(owner) : ownQuota(owner, now);
    const Quota target = targetQuota(owner, ownerCount);
    if (!fresh && target == quota.target_) {
        return;
    }
    quota.previous_ = before;
    quota.target_ = target;
    const bool increases = minimumOf(before, target) != target;
    quota.increaseAt_ = increases ? now + increaseDelay : now;
    if (increases) {
        state.timers_.arm(quota.increaseAt_, {TimerTopic::Quota, owner.config_.id_, 0});
    }
    if (owner.leaving_) {
        beginReturningLoans(state, owner, now, out);
    }
    trimToQuota(state, owner, now, out);
}

void trimToQuota(ProxyState &state, GroupOwner &owner, Time now, Effects &out)
{
    const std::uint32_t allowed = usableQuota(owner, now).connections_.value();
    while (owner.pool_.connections_.size() > allowed) {
        const std::optional<ConnectionId> idle = longestIdle(owner.pool_);
        if (!idle) {
            return;
        }
        closeConnection(state, owner, *idle, out);
    }
}

void onQuotaTimer(ProxyState &state, const TimerTag &tag, Time now, Effects &out)
{
    GroupOwner *owner = findOwner(state, tag.group_);
    if (owner == nullptr) {
        return;
    }
    renewOrReturnLoans(state, *owner, now, out);
    trimToQuota(state, *owner, now, out);
    requestDispatch(state, *owner);
}

} // namespace Figward
