#include "support/SessionWorld.h"

#include <gmock/gmock.h>

using namespace Figward;
using namespace Figward::Testing;
using namespace testing;

namespace {

constexpr Duration startTime = std::chrono::seconds(3);
constexpr Duration step = std::chrono::milliseconds(10);

/** A platform whose promotions take two seconds, which is longer than the statement timeout of one second. */
SessionWorldConfig slowPromotions()
{
    SessionWorldConfig config;
    config.promotionTime_ = std::chrono::seconds(2);
    return config;
}

/** Runs the simulation until one more event of \p number is logged. */
void awaitLog(SessionWorld &world, LogNumber number)
{
    const std::size_t before = world.logged(number).size();
    for (int i = 0; i < 1000 && world.logged(number).size() == before; ++i) {
        world.run(step);
    }
}

/** Sends a write; returns the reply and the time until it arrived. */
std::pair<SessionReply, Duration> write(SessionWorld &world, unsigned vm)
{
    const std::size_t client = world.open(vm, "ledger");
    world.run(step);
    const Time asked = world.now();
    const std::string id = world.send(client, StatementKind::Write, "WRITE a 1");
    while (world.answerTo(client, id) == nullptr && world.now() - asked < std::chrono::seconds(3)) {
        world.run(step);
    }
    const SessionReply *reply = world.answerTo(client, id);
    return {reply == nullptr ? SessionReply{.code_ = ReplyCode::Timeout} : *reply, world.now() - asked};
}

} // namespace

// Guards against holding a write until its timeout when it cannot succeed. A replacement of the primary takes two seconds, and a statement may take one. A
// write just after the old primary was revoked must be refused at once, with a retry delay; held until its timeout, it would cost its client a second and be
// refused anyway. A write half a second before the new primary is available must wait and succeed.
TEST(SessionRefusesAtOnce, whatAReplacementCannotServeInTime)
{
    SessionWorld world(slowPromotions());
    world.run(startTime);
    world.crashMember(0);
    awaitLog(world, LogNumber::PrimaryInForce); // The first replacement provides the expected duration.
    world.restartMember(0);
    world.run(std::chrono::seconds(3));
    const unsigned second = world.group().leader().id_ == SessionWorld::memberId(1) ? 1 : 2;
    world.crashMember(second);
    awaitLog(world, LogNumber::PromotionCalled);
    world.run(std::chrono::milliseconds(100));
    const auto [early, earlyTime] = write(world, 1);
    EXPECT_EQ(early.code_, ReplyCode::Retry);
    EXPECT_THAT(early.text_, HasSubstr("come back in "));
    EXPECT_LT(toMillis(earlyTime), 60);
    world.run(std::chrono::milliseconds(1300));
    const auto [late, lateTime] = write(world, 1);
    EXPECT_EQ(late.code_, ReplyCode::None) << late.text_;
    EXPECT_GT(toMillis(lateTime), 100) << "the write should have waited for the new primary";
    world.checkLogs();
    EXPECT_THAT(world.violations(), IsEmpty());
}

// A promotion takes longer than the time after which a VM that reaches no primary, while others hear one, counts itself cut off. Guards against VMs that refuse
// everything as cut off in the moment in which they are told of the new primary, because the leader has heard it and they have not asked it yet.
TEST(SessionRefusesAtOnce, nothingAtAVmThatIsToldOfTheNewPrimary)
{
    for (unsigned vm = 0; vm < 4; ++vm) {
        SessionWorld world(slowPromotions());
        world.run(startTime);
        world.crashMember(0);
        awaitLog(world, LogNumber::PrimaryInForce); // The first replacement provides the expected duration.
        world.restartMember(0);
        world.run(std::chrono::seconds(3));
        world.crashMember(world.group().leader().id_ == SessionWorld::memberId(1) ? 1 : 2);
        awaitLog(world, LogNumber::PromotionCalled);
        world.run(std::chrono::milliseconds(1400));
        const auto [reply, time] = write(world, vm);
        EXPECT_EQ(reply.code_, ReplyCode::None) << "vm " << vm << ": " << reply.text_;
        EXPECT_THAT(world.logged(LogNumber::VmCutOff), IsEmpty());
    }
}

// All VMs lose authority over the primary if the leader dies while the store is unreachable, for an unknown time. Writes wait at first; once the outage has
// lasted as long as the statement timeout, they must be refused at once.
TEST(SessionRefusesAtOnce, writesDuringAnOutageOfUnknownLength)
{
    SessionWorld world;
    world.run(startTime);
    world.storeDown(true);
    const unsigned leader = *world.leader();
    world.killVm(leader);
    const unsigned vm = (leader + 1) % 4;
    world.run(std::chrono::milliseconds(3500));
    const auto [reply, time] = write(world, vm);
    EXPECT_EQ(reply.code_, ReplyCode::Retry);
    EXPECT_LT(toMillis(time), 60);
    EXPECT_THAT(world.violations(), IsEmpty());
}

// A client continues to use its connection to a process that is shutting down, and the primary has just been lost. Its last write must be refused before the
// process ends, so that the client knows that it did not run; if the connection is closed without an answer, the client cannot know.
TEST(SessionRefusesAtOnce, whatWouldBeCutByTheEndOfTheProcess)
{
    SessionWorld world(slowPromotions());
    world.run(startTime);
    const unsigned vm = (*world.leader() + 1) % 4;
    const std::size_t client = world.open(vm, "ledger");
    ASSERT_EQ(world.ask(client, StatementKind::Write, "WRITE a 1").code_, ReplyCode::None);
    world.drainVm(vm);
    std::string last;
    while (!world.client(client).closed_) {
        if (last.empty() || world.answerTo(client, last) != nullptr) {
            last = world.send(client, StatementKind::Write, "WRITE a 2");
        }
        world.run(step);
        world.cutVmFromMember(vm, 0, true);
    }
    EXPECT_NE(world.answerTo(client, last), nullptr) << "the connection was closed without an answer";
    EXPECT_THAT(world.cutOff(), IsEmpty());
}
