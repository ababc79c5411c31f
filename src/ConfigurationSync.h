/** \file
 * Defines how an accepted configuration reaches every proxy, and never goes back.
 *
 * A few VMs a zone watch the manifest on the platform. All others learn of a version by the number that rides on every message between proxies, and fetch
 * the manifest and the parts that they lack from the proxy that they heard it from. The platform is asked when peers do not help.
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

/** A configuration that is being fetched. */
struct ConfigurationFetch
{
    ConfigVersion version_; ///< The one heard of; what arrives may be later.
    std::optional<VmInfo> source_; ///< The peer that is asked, or the platform.
    std::vector<VmInfo> others_; ///< Peers that also have it.
    std::optional<Manifest> manifest_;
    std::map<std::string, std::string> parts_; ///< Fetched so far, by hash.
    std::set<std::string> missing_; ///< Hashes to be fetched, once the manifest is known.
    unsigned tries_ = 0; ///< Without progress.
    std::uint64_t key_ = 0; ///< Of the present try, for its timer.
    Time askedAt_; ///< When the present try began.
};

/** What this proxy has of the configuration. */
struct ConfigurationSyncState
{
    Manifest manifest_; ///< Of the version in force; its version is zero before the first.
    std::deque<Manifest> earlier_; ///< Of the versions in force before, newest first: peers that have one are told only what changed.
    std::map<std::string, std::string> parts_; ///< Texts of the parts in force, by hash.
    std::optional<ConfigurationFetch> fetch_;
    ConfigVersion refused_; ///< The highest version that cannot be used here.
    std::string refusal_; ///< Why.
    bool watching_ = false; ///< A watch, or the first read, is under way.
    unsigned watchFailures_ = 0; ///< In a row.
    ObjectVersion watched_; ///< Version of the manifest's object that was seen last.
    Time watchAgainAt_;
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
