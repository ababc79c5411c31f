#include "support/SessionLoad.h"

#include <gmock/gmock.h>

using namespace Figward;
using namespace Figward::Testing;
using namespace testing;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr unsigned vms = 34;
constexpr unsigned primary = 0;
constexpr unsigned replica = 1;
/** Multiple of the usual request rates: two members have slots enough for it, so that the load does not need the faulty one. */
constexpr double loadScale = 0.7;
constexpr Duration startTime = seconds(4);
constexpr Duration loadTime = seconds(20);
/** Times from the start of the load. */
constexpr Duration faultStart = seconds(3);
constexpr Duration faultEnd = seconds(13);
constexpr Duration avoidedWithin = milliseconds(1500);
constexpr Duration usedAgainWithin = seconds(3);
/** Maximum share of the statements sent to members that may fail there, over the whole run. */
constexpr double maxFailedTries = 0.03;

SessionWorldConfig fleet()
{
    SessionWorldConfig config;
    config.vms_ = vms;
    config.maxConnections_ = 48;
    config.slots_ = 6;
    return config;
}

SessionPolicies withoutEjection()
{
    SessionPolicies policies;
    policies.ejectsOutliers_ = false;
    return policies;
}

/** Number of VMs that use \p member like any other. */
unsigned fullUsers(SessionWorld &world, unsigned member)
{
    unsigned users = 0;
    for (unsigned vm = 0; vm < vms; ++vm) {
        for (const auto &[id, group] : world.vm(vm).sessions_->groups_) {
            const MemberState &state = world.vm(vm).sessions_->members_.at(SessionWorld::memberId(member));
            const ReceivedAdvice *advice = group.advice_ ? &*group.advice_ : nullptr;
            users += memberUse(advice, state.entry_.id_, state.failureRow_, world.now()) == MemberUse::Full ? 1 : 0;
        }
    }
    return users;
}

struct RunResult
{
    unsigned usersInFault_ = 0; ///< VMs that used the member as before when it should be avoided by all.
    unsigned usersAfterwards_ = 0; ///< VMs that used it as before when it should be used by all.
    unsigned idleInFault_ = 0; ///< Idle connections to the member at the first of these times.
    double failedTries_ = 0; ///< Share of all statements at members that failed.
    double inAim_ = 0; ///< Least share of a route's operations within its target latency.
    std::vector<std::string> ejected_;
    std::vector<std::string> returned_;
    std::vector<std::string> violations_;
};

double failedTries(const SessionWorld &world)
{
    StatementTries sum;
    for (unsigned member = 0; member < 3; ++member) {
        sum.all_ += world.tries(member).all_;
        sum.failed_ += world.tries(member).failed_;
    }
    return static_cast<double>(sum.failed_) / sum.all_;
}

/** Number of connections to the member that have been idle for longer than the interval of a VM's reviews. */
unsigned idleConnections(SessionWorld &world, unsigned member)
{
    constexpr Duration reviewInterval = milliseconds(200);
    unsigned idle = 0;
    for (unsigned vm = 0; vm < vms; ++vm) {
        const SessionServiceState &sessions = *world.vm(vm).sessions_;
        for (const ConnectionId id : sessions.members_.at(SessionWorld::memberId(member)).idle_.all_) {
            idle += world.now() - sessions.connections_.at(id).idleSince_ > reviewInterval ? 1 : 0;
        }
    }
    return idle;
}

/** Runs the load with \p fault at \p member from faultStart to faultEnd. */
RunResult runWithFault(unsigned member, const MemberFault &fault, const SessionPolicies &policies = {}, std::uint64_t seed = 1)
{
    SessionWorldConfig config = fleet();
    config.seed_ = seed;
    SessionWorld world(config);
    for (unsigned vm = 0; vm < vms; ++vm) {
        world.vm(vm).sessions_->identity_.policies_ = policies;
    }
    world.run(startTime);
    RunResult result;
    world.after(faultStart, [&] { world.setFault(member, fault); });
    world.after(faultEnd, [&] { world.setFault(member, {}); });
    world.after(faultStart + avoidedWithin, [&] {
        result.usersInFault_ = fullUsers(world, member);
        result.idleInFault_ = idleConnections(world, member);
    });
    world.after(faultEnd + usedAgainWithin, [&] { result.usersAfterwards_ = fullUsers(world, member); });
    SessionLoad load(world, ledgerLoad(loadScale), vms, seed);
    load.run(loadTime);
    world.checkLogs();
    result.failedTries_ = failedTries(world);
    result.inAim_ = std::min({load.count("ledger").shareInAim(), load.count("history").shareInAim(), load.count("dispatch").shareInAim()});
    result.ejected_ = world.logged(LogNumber::MemberEjected);
    result.returned_ = world.logged(LogNumber::MemberReturned);
    result.violations_ = world.violations();
    return result;
}

