/** \file
 * Defines the fetching of one version of the configuration: manifest first, then the parts that are lacking, from one source after another.
 */
#pragma once

#include "Effect.h"
#include "Manifest.h"
#include "Platform.h"

#include <optional>
#include <string>

namespace Figward {

struct ProxyState;

/** Begins to fetch \p version from \p source (the platform if none), unless it is known, refused or being fetched. */
void learnVersion(ProxyState &state, ConfigVersion version, const std::optional<VmInfo> &source, Time now, Effects &out);
/** A manifest has arrived from \p source: fetches the parts that it names and that are lacking, or takes it into force. */
void takeManifest(ProxyState &state, const Manifest &manifest, const std::optional<VmInfo> &source, Time now, Effects &out);
/** Text of a part has arrived; it counts if its hash is one that is lacking. Returns whether it did. */
bool takePart(ProxyState &state, const std::string &text, Time now, Effects &out);
/** A portion of the parts has arrived: asks the same source for the next one. */
void continueFetch(ProxyState &state, Time now, Effects &out);
/** The try \p key has taken too long: asks elsewhere. */
void retryFetch(ProxyState &state, std::uint64_t key, Time now, Effects &out);

} // namespace Figward
