/** \file
 * Defines how an accepted configuration reaches every proxy, and never goes back.
 */
#pragma once

#include "Configuration.h"
#include "Effect.h"
#include "Event.h"
#include "TimerService.h"
#include "Units.h"

#include <map>
#include <optional>
#include <string>

namespace Figward {

struct ProxyState;
struct OutstandingCall;

/** What this proxy has of the configuration. */
struct ConfigurationSyncState
{
    std::string manifest_; ///< As stored on the platform, of the version in force.
};

/** Begins to look for the configuration. */
void startConfigurationSync(ProxyState &state, Time now, Effects &out);
/** Subscriber of Configuration. */
void onConfigurationTimer(ProxyState &state, const TimerTag &tag, Time now, Effects &out);
/** The platform answered a call of ConfigurationWatch or ConfigurationPart. */
void onConfigurationAnswer(ProxyState &state, const OutstandingCall &call, const PlatformAnswer &answer, Time now, Effects &out);
/** Every message between proxies names the version in force at its sender. */
void onPeerVersion(ProxyState &state, const PeerMessage &message, Time now, Effects &out);
void onManifestRequest(ProxyState &state, const PeerMessage &message, Time now, Effects &out);
void onManifestNews(ProxyState &state, const PeerMessage &message, const ManifestNews &news, Time now, Effects &out);
void onPartsRequest(ProxyState &state, const PeerMessage &message, const PartsRequest &request, Time now, Effects &out);
void onPartsNews(ProxyState &state, const PeerMessage &message, const PartsNews &news, Time now, Effects &out);
/** Takes \p configuration into force if its version is higher than the present one. */
void adoptConfiguration(ProxyState &state, Configuration configuration, Time now, Effects &out);

} // namespace Figward
