#include "SessionDrain.h"
#include "support/SessionWorld.h"

#include <absl/strings/str_cat.h>
#include <gmock/gmock.h>
#include <random>

using namespace Figward;
using namespace Figward::Testing;
using namespace testing;

namespace {

constexpr Duration startTime = std::chrono::seconds(3);
constexpr Duration drainTime = std::chrono::seconds(6);

/** How a client uses its sessions. */
struct ClientHabit
{
    std::string database_ = "dispatch";
    std::string key_; ///< API key; empty: none.
    Duration pause_{}; ///< Between an answer and the next statement.
    Duration work_ = std::chrono::milliseconds(12); ///< Execution time of a statement.
    unsigned pipelined_ = 1; ///< Statements that are sent without waiting for an answer.
    unsigned transaction_ = 0; ///< Writes between BEGIN and COMMIT; zero: single statements.
    bool writes_ = false;
};

/** Clients that use one session after the other without end; when a VM closes one, they go on at the next VM. */
class EndlessClients
{
public:
    explicit EndlessClients(SessionWorld &world, unsigned vms = 4)
        : world_(world)
        , vms_(vms)
    {
        world_.setOnAnswer([this](std::size_t client, const ClientAnswer &answer) { onAnswer(client, answer); });
    }

    void add(unsigned vm, const ClientHabit &habit)
    {
        open(vm, habit);
    }

    /** Lets \p duration pass; clients whose sessions were closed open new ones at other VMs. */
    void run(Duration duration)
    {
        constexpr Duration step = std::chrono::milliseconds(5);
        for (const Time end = world_.now() + duration; world_.now() < end;) {
            world_.run(step);
            moveClosed();
        }
    }

    /** Statements that were refused or failed, by code. */
    [[nodiscard]] const std::map<ReplyCode, unsigned> &errors() const
    {
        return errors_;
    }

    [[nodiscard]] unsigned answered() const
    {
        return answered_;
    }

private:
    struct Session
    {
        ClientHabit habit_;
        std::vector<StatementKind> plan_; ///< Statements of the current operation that are still to be sent.
        bool over_ = false; ///< The session was closed and followed by another one.
    };

    void open(unsigned vm, const ClientHabit &habit)
    {
        const std::size_t client = world_.open(vm, habit.database_, habit.key_);
        sessions_[client] = Session{habit, {}, false};
        for (unsigned number = 0; number < habit.pipelined_; ++number) {
            sendNext(client);
        }
    }

    void sendNext(std::size_t client)
    {
        Session &session = sessions_.at(client);
        if (session.over_ || world_.client(client).closed_) {
            return;
        }
        if (session.plan_.empty()) {
            session.plan_ = planOf(session.habit_);
        }
        ClientStatement statement;
        statement.id_ = absl::StrCat("c", client, "-", next_++);
        statement.kind_ = session.plan_.front();
        statement.text_ = statement.kind_ == StatementKind::Write ? "WRITE a 1" : "READ a";
        session.plan_.erase(session.plan_.begin());
        world_.setWork(statement.id_, session.habit_.work_);
        world_.send(client, statement);
    }

    static std::vector<StatementKind> planOf(const ClientHabit &habit)
    {
        const StatementKind kind = habit.writes_ ? StatementKind::Write : StatementKind::Read;
        std::vector<StatementKind> plan(std::max(1U, habit.transaction_), kind);
        if (habit.transaction_ > 0) {
            plan.insert(plan.begin(), StatementKind::Begin);
            plan.push_back(StatementKind::Commit);
        }
        return plan;
    }

    void onAnswer(std::size_t client, const ClientAnswer &answer)
    {
        ++answered_;
        Session &session = sessions_.at(client);
        if (answer.reply_.code_ != ReplyCode::None) {
            ++errors_[answer.reply_.code_];
            session.plan_.clear();
            if (answer.reply_.state_ == TransactionState::Failed) {
                session.plan_ = {StatementKind::Rollback};
            }
        }
        constexpr Duration backoff = std::chrono::milliseconds(6);
        const Duration pause = answer.reply_.code_ == ReplyCode::None ? session.habit_.pause_ : std::max(session.habit_.pause_, backoff);
        world_.after(pause, [this, client] { sendNext(client); });
    }

    void moveClosed()
    {
        std::vector<std::size_t> closed;
        for (auto &[client, session] : sessions_) {
            if (!session.over_ && world_.client(client).closed_) {
                session.over_ = true;
                closed.push_back(client);
            }
        }
        for (const std::size_t client : closed) {
            open(runningAfter(world_.client(client).vm_), sessions_.at(client).habit_);
        }
    }

    unsigned runningAfter(unsigned vm) const
    {
        for (unsigned step = 1; step < vms_; ++step) {
            const unsigned next = (vm + step) % vms_;
            if (world_.runs(next) && world_.ready(next)) {
                return next;
            }
        }
        return vm;
    }

