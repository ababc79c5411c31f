#include "OrganisationQuota.h"
#include "support/SessionWorld.h"

#include <absl/strings/str_cat.h>
#include <gmock/gmock.h>
#include <random>

using namespace Figward;
using namespace Figward::Testing;
using namespace testing;

namespace {

constexpr Duration startTime = std::chrono::seconds(6);
constexpr Duration window = std::chrono::seconds(5);
/** Accepted excess over rate and burst, as a fraction: the requirement tolerates it for operations that no VM can count in time. */
constexpr double toleratedExcess = 0.1;
constexpr double slack = 20;

/** Maximum number of operations that an organisation may run in a window. */
double allowed(const OrganisationLimits &limits)
{
    return (limits.perSecond_ * std::chrono::duration<double>(window).count() + limits.burst_) * (1 + toleratedExcess) + slack;
}

SessionWorldConfig quotaWorld(unsigned vms, OrganisationLimits limits, std::uint64_t seed = 1)
{
    SessionWorldConfig config;
    config.vms_ = vms;
    config.organisations_ = 4;
    config.limits_ = limits;
    config.maxConnections_ = 400;
    config.seed_ = seed;
    return config;
}

/** Load of one organisation: single reads at random VMs, each on its own session and without retries. */
class Demand
{
public:
    Demand(SessionWorld &world, unsigned vms, unsigned organisation, double perSecond, std::uint64_t seed, std::string database = "history")
        : world_(world)
        , vms_(vms)
        , key_(SessionWorld::keyOf(organisation))
        , database_(std::move(database))
        , perSecond_(perSecond)
        , random_(seed)
    {
    }

    /** Generates operations until \p end. */
    void runUntil(Time end)
    {
        const double pause = std::exponential_distribution<double>(perSecond_)(random_);
        const auto delay = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(pause));
        if (world_.now() + delay >= end) {
            return;
        }
        world_.after(delay, [this, end] {
            const auto vm = static_cast<unsigned>(random_() % vms_);
            if (world_.runs(vm)) {
                const std::size_t client = world_.open(vm, database_, key_);
                asked_.emplace_back(client, world_.send(client, StatementKind::Read, "READ a"));
                askedAt_.push_back(world_.now());
            }
            runUntil(end);
        });
    }

    [[nodiscard]] std::size_t asked() const
    {
        return asked_.size();
    }

    /** Number of the requested operations that a single token bucket for all VMs, initially full, would admit. */
    [[nodiscard]] std::size_t admissible(const OrganisationLimits &limits) const
    {
        const BucketRate rate{limits.perSecond_, limits.burst_};
        TokenBucket bucket{limits.burst_, askedAt_.front()};
        std::size_t admitted = 0;
        for (const Time at : askedAt_) {
            refill(bucket, rate, at);
            admitted += takeTokens(bucket, 1);
        }
        return admitted;
    }

    /** Number of the requested operations that were served. */
    [[nodiscard]] std::size_t served() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(asked_, [&](const auto &entry) {
            const SessionReply *reply = world_.answerTo(entry.first, entry.second);
            return reply != nullptr && reply->code_ == ReplyCode::None;
        }));
    }

private:
    SessionWorld &world_;
    unsigned vms_;
    std::string key_;
    std::string database_;
    double perSecond_;
    std::mt19937_64 random_;
    std::vector<std::pair<std::size_t, std::string>> asked_;
    std::vector<Time> askedAt_;
};

/**
 * Simulates one organisation that requests five times its rate for twelve seconds, and injects \p fault after four; returns the maximum number of operations
 * run in a window.
 */
template<typename Fault>
std::size_t mostUnderFault(unsigned vms, const OrganisationLimits &limits, const Fault &fault)
{
    SessionWorld world(quotaWorld(vms, limits));
    world.run(startTime);
    Demand demand(world, vms, 0, 5 * limits.perSecond_, 3);
    demand.runUntil(world.now() + std::chrono::seconds(12));
    world.run(std::chrono::seconds(4));
    fault(world);
    world.run(std::chrono::seconds(9));
    return world.mostOperations(SessionWorld::organisationId(0), window);
}

class Fleets : public TestWithParam<unsigned>
{
};

} // namespace

