// A proxy is drained while other proxies that have not learned of the drain still forward requests to it. If it exited at once, those requests would get no
// answer, and their callers could not be told that nothing ran. It must stay for a while and refuse them, so that the entries forward them to other owners
// and no caller sees an error. A leaving owner must not keep connections, because the other owners need the quota.

#include "support/Fleet.h"

#include <gmock/gmock.h>

namespace Figward::Testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const GroupId ledger("group-0");

void addLedger(Fleet &fleet)
{
    fleet.addGroup(ledger, {.members_ = {MemberId("group-0-0"), MemberId("group-0-1"), MemberId("group-0-2")}, .replicationDelay_ = milliseconds(1)});
}

Request readOf(Duration timeout)
{
    Request read{.kind_ = RequestKind::Read, .service_ = ServiceId("service-0"), .group_ = ledger, .body_ = "get x", .timeout_ = timeout};
    read.class_ = ClassId("class-1");
    return read;
}

TEST(DrainRefusesLateWork, EachRollingRestartStepCutsNothing)
{
    Fleet fleet({.vms_ = 8, .seed_ = 81});
    addLedger(fleet);
    fleet.apply(configurationText(1, 1));
    fleet.run(seconds(8));
    std::uint64_t request = 1;
    for (std::size_t drained = 0; drained < 8; ++drained) {
        fleet.give(drained, DrainAsked{});
        for (unsigned round = 0; round < 150; ++round) {
            for (std::size_t vm = drained + 1; vm < fleet.vms().size(); ++vm) {
                fleet.give(vm, CallerAsked{RequestId(request++), readOf(seconds(1))});
            }
            fleet.run(milliseconds(20));
        }
        EXPECT_FALSE(fleet.vms()[drained].running_);
        fleet.replace(drained);
        fleet.run(seconds(4));
    }
    std::size_t failed = 0;
    std::size_t answered = 0;
    for (const FleetVm &vm : fleet.vms()) {
        for (const auto &[id, answer] : vm.answers_) {
            ++answered;
            failed += answer.outcome_ == Outcome::Done ? 0 : 1;
        }
    }
    EXPECT_EQ(answered, request - 1);
    EXPECT_EQ(failed, 0U);
}

TEST(DrainRefusesLateWork, AnOpenTransactionIsRolledBackWhenTheTimeIsUp)
{
    Fleet fleet({.vms_ = 3, .seed_ = 82});
    addLedger(fleet);
    fleet.apply(configurationText(1, 1));
    fleet.run(seconds(8));
    Request begin = readOf(seconds(1));
    begin.kind_ = RequestKind::Begin;
    fleet.give(0, CallerAsked{RequestId(1), begin});
    fleet.run(milliseconds(100));
    ASSERT_EQ(fleet.vms()[0].answers_.size(), 1U);
    ASSERT_EQ(fleet.vms()[0].answers_.front().second.outcome_, Outcome::Done);
    fleet.give(0, DrainAsked{});
    fleet.run(seconds(29));
    EXPECT_TRUE(fleet.vms()[0].running_) << "the transaction may still end by itself";
    fleet.run(seconds(3));
    EXPECT_FALSE(fleet.vms()[0].running_);
    for (std::size_t vm = 1; vm < 3; ++vm) {
        EXPECT_TRUE(findOwner(fleet.vms()[vm].state_, ledger)->requests_.transactions_.empty());
    }
}

} // namespace
} // namespace Figward::Testing
