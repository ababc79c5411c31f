#include "QuotaLoans.h"

#include "OwnerDispatch.h"
#include "ProxyState.h"

#include <algorithm>

namespace Figward {

namespace {

constexpr Duration lease = std::chrono::seconds(1);
constexpr Duration borrowerLease = lease - lease / 10;
constexpr Duration renewalTime = borrowerLease / 2;
constexpr Duration returnPollInterval = std::chrono::milliseconds(2); // A statement takes a few milliseconds; its slot is returned soon after it ends.
constexpr Duration growthDelay = std::chrono::milliseconds(3); // Allows the answers of the other owners to the same request to arrive.
constexpr Duration minBackoff = std::chrono::milliseconds(20);
constexpr Duration maxBackoff = std::chrono::milliseconds(320);
constexpr Duration lendingHoldOff = std::chrono::milliseconds(200); // An owner that was short of quota within this time does not lend.
constexpr std::uint32_t maxConnectionsPerRequest = 4;

Quota operator+(const Quota &a, const Quota &b)
{
    return {ConnectionCount(a.connections_.value() + b.connections_.value()), SlotCount(a.slots_.value() + b.slots_.value())};
}

std::uint32_t saturatingSubtract(std::uint32_t a, std::uint32_t b)
{
    return a > b ? a - b : 0;
}

bool isEmpty(const Quota &quota)
{
    return quota == Quota{};
}

void arm(ProxyState &state, const GroupOwner &owner, Time at)
{
    state.timers_.arm(at, {TimerTopic::Quota, owner.config_.id_, 0});
}

std::uint32_t connectionsInUse(const GroupOwner &owner)
{
    const auto inUse = [](const auto &entry) { return entry.second.use_ != ConnectionUse::Idle; };
    return static_cast<std::uint32_t>(std::ranges::count_if(owner.pool_.connections_, inUse));
}

void removeExpired(QuotaState &quota, Time now)
{
    std::erase_if(quota.lent_, [&](const QuotaLent &loan) { return loan.expiresAt_ <= now; });
    std::erase_if(quota.borrowed_, [&](const QuotaBorrowed &loan) { return loan.expiresAt_ <= now; });
}

/** Whether the owner's current work needs more than its own share. */
bool needsLoans(const GroupOwner &owner, Time now)
{
    const Quota own = ownQuota(owner, now);
    const bool moreRunning = slotsInUse(owner) > own.slots_.value();
    const bool moreConnected = connectionsInUse(owner) > own.connections_.value();
    return !owner.queue_.places_.empty() || moreRunning || moreConnected;
}

/** Returns the quota to request from other owners: a slot for each waiting request, and a few connections if none is left. */
Quota wantedQuota(const GroupOwner &owner, Time now)
{
    const auto waiting = static_cast<std::uint32_t>(owner.queue_.places_.size());
    const std::uint32_t ownSlots = ownQuota(owner, now).slots_.value();
    const std::uint32_t running = saturatingSubtract(slotsInUse(owner), ownSlots);
    const std::uint32_t slots = std::min(waiting + running, saturatingSubtract(owner.config_.slots_.value(), ownSlots));
    const std::uint32_t usable = usableQuota(owner, now).connections_.value();
    const bool outOfConnections = connectionsInUse(owner) >= usable;
    const std::uint32_t held = borrowedQuota(owner.quota_, now).connections_.value();
    const std::uint32_t more = outOfConnections ? std::min(waiting, maxConnectionsPerRequest) : 0;
    return {ConnectionCount(held + more), SlotCount(slots)};
}

void requestLoans(ProxyState &state, GroupOwner &owner, Time now, Effects &out)
{
    QuotaState &quota = owner.quota_;
    const Quota wanted = wantedQuota(owner, now);
    quota.backoff_ = std::clamp(quota.backoff_ * 2, minBackoff, maxBackoff);
    quota.nextRequestAt_ = now + quota.backoff_;
    if (isEmpty(wanted)) {
        return;
    }
    quota.requestId_ = allocateId(state);
    quota.requestedAt_ = now;
    for (const VmInfo &other : ownersOf(state, owner.config_.id_)) {
        if (other.id_ != state.identity_.self_.id_) {
            sendPeer(state, other, QuotaRequest{owner.config_.id_, quota.requestId_, wanted.connections_, wanted.slots_}, out);
        }
    }
}

/** Asks all borrowers to return their loans. A borrower that receives a quota request from the lender of one of its loans returns that loan. */
void recallLoans(ProxyState &state, GroupOwner &owner, Time now, Effects &out)
{
    owner.quota_.nextRequestAt_ = now + minBackoff;
    for (const QuotaLent &loan : owner.quota_.lent_) {
        if (const VmInfo *borrower = findVm(state, loan.borrower_)) {
            sendPeer(state, *borrower, QuotaRequest{owner.config_.id_, 0, loan.amount_.connections_, loan.amount_.slots_}, out);
        }
    }
}

void returnLoan(ProxyState &state, const GroupOwner &owner, const QuotaBorrowed &loan, Effects &out)
{
    sendPeer(state, loan.lender_, QuotaReturn{owner.config_.id_, loan.loan_}, out);
}

/** Returns the loans marked as returning if no work uses them any more; otherwise arms a timer to check again. */
void finishReturns(ProxyState &state, GroupOwner &owner, Time now, Effects &out)
{
    QuotaState &quota = owner.quota_;
    const bool any = std::ranges::any_of(quota.borrowed_, &QuotaBorrowed::returning_);
    if (!any) {
        return;
    }
    trimToQuota(state, owner, now, out);
    const Quota usable = usableQuota(owner, now);
    const bool inUse = slotsInUse(owner) > usable.slots_.value() || owner.pool_.connections_.size() > usable.connections_.value();
    if (inUse) {
        arm(state, owner, now + returnPollInterval);
        return;
    }
    for (const QuotaBorrowed &loan : quota.borrowed_) {
        if (loan.returning_) {
            returnLoan(state, owner, loan, out);
        }
    }
    std::erase_if(quota.borrowed_, [](const QuotaBorrowed &loan) { return loan.returning_; });
}

/** Returns the quota that this owner can lend to \p borrower, including what it already lends to it. */
Quota spareQuota(const GroupOwner &owner, VmId borrower, Time now)
{
    const QuotaState &quota = owner.quota_;
    const bool hasWork = !owner.queue_.places_.empty() || now < quota.lastShortageAt_ + lendingHoldOff;
    if (owner.leaving_ || hasWork) {
        return {};
    }
    Quota others;
    for (const QuotaLent &loan : quota.lent_) {
        others = loan.borrower_ == borrower ? others : others + loan.amount_;
    }
    const Quota own = ownQuota(owner, now);
    const auto retained = static_cast<std::uint32_t>(owner.config_.members_.size()); // One connection to each member stays open for the next request.
    const std::uint32_t keptConnections = others.connections_.value() + connectionsInUse(owner) + retained;
    const std::uint32_t keptSlots = others.slots_.value() + slotsInUse(owner);
    return {ConnectionCount(saturatingSubtract(own.connections_.value(), keptConnections)), SlotCount(saturatingSubtract(own.slots_.value(), keptSlots))};
}

Quota minimumOf(const Quota &a, const Quota &b)
{
    return {std::min(a.connections_, b.connections_), std::min(a.slots_, b.slots_)};
}

/** Whether \p a is at least as large as \p b in both connections and slots. */
bool covers(const Quota &a, const Quota &b)
{
    return a.connections_ >= b.connections_ && a.slots_ >= b.slots_;
}

void lend(ProxyState &state, GroupOwner &owner, const PeerMessage &message, const QuotaRequest &request, Time now, Effects &out)
{
    QuotaState &quota = owner.quota_;
    const VmInfo borrower{.id_ = message.from_, .address_ = message.fromAddress_};
    const auto old = std::ranges::find(quota.lent_, borrower.id_, &QuotaLent::borrower_);
    const Quota held = old == quota.lent_.end() ? Quota{} : old->amount_;
    const Quota granted = minimumOf(spareQuota(owner, borrower.id_, now), {request.connections_, request.slots_});
    // Replacing a loan by a smaller one would free quota here that the borrower may still be using. The existing loan is left to expire instead.
    if (isEmpty(granted) || !covers(granted, held)) {
        sendPeer(state, borrower, QuotaLoan{.group_ = request.group_, .ask_ = request.ask_}, out);
        return;
    }
    if (old != quota.lent_.end()) {
        quota.lent_.erase(old);
    }
    const std::uint64_t id = allocateId(state);
    quota.lent_.push_back({id, borrower.id_, granted, now + lease});
    arm(state, owner, now + lease);
    // The borrower may open connections at once, so idle connections above the remaining quota must be closed first.
    trimToQuota(state, owner, now, out);
    sendPeer(state, borrower, QuotaLoan{request.group_, request.ask_, id, granted.connections_, granted.slots_, lease}, out);
}

} // namespace

Quota lentQuota(const QuotaState &quota, Time now)
{
    Quota sum;
    for (const QuotaLent &loan : quota.lent_) {
        sum = now < loan.expiresAt_ ? sum + loan.amount_ : sum;
    }
    return sum;
}

Quota borrowedQuota(const QuotaState &quota, Time now)
{
    Quota sum;
    for (const QuotaBorrowed &loan : quota.borrowed_) {
        sum = now < loan.expiresAt_ && !loan.returning_ ? sum + loan.amount_ : sum;
    }
    return sum;
}

void renewOrReturnLoans(ProxyState &state, GroupOwner &owner, Time now, Effects &out)
{
    QuotaState &quota = owner.quota_;
    removeExpired(quota, now);
    finishReturns(state, owner, now, out);
    const auto usable = [](const QuotaBorrowed &loan) { return !loan.returning_; };
    if (std::ranges::none_of(quota.borrowed_, usable)) {
        return;
    }
    if (!needsLoans(owner, now)) {
        beginReturningLoans(state, owner, now, out);
        return;
    }
    // Borrowed slots may have to wait for connections to be opened; further slots are requested in the meantime.
    const bool growing = quota.backoff_ == Duration::zero() && now >= quota.nextRequestAt_ && !owner.queue_.places_.empty();
    if (growing || now >= quota.requestedAt_ + renewalTime) {
        requestLoans(state, owner, now, out);
    }
}

void beginReturningLoans(ProxyState &state, GroupOwner &owner, Time now, Effects &out)
{
    for (QuotaBorrowed &loan : owner.quota_.borrowed_) {
        loan.returning_ = true;
    }
    finishReturns(state, owner, now, out);
}

void onQuotaShortage(ProxyState &state, GroupOwner &owner, Time now, Effects &out)
{
    QuotaState &quota = owner.quota_;
    quota.lastShortageAt_ = now;
    if (now < quota.nextRequestAt_ || owner.leaving_) {
        return;
    }
    removeExpired(quota, now);
    if (!quota.lent_.empty()) {
        recallLoans(state, owner, now, out);
        return;
    }
    requestLoans(state, owner, now, out);
}

void onQuotaRequest(ProxyState &state, const PeerMessage &message, const QuotaRequest &request, Time now, Effects &out)
{
    GroupOwner *owner = findOwner(state, request.group_);
    if (owner == nullptr) {
        return;
    }
    removeExpired(owner->quota_, now);
    bool recalled = false;
    for (QuotaBorrowed &loan : owner->quota_.borrowed_) {
        if (loan.lender_.id_ == message.from_) {
            loan.returning_ = true;
            recalled = true;
        }
    }
    if (recalled || request.ask_ == 0) {
        finishReturns(state, *owner, now, out);
        return;
    }
    lend(state, *owner, message, request, now, out);
}

void onQuotaLoan(ProxyState &state, const PeerMessage &message, const QuotaLoan &loan, Time now, Effects & /*out*/)
{
    GroupOwner *owner = findOwner(state, loan.group_);
    const bool lent = loan.loan_ != 0;
    const bool current = owner != nullptr && !owner->leaving_ && owner->quota_.requestId_ == loan.ask_;
    if (!lent || !current) {
        return; // An unused loan expires with its lease.
    }
    QuotaState &quota = owner->quota_;
    const VmInfo lender{.id_ = message.from_, .address_ = message.fromAddress_};
    const Quota before = borrowedQuota(quota, now);
    std::erase_if(quota.borrowed_, [&](const QuotaBorrowed &old) { return old.lender_.id_ == lender.id_; });
    const Duration usableFor = std::min(loan.lease_ - loan.lease_ / 10, borrowerLease);
    const Time expiresAt = quota.requestedAt_ + usableFor;
    quota.borrowed_.push_back({loan.loan_, lender, {loan.connections_, loan.slots_}, expiresAt});
    // More requests may have been queued since the quota was requested. If the loans grew, more quota may be available and is requested soon; if they did not,
    // no more is available at present.
    const bool grew = borrowedQuota(quota, now).slots_ > before.slots_ || borrowedQuota(quota, now).connections_ > before.connections_;
    quota.backoff_ = grew ? Duration::zero() : maxBackoff / 2;
    quota.nextRequestAt_ = now + (grew ? growthDelay : quota.backoff_);
    arm(state, *owner, quota.nextRequestAt_);
    arm(state, *owner, quota.requestedAt_ + renewalTime);
    arm(state, *owner, expiresAt);
    requestDispatch(state, *owner);
}

void onQuotaReturn(ProxyState &state, const PeerMessage &message, const QuotaReturn &returned, Time /*now*/, Effects & /*out*/)
{
    GroupOwner *owner = findOwner(state, returned.group_);
    if (owner == nullptr) {
        return;
    }
    const auto matches = [&](const QuotaLent &loan) { return loan.loan_ == returned.loan_ && loan.borrower_ == message.from_; };
    if (std::erase_if(owner->quota_.lent_, matches) > 0) {
        requestDispatch(state, *owner);
    }
}

} // namespace Figward
