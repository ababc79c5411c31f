#include "support/SessionLoad.h"

#include <algorithm>

namespace Figward::Testing {

namespace {

constexpr unsigned attemptLimit = 3;
/** Delay between a failed attempt and the next one. */
constexpr Duration retryBackoff = std::chrono::milliseconds(50);
/** Client's pause between two statements of a transaction. */
constexpr Duration statementInterval = std::chrono::milliseconds(20);
constexpr unsigned transactionStatements = 3;

} // namespace

double LoadCount::shareInAim() const
{
    return asked_ == 0 ? 1.0 : static_cast<double>(inAim_) / asked_;
}

SessionLoad::SessionLoad(SessionWorld &world, std::vector<LoadRoute> routes, unsigned vms, std::uint64_t seed)
    : world_(world)
    , routes_(std::move(routes))
    , vms_(vms)
    , random_(seed)
{
    for (const LoadRoute &route : routes_) {
        counts_.try_emplace(route.database_);
    }
    world_.setOnAnswer([this](std::size_t client, const ClientAnswer &answer) { onAnswer(client, answer); });
}

void SessionLoad::run(Duration duration)
{
    const Time end = world_.now() + duration;
    Duration longestBudget{};
    for (std::size_t route = 0; route < routes_.size(); ++route) {
        scheduleArrival(route, end);
        longestBudget = std::max(longestBudget, routes_[route].budget_);
    }
    world_.run(duration + longestBudget);
}

void SessionLoad::setRate(const std::string &database, double perSecond)
{
    std::ranges::find(routes_, database, &LoadRoute::database_)->perSecond_ = perSecond;
}

const LoadCount &SessionLoad::count(const std::string &database) const
{
    return counts_.at(database);
}

LoadCount SessionLoad::countOfKey(const std::string &key) const
{
    const auto found = countsByKey_.find(key);
    return found == countsByKey_.end() ? LoadCount{} : found->second;
}

double SessionLoad::uniform()
{
    return std::uniform_real_distribution<double>()(random_);
}

Duration SessionLoad::exponential(double mean)
{
    return Duration(static_cast<std::int64_t>(std::exponential_distribution<double>(1.0 / mean)(random_)));
}

Duration SessionLoad::workOf(const LoadRoute &route)
{
    constexpr double spread = 0.7;
    std::lognormal_distribution<double> factor(-spread * spread / 2, spread);
    return Duration(static_cast<std::int64_t>(static_cast<double>(route.work_.count()) * factor(random_)));
}

void SessionLoad::scheduleArrival(std::size_t route, Time end)
{
    const Duration pause = exponential(1e6 / routes_[route].perSecond_);
    if (world_.now() + pause >= end) {
        return;
    }
    world_.after(pause, [this, route, end] {
        const LoadRoute &kind = routes_[route];
        Operation operation{.route_ = route, .writes_ = uniform() < kind.writes_, .began_ = world_.now()};
        const StatementKind work = operation.writes_ ? StatementKind::Write : StatementKind::Read;
        if (uniform() < kind.transactions_) {
            operation.statements_.push_back(operation.writes_ ? StatementKind::Begin : StatementKind::BeginRead);
            operation.statements_.insert(operation.statements_.end(), transactionStatements, work);
            operation.statements_.push_back(StatementKind::Commit);
        } else {
            operation.statements_.push_back(work);
        }
        ++counts_[kind.database_].asked_;
        ++countsByKey_[kind.key_].asked_;
        begin(std::move(operation));
        scheduleArrival(route, end);
    });
}

std::size_t SessionLoad::sessionAtRandomVm(const LoadRoute &route)
{
    unsigned vm = static_cast<unsigned>(random_() % vms_);
    for (unsigned tried = 0; tried < vms_ && !world_.runs(vm); ++tried) {
        vm = (vm + 1) % vms_;
    }
    std::vector<std::size_t> &free = idleSessions_[{vm, route.database_, route.key_}];
    while (!free.empty()) {
        const std::size_t client = free.back();
        free.pop_back();
        if (!world_.client(client).closed_) {
            return client;
        }
    }
    return world_.open(vm, route.database_, route.key_);
}

void SessionLoad::begin(Operation operation)
{
    const std::size_t client = sessionAtRandomVm(routes_[operation.route_]);
    inProgress_[client] = std::move(operation);
    sendNext(client);
}

void SessionLoad::sendNext(std::size_t client)
{
    Operation &operation = inProgress_.at(client);
    const LoadRoute &route = routes_[operation.route_];
    if (world_.now() - operation.began_ > route.budget_) {
        inProgress_.erase(client);
        world_.close(client); // The client gives up when its time budget is used up.
        return;
    }
    ClientStatement statement;
    statement.id_ = "load-" + std::to_string(client) + "-" + std::to_string(random_());
    statement.kind_ = operation.statements_[operation.nextStatement_];
    statement.text_ = statement.kind_ == StatementKind::Write ? "WRITE a 1" : "READ a";
    operation.pendingStatement_ = statement.id_;
    world_.setWork(statement.id_, workOf(route));
    world_.send(client, statement);
}

void SessionLoad::onAnswer(std::size_t client, const ClientAnswer &answer)
{
    const auto found = inProgress_.find(client);
    if (found == inProgress_.end() || found->second.pendingStatement_ != answer.id_) {
        return;
    }
    Operation &operation = found->second;
    if (answer.reply_.code_ != ReplyCode::None) {
        fail(client, answer.reply_.code_);
        return;
    }
    if (++operation.nextStatement_ < operation.statements_.size()) {
        operation.pauses_ += statementInterval;
        world_.after(statementInterval, [this, client] { sendNext(client); });
        return;
    }
    const LoadRoute &route = routes_[operation.route_];
    const bool inAim = world_.now() - operation.began_ - operation.pauses_ <= route.aim_;
    for (LoadCount *count : {&counts_[route.database_], &countsByKey_[route.key_]}) {
        ++(inAim ? count->inAim_ : count->late_);
    }
    idleSessions_[{world_.client(client).vm_, route.database_, route.key_}].push_back(client);
    inProgress_.erase(found);
}

void SessionLoad::fail(std::size_t client, ReplyCode code)
{
    Operation operation = std::move(inProgress_.at(client));
    inProgress_.erase(client);
    if (!world_.client(client).closed_) {
        world_.close(client);
    }
    const bool mayRetry = guaranteesNotRun(code) || code == ReplyCode::Aborted || !operation.writes_;
    if (!mayRetry || operation.attempts_ == attemptLimit) {
        return;
    }
    ++operation.attempts_;
    operation.nextStatement_ = 0;
    world_.after(retryBackoff, [this, operation] { begin(operation); });
}

std::vector<LoadRoute> ledgerLoad(double scale, unsigned group)
{
    using std::chrono::milliseconds;
    return {
        {SessionWorld::databaseOf("ledger", group), 36.5 * scale, milliseconds(11), 0.35, 0.25, milliseconds(200), milliseconds(2000)},
        {SessionWorld::databaseOf("history", group), 36.5 * scale, milliseconds(55), 0.0, 0.1, milliseconds(800), milliseconds(8000)},
        {SessionWorld::databaseOf("dispatch", group), 170.5 * scale, milliseconds(33), 0.12, 0.12, milliseconds(400), milliseconds(2000)},
    };
}

} // namespace Figward::Testing
