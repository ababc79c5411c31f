// The primary's process dies while callers write through three proxies. Writes stall and then continue at another member, which the proxies fence and
// promote without involving the platform. Guards against writes that are lost or applied twice if they are acknowledged before or during the failover.
#include "support/LoopbackFleet.h"

#include <gmock/gmock.h>

namespace Figward::Testing {

namespace {

/** Adds one to the counter, retrying until it is done. Any number of new keys may be needed, since a write whose key was cancelled never runs. */
void addOne(CallerClient &client, CallerSession &session)
{
    EXPECT_TRUE(eventually([&] {
        const Request write = session.keyed(RequestKind::Write, LoopbackFleet::groupId(), "add rotations 1");
        ClientResult result = client.execute(write);
        const auto undecided = [&] { return !result.ok() || (result->outcome_ != Outcome::Done && result->error_ != ErrorKind::KeyCancelled); };
        EXPECT_TRUE(eventually([&] {
            result = undecided() ? client.execute(write) : result;
            return !undecided();
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
    constexpr int writesPerPhase = 20;
    std::vector<std::unique_ptr<CallerClient>> clients;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        clients.push_back(std::make_unique<CallerClient>(fleet.proxy(i).callerAddress()));
    }
    for (int i = 0; i < 2 * writesPerPhase; ++i) {
        if (i == writesPerPhase) {
            fleet.group().run([](Standin::GroupModel &group, Time now) { group.kill(0, true, now); });
        }
        addOne(*clients[static_cast<std::size_t>(i) % clients.size()], session);
    }
    EXPECT_TRUE(fleet.log().has(LogNumber::PrimaryPromoted));
    const ClientResult read = clients.front()->execute(session.read(LoopbackFleet::groupId(), "get rotations"));
    ASSERT_TRUE(read.ok());
    EXPECT_EQ(read->body_, std::to_string(2 * writesPerPhase));
}

} // namespace

} // namespace Figward::Testing
