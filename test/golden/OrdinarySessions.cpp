#include "golden/GoldenSession.h"

#include <gtest/gtest.h>

using namespace Figward;
using namespace Figward::Testing;

TEST(GoldenOrdinarySessions, writeThenReadElsewhere)
{
    GoldenSession session({.group_ = {.replicationDelay_ = std::chrono::milliseconds(5)}});
    session.traceStep("a clerk mounts a tyre through proxy 0");
    EXPECT_EQ(session.ask(0, session.write("put tyre-7 mounted")).outcome_, Outcome::Done);
    session.traceStep("and reads it through proxy 1, which has never seen the session");
    EXPECT_EQ(session.ask(1, session.read("get tyre-7")).body_, "mounted");
    session.compare("write-then-read-elsewhere");
}

TEST(GoldenOrdinarySessions, readWithMaxStaleness)
{
    GoldenSession session;
    session.traceStep("a planner accepts data of up to two seconds");
    Request read = session.read("get tyre-7");
    read.maxStaleness_ = std::chrono::seconds(2);
    EXPECT_TRUE(session.ask(2, read).fromReplica_);
    session.traceStep("a dispatcher accepts no age and has no token: the primary answers");
    Request strict = session.read("get tyre-7");
    strict.token_ = {};
    EXPECT_FALSE(session.ask(2, strict).fromReplica_);
    session.compare("read-with-max-staleness");
}

TEST(GoldenOrdinarySessions, keyRepeatedThroughAnotherProxy)
{
    GoldenSession session;
    const Request write = session.write("append rotations x");
    session.traceStep("a fitment entry goes through proxy 0");
    const Answer first = session.ask(0, write);
    session.traceStep("the shop lost the answer and repeats the same key through proxy 2");
    const Answer second = session.ask(2, write);
    EXPECT_EQ(second.outcome_, Outcome::Done);
    EXPECT_EQ(second.body_, first.body_);
    session.traceLogs();
    session.compare("key-repeated-through-another-proxy");
}

TEST(GoldenOrdinarySessions, drainInMidTransaction)
{
    GoldenSession session;
    Request begin = session.read("");
    begin.kind_ = RequestKind::Begin;
    const Answer begun = session.ask(0, begin);
    ASSERT_EQ(begun.outcome_, Outcome::Done);
    session.ask(0, session.step(RequestKind::Write, begun.transaction_, "put tyre-7 rotated"));
    session.traceStep("an operator drains proxy 0");
    session.world().drainProxy(0);
    session.run(std::chrono::milliseconds(50));
    session.traceStep("new work is refused there with a hint");
    EXPECT_EQ(session.ask(0, session.write("put tyre-8 mounted")).error_, ErrorKind::Draining);
    session.traceStep("the open transaction goes on to its end");
    EXPECT_EQ(session.ask(0, session.step(RequestKind::Commit, begun.transaction_)).outcome_, Outcome::Done);
    session.run(std::chrono::seconds(1));
    EXPECT_TRUE(session.world().hasExited(0));
    session.traceStep("proxy 1 shows what was committed");
    EXPECT_EQ(session.ask(1, session.read("get tyre-7")).body_, "rotated");
    session.compare("drain-in-mid-transaction");
}
