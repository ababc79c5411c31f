#include "QuotaLoans.h"

#include "OwnerDispatch.h"
#include "ProxyState.h"

#include <algorithm>

namespace Figward {

namespace {

constexpr Duration lease = std::chrono::seconds(1);
constexpr Duration borrowerLease = lease - lease / 10;
constexpr Duration renewalTime = borrowerLease / 2;
constexpr Duration returnPoll = std::chrono::milliseconds(2); // A statement takes a few milliseconds: its slot is returned soon after.
constexpr Duration growthPause = std::chrono::milliseconds(3); // The other owners' answers to the same request arrive meanwhile.
constexpr Duration firstPatience = std::chrono::milliseconds(20);
constexpr Duration longestPatience = std::chrono::milliseconds(320);
constexpr Duration ownUse = std::chrono::milliseconds(200); // An owner that was short so lately keeps what it has.
constexpr std::uint32_t connectionsAtOnce = 4;

Quota operator+(const Quota &a, const Quota &b)
{
    return {ConnectionCount(a.connections_.value() + b.connections_.value()), SlotCount(a.slots_.value() + b.slots_.value())};
}

std::uint32_t minus(std::uint32_t a, std::uint32_t b)
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

void forgetEnded(QuotaState &quota, Time now)
{
    std::erase_if(quota.lent_, [&](const QuotaLent &loan) { return loan.until_ <= now; });
    std::erase_if(quota.borrowed_, [&](const QuotaBorrowed &loan) { return loan.until_ <= now; });
}

/** Whether the owner's present work needs more than its own part. */
bool needsLoans(const GroupOwner &owner, Time now)
{
    const Quota own = ownQuota(owner, now);
    const bool moreRunning = slotsInUse(owner) > own.slots_.value();
    const bool moreConnected = connectionsInUse(owner) > own.connections_.value();
    return !owner.queue_.places_.empty() || moreRunning || moreConnected;
}

/** What would help: a slot for each request that waits, and a few connections if there is none left. */
Quota wantedQuota(const GroupOwner &owner, Time now)
{
    const auto waiting = static_cast<std::uint32_t>(owner.queue_.places_.size());
    const std::uint32_t ownSlots = ownQuota(owner, now).slots_.value();
    const std::uint32_t running = minus(slotsInUse(owner), ownSlots);
    const std::uint32_t slots = std::min(waiting + running, minus(owner.config_.slots_.value(), ownSlots));
    const std::uint32_t usable = usableQuota(owner, now).connections_.value();
    const bool outOfConnections = connectionsInUse(owner) >= usable;
    const std::uint32_t held = borrowedQuota(owner.quota_, now).connections_.value();
    const std::uint32_t more = outOfConnections ? std::min(waiting, connectionsAtOnce) : 0;
    return {ConnectionCount(held + more), SlotCount(slots)};
}

void askOwners(ProxyState &state, GroupOwner &owner, Time now, Effects &out)
{
    QuotaState &quota = owner.quota_;
    const Quota wanted = wantedQuota(owner, now);
    quota.patience_ = std::clamp(quota.patience_ * 2, firstPatience, longestPatience);
    quota.askAgainAt_ = now + quota.patience_;
    if (isEmpty(wanted)) {
        return;
    }
    quota.ask_ = takeId(state);
    quota.askedAt_ = now;
    for (const VmInfo &other : ownersOf(state, owner.config_.id_)) {
        if (other.id_ != state.identity_.self_.id_) {
            sendPeer(state, other, QuotaRequest{owner.config_.id_, quota.ask_, wanted.connections_, wanted.slots_}, out);
        }
    }
}

/** Asks borrowers to return: to one that holds a loan of the sender, a request means that. */
void recall(ProxyState &state, GroupOwner &owner, Time now, Effects &out)
{
    owner.quota_.askAgainAt_ = now + firstPatience;
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

/** Returns what is to be returned if nothing uses it any more; looks again soon otherwise. */
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
        arm(state, owner, now + returnPoll);
        return;
    }
    for (const QuotaBorrowed &loan : quota.borrowed_) {
        if (loan.returning_) {
            returnLoan(state, owner, loan, out);
        }
    }
    std::erase_if(quota.borrowed_, [](const QuotaBorrowed &loan) { return loan.returning_; });
}

/** What this owner can spare for \p borrower, what it lends to it already included. */
Quota spareQuota(const GroupOwner &owner, VmId borrower, Time now)
{
    const QuotaState &quota = owner.quota_;
    const bool hasWork = !owner.queue_.places_.empty() || now < quota.neededAt_ + ownUse;
    if (owner.leaving_ || hasWork) {
        return {};
    }
    Quota others;
    for (const QuotaLent &loan : quota.lent_) {
        others = loan.borrower_ == borrower ? others : others + loan.amount_;
    }
    const Quota own = ownQuota(owner, now);
    const auto warm = static_cast<std::uint32_t>(owner.config_.members_.size()); // One connection to each member stays open for the next request.
    const std::uint32_t keptConnections = others.connections_.value() + connectionsInUse(owner) + warm;
    const std::uint32_t keptSlots = others.slots_.value() + slotsInUse(owner);
    return {ConnectionCount(minus(own.connections_.value(), keptConnections)), SlotCount(minus(own.slots_.value(), keptSlots))};
}

Quota lesserOf(const Quota &a, const Quota &b)
{
    return {std::min(a.connections_, b.connections_), std::min(a.slots_, b.slots_)};
}

/** Whether the first quota has at least what the second has. */
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
    const Quota granted = lesserOf(spareQuota(owner, borrower.id_, now), {request.connections_, request.slots_});
    // A smaller loan would count as returned here while the borrower may still use the larger one: that one runs out by itself.
    if (isEmpty(granted) || !covers(granted, held)) {
        sendPeer(state, borrower, QuotaLoan{.group_ = request.group_, .ask_ = request.ask_}, out);
        return;
    }
    if (old != quota.lent_.end()) {
        quota.lent_.erase(old);
    }
    const std::uint64_t id = takeId(state);
    quota.lent_.push_back({id, borrower.id_, granted, now + lease});
    arm(state, owner, now + lease);
    // The borrower may connect at once, so that idle connections beyond what is left here must go first.
    trimToQuota(state, owner, now, out);
    sendPeer(state, borrower, QuotaLoan{request.group_, request.ask_, id, granted.connections_, granted.slots_, lease}, out);
}

} // namespace

