#include "ConfigurationSync.h"

#include "ConfigurationFetching.h"
#include "Gossip.h"
#include "Ownership.h"
#include "ProxyState.h"
#include "Rendezvous.h"

#include <algorithm>

namespace Figward {

namespace {

constexpr std::uint64_t watchCheckKey = 0; // The keys of fetch attempts are never zero.
constexpr Duration watchCheckInterval = std::chrono::seconds(1);
// Long, because a watch that ends without a change returns the whole manifest: 45 KB at 690 services.
constexpr Duration watchTimeout = std::chrono::minutes(1);
constexpr Duration firstReadTimeout = std::chrono::seconds(2);
constexpr Duration minWatchDelay = std::chrono::milliseconds(500);
constexpr Duration maxWatchDelay = std::chrono::seconds(8);
constexpr Duration peerSilenceLimit = std::chrono::seconds(10); // If no peer has sent a message for this long, the manifest is read from the platform.

/** Whether this VM is one of those in its zone that watch the manifest. They are chosen by rendezvous hashing, like the owners of a group. */
bool isWatcher(const ProxyState &state)
{
    const VmInfo &self = state.identity_.self_;
    std::vector<VmInfo> zone;
    std::ranges::copy_if(state.membership_.vms_, std::back_inserter(zone), [&](const VmInfo &vm) { return vm.zone_ == self.zone_; });
    const GroupId watch(manifestPath());
    const std::vector<VmInfo> watchers = rendezvousOwners(watch, zone, state.membership_.tuning_.watchersPerZone_);
    return std::ranges::find(watchers, self.id_, &VmInfo::id_) != watchers.end();
}

void watch(ProxyState &state, Effects &out)
{
    state.sync_.watching_ = true;
    callPlatform(state, PlatformRequester::ConfigurationWatch, WatchObject{manifestPath(), state.sync_.watchedVersion_}, watchTimeout, out);
}

void readOnce(ProxyState &state, Effects &out)
{
    state.sync_.watching_ = true;
    callPlatform(state, PlatformRequester::ConfigurationWatch, GetObject{manifestPath()}, firstReadTimeout, out);
}

void renewWatch(ProxyState &state, Time now, Effects &out)
{
    ConfigurationSyncState &sync = state.sync_;
    if (sync.watching_ || now < sync.nextWatchAt_) {
        return;
    }
    const bool cutOff = now - state.membership_.lastPeerMessageAt_ > peerSilenceLimit;
    if (isWatcher(state)) {
        watch(state, out);
    } else if (cutOff) {
        sync.nextWatchAt_ = now + jittered(state, peerSilenceLimit);
        readOnce(state, out);
    }
}

/** Handles the manifest in an answer of the platform, if the answer contains a new one. */
void onWatchedManifest(ProxyState &state, const PlatformAnswer &answer, Time now, Effects &out)
{
    if (answer.status_ != PlatformStatus::Ok || answer.version_ <= state.sync_.watchedVersion_) {
        return;
    }
    const absl::StatusOr<Manifest> manifest = decodeManifest(answer.value_);
    if (!manifest.ok()) {
        out.push_back(WriteLog{LogNumber::ConfigurationRefused, {{"reason", std::string(manifest.status().message())}}});
        return;
    }
    state.sync_.watchedVersion_ = answer.version_;
    onManifestFetched(state, *manifest, std::nullopt, now, out);
}

void onWatchAnswer(ProxyState &state, const PlatformAnswer &answer, Time now, Effects &out)
{
    ConfigurationSyncState &sync = state.sync_;
    sync.watching_ = false;
    const bool changed = answer.status_ == PlatformStatus::Ok && answer.version_ > sync.watchedVersion_;
    onWatchedManifest(state, answer, now, out);
    if (changed) {
        sync.watchFailures_ = 0;
        renewWatch(state, now, out);
        return;
    }
    // Even after a successful answer without a change the next watch is delayed: otherwise a platform that ends watches early would be called continuously.
    const bool failed = answer.status_ != PlatformStatus::Ok;
    sync.watchFailures_ = failed ? sync.watchFailures_ + 1 : 0;
    const Duration delay = std::min(maxWatchDelay, minWatchDelay * (1U << std::min(sync.watchFailures_, 4U)));
    sync.nextWatchAt_ = now + jittered(state, delay);
}

void onPartAnswer(ProxyState &state, const OutstandingCall &call, const PlatformAnswer &answer, Time now, Effects &out)
{
    if (answer.status_ != PlatformStatus::Ok) {
        return; // The timer of the fetch retries with another source.
    }
    const bool isManifest = call.detail_.empty();
    if (!isManifest) {
        const bool progress = onPartFetched(state, answer.value_, now, out);
        const auto isFetch = [](const auto &entry) { return entry.second.requester_ == PlatformRequester::ConfigurationPart; };
        if (progress && std::ranges::none_of(state.platform_.outstanding_, isFetch)) {
            continueFetch(state, now, out);
        }
        return;
    }
    const absl::StatusOr<Manifest> manifest = decodeManifest(answer.value_);
    if (manifest.ok()) {
        onManifestFetched(state, *manifest, std::nullopt, now, out);
    }
}

VmInfo senderOf(const PeerMessage &message)
{
    return {.id_ = message.from_, .address_ = message.fromAddress_};
}

/** Returns the manifest of \p version if it is the active or a stored previous one, and an empty one otherwise. */
Manifest knownManifest(const ConfigurationSyncState &sync, ConfigVersion version)
{
    if (sync.manifest_.version_ == version) {
        return sync.manifest_;
    }
    const auto previous = std::ranges::find(sync.previousManifests_, version, &Manifest::version_);
    return previous == sync.previousManifests_.end() ? Manifest() : *previous;
}

} // namespace

void startConfigurationSync(ProxyState &state, Time now, Effects &out)
{
    state.membership_.lastPeerMessageAt_ = now;
    readOnce(state, out);
    state.timers_.arm(now + jittered(state, watchCheckInterval), {TimerTopic::Configuration, {}, watchCheckKey});
}

void onConfigurationTimer(ProxyState &state, const TimerTag &tag, Time now, Effects &out)
{
    if (tag.key_ != watchCheckKey) {
        retryFetch(state, tag.key_, now, out);
        return;
    }
    renewWatch(state, now, out);
    state.timers_.arm(now + jittered(state, watchCheckInterval), {TimerTopic::Configuration, {}, watchCheckKey});
}

void onConfigurationAnswer(ProxyState &state, const OutstandingCall &call, const PlatformAnswer &answer, Time now, Effects &out)
{
    if (call.requester_ == PlatformRequester::ConfigurationWatch) {
        onWatchAnswer(state, answer, now, out);
    } else {
        onPartAnswer(state, call, answer, now, out);
    }
}

void onPeerVersion(ProxyState &state, const PeerMessage &message, Time now, Effects &out)
{
    state.membership_.lastPeerMessageAt_ = now;
    fetchIfNewer(state, message.configVersion_, senderOf(message), now, out);
}

void onManifestRequest(ProxyState &state, const PeerMessage &message, Time /*now*/, Effects &out)
{
    const Manifest &manifest = state.sync_.manifest_;
    if (manifest.version_ <= message.configVersion_) {
        return;
    }
    const Manifest base = knownManifest(state.sync_, message.configVersion_);
    const bool known = base.version_ != ConfigVersion();
    sendPeer(state, senderOf(message), ManifestNews{manifest.version_, known ? encodeManifestSince(manifest, base) : encodeManifest(manifest)}, out);
}

void onManifestNews(ProxyState &state, const PeerMessage &message, const ManifestNews &news, Time now, Effects &out)
{
    const absl::StatusOr<Manifest> manifest = decodeManifest(news.manifest_, state.sync_.manifest_);
    if (manifest.ok() && manifest->version_ == news.version_) {
        onManifestFetched(state, *manifest, senderOf(message), now, out);
    }
}

void onPartsRequest(ProxyState &state, const PeerMessage &message, const PartsRequest &request, Time /*now*/, Effects &out)
{
    PartsNews news;
    for (const std::string &hash : request.hashes_) {
        const auto part = state.sync_.parts_.find(hash);
        if (part != state.sync_.parts_.end()) {
            news.parts_.push_back(part->second);
        }
    }
    if (!news.parts_.empty()) {
        sendPeer(state, senderOf(message), std::move(news), out);
    }
}

void onPartsNews(ProxyState &state, const PeerMessage & /*message*/, const PartsNews &news, Time now, Effects &out)
{
    bool progress = false;
    for (const std::string &text : news.parts_) {
        progress = onPartFetched(state, text, now, out) || progress;
    }
    if (progress) {
        continueFetch(state, now, out);
    }
}

void activateConfiguration(ProxyState &state, Configuration configuration, Time now, Effects &out)
{
    if (configuration.version_ <= state.configuration_.version_) {
        return;
    }
    if (configuration.policy_.ownersPerGroup_ != state.configuration_.policy_.ownersPerGroup_) {
        state.membership_.owners_.clear();
    }
    state.configuration_ = std::move(configuration);
    out.push_back(WriteLog{LogNumber::ConfigurationInForce, {{"version", std::to_string(state.configuration_.version_.value())}}});
    refreshOwnership(state, now, out);
    gossipUpdate(state, makeHeartbeat(state), out);
}

} // namespace Figward
