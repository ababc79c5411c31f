#include "golden/GoldenSession.h"

#include <gtest/gtest.h>

using namespace Figward;
using namespace Figward::Testing;

namespace {

Answer beginTransaction(GoldenSession &session, ProxyIndex proxy)
{
    Request begin = session.read("");
    begin.kind_ = RequestKind::Begin;
    return session.ask(proxy, begin);
}

/** Cuts the zone of the group's primary off from the other zones, or reconnects it. */
void setPrimaryCut(World &world, bool cut)
{
    const std::size_t zone = world.zoneOfMember(0, 0);
    for (std::size_t other = 0; other < 3; ++other) {
        if (other != zone) {
            world.setZonesCut(zone, other, cut);
        }
    }
}

} // namespace

TEST(GoldenFailoverSessions, failoverInMidTransaction)
{
    GoldenSession session;
    const Answer begun = beginTransaction(session, 1);
    session.ask(1, session.step(RequestKind::Write, begun.transaction_, "put tyre-7 rotated"));
    session.traceStep("the primary dies before the commit");
    session.world().group(0).kill(0, true, session.world().now());
    session.run(std::chrono::seconds(2));
    session.traceStep("the commit is told 'not run': nothing of the transaction exists");
    const Answer committed = session.ask(1, session.step(RequestKind::Commit, begun.transaction_));
    EXPECT_EQ(committed.outcome_, Outcome::NotRun);
    EXPECT_NE(session.ask(2, session.read("get tyre-7")).body_, "rotated");
    session.traceLogs();
    session.compare("failover-in-mid-transaction");
}

TEST(GoldenFailoverSessions, commitSentAndAnswerLost)
{
    GoldenSession session;
    const Answer begun = beginTransaction(session, 1);
    session.ask(1, session.step(RequestKind::Write, begun.transaction_, "put tyre-7 rotated"));
    session.traceStep("the commit takes effect at the primary, which dies as soon as a replica has it; its answer is lost");
    World &world = session.world();
    world.hooks_.beforeEvent_ = [](ProxyIndex, ProxyState &, EventBody &body) {
        if (auto *answered = std::get_if<UpstreamAnswered>(&body)) {
            answered->answer_.id_ = StatementId(0);
        }
    };
    session.askWithoutWaiting(1, session.step(RequestKind::Commit, begun.transaction_));
    session.run(std::chrono::milliseconds(30));
    world.hooks_ = {};
    world.group(0).kill(0, true, world.now());
    session.run(std::chrono::seconds(3));
    ASSERT_EQ(session.answers().size(), 1U);
    EXPECT_EQ(session.answers().front().outcome_, Outcome::Done);
    session.traceStep("the key told that the commit had run");
    EXPECT_EQ(session.ask(2, session.read("get tyre-7")).body_, "rotated");
    session.traceLogs();
    session.compare("commit-sent-and-answer-lost");
}

TEST(GoldenFailoverSessions, replacedPrimaryAnswersLate)
{
    GoldenSession session;
    session.traceStep("the primary is paused and receives a write");
    World &world = session.world();
    world.group(0).pause(0, world.now());
    session.askWithoutWaiting(0, session.write("append tyre-7 x"));
    session.run(std::chrono::seconds(3));
    ASSERT_EQ(session.answers().size(), 1U);
    session.traceStep("after the failover the former primary wakes up, runs what it had received, and answers");
    world.group(0).resume(0, world.now());
    session.run(std::chrono::seconds(2));
    EXPECT_EQ(session.answers().size(), 1U);
    const Outcome outcome = session.answers().front().outcome_;
    ASSERT_NE(outcome, Outcome::Unknown);
    EXPECT_EQ(session.ask(2, session.read("get tyre-7")).body_, outcome == Outcome::Done ? "x" : "");
    session.traceLogs();
    session.compare("replaced-primary-answers-late");
}