    SessionWorld &world_;
    unsigned vms_;
    std::map<std::size_t, Session> sessions_;
    std::map<ReplyCode, unsigned> errors_;
    unsigned answered_ = 0;
    unsigned next_ = 0;
};

/** Stops VM 0 while six clients with \p habit use it. */
void expectNothingCut(const ClientHabit &habit)
{
    SessionWorld world;
    world.run(startTime);
    EndlessClients clients(world);
    for (unsigned client = 0; client < 6; ++client) {
        clients.add(0, habit);
    }
    clients.run(std::chrono::seconds(4));
    ASSERT_GT(clients.answered(), 0U);
    world.drainVm(0);
    clients.run(drainTime);
    EXPECT_FALSE(world.runs(0));
    EXPECT_THAT(world.cutOff(), IsEmpty());
    EXPECT_THAT(world.logged(LogNumber::DrainUnfinished), IsEmpty());
    world.checkLogs();
    EXPECT_THAT(world.violations(), IsEmpty());
}

} // namespace

// Guards against statements that are passed on until the process ends, since their session is never between requests for long.
TEST(SessionStopsUnderLoad, sessionsWithoutPausesAreNotCut)
{
    expectNothingCut({});
    expectNothingCut({.pause_ = std::chrono::milliseconds(40)});
    expectNothingCut({.database_ = "ledger", .writes_ = true});
}

// Guards against the same for statements that wait behind others of their session.
TEST(SessionStopsUnderLoad, pipelinedStatementsAreNotCut)
{
    expectNothingCut({.pipelined_ = 5});
    expectNothingCut({.database_ = "ledger", .pipelined_ = 5, .writes_ = true});
}

// Guards against statements whose member is still at work when the process ends.
TEST(SessionStopsUnderLoad, longStatementsAreNotCut)
{
    expectNothingCut({.database_ = "history", .work_ = std::chrono::milliseconds(1700)});
    expectNothingCut({.database_ = "ledger", .work_ = std::chrono::milliseconds(900), .writes_ = true});
}

// Guards against transactions that are begun, or go on, until the process ends.
TEST(SessionStopsUnderLoad, transactionsAreNotCut)
{
    expectNothingCut({.database_ = "ledger", .transaction_ = 3, .writes_ = true});
    expectNothingCut({.database_ = "ledger", .pause_ = std::chrono::milliseconds(300), .transaction_ = 10, .writes_ = true});
    expectNothingCut({.database_ = "ledger", .work_ = std::chrono::milliseconds(400), .transaction_ = 4, .writes_ = true});
}

// Guards against reads that another VM runs, and whose client is not told before its own VM exits; both stop.
TEST(SessionStopsUnderLoad, forwardedReadsAreNotCut)
{
    constexpr unsigned vms = 12;
    SessionWorld world({.vms_ = vms, .maxConnections_ = 20, .organisations_ = 4});
    world.run(std::chrono::seconds(6));
    EndlessClients clients(world, vms);
    for (unsigned client = 0; client < 24; ++client) {
        const Duration work = std::chrono::milliseconds(client % 3 == 0 ? 600 : 20);
        clients.add(client % 4 * 3, {.key_ = SessionWorld::keyOf(client % 4), .work_ = work});
    }
    clients.run(std::chrono::seconds(2));
    std::uint64_t forwarded = 0;
    for (const unsigned vm : {0U, 3U, 6U, 9U}) {
        forwarded += world.vm(vm).sessions_->forwarding_.totals_.forwarded_;
    }
    ASSERT_GT(forwarded, 0U);
    for (const unsigned vm : {0U, 3U, 6U}) {
        world.drainVm(vm);
        clients.run(std::chrono::milliseconds(1500));
    }
    clients.run(drainTime);
    EXPECT_THAT(world.cutOff(), IsEmpty());
    EXPECT_THAT(world.violations(), IsEmpty());
}

// Guards against transactions that are rolled back though they have time to end, and against sessions that are begun beside them.
TEST(SessionStopsUnderLoad, anOpenTransactionGoesOnAfterNewSessionsAreRefused)
{
    SessionWorld world;
    world.run(startTime);
    const std::size_t client = world.open(0, "ledger");
    const std::size_t other = world.open(0, "ledger");
    world.drainVm(0);
    world.run(std::chrono::milliseconds(1500));
    ASSERT_EQ(world.ask(client, StatementKind::Begin).code_, ReplyCode::None);
    ASSERT_EQ(world.ask(client, StatementKind::Write, "WRITE a 1").code_, ReplyCode::None);
    world.run(std::chrono::milliseconds(1500));
    const std::size_t refused = world.open(0, "ledger");
    EXPECT_TRUE(world.client(refused).refused_);
    ASSERT_TRUE(world.client(other).closed_) << "it was between requests";
    EXPECT_EQ(world.ask(client, StatementKind::Write, "WRITE a 2").code_, ReplyCode::None);
    EXPECT_EQ(world.ask(client, StatementKind::Commit).code_, ReplyCode::None);
    world.run(std::chrono::milliseconds(200));
    EXPECT_FALSE(world.runs(0)) << "nothing is left to do";
    EXPECT_THAT(world.cutOff(), IsEmpty());
}