Quota lentQuota(const QuotaState &quota, Time now)
{
    Quota sum;
    for (const QuotaLent &loan : quota.lent_) {
        sum = now < loan.until_ ? sum + loan.amount_ : sum;
    }
    return sum;
}

Quota borrowedQuota(const QuotaState &quota, Time now)
{
    Quota sum;
    for (const QuotaBorrowed &loan : quota.borrowed_) {
        sum = now < loan.until_ && !loan.returning_ ? sum + loan.amount_ : sum;
    }
    return sum;
}

void reviewLoans(ProxyState &state, GroupOwner &owner, Time now, Effects &out)
{
    QuotaState &quota = owner.quota_;
    forgetEnded(quota, now);
    finishReturns(state, owner, now, out);
    const auto usable = [](const QuotaBorrowed &loan) { return !loan.returning_; };
    if (std::ranges::none_of(quota.borrowed_, usable)) {
        return;
    }
    if (!needsLoans(owner, now)) {
        beginReturningLoans(state, owner, now, out);
        return;
    }
    // Slots that a loan brings may wait for connections that are being opened; more slots are asked for meanwhile.
    const bool growing = quota.patience_ == Duration::zero() && now >= quota.askAgainAt_ && !owner.queue_.places_.empty();
    if (growing || now >= quota.askedAt_ + renewalTime) {
        askOwners(state, owner, now, out);
    }
}

void beginReturningLoans(ProxyState &state, GroupOwner &owner, Time now, Effects &out)
{
    for (QuotaBorrowed &loan : owner.quota_.borrowed_) {
        loan.returning_ = true;
    }
    finishReturns(state, owner, now, out);
}

void onQuotaShort(ProxyState &state, GroupOwner &owner, Time now, Effects &out)
{
    QuotaState &quota = owner.quota_;
    quota.neededAt_ = now;
    if (now < quota.askAgainAt_ || owner.leaving_) {
        return;
    }
    forgetEnded(quota, now);
    if (!quota.lent_.empty()) {
        recall(state, owner, now, out);
        return;
    }
    askOwners(state, owner, now, out);
}

void onQuotaRequest(ProxyState &state, const PeerMessage &message, const QuotaRequest &request, Time now, Effects &out)
{
    GroupOwner *owner = findOwner(state, request.group_);
    if (owner == nullptr) {
        return;
    }
    forgetEnded(owner->quota_, now);
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
    const bool current = owner != nullptr && !owner->leaving_ && owner->quota_.ask_ == loan.ask_;
    if (!lent || !current) {
        return; // A loan that is not taken up ends with its lease.
    }
    QuotaState &quota = owner->quota_;
    const VmInfo lender{.id_ = message.from_, .address_ = message.fromAddress_};
    const Quota before = borrowedQuota(quota, now);
    std::erase_if(quota.borrowed_, [&](const QuotaBorrowed &old) { return old.lender_.id_ == lender.id_; });
    const Duration usableFor = std::min(loan.lease_ - loan.lease_ / 10, borrowerLease);
    const Time until = quota.askedAt_ + usableFor;
    quota.borrowed_.push_back({loan.loan_, lender, {loan.connections_, loan.slots_}, until});
    // The request may have been made for the first of many: while loans grow there is more to be had, and a loan that does not grow is all there is.
    const bool grew = borrowedQuota(quota, now).slots_ > before.slots_ || borrowedQuota(quota, now).connections_ > before.connections_;
    quota.patience_ = grew ? Duration::zero() : longestPatience / 2;
    quota.askAgainAt_ = now + (grew ? growthPause : quota.patience_);
    arm(state, *owner, quota.askAgainAt_);
    arm(state, *owner, quota.askedAt_ + renewalTime);
    arm(state, *owner, until);
    wantDispatch(state, *owner);
}

void onQuotaReturn(ProxyState &state, const PeerMessage &message, const QuotaReturn &returned, Time /*now*/, Effects & /*out*/)
{
    GroupOwner *owner = findOwner(state, returned.group_);
    if (owner == nullptr) {
        return;
    }
    const auto matches = [&](const QuotaLent &loan) { return loan.loan_ == returned.loan_ && loan.borrower_ == message.from_; };
    if (std::erase_if(owner->quota_.lent_, matches) > 0) {
        wantDispatch(state, *owner);
    }
}

} // namespace Figward
