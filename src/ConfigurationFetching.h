/** \file
 * Defines how one version of the configuration is fetched: first the manifest, then the missing parts. If a source does not answer, another one is used.
 */
#pragma once

#include "Effect.h"
#include "Manifest.h"
#include "Platform.h"

#include <optional>
#include <string>

namespace Figward {

struct ProxyState;

/** Starts to fetch \p version from \p source (the platform if empty), unless it is known, refused or already being fetched. */
void fetchIfNewer(ProxyState &state, ConfigVersion version, const std::optional<VmInfo> &source, Time now, Effects &out);
/** Handles a manifest received from \p source: fetches the parts that are missing, or activates the version if none is. */
void onManifestFetched(ProxyState &state, const Manifest &manifest, const std::optional<VmInfo> &source, Time now, Effects &out);
/** Handles the received text of a part. Returns whether its hash is that of a missing part; otherwise the text is ignored. */
bool onPartFetched(ProxyState &state, const std::string &text, Time now, Effects &out);
/** Requests the next batch of parts from the same source after a batch has arrived. */
void continueFetch(ProxyState &state, Time now, Effects &out);
/** Handles the timeout of attempt \p key: retries with another source. */
void retryFetch(ProxyState &state, std::uint64_t key, Time now, Effects &out);

} // namespace Figward
