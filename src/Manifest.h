/** \file
 * Defines the manifest of a configuration: its version and the content hash of each part. It is committed to the platform by a single conditional update.
 *
 * Parts are immutable objects named by their hash, so that a proxy fetches only the missing ones and can verify each against the manifest.
 */
#pragma once

#include "Ids.h"

#include <absl/status/statusor.h>
#include <string>
#include <string_view>
#include <vector>

namespace Figward {

/** Reference to one part of a configuration. */
struct ManifestPart
{
    std::string name_;
    std::string hash_; ///< contentHash() of its text.
    bool operator==(const ManifestPart &) const = default;
};

/** Version and parts of a configuration. */
struct Manifest
{
    ConfigVersion version_;
    AttemptId attempt_; ///< Id of the apply that wrote this manifest.
    /** Attempts of previous versions, newest first. An author whose version was replaced at once finds its attempt here. */
    std::vector<AttemptId> earlierAttempts_;
    std::vector<ManifestPart> parts_; ///< Ordered by name.
    bool operator==(const Manifest &) const = default;
};

/** Returns the path of the manifest on the platform. */
std::string manifestPath();
/** Returns the path on the platform of the part with content hash \p hash. */
std::string partPath(std::string_view hash);
/** Returns the 128-bit XXH3 hash of \p text as 32 hexadecimal digits. */
std::string contentHash(std::string_view text);

/** Returns \p manifest as JSON text. */
std::string encodeManifest(const Manifest &manifest);
/** Returns the changes from \p base to \p manifest as JSON text: at 690 services about 200 bytes instead of 45 KB. */
std::string encodeManifestSince(const Manifest &manifest, const Manifest &base);
/**
 * Decodes the output of encodeManifest() or encodeManifestSince(). Returns InvalidArgument if \p text is neither, and FailedPrecondition if it describes
 * changes relative to a version other than that of \p base.
 */
absl::StatusOr<Manifest> decodeManifest(std::string_view text, const Manifest &base = {});

} // namespace Figward
