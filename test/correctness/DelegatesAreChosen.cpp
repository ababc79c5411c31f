#include "Delegates.h"

#include <absl/strings/str_cat.h>
#include <gmock/gmock.h>

#include <algorithm>
#include <vector>

using namespace Figward;
using namespace testing;

namespace {

/** \p count VMs over five availability zones in turn. */
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
    const std::set<std::string> delegates = chooseDelegates(vms, 2);
    std::map<ZoneId, unsigned> perZone;
    for (const DelegateCandidate &vm : vms) {
        perZone[vm.zone_] += delegates.contains(vm.name_) ? 1 : 0;
    }
    EXPECT_THAT(perZone, Each(Pair(_, 2U)));
}

TEST(DelegatesAreChosen, inAnyOrderOfTheVms)
{
    std::vector<DelegateCandidate> vms = fleet(77);
    const std::set<std::string> delegates = chooseDelegates(vms, 2);
    std::ranges::reverse(vms);
    EXPECT_EQ(chooseDelegates(vms, 2), delegates);
}

// The loss of a delegate makes one other VM of its zone a delegate, and changes nothing else: all that others lead and ask stays where it is.
TEST(DelegatesAreChosen, andOneTakesThePlaceOfALostOne)
{
    std::vector<DelegateCandidate> vms = fleet(295);
    const std::set<std::string> before = chooseDelegates(vms, 2);
    const std::string lost = *before.begin();
    std::erase_if(vms, [&](const DelegateCandidate &vm) { return vm.name_ == lost; });
    const std::set<std::string> after = chooseDelegates(vms, 2);
    std::vector<std::string> kept;
    std::ranges::set_intersection(before, after, std::back_inserter(kept));
    EXPECT_EQ(kept.size(), before.size() - 1);
    EXPECT_EQ(after.size(), before.size());
}

TEST(DelegatesAreChosen, fromAZoneOfFewerVms)
{
    EXPECT_THAT(chooseDelegates(std::vector<DelegateCandidate>{{"only", ZoneId("a")}}, 2), ElementsAre("only"));
    EXPECT_THAT(chooseDelegates({}, 2), IsEmpty());
}

// 690 groups led by 530 VMs of nine zones: a delegate leads about eight.
TEST(DelegatesAreChosen, soManyThatEachLeadsAFewGroups)
{
    EXPECT_EQ(delegatesPerZone(20, 5), 2U);
    EXPECT_EQ(delegatesPerZone(690, 9), 10U);
    EXPECT_EQ(delegatesPerZone(0, 0), 2U);
}
