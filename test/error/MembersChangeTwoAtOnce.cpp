// An operator replaces a member of a group in one step. A write may be acknowledged by a and c, and after the change a new primary be chosen by b and d, which
// never saw it: the caller would lose what it was told is done. The apply is refused with the group's name, and the version in force stays.
#include "ConfigurationApply.h"
#include "MemberChanges.h"
#include "support/Fleet.h"

#include <gtest/gtest.h>

using namespace Figward;

namespace {

ApplyResult apply(Standin::PlatformModel &platform, const std::string &text, AttemptId attempt)
{
    ConfigurationApply applying = startApply(text, std::nullopt, attempt);
    ApplyStep step = stepApply(applying, std::nullopt);
    while (!step.result_) {
        platform.call(Standin::PlatformTag(1), *step.call_, Time());
        step = stepApply(applying, platform.takeReplies(Time()).front().answer_);
    }
    return *step.result_;
}

/** The text with the last member of the first group under another name: another database. */
std::string withReplacedMember(std::string text)
{
    const std::string end = R"(-2", "zone")";
    return text.replace(text.find(end), end.size(), R"(-9", "zone")");
}

} // namespace

TEST(MembersChangeTwoAtOnce, applyIsRefused)
{
    Standin::PlatformModel platform({}, 1);
    const std::string text = Figward::Testing::configurationText(2, 1);
    ASSERT_EQ(apply(platform, text, AttemptId(1)).outcome_, ApplyOutcome::Accepted);
    const ApplyResult refused = apply(platform, withReplacedMember(text), AttemptId(2));
    EXPECT_EQ(refused.outcome_, ApplyOutcome::UnsafeChange);
    EXPECT_EQ(refused.groups_.size(), 1U);
    EXPECT_EQ(apply(platform, text, AttemptId(3)).outcome_, ApplyOutcome::Unchanged);
}

TEST(MembersChangeTwoAtOnce, oneMoreOrOneLessIsSafe)
{
    const Configuration former = *checkConfiguration(Figward::Testing::configurationText(1, 1)).configuration_;
    Configuration more = former;
    more.groups_.begin()->second.members_.push_back({MemberId("new"), ZoneId("zone-0"), "10.9.9.9:5432", false});
    EXPECT_TRUE(unsafeMemberChanges(former, more).empty());
    EXPECT_TRUE(unsafeMemberChanges(more, former).empty());
    Configuration moved = former;
    moved.groups_.begin()->second.members_.front().address_ = "10.9.9.8:5432";
    EXPECT_EQ(unsafeMemberChanges(former, moved).size(), 1U);
}
