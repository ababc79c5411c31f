/** \file
 * Defines how an accepted configuration reaches every proxy. A proxy never returns to a lower version.
 *
 * A few VMs in each zone watch the manifest on the platform. All others learn of a new version from the version number in every message between proxies, and
 * fetch the manifest and the missing parts from the proxy that sent the message. If peers do not answer, they are fetched from the platform.
 */
#pragma once

#include "Configuration.h"
#include "Effect.h"
#include "Event.h"
#include "Manifest.h"
#include "TimerService.h"
#include "Units.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Figward {

struct ProxyState;
struct OutstandingCall;

/** State of fetching one version of the configuration. */
struct ConfigurationFetch
{
    ConfigVersion version_; ///< The version to fetch. If a manifest of a later version arrives, a fetch of that version replaces this one.
    std::optional<VmInfo> source_; ///< The peer to fetch from; empty for the platform.
    std::vector<VmInfo> alternatives_; ///< Other peers that reported the version.
    std::optional<Manifest> manifest_;
    std::map<std::string, std::string> parts_; ///< Parts fetched so far, by hash.
    std::set<std::string> missing_; ///< Hashes of the parts still to be fetched; set once the manifest is known.
    unsigned failedAttempts_ = 0; ///< Consecutive attempts without progress.
    std::uint64_t attemptKey_ = 0; ///< Timer key of the current attempt.
    Time attemptStartedAt_;
};

/** State of the configuration at this proxy. */
struct ConfigurationSyncState
{
    Manifest manifest_; ///< Manifest of the active version; its version is zero until the first one is active.
    /** Manifests of previously active versions, newest first. A peer that has one of them is sent only the changes since. */
    std::deque<Manifest> previousManifests_;
    std::map<std::string, std::string> parts_; ///< Texts of the active parts, by hash.
    std::optional<ConfigurationFetch> fetch_;
    ConfigVersion refusedVersion_; ///< The highest version that this proxy cannot use.
    std::string refusal_; ///< Why refusedVersion_ was refused.
    bool watching_ = false; ///< Whether a watch or a read of the manifest is pending.
    unsigned watchFailures_ = 0; ///< Consecutive failures.
    ObjectVersion watchedVersion_; ///< Last received version of the manifest's object.
    Time nextWatchAt_;
};

/** Reads the manifest from the platform and starts the periodic check of the watch. */
void startConfigurationSync(ProxyState &state, Time now, Effects &out);
/** Handles timers of TimerTopic::Configuration. */
void onConfigurationTimer(ProxyState &state, const TimerTag &tag, Time now, Effects &out);
/** Handles the platform's answer to a call of ConfigurationWatch or ConfigurationPart. */
void onConfigurationAnswer(ProxyState &state, const OutstandingCall &call, const PlatformAnswer &answer, Time now, Effects &out);
/** Handles the version active at the sender, which every message between proxies carries. */
void onPeerVersion(ProxyState &state, const PeerMessage &message, Time now, Effects &out);
void onManifestRequest(ProxyState &state, const PeerMessage &message, Time now, Effects &out);
void onManifestNews(ProxyState &state, const PeerMessage &message, const ManifestNews &news, Time now, Effects &out);
void onPartsRequest(ProxyState &state, const PeerMessage &message, const PartsRequest &request, Time now, Effects &out);
void onPartsNews(ProxyState &state, const PeerMessage &message, const PartsNews &news, Time now, Effects &out);
/** Activates \p configuration if its version is higher than the active one. */
void activateConfiguration(ProxyState &state, Configuration configuration, Time now, Effects &out);

} // namespace Figward
