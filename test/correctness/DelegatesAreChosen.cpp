#include "Delegates.h"

#include <absl/strings/str_cat.h>
#include <gmock/gmock.h>

#include <algorithm>
#include <vector>

using namespace Figward;
using namespace testing;

namespace {

/** \p count VMs, distributed evenly over five availability zones. */
std::vector<DelegateCandidate> fleet(unsigned count)
{
    std::vector<DelegateCandidate> vms;
    for (unsigned vm = 0; vm < count; ++vm) {
        vms.push_back({absl::StrCat("vm-", vm), ZoneId(absl::StrCat("zone-", vm % 5))});
    }
    return vms;
}

} // namespace

TEST(DelegatesAreChosen, asManyOfEachZone)
{
    const std::vector<DelegateCandidate> vms = fleet(295);
    const auto delegates = chooseDelegates(vms, 1);
    std::map<ZoneId, unsigned> perZone;
    for (const DelegateCandidate &vm : vms) {
        perZone[vm.zone_] += delegates.contains(vm.name_) ? 1 : 0;
    }
    EXPECT_THAT(perZone, Each(Pair(_, 2U)));
}

TEST(DelegatesAreChosen, inAnyOrderOfTheVms)
{
    std::vector<DelegateCandidate> vms = fleet(77);
    const auto delegates = chooseDelegates(vms, 1);
    std::ranges::reverse(vms);
    EXPECT_EQ(chooseDelegates(vms, 1), delegates);
}

// If a delegate is lost, one other VM of its zone becomes a delegate and nothing else changes, so that the other delegates keep their groups and reads.
TEST(DelegatesAreChosen, andOneTakesThePlaceOfALostOne)
{
    std::vector<DelegateCandidate> vms = fleet(295);
    const auto before = chooseDelegates(vms, 1);
    const std::string lost = before.begin()->first;
    std::erase_if(vms, [&](const DelegateCandidate &vm) { return vm.name_ == lost; });
    const auto after = chooseDelegates(vms, 1);
    const auto stays = [&](const auto &delegate) { return after.contains(delegate.first); };
    EXPECT_EQ(std::ranges::count_if(before, stays), static_cast<std::ptrdiff_t>(before.size() - 1));
    EXPECT_EQ(after.size(), before.size());
}

TEST(DelegatesAreChosen, fromAZoneOfFewerVms)
{
    EXPECT_THAT(chooseDelegates(std::vector<DelegateCandidate>{{"only", ZoneId("a")}}, 2), ElementsAre(Pair("only", DelegateRole::Leader)));
    EXPECT_THAT(chooseDelegates({}, 2), IsEmpty());
}

// 690 groups over nine zones (530 VMs): each delegate leads about eight.
TEST(DelegatesAreChosen, soManyThatEachLeadsAFewGroups)
{
    EXPECT_EQ(leadersPerZone(20, 5), 1U);
    EXPECT_EQ(leadersPerZone(690, 9), 10U);
    EXPECT_EQ(leadersPerZone(0, 0), 1U);
}
