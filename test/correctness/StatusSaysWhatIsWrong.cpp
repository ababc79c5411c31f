#include "support/Fleet.h"

#include <gmock/gmock.h>

namespace Figward::Testing {
namespace {

using std::chrono::seconds;
using testing::ElementsAre;
using testing::HasSubstr;

GroupReport healthyGroup(const std::string &name, const std::string &service)
{
    return {.id_ = GroupId(name),
            .service_ = ServiceId(service),
            .term_ = Term(3),
            .primary_ = MemberId(name + "-0"),
            .primarySince_ = 1000,
            .members_ = {{MemberId(name + "-0"), true, false, 0}, {MemberId(name + "-1"), true, false, 4}, {MemberId(name + "-2"), true, false, 0}}};
}

ZoneReport reportOf(std::vector<GroupReport> groups)
{
    ZoneReport zone{.zone_ = ZoneId("zone-0"), .writtenAt_ = 1990};
    zone.vms_.push_back({.id_ = VmId(1), .zone_ = zone.zone_, .address_ = "10.0.0.1:7000", .version_ = ConfigVersion(7), .groups_ = std::move(groups)});
    return zone;
}

void addGroups(Fleet &fleet)
{
    for (const char *group : {"group-0", "group-1"}) {
        const std::string name(group);
        fleet.addGroup(GroupId(name), {.members_ = {MemberId(name + "-0"), MemberId(name + "-1"), MemberId(name + "-2")}});
    }
}

TEST(StatusSaysWhatIsWrong, NothingWhenAllIsWell)
{
    const ZoneReport zone = reportOf({healthyGroup("ledger", "tyres")});
    EXPECT_THAT(renderStatus({zone}, 2000), HasSubstr("Nothing is wrong"));
    EXPECT_THAT(renderStatus({zone}, 2000), HasSubstr("zone zone-0, reported 10 s ago"));
    EXPECT_TRUE(impairedServices({zone}).empty());
}

TEST(StatusSaysWhatIsWrong, SinceWhenAndWhatToDo)
{
    GroupReport group = healthyGroup("ledger", "tyres");
    group.primary_.reset();
    group.primarySince_ = 1988;
    group.members_[0].reachable_ = false;
    const std::string text = renderStatus({reportOf({group})}, 2000);
    EXPECT_THAT(text, HasSubstr("group ledger of service tyres: no primary for 12 s"));
    EXPECT_THAT(text, HasSubstr("member ledger-0 cannot be reached"));
    EXPECT_THAT(text, HasSubstr("Start it, or mark it as leaving"));
}

TEST(StatusSaysWhatIsWrong, ServicesThatDependOnAnImpairedOneAreImpaired)
{
    GroupReport group = healthyGroup("ledger", "tyres");
    group.primary_.reset();
    ZoneReport zone = reportOf({group, healthyGroup("yard", "dispatch"), healthyGroup("other", "other")});
    zone.dependencies_ = {{ServiceId("dispatch"), {ServiceId("tyres")}}, {ServiceId("planning"), {ServiceId("dispatch")}}};
    EXPECT_THAT(impairedServices({zone}), ElementsAre(ServiceId("dispatch"), ServiceId("planning"), ServiceId("tyres")));
}

TEST(StatusSaysWhatIsWrong, ReportsSurviveTheirEncoding)
{
    const ZoneReport zone = reportOf({healthyGroup("ledger", "tyres")});
    const absl::StatusOr<ZoneReport> read = decodeZoneReport(encodeZoneReport(zone));
    ASSERT_TRUE(read.ok());
    EXPECT_EQ(read->vms_, zone.vms_);
    EXPECT_FALSE(decodeZoneReport("{\"zone\": 3}").ok());
}

TEST(StatusSaysWhatIsWrong, OneObjectForEachZoneWithAllItsVms)
{
    Fleet fleet({.vms_ = 8, .seed_ = 61});
    addGroups(fleet);
    fleet.apply(configurationText(2, 1));
    fleet.run(seconds(30));
    std::size_t vms = 0;
    std::size_t groups = 0;
    for (unsigned zone = 0; zone < 3; ++zone) {
        const absl::StatusOr<ZoneReport> report = decodeZoneReport(fleet.platform().objects().at(statusPath(zoneName(zone))).value_);
        ASSERT_TRUE(report.ok());
        vms += report->vms_.size();
        for (const VmReport &vm : report->vms_) {
            EXPECT_EQ(vm.version_, ConfigVersion(1));
            groups += vm.groups_.size();
        }
    }
    EXPECT_EQ(vms, 8U);
    EXPECT_EQ(groups, 2U);
}

TEST(StatusSaysWhatIsWrong, WritesNothingWhileNothingChanges)
{
    Fleet fleet({.vms_ = 8, .seed_ = 62});
    addGroups(fleet);
    fleet.apply(configurationText(2, 1));
    fleet.run(seconds(30));
    const std::uint64_t before = fleet.platform().counts().puts_;
    fleet.run(seconds(300));
    // Each of the three zones rewrites its report once or twice in five minutes to show that it is alive.
    EXPECT_LE(fleet.platform().counts().puts_ - before, 6U);
}

} // namespace
} // namespace Figward::Testing
