#include "ConfigurationApply.h"

#include "MemberChanges.h"

#include <algorithm>
#include <set>

namespace Figward {

namespace {

using Stage = ConfigurationApply::Stage;

constexpr Duration callTimeout = std::chrono::seconds(2);
constexpr Duration firstPause = std::chrono::milliseconds(200);
constexpr unsigned maxTries = 6; // With doubling pauses about 6 s besides the timeouts: an operator waits.
constexpr std::size_t keptAttempts = 16;

ApplyStep finish(ApplyOutcome outcome, ConfigVersion version)
{
    return {.result_ = ApplyResult{outcome, version}};
}

ApplyStep call(ConfigurationApply &apply, Stage stage, PlatformBody body)
{
    const Duration delay = apply.tries_ == 0 ? Duration(0) : firstPause * (1U << (apply.tries_ - 1));
    apply.stage_ = stage;
    return {.call_ = PlatformCall{CallId(apply.nextCall_++), callTimeout, std::move(body)}, .delay_ = delay};
}

ApplyStep giveUp(const ConfigurationApply &apply)
{
    return finish(apply.mayHaveTakenEffect_ ? ApplyOutcome::Unknown : ApplyOutcome::Unavailable, ConfigVersion());
}

ApplyStep writePart(ConfigurationApply &apply)
{
    const std::string &text = apply.missing_.front().text_;
    return call(apply, Stage::WritePart, PutObject{partPath(contentHash(text)), ObjectVersion(), text});
}

ApplyStep checkPart(ConfigurationApply &apply)
{
    return call(apply, Stage::CheckPart, GetObject{partPath(contentHash(apply.missing_.front().text_))});
}

ApplyStep writeManifest(ConfigurationApply &apply)
{
    return call(apply, Stage::WriteManifest, PutObject{manifestPath(), apply.replaces_, encodeManifest(apply.next_)});
}

ApplyStep readManifest(ConfigurationApply &apply, Stage stage)
{
    return call(apply, stage, GetObject{manifestPath()});
}

ApplyStep writeNext(ConfigurationApply &apply)
{
    apply.tries_ = 0;
    return apply.missing_.empty() ? writeManifest(apply) : writePart(apply);
}

ApplyStep readFormerPart(ConfigurationApply &apply)
{
    return call(apply, Stage::ReadFormerPart, GetObject{partPath(apply.unread_.front().hash_)});
}

/** Goes on once the whole present configuration is known: refuses member changes that could lose writes, or begins to write. */
ApplyStep compareMembers(ConfigurationApply &apply)
{
    if (!apply.unread_.empty()) {
        apply.tries_ = 0;
        return readFormerPart(apply);
    }
    const CheckedConfiguration former = checkConfiguration(joinConfiguration(apply.former_));
    const CheckedConfiguration next = checkConfiguration(joinConfiguration(apply.parts_));
    if (former.configuration_ && next.configuration_) {
        std::vector<GroupId> unsafe = unsafeMemberChanges(*former.configuration_, *next.configuration_);
        if (!unsafe.empty()) {
            return {.result_ = ApplyResult{ApplyOutcome::UnsafeChange, ConfigVersion(apply.next_.version_.value() - 1), std::move(unsafe)}};
        }
    }
    return writeNext(apply);
}

bool isMissing(PlatformStatus status)
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

/** Notes which parts of the \p present configuration are known from the new one, and which must be read. */
void planComparison(ConfigurationApply &apply, const Manifest &present)
{
    for (const ManifestPart &part : present.parts_) {
        const auto same = [&](const ConfigurationPart &p) { return p.name_ == part.name_ && contentHash(p.text_) == part.hash_; };
        const auto known = std::ranges::find_if(apply.parts_, same);
        if (known == apply.parts_.end()) {
            apply.unread_.push_back(part);
        } else {
            apply.former_.push_back(*known);
        }
    }
}

/** Plans the update that replaces \p present. */
void planUpdate(ConfigurationApply &apply, const Manifest &present, ObjectVersion replaces)
{
    apply.replaces_ = replaces;
    apply.next_ = {ConfigVersion(present.version_.value() + 1), apply.attempt_, present.earlierAttempts_, referencesOf(apply.parts_)};
    auto &earlier = apply.next_.earlierAttempts_;
    earlier.insert(earlier.begin(), present.attempt_);
    earlier.resize(std::min(earlier.size(), keptAttempts));
    std::set<std::string> known;
    for (const ManifestPart &part : present.parts_) {
        known.insert(part.hash_);
    }
    for (const ConfigurationPart &part : apply.parts_) {
        if (!known.contains(contentHash(part.text_))) {
            apply.missing_.push_back(part);
        }
    }
}

ApplyStep takeFirstManifest(ConfigurationApply &apply, const PlatformAnswer &answer)
{
    if (isMissing(answer.status_)) {
        return ++apply.tries_ < maxTries ? readManifest(apply, Stage::ReadManifest) : giveUp(apply);
    }
    Manifest present;
    if (answer.status_ == PlatformStatus::Ok) {
        const absl::StatusOr<Manifest> decoded = decodeManifest(answer.value_);
        if (!decoded.ok()) {
            return finish(ApplyOutcome::Damaged, ConfigVersion());
        }
        present = *decoded;
    }
    if (apply.expected_ && *apply.expected_ != present.version_) {
        return finish(ApplyOutcome::Conflict, present.version_);
    }
    if (answer.status_ == PlatformStatus::Ok && present.parts_ == referencesOf(apply.parts_)) {
        return finish(ApplyOutcome::Unchanged, present.version_);
    }
    planUpdate(apply, present, answer.status_ == PlatformStatus::Ok ? answer.version_ : ObjectVersion());
    planComparison(apply, present);
    return compareMembers(apply);
}

ApplyStep takeFormerPart(ConfigurationApply &apply, const PlatformAnswer &answer)
{
    if (isMissing(answer.status_)) {
        return ++apply.tries_ < maxTries ? readFormerPart(apply) : giveUp(apply);
    }
    if (answer.status_ != PlatformStatus::Ok) {
        return finish(ApplyOutcome::Damaged, ConfigVersion());
    }
    apply.former_.push_back({apply.unread_.front().name_, answer.value_});
    apply.unread_.pop_front();
    return compareMembers(apply);
}

ApplyStep takeWrittenPart(ConfigurationApply &apply, const PlatformAnswer &answer)
{
    switch (answer.status_) {
    case PlatformStatus::Ok:
    case PlatformStatus::Conflict: // It is there already: its name is the hash of its content.
        apply.missing_.pop_front();
        return writeNext(apply);
    case PlatformStatus::Lost:
        return ++apply.tries_ < maxTries ? checkPart(apply) : giveUp(apply);
    default:
        return ++apply.tries_ < maxTries ? writePart(apply) : giveUp(apply);
    }
}

ApplyStep takeCheckedPart(ConfigurationApply &apply, const PlatformAnswer &answer)
{
    if (answer.status_ == PlatformStatus::Ok) {
        apply.missing_.pop_front();
        return writeNext(apply);
    }
    if (answer.status_ == PlatformStatus::NotFound) {
        return writePart(apply);
    }
    return ++apply.tries_ < maxTries ? checkPart(apply) : giveUp(apply);
}

ApplyStep takeWrittenManifest(ConfigurationApply &apply, const PlatformAnswer &answer)
{
    switch (answer.status_) {
    case PlatformStatus::Ok:
        return finish(ApplyOutcome::Accepted, apply.next_.version_);
    case PlatformStatus::Unavailable:
        return ++apply.tries_ < maxTries ? writeManifest(apply) : giveUp(apply);
    case PlatformStatus::Lost:
        apply.mayHaveTakenEffect_ = true;
        ++apply.tries_;
        return readManifest(apply, Stage::CheckManifest);
    default:
        // A conflict may be with this very attempt, when an earlier update took effect after its answer was lost.
        ++apply.tries_;
        return readManifest(apply, Stage::CheckManifest);
    }
}

ApplyStep takeCheckedManifest(ConfigurationApply &apply, const PlatformAnswer &answer)
{
    if (isMissing(answer.status_)) {
        return ++apply.tries_ < maxTries ? readManifest(apply, Stage::CheckManifest) : giveUp(apply);
    }
    const ObjectVersion present = answer.status_ == PlatformStatus::Ok ? answer.version_ : ObjectVersion();
    if (present == apply.replaces_) {
        // Not taken effect so far. It may still be under way, yet repeating it is safe: both ask for the same version, so that only one succeeds.
        return apply.tries_ < maxTries ? writeManifest(apply) : giveUp(apply);
    }
    const absl::StatusOr<Manifest> found = decodeManifest(answer.value_);
    if (!found.ok()) {
        return finish(ApplyOutcome::Damaged, ConfigVersion());
    }
    const auto &earlier = found->earlierAttempts_;
    const bool ours = found->attempt_ == apply.attempt_ || std::ranges::find(earlier, apply.attempt_) != earlier.end();
    return ours ? finish(ApplyOutcome::Accepted, apply.next_.version_) : finish(ApplyOutcome::Conflict, found->version_);
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
        return takeFirstManifest(apply, *answer);
    case Stage::ReadFormerPart:
        return takeFormerPart(apply, *answer);
    case Stage::WritePart:
        return takeWrittenPart(apply, *answer);
    case Stage::CheckPart:
        return takeCheckedPart(apply, *answer);
    case Stage::WriteManifest:
        return takeWrittenManifest(apply, *answer);
    case Stage::CheckManifest:
        return takeCheckedManifest(apply, *answer);
    }
    return giveUp(apply);
}

} // namespace Figward