// Guards against VMs that each grant the full rate, and against an organisation over its limit that slows down the others.
TEST_P(Fleets, aHotOrganisationStaysWithinItsRateAndCostsTheOthersNothing)
{
    const OrganisationLimits limits{40, 40};
    SessionWorld world(quotaWorld(GetParam(), limits));
    world.run(startTime);
    Demand hot(world, GetParam(), 0, 300, 3);
    Demand calm(world, GetParam(), 1, 25, 4);
    const Time end = world.now() + std::chrono::seconds(10);
    hot.runUntil(end);
    calm.runUntil(end);
    world.run(std::chrono::seconds(12));
    EXPECT_LE(static_cast<double>(world.mostOperations(SessionWorld::organisationId(0), window)), allowed(limits));
    EXPECT_GE(static_cast<double>(hot.served()), 0.9 * limits.perSecond_ * 10);
    EXPECT_GE(static_cast<double>(calm.served()), 0.99 * static_cast<double>(calm.asked()));
    EXPECT_THAT(world.violations(), IsEmpty());
}
INSTANTIATE_TEST_SUITE_P(SessionQuotasHold, Fleets, Values(3U, 8U, 24U, 66U));

// Guards against an organisation over its quota whose urgent operations are refused as often as the others: their clients come back, and the answer is late.
TEST(SessionQuotasHold, urgentOperationsAreAdmittedFirst)
{
    const OrganisationLimits limits{40, 40};
    const auto shareOfUrgent = [&](bool urgentFirst) {
        SessionWorld world(quotaWorld(24, limits));
        for (unsigned vm = 0; vm < 24; ++vm) {
            world.vm(vm).sessions_->identity_.policies_.admitsUrgentFirst_ = urgentFirst;
        }
        world.run(startTime);
        Demand urgent(world, 24, 0, 15, 3, "ledger");
        Demand ordinary(world, 24, 0, 200, 4);
        const Time end = world.now() + std::chrono::seconds(10);
        urgent.runUntil(end);
        ordinary.runUntil(end);
        world.run(std::chrono::seconds(12));
        EXPECT_LE(static_cast<double>(world.mostOperations(SessionWorld::organisationId(0), window)), allowed(limits));
        EXPECT_GE(static_cast<double>(urgent.served() + ordinary.served()), 0.9 * limits.perSecond_ * 10);
        EXPECT_THAT(world.violations(), IsEmpty());
        return static_cast<double>(urgent.served()) / static_cast<double>(urgent.asked());
    };
    EXPECT_GE(shareOfUrgent(true), 0.95);
    EXPECT_LE(shareOfUrgent(false), 0.6) << "the load should show the failure without the reserve";
}

// Guards against splitting a small rate into shares that are too small for any operation: the organisation requests 0.6 of its rate, spread over all VMs.
TEST(SessionQuotasHold, aSmallOrganisationUnderItsLimitIsServed)
{
    const OrganisationLimits limits{5, 5};
    SessionWorld world(quotaWorld(66, limits));
    world.run(startTime);
    Demand small(world, 66, 0, 3, 3);
    small.runUntil(world.now() + std::chrono::seconds(60));
    world.run(std::chrono::seconds(62));
    EXPECT_GE(static_cast<double>(small.served()), 0.97 * static_cast<double>(small.admissible(limits)));
}

// Verifies that the load of the test above reproduces the failure: with an equal share of the rate for each VM, operations within the limit are refused.
TEST(SessionQuotasHold, partsForEachVmRefuseASmallOrganisation)
{
    const OrganisationLimits limits{5, 5};
    SessionWorld world(quotaWorld(66, limits));
    for (unsigned vm = 0; vm < 66; ++vm) {
        world.vm(vm).sessions_->identity_.policies_.poolsQuota_ = false;
    }
    world.run(startTime);
    Demand small(world, 66, 0, 3, 3);
    small.runUntil(world.now() + std::chrono::seconds(60));
    world.run(std::chrono::seconds(62));
    EXPECT_LT(static_cast<double>(small.served()), 0.9 * static_cast<double>(small.asked()));
}

// Guards against a network partition in which both sides grant the full rate.
TEST(SessionQuotasHold, aZoneThatIsCutOffHasItsPartOnly)
{
    for (const unsigned vms : {9U, 24U}) {
        const OrganisationLimits limits{60, 60};
        const std::size_t maxOperations = mostUnderFault(vms, limits, [&](SessionWorld &world) {
            for (unsigned a = 0; a < vms; a += 3) {
                for (unsigned b = 0; b < vms; ++b) {
                    if (b % 3 != 0) {
                        world.cutVms(a, b, true);
                    }
                }
            }
        });
        EXPECT_LE(static_cast<double>(maxOperations), allowed(limits)) << vms;
    }
}

// Guards against an isolated VM that receives no heartbeats, assumes that it is the limiter of its zone, and grants the full share.
TEST(SessionQuotasHold, vmsThatAreCutOffAloneHaveTheirPartsOnly)
{
    const unsigned vms = 24;
    const OrganisationLimits limits{60, 60};
    const std::size_t maxOperations = mostUnderFault(vms, limits, [&](SessionWorld &world) {
        for (unsigned alone = 0; alone < vms; alone += 2) {
            for (unsigned other = 0; other < vms; ++other) {
                if (other != alone) {
                    world.cutVms(alone, other, true);
                }
            }
        }
    });
    EXPECT_LE(static_cast<double>(maxOperations), allowed(limits));
}

