#include "ConfigurationApply.h"

#include "MemberChanges.h"

#include <algorithm>
#include <set>

namespace Figward {

namespace {

using Stage = ConfigurationApply::Stage;

constexpr Duration callTimeout = std::chrono::seconds(2);
constexpr Duration firstRetryDelay = std::chrono::milliseconds(200);
constexpr unsigned maxAttempts = 6; // With doubling delays about 6 s in total, not counting timeouts: an operator is waiting for the result.
constexpr std::size_t maxEarlierAttempts = 16;

ApplyStep finish(ApplyOutcome outcome, ConfigVersion version)
{
    return {.result_ = ApplyResult{outcome, version}};
}

ApplyStep call(ConfigurationApply &apply, Stage stage, PlatformBody body)
{
    const Duration delay = apply.failedAttempts_ == 0 ? Duration(0) : firstRetryDelay * (1U << (apply.failedAttempts_ - 1));
    apply.stage_ = stage;
    return {.call_ = PlatformCall{CallId(apply.nextCall_++), callTimeout, std::move(body)}, .delay_ = delay};
}

ApplyStep giveUp(const ConfigurationApply &apply)
{
    return finish(apply.mayHaveTakenEffect_ ? ApplyOutcome::Unknown : ApplyOutcome::Unavailable, ConfigVersion());
}

ApplyStep writePart(ConfigurationApply &apply)
{
    const std::string &text = apply.partsToWrite_.front().text_;
    return call(apply, Stage::WritePart, PutObject{partPath(contentHash(text)), ObjectVersion(), text});
}

ApplyStep checkPart(ConfigurationApply &apply)
{
    return call(apply, Stage::CheckPart, GetObject{partPath(contentHash(apply.partsToWrite_.front().text_))});
}

ApplyStep writeManifest(ConfigurationApply &apply)
{
    return call(apply, Stage::WriteManifest, PutObject{manifestPath(), apply.replacedVersion_, encodeManifest(apply.newManifest_)});
}

ApplyStep readManifest(ConfigurationApply &apply, Stage stage)
{
    return call(apply, stage, GetObject{manifestPath()});
}

ApplyStep writeNext(ConfigurationApply &apply)
{
    apply.failedAttempts_ = 0;
    return apply.partsToWrite_.empty() ? writeManifest(apply) : writePart(apply);
}

ApplyStep readCurrentPart(ConfigurationApply &apply)
{
    return call(apply, Stage::ReadCurrentPart, GetObject{partPath(apply.partsToRead_.front().hash_)});
}

/** Reads the next part of the current configuration. Once all are known, refuses member changes that could lose writes, or begins to write. */
ApplyStep compareMembers(ConfigurationApply &apply)
{
    if (!apply.partsToRead_.empty()) {
        apply.failedAttempts_ = 0;
        return readCurrentPart(apply);
    }
    const CheckedConfiguration currentConfiguration = checkConfiguration(joinConfiguration(apply.currentParts_));
    const CheckedConfiguration newConfiguration = checkConfiguration(joinConfiguration(apply.parts_));
    if (currentConfiguration.configuration_ && newConfiguration.configuration_) {
        std::vector<GroupId> unsafe = unsafeMemberChanges(*currentConfiguration.configuration_, *newConfiguration.configuration_);
        if (!unsafe.empty()) {
            return {.result_ = ApplyResult{ApplyOutcome::UnsafeChange, ConfigVersion(apply.newManifest_.version_.value() - 1), std::move(unsafe)}};
        }
    }
    return writeNext(apply);
}

bool callFailed(PlatformStatus status)
{
    return status == PlatformStatus::Unavailable || status == PlatformStatus::Lost;
}

std::vector<ManifestPart> referencesOf(const std::vector<ConfigurationPart> &parts)
{
    std::vector<ManifestPart> references;
    references.reserve(parts.size());
    for (const ConfigurationPart &part : parts) {
        references.push_back({part.name_, contentHash(part.text_)});
    }
    std::ranges::sort(references, {}, &ManifestPart::name_);
    return references;
}

/** Determines which parts of the \p current configuration are known because the new one contains them too, and which must be read. */
void planComparison(ConfigurationApply &apply, const Manifest &current)
{
    for (const ManifestPart &part : current.parts_) {
        const auto same = [&](const ConfigurationPart &p) { return p.name_ == part.name_ && contentHash(p.text_) == part.hash_; };
        const auto known = std::ranges::find_if(apply.parts_, same);
        if (known == apply.parts_.end()) {
            apply.partsToRead_.push_back(part);
        } else {
            apply.currentParts_.push_back(*known);
        }
    }
}

/** Prepares the update that replaces \p current. */
void planUpdate(ConfigurationApply &apply, const Manifest &current, ObjectVersion replaces)
{
    apply.replacedVersion_ = replaces;
    apply.newManifest_ = {ConfigVersion(current.version_.value() + 1), apply.attempt_, current.earlierAttempts_, referencesOf(apply.parts_)};
    auto &earlier = apply.newManifest_.earlierAttempts_;
    earlier.insert(earlier.begin(), current.attempt_);
    earlier.resize(std::min(earlier.size(), maxEarlierAttempts));
    std::set<std::string> known;
    for (const ManifestPart &part : current.parts_) {
        known.insert(part.hash_);
    }
    for (const ConfigurationPart &part : apply.parts_) {
        if (!known.contains(contentHash(part.text_))) {
            apply.partsToWrite_.push_back(part);
        }
    }
}

ApplyStep onManifestRead(ConfigurationApply &apply, const PlatformAnswer &answer)
{
    if (callFailed(answer.status_)) {
        return ++apply.failedAttempts_ < maxAttempts ? readManifest(apply, Stage::ReadManifest) : giveUp(apply);
    }
    Manifest current;
    if (answer.status_ == PlatformStatus::Ok) {
        const absl::StatusOr<Manifest> decoded = decodeManifest(answer.value_);
        if (!decoded.ok()) {
            return finish(ApplyOutcome::Damaged, ConfigVersion());
        }
        current = *decoded;
    }
    if (apply.expected_ && *apply.expected_ != current.version_) {
        return finish(ApplyOutcome::Conflict, current.version_);
    }
    if (answer.status_ == PlatformStatus::Ok && current.parts_ == referencesOf(apply.parts_)) {
        return finish(ApplyOutcome::Unchanged, current.version_);
    }
    planUpdate(apply, current, answer.status_ == PlatformStatus::Ok ? answer.version_ : ObjectVersion());
    planComparison(apply, current);
    return compareMembers(apply);
}

ApplyStep onCurrentPartRead(ConfigurationApply &apply, const PlatformAnswer &answer)
{
    if (callFailed(answer.status_)) {
        return ++apply.failedAttempts_ < maxAttempts ? readCurrentPart(apply) : giveUp(apply);
    }
    if (answer.status_ != PlatformStatus::Ok) {
        return finish(ApplyOutcome::Damaged, ConfigVersion());
    }
    apply.currentParts_.push_back({apply.partsToRead_.front().name_, answer.value_});
    apply.partsToRead_.pop_front();
    return compareMembers(apply);
}

ApplyStep onPartWritten(ConfigurationApply &apply, const PlatformAnswer &answer)
{
    switch (answer.status_) {
    case PlatformStatus::Ok:
    case PlatformStatus::Conflict: // The part already exists: its name is the hash of its content.
        apply.partsToWrite_.pop_front();
        return writeNext(apply);
    case PlatformStatus::Lost:
        return ++apply.failedAttempts_ < maxAttempts ? checkPart(apply) : giveUp(apply);
    default:
        return ++apply.failedAttempts_ < maxAttempts ? writePart(apply) : giveUp(apply);
    }
}

ApplyStep onPartChecked(ConfigurationApply &apply, const PlatformAnswer &answer)
{
    if (answer.status_ == PlatformStatus::Ok) {
        apply.partsToWrite_.pop_front();
        return writeNext(apply);
    }
    if (answer.status_ == PlatformStatus::NotFound) {
        return writePart(apply);
    }
    return ++apply.failedAttempts_ < maxAttempts ? checkPart(apply) : giveUp(apply);
}

ApplyStep onManifestWritten(ConfigurationApply &apply, const PlatformAnswer &answer)
{
    switch (answer.status_) {
    case PlatformStatus::Ok:
        return finish(ApplyOutcome::Accepted, apply.newManifest_.version_);
    case PlatformStatus::Unavailable:
        return ++apply.failedAttempts_ < maxAttempts ? writeManifest(apply) : giveUp(apply);
    case PlatformStatus::Lost:
        apply.mayHaveTakenEffect_ = true;
        ++apply.failedAttempts_;
        return readManifest(apply, Stage::CheckManifest);
    default:
        // The conflict may be with this attempt itself: an earlier update may have taken effect after its answer was lost.
        ++apply.failedAttempts_;
        return readManifest(apply, Stage::CheckManifest);
    }
}

ApplyStep onManifestChecked(ConfigurationApply &apply, const PlatformAnswer &answer)
{
    if (callFailed(answer.status_)) {
        return ++apply.failedAttempts_ < maxAttempts ? readManifest(apply, Stage::CheckManifest) : giveUp(apply);
    }
    const ObjectVersion foundVersion = answer.status_ == PlatformStatus::Ok ? answer.version_ : ObjectVersion();
    if (foundVersion == apply.replacedVersion_) {
        // The update has not taken effect yet and may still be in flight. Repeating it is safe: both updates expect the same version, so only one can succeed.
        return apply.failedAttempts_ < maxAttempts ? writeManifest(apply) : giveUp(apply);
    }
    const absl::StatusOr<Manifest> found = decodeManifest(answer.value_);
    if (!found.ok()) {
        return finish(ApplyOutcome::Damaged, ConfigVersion());
    }
    const auto &earlier = found->earlierAttempts_;
    const bool ours = found->attempt_ == apply.attempt_ || std::ranges::find(earlier, apply.attempt_) != earlier.end();
    return ours ? finish(ApplyOutcome::Accepted, apply.newManifest_.version_) : finish(ApplyOutcome::Conflict, found->version_);
}

} // namespace

ConfigurationApply startApply(std::string_view text, std::optional<ConfigVersion> expected, AttemptId attempt)
{
    ConfigurationApply apply;
    apply.parts_ = splitConfiguration(text);
    apply.expected_ = expected;
    apply.attempt_ = attempt;
    return apply;
}

ApplyStep stepApply(ConfigurationApply &apply, const std::optional<PlatformAnswer> &answer)
{
    if (!answer) {
        return readManifest(apply, Stage::ReadManifest);
    }
    switch (apply.stage_) {
    case Stage::ReadManifest:
        return onManifestRead(apply, *answer);
    case Stage::ReadCurrentPart:
        return onCurrentPartRead(apply, *answer);
    case Stage::WritePart:
        return onPartWritten(apply, *answer);
    case Stage::CheckPart:
        return onPartChecked(apply, *answer);
    case Stage::WriteManifest:
        return onManifestWritten(apply, *answer);
    case Stage::CheckManifest:
        return onManifestChecked(apply, *answer);
    }
    return giveUp(apply);
}

} // namespace Figward