TEST(GoldenFailoverSessions, platformDownAtFailover)
{
    GoldenSession session;
    session.traceStep("the platform goes down, then the primary dies");
    World &world = session.world();
    for (std::size_t zone = 0; zone < 3; ++zone) {
        world.setPlatformCut(zone, true);
    }
    session.run(std::chrono::seconds(1));
    world.group(0).kill(0, false, world.now());
    EXPECT_EQ(session.ask(1, session.write("put tyre-7 mounted")).outcome_, Outcome::Done);
    session.traceLogs();
    session.compare("platform-down-at-failover");
}

TEST(GoldenFailoverSessions, rejoiningPrimaryWithADivergedTail)
{
    GoldenSession session;
    session.traceStep("the primary's zone is cut off; a caller there writes and is not told 'done'");
    World &world = session.world();
    setPrimaryCut(world, true);
    session.askWithoutWaiting(world.zoneOfMember(0, 0), session.write("put tyre-7 lost"));
    session.run(std::chrono::seconds(3));
    ASSERT_EQ(session.answers().size(), 1U);
    EXPECT_EQ(session.answers().front().outcome_, Outcome::Unknown);
    session.traceStep("the others have gone on without it");
    EXPECT_EQ(session.ask(1, session.write("put tyre-8 mounted")).outcome_, Outcome::Done);
    session.traceStep("the cut heals: the former primary cuts its tail and follows");
    setPrimaryCut(world, false);
    session.run(std::chrono::seconds(3));
    EXPECT_EQ(world.group(0).status(0).log_, world.group(0).status(1).log_);
    session.traceLogs();
    session.compare("rejoining-primary-with-a-diverged-tail");
}

TEST(GoldenFailoverSessions, promoterThatHearsNobody)
{
    GoldenSession session;
    session.traceStep("owners lose each other's word: all links between proxies drop what they carry while the primary dies");
    World &world = session.world();
    world.setPeerFaults({.dropPercent_ = 100});
    world.group(0).kill(0, true, world.now());
    session.run(std::chrono::seconds(3));
    world.setPeerFaults({});
    session.run(std::chrono::seconds(1));
    EXPECT_EQ(session.ask(1, session.write("put tyre-7 mounted")).outcome_, Outcome::Done);
    EXPECT_EQ(session.ask(2, session.read("get tyre-7")).body_, "mounted");
    session.traceLogs();
    session.compare("promoter-that-hears-nobody");
}

TEST(GoldenFailoverSessions, twoOwnersPromoteAtOnce)
{
    GoldenSession session;
    session.traceStep("the primary dies; the first owner in rank pauses right after it has sent its fences");
    World &world = session.world();
    world.group(0).kill(0, true, world.now());
    const auto isAttempting = [&](ProxyIndex proxy) { return world.state(proxy).owners_.at(World::groupId(0)).failover_.attempt_.has_value(); };
    std::optional<ProxyIndex> first;
    while (!first) {
        session.run(std::chrono::microseconds(100));
        for (ProxyIndex proxy = 0; proxy < world.proxies(); ++proxy) {
            first = isAttempting(proxy) ? std::optional(proxy) : first;
        }
    }
    world.pauseProxy(*first);
    session.run(std::chrono::seconds(2));
    session.traceStep("another owner has gone on at a higher term; the first wakes up with its answers still to read");
    world.resumeProxy(*first);
    session.run(std::chrono::seconds(2));
    const ProxyIndex other = (*first + 1) % world.proxies();
    EXPECT_EQ(session.ask(*first, session.write("put tyre-7 mounted")).outcome_, Outcome::Done);
    EXPECT_EQ(session.ask(other, session.read("get tyre-7")).body_, "mounted");
    EXPECT_EQ(world.state(*first).owners_.at(World::groupId(0)).view_.term_, world.state(other).owners_.at(World::groupId(0)).view_.term_);
    session.traceLogs();
    session.compare("two-owners-promote-at-once");
}
