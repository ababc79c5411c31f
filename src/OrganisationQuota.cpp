#include "OrganisationQuota.h"

#include "ConnectionSharing.h"
#include "ProxyState.h"
#include "Rendezvous.h"
#include "SessionHeartbeats.h"
#include "SessionLookup.h"
#include "StatementOutcome.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <vector>

namespace Figward {

namespace {

/** Timeout of a permit request. A limiter in the same zone answers within 1 or 2 ms, or within some tens of milliseconds if its processor is busy. */
constexpr Duration requestTimeout = std::chrono::milliseconds(100);
/** Number of unanswered requests after which a limiter counts as unresponsive until a heartbeat from it is received. */
constexpr unsigned maxUnansweredRequests = 2;
/**
 * Maximum time that an operation waits for its organisation's next permit: a small part of interactive latency targets, and less than clients wait before a
 * retry.
 */
constexpr Duration maxPermitWait = std::chrono::milliseconds(50);
/** Minimum interval between loan requests of a limiter. */
constexpr Duration loanInterval = std::chrono::milliseconds(25);
/** Expected time until a loan from another zone arrives; one that takes longer is assumed lost. */
constexpr Duration loanTimeout = std::chrono::milliseconds(10);
/** Initial fill of a bucket as a fraction of its capacity: the previous limiter may have just granted the rest. */
constexpr double initialFill = 0.3;
/** Fraction of its capacity below which a bucket borrows, and which it never lends: clients of its own zone may need the tokens at any moment. */
constexpr double reservedFraction = 0.5;
/**
 * Fraction of the rate granted by a VM that receives requests in place of a limiter which it considers responsive itself, because some VMs cannot reach that
 * limiter.
 */
constexpr double substituteFraction = 0.25;
/** Minimum capacity of a bucket in tokens: two operations may follow each other immediately, however small the organisation's rate. */
constexpr double minCapacity = 2;
/** Time without a refusal after which an organisation is logged as within its quota again. */
constexpr Duration quotaRecoveryTime = std::chrono::seconds(5);
/** Time without a heartbeat after which an unregistered VM no longer counts as part of its zone. */
constexpr Duration zoneMembershipTimeout = std::chrono::seconds(20);

const OrganisationLimits *limitsOf(const SessionServiceState &sessions, const OrganisationId &organisation)
{
    if (!sessions.configuration_ || !sessions.configuration_->organisations_) {
        return nullptr;
    }
    const auto &limits = sessions.configuration_->organisations_->limits_;
    const auto found = limits.find(organisation);
    return found == limits.end() || found->second.perSecond_ <= 0 ? nullptr : &found->second;
}

bool isUnresponsive(const AdmissionState &quotas, const std::string &name, const PeerVm &peer)
{
    const auto unresponsive = quotas.unresponsiveSince_.find(name);
    return unresponsive != quotas.unresponsiveSince_.end() && (!peer.lastReceivedAt_ || *peer.lastReceivedAt_ <= unresponsive->second);
}

bool mayLimit(const SessionServiceState &sessions, const std::string &name, const PeerVm &peer, Time now)
{
    const bool chosen = sessions.delegates_.empty() || sessions.delegates_.contains(name);
    return chosen && wasHeardRecently(peer, now) && !peer.leaving_ && !isUnresponsive(sessions.quotas_, name, peer);
}

std::uint64_t limiterWeight(const OrganisationId &organisation, const std::string &vm)
{
    // The weight uses the VM's name, which survives a restart, so that its organisations do not move away and back.
    return rendezvousWeight(GroupId(absl::StrCat(organisation.value(), "/", vm)), VmId(1));
}

/**
 * Fraction of its zone's share that this VM may grant. A VM that may act as limiter grants the whole share if it receives heartbeats from most of the VMs that
 * send to it at the full rate; otherwise it grants only the fraction of the zone's VMs from which it receives such heartbeats, and a VM that cannot be a
 * limiter counts only itself. VMs that are cut off, alone or in groups, choose limiters of their own: if each granted the whole share, they would together
 * grant many times the rate.
 */
double zoneShareOf(const SessionServiceState &sessions, Time now)
{
    unsigned known = 1;
    unsigned frequent = 1;
    unsigned received = 1;
    for (const auto &[name, peer] : sessions.peers_) {
        if (peer.vm_.zone_ == sessions.identity_.vm_.zone_
            && (peer.registered_ || (peer.lastReceivedAt_ && now - *peer.lastReceivedAt_ < zoneMembershipTimeout))) {
            const bool isFrequent = peer.sendInterval_ <= heartbeatInterval;
            ++known;
            frequent += isFrequent ? 1 : 0;
            received += isFrequent && wasHeardRecently(peer, now) && !isUnresponsive(sessions.quotas_, name, peer) ? 1 : 0;
        }
    }
    const bool isChosen = sessions.delegates_.empty() || isDelegate(sessions);
    return isChosen && 2 * received > frequent ? 1.0 : static_cast<double>(isChosen ? received : 1) / known;
}

/** Zones whose limiters share the rate. A zone from which nothing is received keeps its share, because it may still be serving clients while isolated. */
std::set<ZoneId> zonesOf(const SessionServiceState &sessions)
{
    std::set<ZoneId> zones{sessions.identity_.vm_.zone_};
    for (const auto &[name, peer] : sessions.peers_) {
        zones.insert(peer.vm_.zone_);
    }
    return zones;
}

/** Fill rate and capacity of this VM's bucket for the organisation. */
BucketRate rateOf(const SessionServiceState &sessions, const OrganisationId &organisation, const OrganisationLimits &limits, Time now)
{
    if (!sessions.identity_.policies_.poolsQuota_) {
        const double share = 1.0 / std::max(1U, sessions.entryVms_);
        return {limits.perSecond_ * share, std::max(1.0, limits.burst_ * share)};
    }
    const AdmissionState &quotas = sessions.quotas_;
    const std::string limiter = limiterOf(sessions, sessions.identity_.vm_.zone_, organisation, now);
    const double substitute = limiter == sessions.identity_.vm_.name_ ? 1.0 : substituteFraction;
    const double share = quotas.zoneShare_ / std::max<std::size_t>(1, quotas.zones_.size());
    return {limits.perSecond_ * share * substitute, std::max(minCapacity * quotas.zoneShare_, limits.burst_ * share)};
}

/** This VM's allowance for the organisation, refilled up to \p now. */
Allowance &allowanceOf(SessionServiceState &sessions, const OrganisationId &organisation, const BucketRate &rate, Time now)
{
    const auto [place, isNew] = sessions.quotas_.allowances_.try_emplace(organisation);
    Allowance &allowance = place->second;
    if (isNew) {
        allowance.bucket_ = {std::max(std::min(1.0, rate.capacity_), initialFill * rate.capacity_), now};
    }
    refill(allowance.bucket_, rate, now);
    return allowance;
}

AdmissionRequest newRequest(ProxyState &state, const OrganisationId &organisation)
{
    const EntryVm &vm = state.sessions_->identity_.vm_;
    AdmissionRequest request;
    request.name_ = vm.name_;
    request.from_ = vm.incarnation_;
    request.address_ = vm.address_;
    request.zone_ = vm.zone_;
    request.organisation_ = organisation;
    request.number_ = allocateId(state);
    return request;
}

/** Requests the tokens that the bucket lacks from the limiters of the other zones. */
void requestLoans(ProxyState &state, const OrganisationId &organisation, Allowance &allowance, const BucketRate &rate, Time now, Effects &out)
{
    SessionServiceState &sessions = *state.sessions_;
    if (now < allowance.borrowedAt_ + loanInterval) {
        return;
    }
    allowance.borrowedAt_ = now;
    allowance.pendingLoans_.clear(); // Loans that arrive later are discarded.
    const double lenders = std::max(1.0, static_cast<double>(sessions.quotas_.zones_.size()) - 1);
    for (const ZoneId &zone : sessions.quotas_.zones_) {
        const auto lender = sessions.peers_.find(limiterOf(sessions, zone, organisation, now));
        if (zone == sessions.identity_.vm_.zone_ || lender == sessions.peers_.end()) {
            continue;
        }
        AdmissionRequest request = newRequest(state, organisation);
        request.wanted_ = (rate.capacity_ - allowance.bucket_.tokens_) / lenders;
        request.isLoan_ = true;
        allowance.pendingLoans_.insert(request.number_);
        out.emplace_back(SessionEffect(SendAdmissionRequest{lender->second.vm_.address_, std::move(request)}));
    }
}

/** Granted permits, and the time until the next one is available. */
struct Permits
{
    unsigned granted_ = 0;
    Duration nextIn_{};
};

unsigned totalOf(const std::vector<PermitDemand> &demands)
{
    unsigned total = 0;
    for (const PermitDemand &demand : demands) {
        total += demand.wanted_;
    }
    return total;
}

Permits grantLocally(ProxyState &state, const OrganisationId &organisation, std::vector<PermitDemand> demands, Time now, Effects &out)
{
    SessionServiceState &sessions = *state.sessions_;
    const OrganisationLimits *limits = limitsOf(sessions, organisation);
    const unsigned wanted = totalOf(demands);
    if (limits == nullptr) {
        return {wanted, {}};
    }
    const BucketRate rate = rateOf(sessions, organisation, *limits, now);
    Allowance &allowance = allowanceOf(sessions, organisation, rate, now);
    if (!sessions.identity_.policies_.admitsUrgentFirst_) {
        demands = {{0, wanted}};
    }
    std::ranges::sort(demands);
    recordDemand(allowance.rates_, demands, now);
    const PermitShare share = takePermits(allowance.bucket_, demands, allowance.rates_, rate.capacity_, now);
    Permits permits;
    permits.granted_ = share.granted_;
    if (sessions.identity_.policies_.poolsQuota_ && allowance.bucket_.tokens_ < reservedFraction * rate.capacity_) {
        requestLoans(state, organisation, allowance, rate, now, out);
    }
    if (permits.granted_ < wanted) {
        const Duration next = untilTokens(share.missing_, rate);
        const bool loanPending = now < allowance.borrowedAt_ + loanTimeout;
        permits.nextIn_ = loanPending ? std::min(next, loanTimeout) : next;
    }
    return permits;
}

/** Takes the tokens that this VM can spare out of its bucket, for a limiter of another zone; returns their number. */
double lendTokens(SessionServiceState &sessions, const AdmissionRequest &request, Time now)
{
    const OrganisationLimits *limits = limitsOf(sessions, request.organisation_);
    if (limits == nullptr) {
        return 0;
    }
    const BucketRate rate = rateOf(sessions, request.organisation_, *limits, now);
    Allowance &allowance = allowanceOf(sessions, request.organisation_, rate, now);
    const double loan = std::clamp(allowance.bucket_.tokens_ - reservedFraction * rate.capacity_, 0.0, std::max(0.0, request.wanted_));
    allowance.bucket_.tokens_ -= loan;
    return loan;
}

void recordRefusal(SessionServiceState &sessions, const OrganisationId &organisation, Time now, Effects &out)
{
    const auto [place, isNew] = sessions.quotas_.throttled_.try_emplace(organisation, ThrottledOrganisation{now, now, 0});
    place->second.lastAt_ = now;
    ++place->second.refused_;
    if (isNew) {
        out.emplace_back(WriteLog{LogNumber::QuotaReached, {{"organisation", organisation.value()}}});
    }
}

/** Gives \p permits to the waiting statements in order. Those that were requested in vain are refused, unless the next permit is available soon enough. */
void distributePermits(ProxyState &state, const OrganisationId &organisation, const Permits &permits, Time now, Effects &out)
{
    SessionServiceState &sessions = *state.sessions_;
    PermitQueue &queue = sessions.quotas_.queues_[organisation];
    queue.pending_.reset();
    unsigned left = permits.granted_;
    bool isShort = false;
    std::vector<SessionKey> refused;
    std::vector<PermitWait> waiting;
    for (const PermitWait &wait : std::exchange(queue.waiting_, {})) {
        ClientSession &session = *findSession(state, wait.session_);
        if (left > 0) {
            --left;
            session.run_->admittedAt_ = now;
            enqueueStatement(state, session);
            continue;
        }
        isShort = isShort || wait.requested_;
        if (!wait.requested_ || now + permits.nextIn_ <= session.run_->arrived_ + maxPermitWait) {
            waiting.push_back({wait.session_, wait.priority_, false});
        } else {
            refused.push_back(wait.session_);
        }
    }
    queue.notBefore_ = isShort ? now + std::min(permits.nextIn_, maxPermitWait) : now;
    queue.waiting_ = std::move(waiting);
    for (const SessionKey key : refused) {
        recordRefusal(sessions, organisation, now, out);
        refuseStatement(state, *findSession(state, key), ReplyCode::Retry, retryAfterText(permits.nextIn_, "the organisation has reached its quota"), now, out);
    }
}

/** Marks all waiting statements as requested; returns their numbers by priority, most urgent first. */
std::vector<PermitDemand> requestAll(PermitQueue &queue)
{
    std::vector<PermitDemand> demands;
    for (PermitWait &wait : queue.waiting_) {
        wait.requested_ = true;
        if (demands.empty() || demands.back().priority_ != wait.priority_) {
            demands.push_back({wait.priority_, 0});
        }
        ++demands.back().wanted_;
    }
    return demands;
}

void sendPermitRequest(ProxyState &state,
                       const OrganisationId &organisation,
                       PermitQueue &queue,
                       const PeerVm &limiter,
                       unsigned attempts,
                       Time now,
                       Effects &out)
{
    AdmissionRequest request = newRequest(state, organisation);
    request.wanted_ = static_cast<double>(queue.waiting_.size());
    request.demands_ = requestAll(queue);
    queue.pending_ = PermitRequest{request.number_, limiter.vm_.name_, now, attempts};
    out.emplace_back(SessionEffect(SendAdmissionRequest{limiter.vm_.address_, std::move(request)}));
}

/** Requests permits for all waiting statements, unless a request is pending; \p attempts were already made at the same limiter. */
void requestPermits(ProxyState &state, const OrganisationId &organisation, unsigned attempts, Time now, Effects &out)
{
    SessionServiceState &sessions = *state.sessions_;
    PermitQueue &queue = sessions.quotas_.queues_[organisation];
    if (queue.pending_ || queue.waiting_.empty() || now < queue.notBefore_) {
        return;
    }
    const std::string limiter = sessions.identity_.policies_.poolsQuota_ ? limiterOf(sessions, sessions.identity_.vm_.zone_, organisation, now) : std::string();
    const auto peer = sessions.peers_.find(limiter);
    if (peer != sessions.peers_.end()) {
        sendPermitRequest(state, organisation, queue, peer->second, attempts, now, out);
        return;
    }
    const Permits permits = grantLocally(state, organisation, requestAll(queue), now, out);
    distributePermits(state, organisation, permits, now, out);
}

/** Handles a timed-out permit request: retries it once, then marks the limiter as unresponsive and uses another. */
void onRequestTimeout(ProxyState &state, const OrganisationId &organisation, Time now, Effects &out)
{
    AdmissionState &quotas = state.sessions_->quotas_;
    const PermitRequest pending = *std::exchange(quotas.queues_[organisation].pending_, std::nullopt);
    const bool unresponsive = pending.attempts_ + 1 >= maxUnansweredRequests;
    if (unresponsive) {
        quotas.unresponsiveSince_[pending.limiter_] = now;
    }
    requestPermits(state, organisation, unresponsive ? 0 : pending.attempts_ + 1, now, out);
}

void reviewThrottled(AdmissionState &quotas, Time now, Effects &out)
{
    std::erase_if(quotas.throttled_, [&](const auto &entry) {
        const ThrottledOrganisation &limited = entry.second;
        if (now - limited.lastAt_ < quotaRecoveryTime) {
            return false;
        }
        out.emplace_back(WriteLog{LogNumber::QuotaLeft,
                                  {{"organisation", entry.first.value()},
                                   {"refused", absl::StrCat(limited.refused_)},
                                   {"ms", absl::StrCat(toMillis(limited.lastAt_ - limited.since_))}}});
        return true;
    });
}

} // namespace

std::string limiterOf(const SessionServiceState &sessions, const ZoneId &zone, const OrganisationId &organisation, Time now)
{
    const EntryVm &self = sessions.identity_.vm_;
    std::string limiter;
    std::uint64_t bestWeight = 0;
    const auto consider = [&](const std::string &name) {
        const std::uint64_t weight = limiterWeight(organisation, name);
        if (limiter.empty() || weight > bestWeight) {
            limiter = name;
            bestWeight = weight;
        }
    };
    const auto considerPeer = [&](const std::string &name, const PeerVm &peer) {
        if (peer.vm_.zone_ == zone && mayLimit(sessions, name, peer, now)) {
            consider(name);
        }
    };
    if (sessions.delegates_.empty()) {
        for (const auto &[name, peer] : sessions.peers_) {
            considerPeer(name, peer);
        }
    } else {
        for (const auto &[name, role] : sessions.delegates_) {
            if (const auto peer = sessions.peers_.find(name); peer != sessions.peers_.end()) {
                considerPeer(name, peer->second);
            }
        }
    }
    const bool mayBeSelf = sessions.delegates_.empty() || sessions.delegates_.contains(self.name_);
    if (zone == self.zone_ && (mayBeSelf || limiter.empty())) {
        consider(self.name_);
    }
    return limiter;
}

void admitOperation(ProxyState &state, ClientSession &session, Time now, Effects &out)
{
    SessionServiceState &sessions = *state.sessions_;
    if (limitsOf(sessions, session.organisation_) == nullptr) {
        enqueueStatement(state, session);
        return;
    }
    std::vector<PermitWait> &waiting = sessions.quotas_.queues_[session.organisation_].waiting_;
    const unsigned priority = session.route_.priority_;
    waiting.insert(std::ranges::upper_bound(waiting, priority, {}, &PermitWait::priority_), PermitWait{session.key_, priority});
    requestPermits(state, session.organisation_, 0, now, out);
}

bool isAwaitingPermit(const SessionServiceState &sessions, const ClientSession &session)
{
    const auto queue = sessions.quotas_.queues_.find(session.organisation_);
    return queue != sessions.quotas_.queues_.end()
           && std::ranges::find(queue->second.waiting_, session.key_, &PermitWait::session_) != queue->second.waiting_.end();
}

void cancelAdmission(SessionServiceState &sessions, const ClientSession &session)
{
    const auto queue = sessions.quotas_.queues_.find(session.organisation_);
    if (queue != sessions.quotas_.queues_.end()) {
        std::erase_if(queue->second.waiting_, [&](const PermitWait &wait) { return wait.session_ == session.key_; });
    }
}

void onAdmissionRequest(ProxyState &state, const AdmissionRequest &request, Time now, Effects &out)
{
    SessionServiceState &sessions = *state.sessions_;
    const EntryVm &self = sessions.identity_.vm_;
    AdmissionGrant grant;
    grant.from_ = self.incarnation_;
    grant.to_ = request.from_;
    grant.organisation_ = request.organisation_;
    grant.number_ = request.number_;
    if (request.isLoan_) {
        grant.granted_ = lendTokens(sessions, request, now);
    } else {
        std::vector<PermitDemand> demands = request.demands_;
        if (demands.empty()) {
            demands = {{0, static_cast<unsigned>(std::max(0.0, request.wanted_))}}; // An older version of the sender states no priorities.
        }
        const Permits permits = grantLocally(state, request.organisation_, std::move(demands), now, out);
        grant.granted_ = permits.granted_;
        grant.nextIn_ = permits.nextIn_;
    }
    out.emplace_back(SessionEffect(SendAdmissionGrant{request.address_, std::move(grant)}));
}

void onAdmissionGrant(ProxyState &state, const AdmissionGrant &grant, Time now, Effects &out)
{
    SessionServiceState &sessions = *state.sessions_;
    if (grant.to_ != sessions.identity_.vm_.incarnation_) {
        return; // Addressed to an earlier process of this VM.
    }
    AdmissionState &quotas = sessions.quotas_;
    const auto allowance = quotas.allowances_.find(grant.organisation_);
    if (allowance != quotas.allowances_.end()
        && allowance->second.pendingLoans_.erase(grant.number_) > 0) { // Counted once, since a datagram may be duplicated.
        allowance->second.bucket_.tokens_ += std::max(0.0, grant.granted_);
        return;
    }
    const auto queue = quotas.queues_.find(grant.organisation_);
    if (queue == quotas.queues_.end() || !queue->second.pending_ || queue->second.pending_->number_ != grant.number_) {
        return; // The request was retried meanwhile; the permits of this answer are discarded.
    }
    const Permits permits{static_cast<unsigned>(std::max(0.0, grant.granted_)), grant.nextIn_};
    distributePermits(state, grant.organisation_, permits, now, out);
    requestPermits(state, grant.organisation_, 0, now, out);
}

void reviewAdmission(ProxyState &state, Time now, Effects &out)
{
    SessionServiceState &sessions = *state.sessions_;
    AdmissionState &quotas = sessions.quotas_;
    if (!sessions.configuration_ || !sessions.configuration_->organisations_) {
        return;
    }
    quotas.zoneShare_ = zoneShareOf(sessions, now);
    quotas.zones_ = zonesOf(sessions);
    std::erase_if(quotas.queues_, [](const auto &entry) { return entry.second.waiting_.empty() && !entry.second.pending_; });
    std::vector<OrganisationId> waiting;
    for (const auto &[organisation, queue] : quotas.queues_) {
        waiting.push_back(organisation);
    }
    for (const OrganisationId &organisation : waiting) {
        const std::optional<PermitRequest> &pending = quotas.queues_[organisation].pending_;
        if (pending && now - pending->sentAt_ >= requestTimeout) {
            onRequestTimeout(state, organisation, now, out);
        } else {
            requestPermits(state, organisation, 0, now, out);
        }
    }
    reviewThrottled(quotas, now, out);
}

} // namespace Figward
