// An operator replaces one member of a group by another in a single step, which removes one member and adds one. A write may have been acknowledged by
// members a and c; after members a, b, c become a, b, d, a new primary may be chosen by b and d, which do not have the write, and it would be lost.
// The apply must be refused with the group's name, and the accepted version must stay.
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

/** Returns \p text with the last member of the first group renamed, which makes it a different database. */
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
    const Configuration previous = *checkConfiguration(Figward::Testing::configurationText(1, 1)).configuration_;
    Configuration more = previous;
    more.groups_.begin()->second.members_.push_back({MemberId("new"), ZoneId("zone-0"), "10.9.9.9:5432", false});
    EXPECT_TRUE(unsafeMemberChanges(previous, more).empty());
    EXPECT_TRUE(unsafeMemberChanges(more, previous).empty());
    Configuration moved = previous;
    moved.groups_.begin()->second.members_.front().address_ = "10.9.9.8:5432";
    EXPECT_EQ(unsafeMemberChanges(previous, moved).size(), 1U);
}