struct FaultCase
{
    const char *name_;
    MemberFault fault_;
};

class FaultyReplica : public TestWithParam<FaultCase>
{
};

} // namespace

// Guards against a member that passes its checks but fails or delays statements: each VM runs too few of them to notice, so it would be used until it is
// repaired.
TEST_P(FaultyReplica, isAvoidedByAllVmsUntilItRecovers)
{
    const RunResult result = runWithFault(replica, GetParam().fault_);
    EXPECT_EQ(result.usersInFault_, 0U);
    EXPECT_EQ(result.idleInFault_, 0U);
    EXPECT_EQ(result.usersAfterwards_, vms);
    EXPECT_LT(result.failedTries_, maxFailedTries);
    EXPECT_THAT(result.violations_, IsEmpty());
    EXPECT_THAT(result.ejected_, Each(HasSubstr("member=member-1 "))) << "no other member";
    EXPECT_THAT(result.returned_, SizeIs(result.ejected_.size()));
    RecordProperty("failedTries", std::to_string(result.failedTries_));
    RecordProperty("inAim", std::to_string(result.inAim_));
}
INSTANTIATE_TEST_SUITE_P(SessionMemberIsFaulty,
                         FaultyReplica,
                         Values(FaultCase{"failing", {.failed_ = 0.45}},
                                FaultCase{"busy", {.busy_ = 0.45}},
                                FaultCase{"silent", {.silent_ = 0.5}},
                                FaultCase{"mixed", {.failed_ = 0.15, .busy_ = 0.15, .silent_ = 0.15}},
                                FaultCase{"slow", {.workFactor_ = 8}}),
                         [](const TestParamInfo<FaultCase> &info) { return info.param.name_; });

// Guards against reads that fail in one zone only because its VMs do not reach a working member properly.
TEST(SessionMemberIsFaulty, alsoIfOnlyOneZoneSeesIt)
{
    const RunResult result = runWithFault(replica, {.failed_ = 1, .seenFrom_ = ZoneId("zone-2")});
    EXPECT_EQ(result.usersAfterwards_, vms);
    EXPECT_LT(result.failedTries_, maxFailedTries);
    EXPECT_GE(result.inAim_, 0.95);
    EXPECT_THAT(result.ejected_, Each(HasSubstr("member=member-1 "))) << "no other member";
    EXPECT_THAT(result.violations_, IsEmpty());
}

// Verifies that the load of the test above reproduces the failure without the ejection of outliers.
TEST(SessionMemberIsFaulty, andUsedThroughoutWithoutEjection)
{
    const RunResult result = runWithFault(replica, {.failed_ = 0.45}, withoutEjection());
    EXPECT_EQ(result.usersInFault_, vms);
    EXPECT_GT(result.failedTries_, maxFailedTries);
    EXPECT_THAT(result.ejected_, IsEmpty());
}

// Guards against the loss of the primary by ejection: only the ejection of reads is decided, and the statements that need the primary still use it.
TEST(SessionMemberIsFaulty, andStaysThePrimary)
{
    SessionWorld world(fleet());
    world.run(startTime);
    unsigned usersInFault = 0;
    Time lastRun;
    world.after(faultStart, [&] { world.setFault(primary, {.workFactor_ = 8}); });
    world.after(faultEnd, [&] {
        usersInFault = fullUsers(world, primary);
        lastRun = world.lastRun(primary);
        world.setFault(primary, {});
    });
    SessionLoad load(world, ledgerLoad(loadScale), vms, 1);
    load.run(loadTime);
    world.checkLogs();
    EXPECT_THAT(world.logged(LogNumber::MemberEjected), Not(IsEmpty()));
    EXPECT_THAT(world.logged(LogNumber::MemberEjected), Each(HasSubstr("member=member-0 ")));
    EXPECT_THAT(world.logged(LogNumber::PrimaryRevoked), IsEmpty());
    EXPECT_EQ(world.promotions(), 0U);
    EXPECT_LT(usersInFault, vms);
    EXPECT_GT(lastRun, Time());
    EXPECT_THAT(world.violations(), IsEmpty());
}

