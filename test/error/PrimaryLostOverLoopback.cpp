// The primary's process dies while callers write through three proxies. Callers see writes stall and then go on at another member, which
// the proxies fenced and promoted with no word from the platform. What was acknowledged before, and while the primary went, is there and there once.
#include "support/LoopbackFleet.h"

#include <gmock/gmock.h>

namespace Figward::Testing {

namespace {

/** Adds one to the counter until it is done; how often a fresh key was needed does not matter, since a cancelled one never runs. */
void addOne(CallerClient &client, CallerSession &session)
{
    EXPECT_TRUE(eventually([&] {
        const Request write = session.keyed(RequestKind::Write, LoopbackFleet::groupId(), "add rotations 1");
        ClientResult result = client.execute(write);
        const auto open = [&] { return !result.ok() || (result->outcome_ != Outcome::Done && result->error_ != ErrorKind::KeyCancelled); };
        EXPECT_TRUE(eventually([&] {
            result = open() ? client.execute(write) : result;
            return !open();
        }));
        return result.ok() && result->outcome_ == Outcome::Done;
    }));
}

TEST(PrimaryLostOverLoopback, WritesGoOnAtAnotherMemberAndNoneIsLost)
{
    LoopbackFleet fleet;
    for (const char *zone : {"z1", "z2", "z3"}) {
        fleet.addProxy(zone);
    }
    CallerSession session = LoopbackFleet::session();
    constexpr int writesEachSide = 20;
    std::vector<std::unique_ptr<CallerClient>> clients;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        clients.push_back(std::make_unique<CallerClient>(fleet.proxy(i).callerAddress()));
    }
    for (int i = 0; i < 2 * writesEachSide; ++i) {
        if (i == writesEachSide) {
            fleet.group().run([](Standin::GroupModel &group, Time now) { group.kill(0, true, now); });
        }
        addOne(*clients[static_cast<std::size_t>(i) % clients.size()], session);
    }
    EXPECT_TRUE(fleet.log().has(LogNumber::PrimaryPromoted));
    const ClientResult read = clients.front()->execute(session.read(LoopbackFleet::groupId(), "get rotations"));
    ASSERT_TRUE(read.ok());
    EXPECT_EQ(read->body_, std::to_string(2 * writesEachSide));
}

} // namespace

} // namespace Figward::Testing
