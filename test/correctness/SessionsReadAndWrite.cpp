#include "support/SessionWorld.h"

#include <gmock/gmock.h>

using namespace Figward;
using namespace Figward::Testing;
using namespace testing;

namespace {

constexpr Duration startTime = std::chrono::seconds(3);

ClientStatement prepare(const std::string &id, const std::string &name, const std::string &shape, bool writes)
{
    ClientStatement statement;
    statement.id_ = id;
    statement.kind_ = StatementKind::Prepare;
    statement.name_ = name;
    statement.value_ = shape;
    statement.writes_ = writes;
    return statement;
}

ClientStatement execute(const std::string &id, const std::string &name)
{
    ClientStatement statement;
    statement.id_ = id;
    statement.kind_ = StatementKind::Execute;
    statement.name_ = name;
    statement.value_ = "1a4 data";
    return statement;
}

} // namespace

TEST(SessionsReadAndWrite, aWriteIsReadBackByTheSameSession)
{
    SessionWorld world;
    world.run(startTime);
    const std::size_t client = world.open(1, "dispatch");
    ASSERT_TRUE(world.client(client).open_);
    for (int round = 0; round < 20; ++round) {
        EXPECT_EQ(world.ask(client, StatementKind::Write, "WRITE 1a4 x").code_, ReplyCode::None);
        EXPECT_EQ(world.ask(client, StatementKind::Read, "READ 1a4").code_, ReplyCode::None);
    }
    EXPECT_THAT(world.violations(), IsEmpty());
}

TEST(SessionsReadAndWrite, aTransactionCommitsAllOrNothing)
{
    SessionWorld world;
    world.run(startTime);
    const std::size_t client = world.open(0, "ledger");
    EXPECT_EQ(world.ask(client, StatementKind::Begin).state_, TransactionState::Open);
    EXPECT_EQ(world.ask(client, StatementKind::Write, "WRITE a 1").state_, TransactionState::Open);
    EXPECT_EQ(world.ask(client, StatementKind::Write, "WRITE b 2").state_, TransactionState::Open);
    EXPECT_EQ(world.ask(client, StatementKind::Commit).state_, TransactionState::None);
    EXPECT_EQ(world.group().leader().log_.size(), 1U);
    EXPECT_EQ(world.ask(client, StatementKind::Begin).code_, ReplyCode::None);
    EXPECT_EQ(world.ask(client, StatementKind::Write, "WRITE c 3").code_, ReplyCode::None);
    EXPECT_EQ(world.ask(client, StatementKind::Rollback).code_, ReplyCode::None);
    world.run(std::chrono::milliseconds(100));
    EXPECT_EQ(world.group().leader().log_.size(), 1U);
}

TEST(SessionsReadAndWrite, preparedNamesOfSessionsDoNotMix)
{
    SessionWorld world;
    world.run(startTime);
    const std::size_t first = world.open(0, "ledger");
    const std::size_t second = world.open(0, "ledger");
    world.send(first, prepare("p1", "s", "q2c", true));
    world.send(second, prepare("p2", "s", "q2c", false));
    world.send(first, execute("e1", "s"));
    world.run(std::chrono::milliseconds(200));
    world.send(second, execute("e2", "s"));
    world.run(std::chrono::milliseconds(200));
    ASSERT_NE(world.answerTo(first, "e1"), nullptr);
    ASSERT_NE(world.answerTo(second, "e2"), nullptr);
    EXPECT_THAT(world.answerTo(first, "e1")->rows_, IsEmpty());
    EXPECT_THAT(world.answerTo(second, "e2")->rows_, SizeIs(1));
    EXPECT_EQ(world.group().leader().log_.size(), 1U);
}

TEST(SessionsReadAndWrite, anUnknownDatabaseIsRefusedAndAnUnknownNameIsAnError)
{
    SessionWorld world;
    world.run(startTime);
    EXPECT_TRUE(world.client(world.open(0, "nowhere")).refused_);
    const std::size_t client = world.open(0, "ledger");
    world.send(client, execute("e1", "never-prepared"));
    ASSERT_NE(world.answerTo(client, "e1"), nullptr);
    EXPECT_EQ(world.answerTo(client, "e1")->code_, ReplyCode::NoStatement);
    EXPECT_EQ(world.ask(client, StatementKind::Commit).code_, ReplyCode::Malformed);
}

TEST(SessionsReadAndWrite, readsOfAStatedAgeAreSpreadOverReplicas)
{
    SessionWorld world;
    world.run(startTime);
    const std::size_t writer = world.open(0, "ledger");
    for (unsigned round = 0; round < 30; ++round) {
        world.ask(writer, StatementKind::Write, "WRITE a 1");
        const unsigned vm = round % 3;
        const std::size_t client = world.open(vm, "history");
        const SessionReply reply = world.ask(client, StatementKind::Read, "READ a");
        ASSERT_THAT(reply.rows_, SizeIs(1));
        EXPECT_THAT(reply.rows_.front(), EndsWith(SessionWorld::memberId(vm).value()))
            << "all members are idle, so the one in the VM's own zone should be used";
    }
    EXPECT_THAT(world.violations(), IsEmpty());
}
