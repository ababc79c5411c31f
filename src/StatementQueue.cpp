#include "StatementQueue.h"

#include <algorithm>
#include <queue>

namespace Figward {

namespace {

/** Slot time assumed for a statement of a database of which none has been observed: the middle of the usual range of 5 to 35 ms. */
constexpr Duration defaultWork = std::chrono::milliseconds(20);
/** Slot time that the opening of a connection takes. */
constexpr Duration openingWork = std::chrono::milliseconds(12);
/** Number of observations that the average of a database's slot time covers. */
constexpr int averagedStatements = 8;

/** Rise of the organisation's tag for a statement of this cost; greater than zero, so that organisations alternate. */
double tagRise(const OrganisationShare &share, Duration cost)
{
    return std::chrono::duration<double>(std::max(cost, Duration(1))).count() / share.weight_;
}

double effectiveTag(const PriorityShares &shares, const OrganisationShare &share)
{
    return std::max(shares.virtualTime_, share.startTag_);
}

void charge(const PriorityShares &shares, OrganisationShare &share, Duration cost)
{
    share.startTag_ = effectiveTag(shares, share) + tagRise(share, cost);
}

/** Forgets the organisations without waiting statements whose tag is no longer above the virtual time. */
void forgetInactive(PriorityShares &shares)
{
    while (!shares.inactive_.empty() && shares.inactive_.begin()->first <= shares.virtualTime_) {
        shares.organisations_.erase(shares.inactive_.begin()->second);
        shares.inactive_.erase(shares.inactive_.begin());
    }
}

void remove(StatementQueue &queue, SessionKey key, bool starts)
{
    const auto found = queue.entries_.find(key);
    if (found == queue.entries_.end()) {
        return;
    }
    const QueueEntry entry = found->second;
    queue.entries_.erase(found);
    const auto priority = queue.priorities_.find(entry.priority_);
    PriorityShares &shares = priority->second;
    if (--shares.waiting_ == 0) {
        queue.priorities_.erase(priority); // Nobody waits, so nobody has been put at a disadvantage.
        return;
    }
    OrganisationShare &share = shares.organisations_.at(entry.organisation_);
    share.waiting_.erase(entry.place_);
    if (starts) {
        shares.virtualTime_ = effectiveTag(shares, share);
        charge(shares, share, entry.place_.cost_);
    }
    if (share.waiting_.empty()) {
        shares.inactive_.emplace(share.startTag_, entry.organisation_);
    }
    forgetInactive(shares);
}

/** The next statement of an organisation, while the organisations are merged. */
struct OrganisationHead
{
    double tag_ = 0; ///< Start tag of the organisation after the statements before this one.
    const OrganisationShare *share_ = nullptr;
    std::set<OrganisationPlace>::const_iterator next_;
};

struct StartsLater
{
    bool operator()(const OrganisationHead &a, const OrganisationHead &b) const
    {
        return a.tag_ != b.tag_ ? a.tag_ > b.tag_ : *a.next_ > *b.next_;
    }
};

void appendOrder(const PriorityShares &shares, std::vector<SessionKey> &order)
{
    std::vector<OrganisationHead> heads;
    heads.reserve(shares.organisations_.size());
    for (const auto &[organisation, share] : shares.organisations_) {
        if (!share.waiting_.empty()) {
            heads.push_back({effectiveTag(shares, share), &share, share.waiting_.begin()});
        }
    }
    std::priority_queue<OrganisationHead, std::vector<OrganisationHead>, StartsLater> merged(StartsLater(), std::move(heads));
    while (!merged.empty()) {
        OrganisationHead head = merged.top();
        merged.pop();
        order.push_back(head.next_->key_);
        head.tag_ += tagRise(*head.share_, head.next_->cost_);
        if (++head.next_ != head.share_->waiting_.end()) {
            merged.push(head);
        }
    }
}

} // namespace

void addStatement(StatementQueue &queue, const QueuedStatement &statement)
{
    remove(queue, statement.key_, false);
    const OrganisationPlace place{statement.deadline_, queue.arrivals_++, statement.key_, statement.cost_};
    PriorityShares &shares = queue.priorities_[statement.priority_];
    OrganisationShare &share = shares.organisations_[statement.organisation_];
    if (share.waiting_.empty()) {
        shares.inactive_.erase({share.startTag_, statement.organisation_});
        share.startTag_ = effectiveTag(shares, share);
    }
    share.weight_ = statement.weight_;
    share.waiting_.insert(place);
    ++shares.waiting_;
    queue.entries_.insert_or_assign(statement.key_, QueueEntry{statement.priority_, statement.organisation_, place});
}

void removeStatement(StatementQueue &queue, SessionKey key)
{
    remove(queue, key, false);
}

void takeStatement(StatementQueue &queue, SessionKey key)
{
    remove(queue, key, true);
}

void chargeStatement(StatementQueue &queue, const QueuedStatement &statement)
{
    const auto priority = queue.priorities_.find(statement.priority_);
    if (priority == queue.priorities_.end()) {
        return;
    }
    PriorityShares &shares = priority->second;
    OrganisationShare &share = shares.organisations_[statement.organisation_];
    share.weight_ = statement.weight_;
    if (!share.waiting_.empty()) {
        charge(shares, share, statement.cost_);
        return;
    }
    shares.inactive_.erase({share.startTag_, statement.organisation_});
    charge(shares, share, statement.cost_);
    shares.inactive_.emplace(share.startTag_, statement.organisation_);
}

std::size_t countWaiting(const StatementQueue &queue)
{
    return queue.entries_.size();
}

std::vector<SessionKey> startOrder(const StatementQueue &queue)
{
    std::vector<SessionKey> order;
    order.reserve(countWaiting(queue));
    for (const auto &[priority, shares] : queue.priorities_) {
        appendOrder(shares, order);
    }
    return order;
}

void recordWork(StatementCosts &costs, const std::string &database, Duration time)
{
    const auto [average, isNew] = costs.work_.try_emplace(database, time);
    average->second += (time - average->second) / averagedStatements;
}

Duration expectedCost(const StatementCosts &costs, const std::string &database, bool opens)
{
    const auto average = costs.work_.find(database);
    const Duration work = average == costs.work_.end() ? defaultWork : average->second;
    return work + (opens ? openingWork : Duration::zero());
}

} // namespace Figward
