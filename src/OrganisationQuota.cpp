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

/** A limiter of the own zone answers in a millisecond or two, one whose processor is busy in some tens. */
constexpr Duration askTimeout = std::chrono::milliseconds(100);
/** Asked so often without an answer, a limiter counts as silent until it is heard again. */
constexpr unsigned asksUntilSilent = 2;
/** An operation waits this long for its organisation's next permit: a small part of interactive aims, and less than clients pause before they ask again. */
constexpr Duration permitPatience = std::chrono::milliseconds(50);
/** A limiter asks others for tokens no more often than this. */
constexpr Duration borrowInterval = std::chrono::milliseconds(25);
/** What was asked of another zone is there after this, or not at all. */
constexpr Duration borrowTime = std::chrono::milliseconds(10);
/** A bucket begins with this part of its capacity: the limiter before it may have granted the rest a moment ago. */
constexpr double firstPart = 0.3;
/** Below this part of its capacity a bucket borrows, and none lends what it has below it: the others' clients come at any moment. */
constexpr double keptPart = 0.5;
/** Of the rate, what a VM grants that is asked in place of a limiter which it hears itself: some VMs do not reach that one. */
constexpr double standInPart = 0.25;
/** Capacity of any bucket, in tokens: one operation may follow another at once, however small the organisation. */
constexpr double smallestCapacity = 2;
/** Without a refusal for this long an organisation is told to be within its quota again. */
constexpr Duration quotaCalm = std::chrono::seconds(5);
/** VMs that were silent for longer no longer count as part of their zone. */
constexpr Duration longGone = std::chrono::seconds(20);

const OrganisationLimits *limitsOf(const SessionServiceState &sessions, const OrganisationId &organisation)
{
    if (!sessions.configuration_ || !sessions.configuration_->organisations_) {
        return nullptr;
    }
    const auto &limits = sessions.configuration_->organisations_->limits_;
    const auto found = limits.find(organisation);
    return found == limits.end() || found->second.perSecond_ <= 0 ? nullptr : &found->second;
}

bool isSilent(const QuotaBook &book, const std::string &name, const PeerVm &peer)
{
    const auto silent = book.silentSince_.find(name);
    return silent != book.silentSince_.end() && (!peer.heard_ || *peer.heard_ <= silent->second);
}

bool mayLimit(const SessionServiceState &sessions, const std::string &name, const PeerVm &peer, Time now)
{
    const bool chosen = sessions.delegates_.empty() || sessions.delegates_.contains(name);
    return chosen && isFresh(peer, now) && !peer.leaving_ && !isSilent(sessions.quotas_, name, peer);
}

std::uint64_t limiterWeight(const OrganisationId &organisation, const std::string &vm)
{
    // By name, which a VM keeps when it starts again: its organisations do not move twice.
    return rendezvousWeight(GroupId(absl::StrCat(organisation.value(), "/", vm)), VmId(1));
}

/**
 * The part of its zone that this VM may grant: all of it as a limiter that hears most of the VMs which it hears often, otherwise as much as those that it hears are
 * of the zone. VMs that were cut off, alone or together, have limiters of their own: each with the whole zone's part, they granted many times the rate.
 */
double partOfZone(const SessionServiceState &sessions, Time now)
{
    unsigned known = 1;
    unsigned close = 1;
    unsigned heard = 1;
    for (const auto &[name, peer] : sessions.peers_) {
        if (peer.vm_.zone_ == sessions.identity_.vm_.zone_ && (peer.registered_ || (peer.heard_ && now - *peer.heard_ < longGone))) {
            const bool isClose = peer.itsInterval_ <= heartbeatInterval;
            ++known;
            close += isClose ? 1 : 0;
            heard += isClose && isFresh(peer, now) && !isSilent(sessions.quotas_, name, peer) ? 1 : 0;
        }
    }
    const bool isChosen = sessions.delegates_.empty() || isDelegate(sessions);
    return isChosen && 2 * heard > close ? 1.0 : static_cast<double>(isChosen ? heard : 1) / known;
}

/** Zones whose limiters share the rate. A zone of which nothing is heard keeps its part: it may go on alone. */
std::set<ZoneId> zonesOf(const SessionServiceState &sessions)
{
    std::set<ZoneId> zones{sessions.identity_.vm_.zone_};
    for (const auto &[name, peer] : sessions.peers_) {
        zones.insert(peer.vm_.zone_);
    }
    return zones;
}

