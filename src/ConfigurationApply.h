/** \file
 * Defines how an operator's configuration is committed to the platform: first the missing parts are written, then the manifest by one conditional update.
 *
 * This code performs no I/O: the program that uses it makes the platform call returned by each step and passes the answer to the next step.
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

/** Outcome of an apply. */
enum class ApplyOutcome {
    Accepted, ///< The configuration was accepted under the version in the result; a later version may already have replaced it.
    Unchanged, ///< The version in the result already has this content; nothing was written.
    Conflict, ///< The accepted version is not the expected one; nothing was changed.
    Unavailable, ///< The platform was unreachable; it is certain that nothing was changed.
    Unknown, ///< The answer was lost and the outcome is not known. It is safe to apply again: an unexpected version is reported as Conflict.
    UnsafeChange, ///< Some groups would change more than one member in one step; nothing was changed. See unsafeMemberChanges().
    Damaged, ///< The platform holds a manifest that cannot be read.
};

/** Result of an apply. */
struct ApplyResult
{
    ApplyOutcome outcome_ = ApplyOutcome::Unknown;
    ConfigVersion version_; ///< The accepted version; for Conflict, the version found instead of the expected one.
    std::vector<GroupId> groups_; ///< For UnsafeChange: the groups whose change is unsafe.
};

/** The next action: either a platform call or the result. */
struct ApplyStep
{
    std::optional<PlatformCall> call_;
    Duration delay_{}; ///< Delay before the call.
    std::optional<ApplyResult> result_;
};

/** State of an apply in progress. */
struct ConfigurationApply
{
    /** Purpose of the last call. */
    enum class Stage {
        ReadManifest,
        ReadCurrentPart,
        WritePart,
        CheckPart,
        WriteManifest,
        CheckManifest,
    };

    std::vector<ConfigurationPart> parts_;
    std::optional<ConfigVersion> expected_; ///< The version that the operator edited, if specified.
    AttemptId attempt_;
    Stage stage_ = Stage::ReadManifest;
    std::deque<ManifestPart> partsToRead_; ///< Parts of the current configuration still to be read for the comparison of members; the first is being read.
    std::vector<ConfigurationPart> currentParts_; ///< Parts of the current configuration known so far.
    std::deque<ConfigurationPart> partsToWrite_; ///< Parts still to be written; the first is being written.
    Manifest newManifest_; ///< The manifest to write; set once the current manifest is known.
    ObjectVersion replacedVersion_; ///< Version of the manifest's object that newManifest_ replaces.
    unsigned failedAttempts_ = 0; ///< Failed calls in the current stage.
    bool mayHaveTakenEffect_ = false; ///< Whether an update of the manifest was sent and its answer lost.
    std::uint64_t nextCall_ = 1;
};

/** Starts to apply \p text, which checkConfiguration() must have accepted. \p attempt must be random: it identifies this apply after a lost answer. */
ConfigurationApply startApply(std::string_view text, std::optional<ConfigVersion> expected, AttemptId attempt);
/** Returns the next step. \p answer is the answer to the call of the previous step; empty for the first step. */
ApplyStep stepApply(ConfigurationApply &apply, const std::optional<PlatformAnswer> &answer);

} // namespace Figward
