#include "ConfigurationSync.h"

#include "ConfigurationFetching.h"
#include "Gossip.h"
#include "Ownership.h"
#include "ProxyState.h"
#include "Rendezvous.h"

#include <algorithm>

namespace Figward {

namespace {

constexpr std::uint64_t reviewKey = 0; // Ids of fetches are never zero.
constexpr Duration reviewInterval = std::chrono::seconds(1);
constexpr Duration watchTimeout = std::chrono::minutes(1); // A watch that ends without news brings the whole manifest: 45 KB at 690 services.
constexpr Duration firstReadTimeout = std::chrono::seconds(2);
constexpr Duration firstPause = std::chrono::milliseconds(500);
constexpr Duration longestPause = std::chrono::seconds(8);
constexpr Duration silence = std::chrono::seconds(10); // Without a word from any peer for so long, the platform is asked.

/** The VMs of this zone that watch the manifest, chosen like the owners of a group. */
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
    callPlatform(state, PlatformUser::ConfigurationWatch, WatchObject{manifestPath(), state.sync_.watched_}, watchTimeout, out);
}

void readOnce(ProxyState &state, Effects &out)
{
    state.sync_.watching_ = true;
    callPlatform(state, PlatformUser::ConfigurationWatch, GetObject{manifestPath()}, firstReadTimeout, out);
}

void reviewWatch(ProxyState &state, Time now, Effects &out)
{
    ConfigurationSyncState &sync = state.sync_;
    if (sync.watching_ || now < sync.watchAgainAt_) {
        return;
    }
    const bool cutOff = now - state.membership_.heardAt_ > silence;
    if (isWatcher(state)) {
        watch(state, out);
    } else if (cutOff) {
        sync.watchAgainAt_ = now + jittered(state, silence);
        readOnce(state, out);
    }
}

/** Takes in the manifest as the platform has it now, if it is there. */
void takeWatched(ProxyState &state, const PlatformAnswer &answer, Time now, Effects &out)
{
    if (answer.status_ != PlatformStatus::Ok || answer.version_ <= state.sync_.watched_) {
        return;
    }
    const absl::StatusOr<Manifest> manifest = decodeManifest(answer.value_);
    if (!manifest.ok()) {
        out.push_back(WriteLog{LogNumber::ConfigurationRefused, {{"reason", std::string(manifest.status().message())}}});
        return;
    }
    state.sync_.watched_ = answer.version_;
    takeManifest(state, *manifest, std::nullopt, now, out);
}

void onWatchAnswer(ProxyState &state, const PlatformAnswer &answer, Time now, Effects &out)
{
    ConfigurationSyncState &sync = state.sync_;
    sync.watching_ = false;
    const bool news = answer.status_ == PlatformStatus::Ok && answer.version_ > sync.watched_;
    takeWatched(state, answer, now, out);
    if (news) {
        sync.watchFailures_ = 0;
        reviewWatch(state, now, out);
        return;
    }
    // Also an answer without news is no reason to ask at once: a store that ends watches early would be called without pause.
    const bool failed = answer.status_ != PlatformStatus::Ok;
    sync.watchFailures_ = failed ? sync.watchFailures_ + 1 : 0;
    const Duration pause = std::min(longestPause, firstPause * (1U << std::min(sync.watchFailures_, 4U)));
    sync.watchAgainAt_ = now + jittered(state, pause);
}

void onPartAnswer(ProxyState &state, const OutstandingCall &call, const PlatformAnswer &answer, Time now, Effects &out)
{
    if (answer.status_ != PlatformStatus::Ok) {
        return; // The fetch's own timer asks elsewhere.
    }
    const bool isManifest = call.detail_.empty();
    if (!isManifest) {
        const bool progress = takePart(state, answer.value_, now, out);
        const auto isFetch = [](const auto &entry) { return entry.second.user_ == PlatformUser::ConfigurationPart; };
        if (progress && std::ranges::none_of(state.platform_.outstanding_, isFetch)) {
            continueFetch(state, now, out);
        }
        return;
    }
    const absl::StatusOr<Manifest> manifest = decodeManifest(answer.value_);
    if (manifest.ok()) {
        takeManifest(state, *manifest, std::nullopt, now, out);
    }
}

VmInfo senderOf(const PeerMessage &message)
{
    return {.id_ = message.from_, .address_ = message.fromAddress_};
}

/** The manifest of one of the versions kept here, or an empty one. */
Manifest keptManifest(const ConfigurationSyncState &sync, ConfigVersion version)
{
    if (sync.manifest_.version_ == version) {
        return sync.manifest_;
    }
    const auto kept = std::ranges::find(sync.earlier_, version, &Manifest::version_);
    return kept == sync.earlier_.end() ? Manifest() : *kept;
}

} // namespace

void startConfigurationSync(ProxyState &state, Time now, Effects &out)
{
    state.membership_.heardAt_ = now;
    readOnce(state, out);
    state.timers_.arm(now + jittered(state, reviewInterval), {TimerTopic::Configuration, {}, reviewKey});
}

void onConfigurationTimer(ProxyState &state, const TimerTag &tag, Time now, Effects &out)
{
    if (tag.key_ != reviewKey) {
        retryFetch(state, tag.key_, now, out);
        return;
    }
    reviewWatch(state, now, out);
    state.timers_.arm(now + jittered(state, reviewInterval), {TimerTopic::Configuration, {}, reviewKey});
}

void onConfigurationAnswer(ProxyState &state, const OutstandingCall &call, const PlatformAnswer &answer, Time now, Effects &out)
{
    if (call.user_ == PlatformUser::ConfigurationWatch) {
        onWatchAnswer(state, answer, now, out);
    } else {
        onPartAnswer(state, call, answer, now, out);
    }
}

void onPeerVersion(ProxyState &state, const PeerMessage &message, Time now, Effects &out)
{
    state.membership_.heardAt_ = now;
    learnVersion(state, message.configVersion_, senderOf(message), now, out);
}

void onManifestRequest(ProxyState &state, const PeerMessage &message, Time /*now*/, Effects &out)
{
    const Manifest &manifest = state.sync_.manifest_;
    if (manifest.version_ <= message.configVersion_) {
        return;
    }
    const Manifest base = keptManifest(state.sync_, message.configVersion_);
    const bool known = base.version_ != ConfigVersion();
    sendPeer(state, senderOf(message), ManifestNews{manifest.version_, known ? encodeManifestSince(manifest, base) : encodeManifest(manifest)}, out);
}

void onManifestNews(ProxyState &state, const PeerMessage &message, const ManifestNews &news, Time now, Effects &out)
{
    const absl::StatusOr<Manifest> manifest = decodeManifest(news.manifest_, state.sync_.manifest_);
    if (manifest.ok() && manifest->version_ == news.version_) {
        takeManifest(state, *manifest, senderOf(message), now, out);
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
        progress = takePart(state, text, now, out) || progress;
    }
    if (progress) {
        continueFetch(state, now, out);
    }
}

void adoptConfiguration(ProxyState &state, Configuration configuration, Time now, Effects &out)
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
    spreadNews(state, ownHeartbeat(state), out);
}

} // namespace Figward
