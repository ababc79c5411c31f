#include "Membership.h"
#include "golden/GoldenSession.h"

#include <gtest/gtest.h>

using namespace Figward;
using namespace Figward::Testing;

namespace {

/** Index of the proxy to which \p entry sends requests for the group first. */
ProxyIndex firstOwner(World &world, ProxyIndex entry)
{
    const std::vector<VmInfo> owners = ownersOf(world.state(entry), World::groupId(0));
    for (ProxyIndex proxy = 0; proxy < world.proxies(); ++proxy) {
        if (world.state(proxy).identity_.self_.id_ == owners.front().id_) {
            return proxy;
        }
    }
    return entry;
}

/** Index of a proxy that is not an owner of the group. */
ProxyIndex findNonOwner(World &world)
{
    for (ProxyIndex proxy = 0; proxy < world.proxies(); ++proxy) {
        if (findOwner(world.state(proxy), World::groupId(0)) == nullptr) {
            return proxy;
        }
    }
    return 0;
}

} // namespace

TEST(GoldenPausedOwnerSessions, statementSentAfterNotRunWasTold)
{
    WorldConfig config;
    config.policy_.ownersPerGroup_ = 2;
    GoldenSession session(config);
    World &world = session.world();
    const ProxyIndex entry = findNonOwner(world);
    const ProxyIndex paused = firstOwner(world, entry);
    ASSERT_NE(entry, paused);
    session.traceStep("the first owner is paused; the write waits there. The second owner's copy is lost on the way, and time runs short");
    world.pauseProxy(paused);
    session.askWithoutWaiting(entry, session.write("append tyre-7 x"));
    session.run(std::chrono::milliseconds(900));
    world.setPeerFaults({.dropPercent_ = 100});
    session.run(std::chrono::milliseconds(200));
    world.setPeerFaults({});
    session.run(std::chrono::seconds(1));
    ASSERT_EQ(session.answers().size(), 1U);
    EXPECT_EQ(session.answers().front().outcome_, Outcome::NotRun);
    session.traceStep("then the first wakes up and sends the statement, which must not run if the caller was told so");
    world.resumeProxy(paused);
    session.run(std::chrono::seconds(3));
    const std::string body = session.ask(entry, session.read("get tyre-7")).body_;
    ASSERT_NE(session.answers().front().outcome_, Outcome::Unknown);
    EXPECT_EQ(body, session.answers().front().outcome_ == Outcome::Done ? "x" : "");
    session.traceLogs();
    session.compare("paused-owner-sends-after-not-run");
}
