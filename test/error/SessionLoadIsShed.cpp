#include "support/SessionLoad.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <gmock/gmock.h>

#include <algorithm>

using namespace Figward;
using namespace Figward::Testing;
using namespace testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr unsigned vms = 66;
constexpr Duration startTime = seconds(4);
constexpr double leastUrgentSurge = 2.6;
constexpr double mostUrgentSurge = 1.9;

/** One group behind many VMs, whose members have 50 connections and five slots each. */
SessionWorldConfig manyVms(std::uint64_t seed)
{
    SessionWorldConfig config;
    config.vms_ = vms;
    config.maxConnections_ = 50;
    config.slots_ = 5;
    config.seed_ = seed;
    return config;
}

/**
 * Load that takes three quarters of the slots: "ledger" is the most urgent and only the primary may run it, "history" is the least urgent and any member may
 * run it.
 */
std::vector<LoadRoute> usualLoad()
{
    return {
        {"ledger", 90, milliseconds(11), 0.35, 0, milliseconds(150), seconds(2)},
        {"dispatch", 100, milliseconds(25), 0.12, 0.1, milliseconds(400), seconds(2)},
        {"history", 100, milliseconds(40), 0, 0, milliseconds(800), seconds(8)},
    };
}

void setRoute(SessionConfiguration &configuration, const std::string &database, unsigned priority, Duration target)
{
    configuration.databases_[database].priority_ = priority;
    configuration.databases_[database].target_ = target;
}

/** A running deployment with one priority per database. */
class Deployment
{
public:
    explicit Deployment(std::uint64_t seed, const SessionPolicies &policies = {})
        : world_(manyVms(seed))
        , load_(world_, usualLoad(), vms, seed)
    {
        world_.newConfiguration([](SessionConfiguration &configuration) {
            setRoute(configuration, "ledger", 0, milliseconds(150));
            setRoute(configuration, "dispatch", 1, milliseconds(400));
            setRoute(configuration, "history", 2, milliseconds(800));
        });
        for (unsigned vm = 0; vm < vms; ++vm) {
            world_.vm(vm).sessions_->identity_.policies_ = policies;
        }
        world_.run(startTime);
    }

    /** Multiplies the usual rate of \p database by \p factor from \p from to \p to after now. */
    void addSurge(const std::string &database, double factor, Duration from, Duration to)
    {
        const std::vector<LoadRoute> usual = usualLoad();
        const double perSecond = std::ranges::find(usual, database, &LoadRoute::database_)->perSecond_;
        world_.after(from, [this, database, perSecond, factor] { load_.setRate(database, perSecond * factor); });
        world_.after(to, [this, database, perSecond] { load_.setRate(database, perSecond); });
    }

    void run(Duration duration)
    {
        load_.run(duration);
        world_.checkLogs();
        EXPECT_THAT(world_.violations(), IsEmpty());
    }

    /** Log lines of the operations that were refused because of the level. */
    [[nodiscard]] std::vector<std::string> shed() const
    {
        std::vector<std::string> lines = world_.logged(LogNumber::StatementRefused);
        std::erase_if(lines, [](const std::string &line) { return !absl::StrContains(line, "admits fewer operations"); });
        return lines;
    }

    [[nodiscard]] double inTime(const std::string &database) const
    {
        return load_.count(database).shareInAim();
    }

    SessionWorld world_;
    SessionLoad load_;
};

SessionPolicies withoutShedding()
{
    SessionPolicies policies;
    policies.shedsUnderPressure_ = false;
    return policies;
}

/** The least urgent priority at 2.6 times its usual rate, then the most urgent at 1.9 times. */
void runSurges(Deployment &deployment)
{
    deployment.addSurge("history", leastUrgentSurge, seconds(2), seconds(10));
    deployment.addSurge("ledger", mostUrgentSurge, seconds(13), seconds(21));
    deployment.run(seconds(25));
}

} // namespace

// Guards against a flood of less urgent operations that makes the most urgent ones late. With many VMs, statements wait at the members in order of arrival.
TEST(SessionLoadIsShed, theMostUrgentAreInTime)
{
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
        Deployment deployment(seed);
        runSurges(deployment);
        EXPECT_GE(deployment.inTime("ledger"), 0.97);
        const std::vector<std::string> shed = deployment.shed();
        EXPECT_THAT(shed, Not(IsEmpty()));
        EXPECT_THAT(shed, Each(AllOf(HasSubstr(" ms=0 "), HasSubstr("come back in ")))) << "an operation above the level must not wait";
        EXPECT_THAT(shed, Each(Not(HasSubstr("database=ledger "))));
        EXPECT_THAT(deployment.world_.logged(LogNumber::LoadSheddingStarted), Not(IsEmpty()));
    }
}

// Verifies that the load of the test above reproduces the failure: without shedding, more of the most urgent operations are late.
TEST(SessionLoadIsShed, withoutItTheMostUrgentAreLate)
{
    Deployment deployment(1, withoutShedding());
    runSurges(deployment);
    EXPECT_LT(deployment.inTime("ledger"), 0.9);
    EXPECT_THAT(deployment.shed(), IsEmpty());
}

// Guards against levels and other behaviour where there is no overload: at the usual load, the same operations complete as without shedding.
TEST(SessionLoadIsShed, nothingChangesAtTheUsualLoad)
{
    Deployment with(1);
    with.run(seconds(8));
    Deployment without(1, withoutShedding());
    without.run(seconds(8));
    EXPECT_THAT(with.shed(), IsEmpty());
    EXPECT_THAT(with.world_.logged(LogNumber::LoadSheddingStarted), IsEmpty());
    EXPECT_EQ(with.world_.logged(LogNumber::StatementDone), without.world_.logged(LogNumber::StatementDone));
}

// Guards against VMs that follow a level for longer than its advice is valid. Once the leader's advice is lost, only the leader itself sheds.
TEST(SessionLoadIsShed, lostAdviceEndsIt)
{
    Deployment deployment(1);
    deployment.addSurge("history", leastUrgentSurge, seconds(1), seconds(12));
    const Time lostAt = deployment.world_.now() + seconds(7);
    deployment.world_.setBeforeEvent([lostAt](ProxyState & /*state*/, EventBody &event, Time now) {
        auto *session = std::get_if<SessionEvent>(&event);
        auto *beat = session == nullptr ? nullptr : std::get_if<HeartbeatReceived>(session);
        if (beat != nullptr && now >= lostAt) {
            for (GroupHeartbeat &group : beat->heartbeat_.groups_) {
                group.advice_.reset();
            }
        }
    });
    deployment.run(seconds(14));
    ASSERT_TRUE(deployment.world_.leader());
    const std::string leader = absl::StrCat(" vm-", *deployment.world_.leader(), ":");
    const std::int64_t ends = toMillis((lostAt + adviceLifetime).time_since_epoch());
    std::size_t before = 0;
    for (const std::string &line : deployment.shed()) {
        const bool late = std::stod(line) > static_cast<double>(ends);
        before += late ? 0 : 1;
        EXPECT_TRUE(!late || absl::StrContains(line, leader)) << line;
    }
    EXPECT_GT(before, 0U);
}