// Guards against ejections in an ordinary run, in which statements of different databases take very different times.
TEST(SessionMemberIsFaulty, onlyIfItReallyIs)
{
    SessionWorld world(fleet());
    world.run(startTime);
    SessionLoad load(world, ledgerLoad(1), vms, 2);
    load.run(seconds(60));
    EXPECT_THAT(world.logged(LogNumber::MemberEjected), IsEmpty());
    EXPECT_THAT(world.violations(), IsEmpty());
}

// Guards against ejections while all members fail alike, which would only add load to the others.
TEST(SessionMemberIsFaulty, butNotIfAllAreAlike)
{
    SessionWorld world(fleet());
    world.run(startTime);
    for (unsigned member = 0; member < 3; ++member) {
        world.setFault(member, {.failed_ = 0.3, .workFactor_ = 2});
    }
    SessionLoad load(world, ledgerLoad(loadScale), vms, 3);
    load.run(loadTime);
    EXPECT_THAT(world.logged(LogNumber::MemberEjected), IsEmpty());
    EXPECT_THAT(world.violations(), IsEmpty());
}

// Guards against a read that is tried without end, and against a write or a statement of a transaction that runs twice because its member answered with an
// error.
TEST(SessionMemberIsFaulty, soAReadIsTriedOnceElsewhere)
{
    SessionWorld world;
    world.run(startTime);
    world.setFault(replica, {.failed_ = 1});
    world.setFault(2, {.failed_ = 1});
    const std::size_t reader = world.open(1, "history");
    const std::size_t writer = world.open(1, "dispatch");
    for (int read = 0; read < 10; ++read) {
        world.ask(reader, StatementKind::Read, "READ x");
    }
    unsigned tries = world.tries(0).all_ + world.tries(1).all_ + world.tries(2).all_;
    EXPECT_LE(tries, 10 * 2U);
    EXPECT_GT(world.tries(1).failed_ + world.tries(2).failed_, 0U);
    EXPECT_EQ(world.ask(writer, StatementKind::Write, "WRITE x").code_, ReplyCode::None);

    world.setFault(primary, {.failed_ = 1});
    tries += 1;
    const unsigned before = world.tries(primary).all_;
    EXPECT_EQ(world.ask(reader, StatementKind::Read, "READ x").code_, ReplyCode::Failed) << "all members fail it";
    world.run(seconds(3));
    const unsigned reads = world.tries(primary).all_ + world.tries(1).all_ + world.tries(2).all_ - tries;
    EXPECT_LE(reads, 2U);
    EXPECT_EQ(world.ask(writer, StatementKind::Write, "WRITE y").code_, ReplyCode::Failed);
    EXPECT_LE(world.tries(primary).all_, before + 2);
    EXPECT_EQ(world.ask(writer, StatementKind::BeginRead).code_, ReplyCode::None);
    const unsigned inTransaction = world.tries(primary).all_ + world.tries(1).all_ + world.tries(2).all_;
    EXPECT_EQ(world.ask(writer, StatementKind::Read, "READ x").code_, ReplyCode::Failed);
    EXPECT_EQ(world.tries(primary).all_ + world.tries(1).all_ + world.tries(2).all_, inTransaction + 1);
    EXPECT_THAT(world.violations(), IsEmpty());
}

// Guards against a VM that does not reach the leader and sends a share of its reads to a faulty member until the leader is heard again.
TEST(SessionMemberIsFaulty, soAVmOnItsOwnAvoidsItAfterThreeFailures)
{
    SessionWorld world;
    world.run(startTime);
    const unsigned leader = world.leader().value_or(0);
    const unsigned alone = (leader + 1) % 4;
    world.cutVms(leader, alone, true);
    world.setFault(replica, {.failed_ = 1});
    world.run(adviceLifetime);
    const std::size_t reader = world.open(alone, "history");
    unsigned errors = 0;
    for (int read = 0; read < 200; ++read) {
        errors += world.ask(reader, StatementKind::Read, "READ x").code_ == ReplyCode::None ? 0 : 1;
    }
    EXPECT_EQ(errors, 0U) << "each failed read was tried at another member";
    EXPECT_LT(world.tries(replica).all_, 40U);
    EXPECT_THAT(world.violations(), IsEmpty());
}
