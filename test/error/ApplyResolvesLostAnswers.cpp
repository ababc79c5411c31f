// An operator applies a configuration and the platform's answer is lost, or another operator applies one at the same time. The update may have taken effect
// before its answer was lost; an unconditional retry would then report a conflict with itself or overwrite the other operator's update. The attempt id in
// the manifest identifies the author of an update, even after a later update has replaced it.

#include "ConfigurationApply.h"
#include "support/Fleet.h"

#include <gmock/gmock.h>

namespace Figward::Testing {
namespace {

constexpr AttemptId ours{41};
constexpr AttemptId theirs{42};

/** A platform that answers immediately and can be used by several operators in turn. */
class OperatorsPlatform
{
public:
    PlatformAnswer answer(const PlatformCall &call)
    {
        model_.call(Standin::PlatformTag(1), call, now_);
        return model_.takeReplies(now_).front().answer_;
    }

    /** Runs \p apply to its end. */
    ApplyResult finish(ConfigurationApply &apply, const std::optional<PlatformAnswer> &answered = std::nullopt)
    {
        ApplyStep step = stepApply(apply, answered);
        while (!step.result_) {
            step = stepApply(apply, answer(*step.call_));
        }
        return *step.result_;
    }

    /** Runs \p apply up to its update of the manifest, which is returned without being executed. */
    PlatformCall stepsUntilManifest(ConfigurationApply &apply)
    {
        ApplyStep step = stepApply(apply, std::nullopt);
        while (apply.stage_ != ConfigurationApply::Stage::WriteManifest) {
            step = stepApply(apply, answer(*step.call_));
        }
        return *step.call_;
    }

    Standin::PlatformModel model_{{}, 1};

private:
    Time now_;
};

PlatformAnswer lost(const PlatformCall &call)
{
    return {.id_ = call.id_, .status_ = PlatformStatus::Lost};
}

TEST(ApplyResolvesLostAnswers, TheUpdateTookEffect)
{
    OperatorsPlatform platform;
    ConfigurationApply apply = startApply(configurationText(2, 1), std::nullopt, ours);
    const PlatformCall update = platform.stepsUntilManifest(apply);
    platform.answer(update);
    const ApplyResult result = platform.finish(apply, lost(update));
    EXPECT_EQ(result.outcome_, ApplyOutcome::Accepted);
    EXPECT_EQ(result.version_, ConfigVersion(1));
}

TEST(ApplyResolvesLostAnswers, TheUpdateTookEffectAndWasReplacedSince)
{
    OperatorsPlatform platform;
    ConfigurationApply apply = startApply(configurationText(2, 1), std::nullopt, ours);
    const PlatformCall update = platform.stepsUntilManifest(apply);
    platform.answer(update);
    ConfigurationApply other = startApply(configurationText(2, 2), std::nullopt, theirs);
    EXPECT_EQ(platform.finish(other).version_, ConfigVersion(2));
    const ApplyResult result = platform.finish(apply, lost(update));
    EXPECT_EQ(result.outcome_, ApplyOutcome::Accepted);
    EXPECT_EQ(result.version_, ConfigVersion(1));
}

TEST(ApplyResolvesLostAnswers, TheUpdateTakesEffectLate)
{
    OperatorsPlatform platform;
    ConfigurationApply apply = startApply(configurationText(2, 1), std::nullopt, ours);
    const PlatformCall update = platform.stepsUntilManifest(apply);
    const ApplyStep readBack = stepApply(apply, lost(update));
    const ApplyStep again = stepApply(apply, platform.answer(*readBack.call_));
    ASSERT_EQ(apply.stage_, ConfigurationApply::Stage::WriteManifest);
    platform.answer(update); // The first update, delayed until now, arrives before the second.
    const ApplyResult result = platform.finish(apply, platform.answer(*again.call_));
    EXPECT_EQ(result.outcome_, ApplyOutcome::Accepted);
    EXPECT_EQ(result.version_, ConfigVersion(1));
    EXPECT_EQ(platform.model_.objects().at(manifestPath()).version_, ObjectVersion(1));
}

TEST(ApplyResolvesLostAnswers, AnotherOperatorWasFaster)
{
    OperatorsPlatform platform;
    ConfigurationApply apply = startApply(configurationText(2, 1), std::nullopt, ours);
    const PlatformCall update = platform.stepsUntilManifest(apply);
    ConfigurationApply other = startApply(configurationText(2, 2), std::nullopt, theirs);
    platform.finish(other);
    const ApplyResult result = platform.finish(apply, platform.answer(update));
    EXPECT_EQ(result.outcome_, ApplyOutcome::Conflict);
    EXPECT_EQ(result.version_, ConfigVersion(1));
    EXPECT_EQ(decodeManifest(platform.model_.objects().at(manifestPath()).value_)->attempt_, theirs);
}

TEST(ApplyResolvesLostAnswers, TheEditedVersionIsNoLongerTheLast)
{
    OperatorsPlatform platform;
    ConfigurationApply first = startApply(configurationText(2, 1), ConfigVersion(0), ours);
    EXPECT_EQ(platform.finish(first).outcome_, ApplyOutcome::Accepted);
    ConfigurationApply second = startApply(configurationText(2, 2), ConfigVersion(0), theirs);
    const ApplyResult result = platform.finish(second);
    EXPECT_EQ(result.outcome_, ApplyOutcome::Conflict);
    EXPECT_EQ(result.version_, ConfigVersion(1));
    ConfigurationApply same = startApply(configurationText(2, 1), std::nullopt, theirs);
    EXPECT_EQ(platform.finish(same).outcome_, ApplyOutcome::Unchanged);
}

TEST(ApplyResolvesLostAnswers, ThePlatformIsAway)
{
    OperatorsPlatform platform;
    platform.model_.setFaults({.down_ = true});
    ConfigurationApply apply = startApply(configurationText(2, 1), std::nullopt, ours);
    EXPECT_EQ(platform.finish(apply).outcome_, ApplyOutcome::Unavailable);
}

TEST(ApplyResolvesLostAnswers, ThePlatformFallsSilentAfterTheUpdate)
{
    OperatorsPlatform platform;
    ConfigurationApply apply = startApply(configurationText(2, 1), std::nullopt, ours);
    const PlatformCall update = platform.stepsUntilManifest(apply);
    platform.model_.setFaults({.down_ = true, .silent_ = true});
    EXPECT_EQ(platform.finish(apply, lost(update)).outcome_, ApplyOutcome::Unknown);
}

} // namespace
} // namespace Figward::Testing
