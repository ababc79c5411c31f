/** \file
 * Defines how an operator's configuration is committed to the platform: missing parts first, then one conditional update of the manifest.
 *
 * It does no I/O: the caller makes each platform call that a step asks for and passes its answer to the next step.
 */
#pragma once

#include "ConfigurationText.h"
#include "Manifest.h"
#include "Platform.h"

#include <absl/types/span.h>
#include <deque>
#include <optional>
#include <vector>

namespace Figward {

/** How an apply ended. */
enum class ApplyOutcome {
    Accepted, ///< The configuration has the version named; a later one may already have replaced it.
    Unchanged, ///< The version named already has this content; nothing was written.
    Conflict, ///< Another version than the one expected is accepted; nothing was changed.
    Unavailable, ///< The platform could not be reached; proved that nothing was changed.
    Unknown, ///< The answer was lost and could not be found out. Applying again is safe: it is told of a version that it did not expect.
    UnsafeChange, ///< Some groups would change more than one member at once; nothing was changed. See unsafeMemberChanges().
    Damaged, ///< The platform holds a manifest that cannot be read.
};

/** The end of an apply. */
struct ApplyResult
{
    ApplyOutcome outcome_ = ApplyOutcome::Unknown;
    ConfigVersion version_; ///< The version accepted; for Conflict, the other one.
    std::vector<GroupId> groups_; ///< For UnsafeChange: the groups.
};

/** What is to be done next: one of the two. */
struct ApplyStep
{
    std::optional<PlatformCall> call_;
    Duration delay_{}; ///< To wait before the call.
    std::optional<ApplyResult> result_;
};

/** An apply under way. */
struct ConfigurationApply
{
    /** What the last call was for. */
    enum class Stage {
        ReadManifest,
        ReadFormerPart,
        WritePart,
        CheckPart,
        WriteManifest,
        CheckManifest,
    };

    std::vector<ConfigurationPart> parts_;
    std::optional<ConfigVersion> expected_; ///< The version that the operator edited, if it was named.
    AttemptId attempt_;
    Stage stage_ = Stage::ReadManifest;
    std::deque<ManifestPart> unread_; ///< Parts of the present configuration still to be read, to compare members; the first one is under way.
    std::vector<ConfigurationPart> former_; ///< The present configuration, as far as it is known.
    std::deque<ConfigurationPart> missing_; ///< Still to be written; the first one is under way.
    Manifest next_; ///< What is written, once the present manifest is known.
    ObjectVersion replaces_; ///< Version of the manifest's object that next_ replaces.
    unsigned tries_ = 0; ///< Of the present stage.
    bool mayHaveTakenEffect_ = false; ///< An update of the manifest was sent and its answer lost.
    std::uint64_t nextCall_ = 1;
};

/** Begins to apply \p text, which checkConfiguration() has accepted. \p attempt must be random: it is how a lost answer is resolved. */
ConfigurationApply startApply(std::string_view text, std::optional<ConfigVersion> expected, AttemptId attempt);
/** The next step after \p answer; none for the first step. */
ApplyStep stepApply(ConfigurationApply &apply, const std::optional<PlatformAnswer> &answer);

} // namespace Figward
