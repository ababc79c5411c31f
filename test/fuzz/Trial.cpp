#include "fuzz/Trial.h"

#include "support/Trace.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <array>

namespace Figward::Testing {

namespace {

constexpr std::size_t sessionCount = 6;
constexpr std::size_t keyCount = 2;
constexpr Duration second = std::chrono::seconds(1);
constexpr Duration startTime = 2 * second; // Time until connections are open and terms are granted.
constexpr Duration afterEffects = 15 * second;
constexpr Duration settleTime = 20 * second;
constexpr Duration answerSlack = std::chrono::milliseconds(50);
constexpr std::array timeoutChoices{second / 5, second, 3 * second};
constexpr std::array maxStalenessChoices{second / 10, second, 10 * second};
constexpr std::size_t tracedLines = 3000;
constexpr unsigned faultPercent = 30;
constexpr int maxWriteAttempts = 5;

std::string keyName(std::size_t choice)
{
    return "k" + std::to_string(choice % keyCount);
}

Request requestOf(RequestKind kind, const GroupId &group, std::size_t choice)
{
    Request request;
    request.kind_ = kind;
    request.service_ = ServiceId("ledger");
    request.group_ = group;
    request.class_ = ClassId("fitment");
    request.timeout_ = timeoutChoices.at(choice % timeoutChoices.size());
    return request;
}

WorldConfig worldOf(std::uint64_t seed)
{
    WorldConfig config;
    config.seed_ = seed;
    config.proxies_ = 5;
    config.groups_ = 2;
    config.group_.statementJitter_ = std::chrono::milliseconds(1);
    config.policy_.drainTimeout_ = 5 * second;
    return config;
}

constexpr std::array names{"write",
                           "read",
                           "retry",
                           "transact",
                           "wait",
                           "cut-zones",
                           "cut-platform",
                           "pause-proxy",
                           "kill-proxy",
                           "drain-proxy",
                           "kill-member",
                           "pause-member",
                           "lag-member",
                           "platform-down",
                           "platform-lossy",
                           "peers-faulty"};
static_assert(names.size() == actionKinds);

} // namespace

std::string toString(const Action &action)
{
    return absl::StrCat(
        names.at(static_cast<std::size_t>(action.kind_)), " ", action.who_, " ", action.where_, " ", action.choice_, " ", action.time_.count(), "us");
}

Trial::Trial(std::uint64_t seed)
    : world_(worldOf(seed))
    , sessions_(sessionCount)
{
    for (std::size_t i = 0; i < sessions_.size(); ++i) {
        sessions_[i].id_ = {1000, i + 1};
    }
    world_.setTrace(&lines_);
    world_.run(startTime);
}

void Trial::perform(const Action &action)
{
    world_.note("== " + toString(action));
    Session *session = freeSession(action.who_);
    switch (action.kind_) {
    case ActionKind::Wait:
        world_.run(action.time_);
        return;
    case ActionKind::Write:
    case ActionKind::Read:
    case ActionKind::Retry:
    case ActionKind::Transact:
        if (session == nullptr) {
            return;
        }
        break;
    default:
        fault(action);
        return;
    }
    if (action.kind_ == ActionKind::Write) {
        write(*session, action);
    } else if (action.kind_ == ActionKind::Read) {
        read(*session, action);
    } else if (action.kind_ == ActionKind::Retry) {
        retry(*session, action);
    } else {
        transact(*session, action);
    }
}

void Trial::finish()
{
    world_.note("== heal");
    world_.healAll();
    world_.run(settleTime);
    world_.healAll(); // Also restarts proxies that have drained in the meantime.
    world_.run(startTime);
    if (unanswered_ > 0) {
        oracle_.violate(absl::StrCat(unanswered_, " requests were never answered"));
    }
    if (world_.cutByExit() > 0) {
        oracle_.violate(absl::StrCat(world_.cutByExit(), " requests were cut by a drain"));
    }
    for (std::size_t group = 0; group < world_.groups(); ++group) {
        checkRecovered(group);
        oracle_.checkLog(World::groupId(group), world_.group(group).log(world_.primaryOf(group)));
    }
}

const FuzzCounts &Trial::counts() const
{
    return oracle_.counts_;
}

const std::vector<std::string> &Trial::violations() const
{
    return oracle_.violations();
}

World &Trial::world()
{
    return world_;
}

std::string Trial::trace() const
{
    const std::size_t first = lines_.size() - std::min(lines_.size(), tracedLines);
    return absl::StrJoin(lines_.begin() + static_cast<std::ptrdiff_t>(first), lines_.end(), "\n");
}

void Trial::write(Session &session, const Action &action)
{
    const GroupId group = World::groupId(action.choice_ % world_.groups());
    session.open_.reset(); // A caller that sends another write no longer retries the previous one.
    const WriteNumber number = oracle_.ask({.group_ = group, .key_ = IdempotencyKey{session.id_, session.next_}});
    session.next_ = Sequence(session.next_.value() + 1);
    const std::string key = keyName(action.choice_ / 2);
    oracle_.write(number).bodies_ = {"append " + key + " " + oracle_.newTag(key, number)};
    Request request = requestOf(RequestKind::Write, group, action.choice_);
    request.body_ = oracle_.write(number).bodies_.back();
    sendWrite(session, action.where_, number, std::move(request));
}

void Trial::retry(Session &session, const Action &action)
{
    if (!session.open_ || session.transaction_ != TransactionId(0)) {
        return;
    }
    const WriteNumber number = *session.open_;
    const RequestedWrite &write = oracle_.write(number);
    if (write.bodies_.size() != 1) {
        return; // Only the key of a transaction's commit is kept, not its statements.
    }
    Request request = requestOf(RequestKind::Write, write.group_, action.choice_);
    request.body_ = write.bodies_.back();
    sendWrite(session, action.where_, number, std::move(request));
}

void Trial::sendWrite(Session &session, ProxyIndex proxy, WriteNumber number, Request request)
{
    request.key_ = oracle_.write(number).key_;
    request.repeated_ = session.open_ == number;
    request.acknowledgedBelow_ = request.key_->sequence_;
    ask(session, proxy, std::move(request), [this, &session, number](const std::optional<Answer> &answer) {
        oracle_.recordAnswer(number, answer);
        const bool known = answer && answer->outcome_ != Outcome::Unknown;
        session.open_ = known ? std::nullopt : std::optional(number);
        if (answer && answer->outcome_ == Outcome::Done) {
            recordDone(session, number);
        }
    });
}

void Trial::read(Session &session, const Action &action)
{
    const GroupId group = World::groupId(action.choice_ % world_.groups());
    const std::string key = keyName(action.choice_ / 2);
    const std::size_t variant = action.choice_ / 4 % 4;
    Request request = requestOf(RequestKind::Read, group, action.choice_);
    request.body_ = "get " + key;
    const bool withToken = variant != 0;
    const bool withMaxStaleness = variant != 1;
    CheckedRead read{.group_ = group, .key_ = key};
    if (withMaxStaleness) {
        request.maxStaleness_ = maxStalenessChoices.at(action.choice_ / 16 % maxStalenessChoices.size());
        read.mustContain_ = writtenBefore(group, key, world_.now() - *request.maxStaleness_);
    }
    if (withToken) {
        const std::set<std::string> &told = session.acknowledgedTags_[{group, key}];
        read.mustContain_.insert(told.begin(), told.end());
    }
    const SessionToken token = std::exchange(session.token_, withToken ? session.token_ : SessionToken{});
    ask(session, action.where_, std::move(request), [this, read, token, &session](const std::optional<Answer> &answer) mutable {
        merge(session.token_, token);
        if (answer && answer->outcome_ == Outcome::Done) {
            read.body_ = answer->body_;
            read.fromReplica_ = answer->fromReplica_;
            oracle_.check(read);
        }
    });
}

void Trial::ask(Session &session, ProxyIndex proxy, Request request, std::function<void(const std::optional<Answer> &)> reply)
{
    proxy %= world_.proxies();
    request.token_ = session.token_;
    session.busy_ = true;
    ++unanswered_;
    const Time askedAt = world_.now();
    world_.ask(proxy, request, [this, &session, proxy, request, askedAt, reply = std::move(reply)](const std::optional<Answer> &answer) {
        --unanswered_;
        session.busy_ = false;
        checkOutcome(request, proxy, askedAt, answer);
        if (answer) {
            merge(session.token_, answer->token_);
        }
        reply(answer);
    });
}

void Trial::checkOutcome(const Request &request, ProxyIndex proxy, Time askedAt, const std::optional<Answer> &answer)
{
    const bool faultIsPossible = world_.now() < faultEffectsUntil_ || askedAt < faultEffectsUntil_;
    if (faultIsPossible || !answer) {
        return;
    }
    if (answer->outcome_ == Outcome::Unknown) {
        oracle_.violate("unknown without a fault: " + describe(request) + " at vm" + std::to_string(proxy));
    }
    if (world_.now() > askedAt + request.timeout_ + answerSlack) {
        oracle_.violate("answered after its deadline: " + describe(request) + " at vm" + std::to_string(proxy));
    }
}

void Trial::recordDone(Session &session, WriteNumber number)
{
    const RequestedWrite &write = oracle_.write(number);
    for (const std::string &body : write.bodies_) {
        const std::vector<std::string> words = absl::StrSplit(body, ' ');
        session.acknowledgedTags_[{write.group_, words.at(1)}].insert(words.at(2));
        acknowledged_[{write.group_, words.at(1)}].push_back({words.at(2), world_.now()});
    }
}

std::set<std::string> Trial::writtenBefore(const GroupId &group, const std::string &key, Time before) const
{
    std::set<std::string> tags;
    const auto found = acknowledged_.find({group, key});
    if (found == acknowledged_.end()) {
        return tags;
    }
    for (const Acknowledged &acknowledged : found->second) {
        if (acknowledged.at_ <= before) {
            tags.insert(acknowledged.tag_);
        }
    }
    return tags;
}

/** Writes through \p proxy; if the answer is "not run" with a retry delay, retries after that delay with a new key. */
std::optional<Answer> Trial::writeWithRetries(ProxyIndex proxy, Request request)
{
    std::optional<Answer> answer;
    for (int tries = 0; tries < maxWriteAttempts; ++tries) {
        answer = world_.askAndWait(proxy, request);
        const bool again = answer && answer->outcome_ == Outcome::NotRun && answer->retryAfter_;
        if (!again) {
            return answer;
        }
        world_.run(*answer->retryAfter_);
        request.key_->sequence_ = Sequence(request.key_->sequence_.value() + world_.groups());
    }
    return answer;
}

/** Checks that after the faults all members follow one primary, and a write succeeds through every proxy. */
void Trial::checkRecovered(std::size_t group)
{
    const GroupId id = World::groupId(group);
    for (ProxyIndex proxy = 0; proxy < world_.proxies(); ++proxy) {
        Request request = requestOf(RequestKind::Write, id, 1);
        request.body_ = "append probe x";
        request.key_ = IdempotencyKey{{1000, sessionCount + 1 + proxy}, Sequence(group + 1)};
        const std::optional<Answer> answer = writeWithRetries(proxy, request);
        if (!answer || answer->outcome_ != Outcome::Done) {
            const std::string told = answer ? describe(*answer) : "no answer";
            oracle_.violate("no write through vm" + std::to_string(proxy) + " to " + id.value() + " after all faults: " + told);
        }
    }
    world_.run(second);
    const Standin::GroupModel &model = world_.group(group);
    for (Standin::MemberIndex member = 0; member < model.size(); ++member) {
        if (model.log(member).entries() != model.log(world_.primaryOf(group)).entries()) {
            oracle_.violate("after all faults " + model.config().members_.at(member).value() + " does not follow the primary of " + id.value());
        }
    }
}

Session *Trial::freeSession(std::size_t who)
{
    for (std::size_t i = 0; i < sessions_.size(); ++i) {
        Session &session = sessions_[(who + i) % sessions_.size()];
        if (!session.busy_) {
            return &session;
        }
    }
    return nullptr;
}

void Trial::fault(const Action &action)
{
    const std::size_t group = action.where_ % world_.groups();
    const Standin::MemberIndex member = action.who_ % world_.group(group).size();
    const ProxyIndex proxy = action.who_ % world_.proxies();
    const std::size_t zone = action.who_ % 3;
    const std::size_t otherZone = (zone + 1 + action.where_ % 2) % 3;
    const Time ends = world_.now() + action.time_;
    faultEffectsUntil_ = std::max(faultEffectsUntil_, ends + afterEffects);
    switch (action.kind_) {
    case ActionKind::CutZones:
        world_.setZonesCut(zone, otherZone, true);
        world_.schedule(ends, [this, zone, otherZone] { world_.setZonesCut(zone, otherZone, false); });
        return;
    case ActionKind::PauseProxy:
        world_.pauseProxy(proxy);
        world_.schedule(ends, [this, proxy] { world_.resumeProxy(proxy); });
        return;
    case ActionKind::KillProxy:
        world_.killProxy(proxy);
        world_.schedule(ends, [this, proxy] { world_.startProxy(proxy); });
        return;
    case ActionKind::DrainProxy:
        world_.drainProxy(proxy);
        world_.schedule(ends, [this, proxy] { world_.startProxy(proxy); });
        return;
    case ActionKind::KillMember:
        world_.killMember(group, member, action.choice_ % 2 == 0);
        world_.schedule(ends, [this, group, member] { world_.restartMember(group, member); });
        return;
    case ActionKind::PauseMember:
        world_.pauseMember(group, member);
        world_.schedule(ends, [this, group, member] { world_.resumeMember(group, member); });
        return;
    case ActionKind::LagMember: {
        const Standin::MemberIndex primary = world_.primaryOf(group);
        const Duration before = world_.group(group).config().replicationDelay_;
        world_.group(group).setDelay(primary, member, action.time_ / 2, world_.now());
        world_.schedule(ends, [this, group, primary, member, before] { world_.group(group).setDelay(primary, member, before, world_.now()); });
        return;
    }
    default:
        faultOfPlatform(action);
    }
}

void Trial::faultOfPlatform(const Action &action)
{
    const std::size_t zone = action.who_ % 3;
    const Time ends = world_.now() + action.time_;
    if (action.kind_ == ActionKind::CutPlatform) {
        world_.setPlatformCut(zone, true);
        world_.schedule(ends, [this, zone] { world_.setPlatformCut(zone, false); });
    } else if (action.kind_ == ActionKind::PlatformDown) {
        world_.platform().setFaults({.down_ = true, .silent_ = action.choice_ % 2 == 0});
        world_.schedule(ends, [this] { world_.platform().setFaults({}); });
    } else if (action.kind_ == ActionKind::PlatformLossy) {
        world_.platform().setFaults({.additionalLatency_ = second / 5, .lossPercent_ = faultPercent});
        world_.schedule(ends, [this] { world_.platform().setFaults({}); });
    } else {
        world_.setPeerFaults({.dropPercent_ = faultPercent / 3, .doublePercent_ = faultPercent, .delayPercent_ = faultPercent});
        world_.schedule(ends, [this] { world_.setPeerFaults({}); });
    }
}

} // namespace Figward::Testing
