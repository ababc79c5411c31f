#include "TimeLine.h"
#include "support/SessionWorld.h"

#include <array>
#include <fstream>
#include <gmock/gmock.h>
#include <sstream>

using namespace Figward;
using namespace Figward::Testing;
using namespace testing;

namespace {

constexpr Duration startTime = std::chrono::seconds(3);

/** Output of `figward timeline --request ID --around MILLIS` for the world's logs. */
std::string follow(const SessionWorld &world, const std::string &id, std::chrono::milliseconds around)
{
    TimeLine timeLine;
    std::istringstream log(world.logText());
    addLog(timeLine, log, "log");
    EXPECT_TRUE(timeLine.unreadable_.empty());
    orderByTime(timeLine);
    std::ostringstream out;
    writeText(filterByRequest(timeLine, id, around), out);
    return out.str();
}

std::string operationsPage()
{
    std::ifstream in(FIGWARD_SOURCE_DIR "/docs/OPERATIONS.md");
    return {std::istreambuf_iterator<char>(in), {}};
}

} // namespace

// A primary crashes and the platform does not answer the call to promote a replacement. A write that arrives meanwhile waits for a primary, and is refused
// as not run before its timeout. The log lines around its id must name the crash of the primary and the failed call.
TEST(FailedStatements, refusedWhileThePrimaryIsReplaced)
{
    SessionWorld world;
    world.run(startTime);
    const std::size_t client = world.open(0, "ledger");
    world.promotionsDown(true);
    world.crashMember(0);
    world.run(std::chrono::milliseconds(1500));
    const std::string id = world.send(client, StatementKind::Write, "WRITE a 1");
    world.run(std::chrono::milliseconds(1100));
    ASSERT_EQ(world.answerTo(client, id)->code_, ReplyCode::Retry);
    EXPECT_THAT(operationsPage(), HasSubstr(follow(world, id, std::chrono::milliseconds(2500))));
}

// A primary crashes while it runs a write. Whether the write ran cannot be known, and the client gets an in-doubt answer. The log
// lines around its id must name the member and the lost connection.
TEST(FailedStatements, inDoubtWhenItsMemberCrashed)
{
    SessionWorld world;
    world.run(startTime);
    const std::size_t client = world.open(0, "ledger");
    ASSERT_EQ(world.ask(client, StatementKind::Write, "WRITE a 1").code_, ReplyCode::None);
    const std::string id = world.send(client, StatementKind::Write, "WRITE a 2");
    world.run(std::chrono::milliseconds(5));
    world.crashMember(0);
    world.run(std::chrono::milliseconds(1100));
    ASSERT_EQ(world.answerTo(client, id)->code_, ReplyCode::InDoubt);
    EXPECT_THAT(operationsPage(), HasSubstr(follow(world, id, std::chrono::milliseconds(900))));
}

// All connections that a VM may have to the members are busy with statements of half a second each, and more clients send statements than these connections
// can serve. A statement whose timeout passes in the queue is refused as not run. Its log line must say that it was never sent to a member, although the
// primary was active all the time.
TEST(FailedStatements, refusedByAFullService)
{
    SessionWorldConfig config;
    config.maxConnections_ = 12; // Three for each of the four VMs.
    config.workTime_ = std::chrono::milliseconds(500);
    SessionWorld world(config);
    world.run(startTime);
    std::array<std::size_t, 9> clients{};
    for (std::size_t &client : clients) {
        client = world.open(0, "ledger");
    }
    std::string last;
    for (const std::size_t client : clients) {
        last = world.send(client, StatementKind::Write, "WRITE a 1");
    }
    world.run(std::chrono::milliseconds(1100));
    ASSERT_EQ(world.answerTo(clients.back(), last)->code_, ReplyCode::Retry);
    EXPECT_THAT(operationsPage(), HasSubstr(follow(world, last, std::chrono::milliseconds(1100))));
}