/** What this VM's bucket of the organisation may grant. */
BucketRate rateOf(const SessionServiceState &sessions, const OrganisationId &organisation, const OrganisationLimits &limits, Time now)
{
    if (!sessions.identity_.policies_.poolsQuota_) {
        const double part = 1.0 / std::max(1U, sessions.entryVms_);
        return {limits.perSecond_ * part, std::max(1.0, limits.burst_ * part)};
    }
    const QuotaBook &book = sessions.quotas_;
    const std::string limiter = limiterOf(sessions, sessions.identity_.vm_.zone_, organisation, now);
    const double standIn = limiter == sessions.identity_.vm_.name_ ? 1.0 : standInPart;
    const double part = book.partOfZone_ / std::max<std::size_t>(1, book.zones_.size());
    return {limits.perSecond_ * part * standIn, std::max(smallestCapacity * book.partOfZone_, limits.burst_ * part)};
}

/** This VM's bucket of the organisation, brought to \p now. */
Allowance &allowanceOf(SessionServiceState &sessions, const OrganisationId &organisation, const BucketRate &rate, Time now)
{
    const auto [place, isNew] = sessions.quotas_.allowances_.try_emplace(organisation);
    Allowance &allowance = place->second;
    if (isNew) {
        allowance.bucket_ = {std::max(std::min(1.0, rate.capacity_), firstPart * rate.capacity_), now};
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
    request.number_ = takeId(state);
    return request;
}

/** Asks the limiters of the other zones for what the bucket lacks. */
void borrow(ProxyState &state, const OrganisationId &organisation, Allowance &allowance, const BucketRate &rate, Time now, Effects &out)
{
    SessionServiceState &sessions = *state.sessions_;
    if (now < allowance.borrowedAt_ + borrowInterval) {
        return;
    }
    allowance.borrowedAt_ = now;
    allowance.borrows_.clear(); // What comes later than this is lost.
    const double lenders = std::max(1.0, static_cast<double>(sessions.quotas_.zones_.size()) - 1);
    for (const ZoneId &zone : sessions.quotas_.zones_) {
        const auto lender = sessions.peers_.find(limiterOf(sessions, zone, organisation, now));
        if (zone == sessions.identity_.vm_.zone_ || lender == sessions.peers_.end()) {
            continue;
        }
        AdmissionRequest request = newRequest(state, organisation);
        request.wanted_ = (rate.capacity_ - allowance.bucket_.tokens_) / lenders;
        request.lends_ = true;
        allowance.borrows_.insert(request.number_);
        out.emplace_back(SessionEffect(SendAdmissionRequest{lender->second.vm_.address_, std::move(request)}));
    }
}

/** Permits for operations, and how long the next will take. */
struct Permits
{
    unsigned granted_ = 0;
    Duration nextIn_{};
};

Permits grantHere(ProxyState &state, const OrganisationId &organisation, unsigned wanted, Time now, Effects &out)
{
    SessionServiceState &sessions = *state.sessions_;
    const OrganisationLimits *limits = limitsOf(sessions, organisation);
    if (limits == nullptr) {
        return {wanted, {}};
    }
    const BucketRate rate = rateOf(sessions, organisation, *limits, now);
    Allowance &allowance = allowanceOf(sessions, organisation, rate, now);
    Permits permits;
    permits.granted_ = takeTokens(allowance.bucket_, wanted);
    if (sessions.identity_.policies_.poolsQuota_ && allowance.bucket_.tokens_ < keptPart * rate.capacity_) {
        borrow(state, organisation, allowance, rate, now, out);
    }
    if (permits.granted_ < wanted) {
        const Duration next = untilNextToken(allowance.bucket_, rate);
        const bool borrows = now < allowance.borrowedAt_ + borrowTime;
        permits.nextIn_ = borrows ? std::min(next, borrowTime) : next;
    }
    return permits;
}

/** Lends a limiter of another zone what this one can spare. */
double lendTo(SessionServiceState &sessions, const AdmissionRequest &request, Time now)
{
    const OrganisationLimits *limits = limitsOf(sessions, request.organisation_);
    if (limits == nullptr) {
        return 0;
    }
    const BucketRate rate = rateOf(sessions, request.organisation_, *limits, now);
    Allowance &allowance = allowanceOf(sessions, request.organisation_, rate, now);
    const double lent = std::clamp(allowance.bucket_.tokens_ - keptPart * rate.capacity_, 0.0, std::max(0.0, request.wanted_));
    allowance.bucket_.tokens_ -= lent;
    return lent;
}

void noteRefused(SessionServiceState &sessions, const OrganisationId &organisation, Time now, Effects &out)
{
    const auto [place, isNew] = sessions.quotas_.limited_.try_emplace(organisation, QuotaLimited{now, now, 0});
    place->second.lastAt_ = now;
    ++place->second.refused_;
    if (isNew) {
        out.emplace_back(WriteLog{LogNumber::QuotaReached, {{"organisation", organisation.value()}}});
    }
}

/** Hands \p permits to those that wait; of the \p asked first, those that get none are refused, unless the next permit is near. */
void handOut(ProxyState &state, const OrganisationId &organisation, const Permits &permits, unsigned asked, Time now, Effects &out)
{
    SessionServiceState &sessions = *state.sessions_;
    PermitQueue &queue = sessions.quotas_.queues_[organisation];
    queue.ask_.reset();
    unsigned left = permits.granted_;
    unsigned decided = asked;
    std::vector<SessionKey> refused;
    std::deque<SessionKey> waiting;
    for (const SessionKey key : std::exchange(queue.waiting_, {})) {
        ClientSession &session = *findSession(state, key);
        if (left > 0) {
            --left;
            decided -= decided > 0 ? 1 : 0;
            joinWaiting(state, session);
        } else if (decided > 0) {
            --decided;
            const bool waits = now + permits.nextIn_ <= session.run_->arrived_ + permitPatience;
            if (waits) {
                waiting.push_back(key);
            } else {
                refused.push_back(key);
            }
        } else {
            waiting.push_back(key);
        }
    }
    queue.notBefore_ = permits.granted_ < asked ? now + std::min(permits.nextIn_, permitPatience) : now;
    queue.waiting_ = std::move(waiting);
    for (const SessionKey key : refused) {
        noteRefused(sessions, organisation, now, out);
        refuse(state, *findSession(state, key), ReplyCode::Retry, comeBack(permits.nextIn_, "the organisation has reached its quota"), now, out);
    }
}

void send(ProxyState &state, const OrganisationId &organisation, PermitQueue &queue, const PeerVm &limiter, unsigned tries, Time now, Effects &out)
{
    AdmissionRequest request = newRequest(state, organisation);
    request.wanted_ = static_cast<double>(queue.waiting_.size());
    queue.ask_ = PermitAsk{request.number_, static_cast<unsigned>(queue.waiting_.size()), limiter.vm_.name_, now, tries};
    out.emplace_back(SessionEffect(SendAdmissionRequest{limiter.vm_.address_, std::move(request)}));
}

/** Asks for all that wait, unless an answer is under way; \p tries were made before at the same limiter. */
void ask(ProxyState &state, const OrganisationId &organisation, unsigned tries, Time now, Effects &out)
{
    SessionServiceState &sessions = *state.sessions_;
    PermitQueue &queue = sessions.quotas_.queues_[organisation];
    if (queue.ask_ || queue.waiting_.empty() || now < queue.notBefore_) {
        return;
    }
    const std::string limiter = sessions.identity_.policies_.poolsQuota_ ? limiterOf(sessions, sessions.identity_.vm_.zone_, organisation, now) : std::string();
    const auto peer = sessions.peers_.find(limiter);
    if (peer != sessions.peers_.end()) {
        send(state, organisation, queue, peer->second, tries, now, out);
        return;
    }
    const auto wanted = static_cast<unsigned>(queue.waiting_.size());
    const Permits permits = grantHere(state, organisation, wanted, now, out);
    handOut(state, organisation, permits, wanted, now, out);
}

/** No answer came in time: asks once more, then another limiter. */
void askAgain(ProxyState &state, const OrganisationId &organisation, Time now, Effects &out)
{
    QuotaBook &book = state.sessions_->quotas_;
    const PermitAsk asked = *std::exchange(book.queues_[organisation].ask_, std::nullopt);
    const bool silent = asked.tries_ + 1 >= asksUntilSilent;
    if (silent) {
        book.silentSince_[asked.limiter_] = now;
    }
    ask(state, organisation, silent ? 0 : asked.tries_ + 1, now, out);
}

void reviewLimited(QuotaBook &book, Time now, Effects &out)
{
    std::erase_if(book.limited_, [&](const auto &entry) {
        const QuotaLimited &limited = entry.second;
        if (now - limited.lastAt_ < quotaCalm) {
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
    std::string best;
    std::uint64_t bestWeight = 0;
    const auto consider = [&](const std::string &name) {
        const std::uint64_t weight = limiterWeight(organisation, name);
        if (best.empty() || weight > bestWeight) {
            best = name;
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
    if (zone == self.zone_ && (mayBeSelf || best.empty())) {
        consider(self.name_);
    }
    return best;
}

void admitOperation(ProxyState &state, ClientSession &session, Time now, Effects &out)
{
    SessionServiceState &sessions = *state.sessions_;
    if (limitsOf(sessions, session.organisation_) == nullptr) {
        joinWaiting(state, session);
        return;
    }
    sessions.quotas_.queues_[session.organisation_].waiting_.push_back(session.key_);
    ask(state, session.organisation_, 0, now, out);
}

bool waitsForPermit(const SessionServiceState &sessions, const ClientSession &session)
{
    const auto queue = sessions.quotas_.queues_.find(session.organisation_);
    return queue != sessions.quotas_.queues_.end() && std::ranges::find(queue->second.waiting_, session.key_) != queue->second.waiting_.end();
}

void leaveAdmission(SessionServiceState &sessions, const ClientSession &session)
{
    const auto queue = sessions.quotas_.queues_.find(session.organisation_);
    if (queue != sessions.quotas_.queues_.end()) {
        std::erase(queue->second.waiting_, session.key_);
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
    if (request.lends_) {
        grant.granted_ = lendTo(sessions, request, now);
    } else {
        const Permits permits = grantHere(state, request.organisation_, static_cast<unsigned>(std::max(0.0, request.wanted_)), now, out);
        grant.granted_ = permits.granted_;
        grant.nextIn_ = permits.nextIn_;
    }
    out.emplace_back(SessionEffect(SendAdmissionGrant{request.address_, std::move(grant)}));
}

void onAdmissionGrant(ProxyState &state, const AdmissionGrant &grant, Time now, Effects &out)
{
    SessionServiceState &sessions = *state.sessions_;
    if (grant.to_ != sessions.identity_.vm_.incarnation_) {
        return; // Of the process before this one.
    }
    QuotaBook &book = sessions.quotas_;
    const auto allowance = book.allowances_.find(grant.organisation_);
    if (allowance != book.allowances_.end() && allowance->second.borrows_.erase(grant.number_) > 0) { // Once: a datagram may arrive twice.
        allowance->second.bucket_.tokens_ += std::max(0.0, grant.granted_);
        return;
    }
    const auto queue = book.queues_.find(grant.organisation_);
    if (queue == book.queues_.end() || !queue->second.ask_ || queue->second.ask_->number_ != grant.number_) {
        return; // It was asked again: what this one grants is lost.
    }
    const Permits permits{static_cast<unsigned>(std::max(0.0, grant.granted_)), grant.nextIn_};
    handOut(state, grant.organisation_, permits, queue->second.ask_->wanted_, now, out);
    ask(state, grant.organisation_, 0, now, out);
}

void reviewAdmission(ProxyState &state, Time now, Effects &out)
{
    SessionServiceState &sessions = *state.sessions_;
    QuotaBook &book = sessions.quotas_;
    if (!sessions.configuration_ || !sessions.configuration_->organisations_) {
        return;
    }
    book.partOfZone_ = partOfZone(sessions, now);
    book.zones_ = zonesOf(sessions);
    std::erase_if(book.queues_, [](const auto &entry) { return entry.second.waiting_.empty() && !entry.second.ask_; });
    std::vector<OrganisationId> waiting;
    for (const auto &[organisation, queue] : book.queues_) {
        waiting.push_back(organisation);
    }
    for (const OrganisationId &organisation : waiting) {
        const std::optional<PermitAsk> &asked = book.queues_[organisation].ask_;
        if (asked && now - asked->sentAt_ >= askTimeout) {
            askAgain(state, organisation, now, out);
        } else {
            ask(state, organisation, 0, now, out);
        }
    }
    reviewLimited(book, now, out);
}

} // namespace Figward
