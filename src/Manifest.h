/** \file
 * Defines the manifest of a configuration: its version and the content hash of each part, committed to the platform by one conditional update.
 *
 * Parts are immutable objects named by their hash, so that a proxy fetches only those that it lacks and can check each against the manifest.
 */
#pragma once

#include "Ids.h"

#include <absl/status/statusor.h>
#include <string>
#include <string_view>
#include <vector>

namespace Figward {

/** One part of a configuration, by reference. */
struct ManifestPart
{
    std::string name_;
    std::string hash_; ///< contentHash() of its text.
    bool operator==(const ManifestPart &) const = default;
};

/** What a configuration consists of. */
struct Manifest
{
    ConfigVersion version_;
    AttemptId attempt_; ///< Of the apply that wrote it.
    std::vector<AttemptId> earlierAttempts_; ///< Of the versions before, newest first: an author finds itself there when it was superseded at once.
    std::vector<ManifestPart> parts_; ///< Ordered by name.
    bool operator==(const Manifest &) const = default;
};

/** Path of the manifest on the platform. */
std::string manifestPath();
/** Path of the part with content hash \p hash. */
std::string partPath(std::string_view hash);
/** XXH3 of 128 bits over \p text, as 32 hexadecimal digits. */
std::string contentHash(std::string_view text);

/** JSON text of \p manifest. */
std::string encodeManifest(const Manifest &manifest);
/** JSON text of what changed from \p base to \p manifest; at 690 services it is some 200 bytes in place of 45 KB. */
std::string encodeManifestSince(const Manifest &manifest, const Manifest &base);
/**
 * Reads what encodeManifest() or encodeManifestSince() wrote. InvalidArgument if \p text is neither; FailedPrecondition if it describes a change
 * from another version than that of \p base.
 */
absl::StatusOr<Manifest> decodeManifest(std::string_view text, const Manifest &base = {});

} // namespace Figward