// Guards against tokens granted twice because restarted VMs begin with full buckets.
TEST(SessionQuotasHold, vmsThatAllStartAgainGrantNothingTwice)
{
    const unsigned vms = 24;
    const OrganisationLimits limits{60, 60};
    const std::size_t maxOperations = mostUnderFault(vms, limits, [&](SessionWorld &world) {
        for (unsigned vm = 0; vm < vms; ++vm) {
            world.killVm(vm);
        }
        world.run(std::chrono::milliseconds(600));
        for (unsigned vm = 0; vm < vms; ++vm) {
            world.startVm(vm);
        }
    });
    EXPECT_LE(static_cast<double>(maxOperations), allowed(limits));
}

// Guards against an organisation that is no longer served after its limiter was killed, and against two limiters in one zone.
TEST(SessionQuotasHold, aLimiterThatIsKilledIsReplacedWithinItsRate)
{
    const unsigned vms = 24;
    const OrganisationLimits limits{60, 60};
    SessionWorld world(quotaWorld(vms, limits));
    world.run(startTime);
    Demand demand(world, vms, 0, 35, 3);
    demand.runUntil(world.now() + std::chrono::seconds(8));
    world.run(std::chrono::seconds(3));
    const std::string limiter = limiterOf(*world.vm(0).sessions_, ZoneId("zone-0"), SessionWorld::organisationId(0), world.now());
    world.killVm(static_cast<unsigned>(std::stoul(limiter.substr(3))));
    world.run(std::chrono::seconds(7));
    EXPECT_LE(static_cast<double>(world.mostOperations(SessionWorld::organisationId(0), window)), allowed(limits));
    EXPECT_GE(static_cast<double>(demand.served()), 0.97 * static_cast<double>(demand.asked()));
}

// Guards against buckets that still hold the tokens of the previous, higher rate.
TEST(SessionQuotasHold, aLowerRateHoldsFromItsConfigurationOn)
{
    const unsigned vms = 24;
    const OrganisationLimits before{100, 100};
    const OrganisationLimits after{30, 30};
    SessionWorld world(quotaWorld(vms, before));
    world.run(startTime);
    Demand demand(world, vms, 0, 300, 3);
    demand.runUntil(world.now() + std::chrono::seconds(14));
    world.run(std::chrono::seconds(4));
    world.newConfiguration([&](SessionConfiguration &configuration) { configuration.organisations_->limits_[SessionWorld::organisationId(0)] = after; });
    world.run(std::chrono::seconds(2));
    const std::vector<Time> &times = world.operationsOf(SessionWorld::organisationId(0));
    const std::size_t until = times.size();
    world.run(window);
    EXPECT_LE(static_cast<double>(times.size() - until), allowed(after));
}

// Under random load, partitions, kills and restarts, the operations of all VMs together must stay within the bound in every window.
TEST(SessionQuotasHold, underRandomFaultsTheSumStaysWithinTheBound)
{
    const unsigned vms = 15;
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        std::mt19937_64 random(seed);
        const OrganisationLimits limits{static_cast<double>(5 + random() % 100), static_cast<double>(5 + random() % 100)};
        SessionWorld world(quotaWorld(vms, limits, seed));
        world.run(startTime);
        Demand demand(world, vms, 0, (1 + static_cast<double>(random() % 8)) * limits.perSecond_, seed);
        demand.runUntil(world.now() + std::chrono::seconds(15));
        for (unsigned step = 0; step < 12; ++step) {
            const auto a = static_cast<unsigned>(random() % vms);
            const auto b = static_cast<unsigned>(random() % vms);
            const unsigned kind = static_cast<unsigned>(random() % 4);
            if (kind == 0 && world.runs(a)) {
                world.killVm(a);
            } else if (kind == 1 && !world.runs(a)) {
                world.startVm(a);
            } else if (a != b) {
                world.cutVms(a, b, kind == 2);
            }
            world.run(std::chrono::milliseconds(1200));
        }
        const std::size_t maxOperations = world.mostOperations(SessionWorld::organisationId(0), window);
        EXPECT_LE(static_cast<double>(maxOperations), allowed(limits)) << "seed " << seed << ", rate " << limits.perSecond_ << ", burst " << limits.burst_;
        EXPECT_THAT(world.violations(), IsEmpty()) << "seed " << seed;
    }
}
