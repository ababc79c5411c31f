#include "LoadSession.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <thread>

namespace Figward {

namespace {

constexpr unsigned resolveAttempts = 100;
constexpr std::chrono::milliseconds resolveInterval(50);
constexpr std::chrono::milliseconds defaultRetryDelay(20); ///< Used if the answer gives no retry delay.
constexpr Duration maxRetryDelay = std::chrono::milliseconds(500);

std::uint32_t microsSince(LoadClock::time_point start)
{
    return static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::microseconds>(LoadClock::now() - start).count());
}

std::uint64_t asNumber(const std::string &body)
{
    std::uint64_t number = 0;
    return absl::SimpleAtoi(body, &number) ? number : 0;
}

bool isDone(const ClientResult &result)
{
    return result.ok() && result->outcome_ == Outcome::Done;
}

} // namespace

LoadSession::LoadSession(const LoadPlan &plan, ProxyDirectory &proxies, std::uint64_t number)
    : plan_(plan)
    , proxies_(proxies)
    , number_(number)
    , random_(plan.seed_ * 1'000'003 + number)
{
    startSession();
}

const LoadRecords &LoadSession::records() const
{
    return records_;
}

void LoadSession::startSession()
{
    ++incarnation_;
    const auto now = std::chrono::duration_cast<std::chrono::seconds>(std::chrono::system_clock::now().time_since_epoch());
    session_.emplace(plan_.service_, SessionId{static_cast<std::uint64_t>(now.count()), random_()});
    session_->timeout_ = plan_.timeout_;
    name_ = absl::StrCat("caller-", plan_.seed_, "-", number_, "-", incarnation_);
    written_.clear();
    acknowledged_.clear();
    proxy_ = proxies_.pick(random_);
}

void LoadSession::run(const std::atomic<bool> &stopping)
{
    const std::int64_t sessions = plan_.sessions_;
    const LoadClock::duration interval = LoadClock::duration(std::chrono::seconds(1)) * sessions / std::max(1U, plan_.statementsPerSecond_);
    const auto firstPercent = static_cast<std::int64_t>(random_() % 100); // Percentage of an interval, so that sessions do not all start at once.
    LoadClock::time_point next = LoadClock::now() + interval * firstPercent / 100;
    while (!stopping) {
        std::this_thread::sleep_until(next);
        runStatement();
        next = std::max(next + interval, LoadClock::now());
    }
}

void LoadSession::runStatement()
{
    if (random_() % 100 < plan_.proxyChangePercent_ || !proxies_.isOpen(proxy_)) {
        proxy_ = proxies_.pick(random_);
    }
    const GroupId &group = plan_.groups_[random_() % plan_.groups_.size()];
    const unsigned draw = random_() % 100;
    if (draw < plan_.writePercent_) {
        write(group);
    } else {
        read(group, draw < plan_.writePercent_ + plan_.stalePercent_);
    }
}

Request LoadSession::prepare(Request request)
{
    if (!plan_.classes_.empty()) {
        request.class_ = plan_.classes_[random_() % plan_.classes_.size()];
    }
    return request;
}

void LoadSession::read(const GroupId &group, bool acceptsAge)
{
    Request request = prepare(session_->read(group, absl::StrCat("get ", name_)));
    if (acceptsAge) {
        request.maxStaleness_ = plan_.maxStaleness_;
    }
    const auto start = LoadClock::now();
    const ClientResult result = ask(request);
    if (!isDone(result)) {
        waitBeforeNextRequest(result);
        return;
    }
    records_.readMicros_.push_back(microsSince(start));
    ++records_.reads_;
    records_.replicaReads_ += result->fromReplica_ ? 1 : 0;
    records_.staleReads_ += asNumber(result->body_) < acknowledged_[group] ? 1 : 0;
}

void LoadSession::write(const GroupId &group)
{
    const std::uint64_t value = ++written_[group];
    const Request request = prepare(session_->keyed(RequestKind::Write, group, absl::StrCat("put ", name_, " ", value)));
    const auto start = LoadClock::now();
    const ClientResult result = ask(request);
    Outcome outcome = result.ok() ? result->outcome_ : Outcome::Unknown;
    if (outcome == Outcome::Done) {
        records_.writeMicros_.push_back(microsSince(start));
    } else if (outcome == Outcome::Unknown) {
        outcome = resolveOutcome(request);
    } else {
        waitBeforeNextRequest(result);
    }
    records_.writes_.push_back({group, name_, value, outcome, LoadClock::now()});
    if (outcome == Outcome::Done) {
        acknowledged_[group] = value;
    } else if (outcome == Outcome::Unknown) {
        startSession(); // In the same session, a late effect of this write would look like a stale read.
    }
}

Outcome LoadSession::resolveOutcome(Request request)
{
    request.repeated_ = true;
    for (unsigned i = 0; i < resolveAttempts; ++i) {
        std::this_thread::sleep_for(resolveInterval);
        proxy_ = proxies_.pick(random_);
        const ClientResult result = ask(request);
        if (result.ok() && result->outcome_ != Outcome::Unknown) {
            return result->outcome_;
        }
    }
    return Outcome::Unknown;
}

ClientResult LoadSession::ask(const Request &request)
{
    ++records_.statements_;
    ClientResult result = proxies_.client(proxy_).execute(request);
    count(result, proxy_);
    if (result.ok()) {
        session_->take(*result);
    }
    return result;
}

void LoadSession::count(const ClientResult &result, std::size_t proxy)
{
    if (!result.ok()) {
        ++records_.unknown_;
        ++records_.cutByProxy_[proxy];
        return;
    }
    records_.notRun_ += result->outcome_ == Outcome::NotRun ? 1 : 0;
    records_.unknown_ += result->outcome_ == Outcome::Unknown ? 1 : 0;
    if (result->error_ != ErrorKind::None) {
        ++records_.errors_[result->error_];
    }
}

void LoadSession::waitBeforeNextRequest(const ClientResult &result)
{
    const Duration asked = result.ok() ? result->retryAfter_.value_or(defaultRetryDelay) : Duration(defaultRetryDelay);
    std::this_thread::sleep_for(std::min(asked, maxRetryDelay));
    if (!result.ok() || result->error_ == ErrorKind::Draining) {
        proxy_ = proxies_.pick(random_);
    }
}

LoadRecords runLoad(const LoadPlan &plan, ProxyDirectory &proxies, const std::atomic<bool> &stopping)
{
    std::vector<std::unique_ptr<LoadSession>> sessions;
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < plan.sessions_; ++i) {
        sessions.push_back(std::make_unique<LoadSession>(plan, proxies, i));
        threads.emplace_back([session = sessions.back().get(), &stopping] { session->run(stopping); });
    }
    LoadRecords all;
    for (unsigned i = 0; i < plan.sessions_; ++i) {
        threads[i].join();
        merge(all, sessions[i]->records());
    }
    return all;
}

} // namespace Figward
