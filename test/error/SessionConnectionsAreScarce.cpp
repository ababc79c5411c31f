#include "support/SessionLoad.h"

#include <gmock/gmock.h>

using namespace Figward;
using namespace Figward::Testing;
using namespace testing;

namespace {

constexpr Duration startTime = std::chrono::seconds(4);
constexpr Duration loadTime = std::chrono::seconds(10);
/** Minimum fraction of a route's operations within their latency target while members have enough slots: the others miss it by their own execution time. */
constexpr double normalTarget = 0.95;
/** The same while statements and connection attempts occupy nearly all slots, so that queueing at members adds to the latency. */
constexpr double nearCapacityTarget = 0.85;
/** Multiple of the usual request rates at which statements occupy about 80% of the slots. */
constexpr double highLoad = 1.2;
/** Multiple at which statements alone occupy 93% of the slots. */
constexpr double nearCapacityLoad = 1.5;

/** One of eight groups behind \p vms VMs; each member has 48 connections and six slots. */
SessionWorldConfig manyVms(unsigned vms)
{
    SessionWorldConfig config;
    config.vms_ = vms;
    config.maxConnections_ = 48;
    config.slots_ = 6;
    return config;
}

/** Result of a run: fractions of operations within their latency target, averaged over several seeds. */
struct RunResult
{
    double records_ = 0;
    double histories_ = 0;
    double checks_ = 0;
    std::size_t refused_ = 0; ///< Total number of connections that members refused.
    std::vector<std::string> violations_;
};

RunResult runLoad(unsigned vms, double scale, unsigned seeds, const SessionPolicies &policies = {})
{
    RunResult result;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        SessionWorldConfig config = manyVms(vms);
        config.seed_ = seed;
        SessionWorld world(config);
        for (unsigned vm = 0; vm < vms; ++vm) {
            world.vm(vm).sessions_->identity_.policies_ = policies;
        }
        world.run(startTime);
        SessionLoad load(world, ledgerLoad(scale), vms, seed);
        load.run(loadTime);
        world.checkLogs();
        result.records_ += load.count("ledger").shareInAim() / seeds;
        result.histories_ += load.count("history").shareInAim() / seeds;
        result.checks_ += load.count("dispatch").shareInAim() / seeds;
        result.refused_ += world.logged(LogNumber::UpstreamConnectFailed).size();
        result.violations_.insert(result.violations_.end(), world.violations().begin(), world.violations().end());
    }
    return result;
}

/** Expects that each route has the fraction \p target within its latency target, and that no guarantee was violated. */
void expectServed(const RunResult &result, double target)
{
    EXPECT_GE(result.records_, target);
    EXPECT_GE(result.histories_, target);
    EXPECT_GE(result.checks_, target);
    EXPECT_THAT(result.violations_, IsEmpty());
}

class ManyVms : public TestWithParam<unsigned>
{
};

} // namespace

// Guards against VMs that hold all connections of a primary without using them. Clients of 59 VMs read records at the primary, and histories and checks at any
// member; a member accepts 48 connections. If each VM keeps one connection for statements and one for reports, they need 118. The first VMs then hold all
// connections, those to the primaries mostly for reports: under light load none of 6,633 operations at the primaries was served, members refused 26,373
// connections, and 16,488 statements were refused after 980 ms although their VM held authority over the primary.
TEST(SessionConnectionsAreScarce, everyRouteIsServedByFiftyNineVms)
{
    expectServed(runLoad(59, 1, 3), normalTarget);
}

// Verifies that the load of the test above reproduces the failure: with a share of at least one connection per VM, operations at the primary are not served.
TEST(SessionConnectionsAreScarce, aShareOfOneForEachLeavesThePrimaryToReports)
{
    SessionPolicies policies;
    policies.usesTemporaryConnections_ = false;
    const RunResult result = runLoad(59, 1, 1, policies);
    EXPECT_LT(result.records_, 0.1);
    EXPECT_GT(result.refused_, 1000U);
}

// Guards against connections to the primary that stay open too long under high load. Each operation at the primary comes from another VM, which opens a
// connection. If earlier connections are still idle and reads that replicas could serve hold the others, the primary refuses the next one as full, and the
// refused VM waits for up to 320 ms, longer than the latency target. With fixed idle times, and with VMs assigned to the primary, the fraction of record
// operations within their target fell to 0.73 at 100 VMs, compared with 0.999 at 8 VMs.
TEST_P(ManyVms, serveEveryRouteInARush)
{
    expectServed(runLoad(GetParam(), highLoad, 3), normalTarget);
}

// The same while nearly all slots of the members are in use. Few VMs have few connections, so statements queue at the VM, ordered by priority with records
// first. With many VMs they queue at the member, which serves them in order of arrival.
TEST_P(ManyVms, serveRecordsInARush)
{
    expectServed(runLoad(GetParam(), nearCapacityLoad, 3), nearCapacityTarget);
}
INSTANTIATE_TEST_SUITE_P(SessionConnectionsAreScarce, ManyVms, Values(8U, 16U, 24U, 25U, 59U, 100U));

// Guards against idle times that are too long for the number of VMs. With more VMs in front of the same members, each has fewer operations, and an idle
// connection is less likely to be reused by the VM that holds it. With fixed idle times of 1 s and 250 ms, which suit 77 VMs, no connection was left, and the
// fraction of record operations within their target fell to 0.48.
TEST(SessionConnectionsAreScarce, twoHundredVmsServeACalmDay)
{
    expectServed(runLoad(200, 1, 1), nearCapacityTarget);
}
