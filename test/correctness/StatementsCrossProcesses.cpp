/** \file
 * Tests the complete path of a statement over loopback: caller, entry proxy, owner proxy, upstream, and back.
 */
#include "support/LoopbackFleet.h"

#include <gmock/gmock.h>

namespace Figward::Testing {

namespace {

Answer mustAnswer(const ClientResult &result)
{
    EXPECT_TRUE(result.ok()) << result.status();
    return result.value_or(Answer{});
}

TEST(StatementsCrossProcesses, AWriteIsReadThroughAnotherProxy)
{
    LoopbackFleet fleet;
    CallerClient first(fleet.addProxy("z1").callerAddress());
    CallerClient second(fleet.addProxy("z2").callerAddress());
    CallerSession session = LoopbackFleet::session();

    const Answer written = mustAnswer(first.execute(session.keyed(RequestKind::Write, LoopbackFleet::groupId(), "put tyre worn")));
    ASSERT_EQ(written.outcome_, Outcome::Done) << toString(written.error_);
    session.take(written);
    const Answer read = mustAnswer(second.execute(session.read(LoopbackFleet::groupId(), "get tyre")));
    EXPECT_EQ(read.outcome_, Outcome::Done) << toString(read.error_);
    EXPECT_EQ(read.body_, "worn");
}

TEST(StatementsCrossProcesses, ARepeatedWriteThroughAnotherProxyRunsOnce)
{
    LoopbackFleet fleet;
    CallerClient first(fleet.addProxy("z1").callerAddress());
    CallerClient second(fleet.addProxy("z2").callerAddress());
    CallerSession session = LoopbackFleet::session();

    const Request write = session.keyed(RequestKind::Write, LoopbackFleet::groupId(), "add rotations 1");
    EXPECT_EQ(mustAnswer(first.execute(write)).body_, "1");
    EXPECT_EQ(mustAnswer(second.execute(write)).body_, "1");
    EXPECT_EQ(mustAnswer(first.execute(session.read(LoopbackFleet::groupId(), "get rotations"))).body_, "1");
}

TEST(StatementsCrossProcesses, AReadOfAStatedAgeIsServedByAReplica)
{
    LoopbackFleet fleet;
    CallerClient client(fleet.addProxy("z1").callerAddress());
    Request read = LoopbackFleet::session().read(LoopbackFleet::groupId(), "get tyre");
    read.maxStaleness_ = std::chrono::seconds(10);
    EXPECT_TRUE(eventually([&] {
        const Answer answer = mustAnswer(client.execute(read));
        return answer.outcome_ == Outcome::Done && answer.fromReplica_;
    }));
}

TEST(StatementsCrossProcesses, ATransactionCommitsAsAWhole)
{
    LoopbackFleet fleet;
    fleet.addProxy("z1");
    CallerClient client(fleet.addProxy("z2").callerAddress());
    CallerSession session = LoopbackFleet::session();
    const GroupId group = LoopbackFleet::groupId();
    const std::unique_ptr<CallerStream> stream = client.openStream();

    const Answer begun = mustAnswer(stream->execute(session.step(RequestKind::Begin, group, "")));
    ASSERT_EQ(begun.outcome_, Outcome::Done) << toString(begun.error_);
    Request write = session.step(RequestKind::Write, group, "put left new");
    write.transaction_ = begun.transaction_;
    EXPECT_EQ(mustAnswer(stream->execute(write)).outcome_, Outcome::Done);
    EXPECT_EQ(mustAnswer(client.execute(session.read(group, "get left"))).body_, "");
    Request commit = session.keyed(RequestKind::Commit, group, "");
    commit.transaction_ = begun.transaction_;
    const Answer committed = mustAnswer(stream->execute(commit));
    EXPECT_EQ(committed.outcome_, Outcome::Done) << toString(committed.error_);
    EXPECT_EQ(mustAnswer(client.execute(session.read(group, "get left"))).body_, "new");
}

} // namespace

} // namespace Figward::Testing
