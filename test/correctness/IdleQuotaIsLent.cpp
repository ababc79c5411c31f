#include "support/Fleet.h"

#include <gmock/gmock.h>

namespace Figward::Testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const GroupId ledger("group-0");

/** A fleet of three VMs that own one group with 5 slots. The tests send reads to single VMs. */
class IdleQuotaIsLent : public testing::Test
{
protected:
    IdleQuotaIsLent()
    {
        fleet_.addGroup(ledger,
                        {.members_ = {MemberId("group-0-0"), MemberId("group-0-1"), MemberId("group-0-2")},
                         .statementTime_ = milliseconds(5),
                         .replicationDelay_ = milliseconds(1)});
        fleet_.apply(configurationText(1, 1));
        fleet_.run(seconds(8));
    }

    /** Returns the index of the VM that owns the group with rank \p rank. */
    std::size_t owner(unsigned rank)
    {
        for (std::size_t vm = 0; vm < fleet_.vms().size(); ++vm) {
            const GroupOwner *owner = findOwner(fleet_.vms()[vm].state_, ledger);
            if (owner != nullptr && owner->rank_ == rank) {
                return vm;
            }
        }
        return fleet_.vms().size();
    }

    GroupOwner &ownerAt(std::size_t vm)
    {
        return *findOwner(fleet_.vms()[vm].state_, ledger);
    }

    std::uint32_t slotsAt(std::size_t vm)
    {
        return usableQuota(ownerAt(vm), fleet_.now()).slots_.value();
    }

    void sendReads(std::size_t vm, unsigned count)
    {
        for (unsigned i = 0; i < count; ++i) {
            Request read{.kind_ = RequestKind::Read, .service_ = ServiceId("service-0"), .group_ = ledger, .body_ = "get x", .timeout_ = seconds(2)};
            read.class_ = ClassId("class-1");
            fleet_.give(vm, CallerAsked{RequestId(nextRequest_++), std::move(read)});
        }
    }

    Fleet fleet_{{.vms_ = 3, .seed_ = 71}};
    std::uint64_t nextRequest_ = 1;
};

TEST_F(IdleQuotaIsLent, NearlyAllSlotsGoToTheOnlyOwnerWithWorkWithinMilliseconds)
{
    const std::size_t busy = owner(2);
    ASSERT_EQ(slotsAt(busy), 1U);
    sendReads(busy, 40);
    fleet_.run(milliseconds(10));
    EXPECT_EQ(slotsAt(busy), 5U);
    EXPECT_EQ(slotsAt(owner(0)) + slotsAt(owner(1)), 0U);
}

TEST_F(IdleQuotaIsLent, ComesBackWhenTheLenderHasWork)
{
    const std::size_t busy = owner(2);
    const std::size_t lender = owner(0);
    sendReads(busy, 200);
    fleet_.run(milliseconds(20));
    ASSERT_EQ(slotsAt(lender), 0U);
    sendReads(lender, 10);
    fleet_.run(milliseconds(40));
    EXPECT_EQ(slotsAt(lender), 2U);
}

TEST_F(IdleQuotaIsLent, ComesBackWhenTheBorrowerIsDone)
{
    const std::size_t busy = owner(2);
    sendReads(busy, 40);
    fleet_.run(seconds(2));
    EXPECT_EQ(slotsAt(busy), 1U);
    EXPECT_EQ(slotsAt(owner(0)), 2U);
    EXPECT_EQ(slotsAt(owner(1)), 2U);
}

TEST_F(IdleQuotaIsLent, ComesBackWhenTheBorrowerDies)
{
    const std::size_t busy = owner(2);
    sendReads(busy, 200);
    fleet_.run(milliseconds(20));
    const std::size_t lender = owner(0);
    ASSERT_EQ(slotsAt(lender), 0U);
    fleet_.kill(busy, true);
    fleet_.run(milliseconds(1100));
    EXPECT_EQ(slotsAt(lender), 2U);
}

} // namespace
} // namespace Figward::Testing