// Guards against clients that are refused again and again: each is told once, and its session is closed with that answer.
TEST(SessionStopsUnderLoad, aClientIsTurnedAwayOnce)
{
    for (const bool begins : {false, true}) {
        SessionWorld world;
        world.run(startTime);
        EndlessClients clients(world);
        for (unsigned client = 0; client < 6; ++client) {
            clients.add(0, {.database_ = "ledger", .pause_ = std::chrono::milliseconds(30), .transaction_ = begins ? 2U : 0U});
        }
        clients.run(std::chrono::seconds(1));
        world.drainVm(0);
        clients.run(drainTime);
        EXPECT_THAT(clients.errors(), Each(Key(AnyOf(ReplyCode::Retry, ReplyCode::Aborted))));
        unsigned refusals = 0;
        for (const auto &[code, count] : clients.errors()) {
            refusals += count;
        }
        EXPECT_LE(refusals, 6U);
        EXPECT_THAT(world.cutOff(), IsEmpty());
    }
}

// Guards against steps of a drain that come in another order if its time is short.
TEST(SessionStopsUnderLoad, whateverTheDrainTime)
{
    for (Duration time = std::chrono::seconds(1); time <= std::chrono::seconds(600); time += std::chrono::milliseconds(100)) {
        const DrainSchedule schedule = drainSchedule(time);
        EXPECT_LE(schedule.sessionsClose_, schedule.operationsEnd_);
        EXPECT_LE(schedule.operationsEnd_, schedule.transactionsEnd_);
        EXPECT_LE(schedule.transactionsEnd_, schedule.exit_);
        EXPECT_LE(schedule.exit_, time - std::chrono::milliseconds(400));
    }
}

namespace {

/** Stops all VMs in turn while clients of all habits use them and members become slow. */
class SessionsOfStoppingVms : public TestWithParam<std::uint64_t>
{
};

} // namespace

// Guards against any of these in combination, with stops that overlap.
TEST_P(SessionsOfStoppingVms, areNotCut)
{
    constexpr unsigned vms = 4;
    std::mt19937_64 random(GetParam());
    const auto draw = [&](unsigned from, unsigned to) { return std::uniform_int_distribution<unsigned>(from, to)(random); };
    SessionWorldConfig config;
    config.seed_ = GetParam();
    SessionWorld world(config);
    world.run(startTime);
    EndlessClients clients(world);
    for (unsigned client = 0; client < 24; ++client) {
        ClientHabit habit;
        habit.database_ = std::array{"ledger", "history", "dispatch"}.at(draw(0, 2));
        habit.pause_ = std::chrono::milliseconds(draw(0, 1) * draw(1, 120));
        habit.work_ = std::chrono::milliseconds(draw(0, 5) == 0 ? draw(200, 900) : draw(4, 60));
        habit.pipelined_ = draw(0, 3) == 0 ? draw(2, 6) : 1;
        habit.writes_ = habit.database_ != "history" && draw(0, 1) == 0;
        habit.transaction_ = habit.pipelined_ == 1 && habit.database_ == "ledger" ? draw(0, 1) * draw(2, 8) : 0;
        clients.add(client % vms, habit);
    }
    clients.run(std::chrono::seconds(1));
    for (unsigned vm = 0; vm < vms; ++vm) {
        world.setFault(draw(0, 2), {.workFactor_ = static_cast<double>(draw(1, 6))});
        world.drainVm(vm);
        clients.run(std::chrono::milliseconds(draw(3000, 8000)));
        if (!world.runs(vm)) {
            world.startVm(vm);
        }
    }
    clients.run(drainTime);
    EXPECT_THAT(world.cutOff(), IsEmpty());
    EXPECT_THAT(world.logged(LogNumber::DrainUnfinished), IsEmpty());
    world.checkLogs();
    EXPECT_THAT(world.violations(), IsEmpty());
}

INSTANTIATE_TEST_SUITE_P(Seeds, SessionsOfStoppingVms, Range<std::uint64_t>(1, 13));

// Guards against a process that ends by itself, since refusing one statement of a long queue refused the next one from within.
TEST(SessionStopsUnderLoad, aLongQueueDoesNotEndTheProcess)
{
    constexpr unsigned queued = 100'000;
    SessionWorld world;
    world.run(startTime);
    const std::size_t client = world.open(0, "dispatch");
    for (unsigned number = 0; number < queued; ++number) {
        world.send(client, StatementKind::Read, "READ a");
    }
    world.drainVm(0);
    world.run(drainTime);
    EXPECT_THAT(world.client(client).answers_, SizeIs(queued));
    EXPECT_THAT(world.cutOff(), IsEmpty());
}
