#include "ConfigurationFetching.h"

#include "ConfigurationText.h"
#include "Gossip.h"
#include "ProxyState.h"

#include <algorithm>

namespace Figward {

namespace {

constexpr Duration fetchTimeout = std::chrono::seconds(1);
constexpr Duration minAttemptTimeout = std::chrono::milliseconds(250);
constexpr Duration maxAttemptTimeout = std::chrono::seconds(4);
constexpr unsigned maxFailedAttempts = 16;
constexpr unsigned platformAttemptInterval = 3; // Every third attempt goes to the platform. Peers come first, as the platform may be unavailable.
constexpr std::size_t maxAlternatives = 4;
constexpr std::size_t maxPartsPerRequest = 32; // A starting proxy needs all parts; it requests them in batches that fit into one message.
constexpr std::size_t maxPreviousManifests = 8;
constexpr std::size_t maxReportedProblems = 3;

void requestManifest(ProxyState &state, const ConfigurationFetch &fetch, Effects &out)
{
    if (fetch.source_) {
        sendPeer(state, *fetch.source_, ManifestRequest{}, out);
        return;
    }
    callPlatform(state, PlatformRequester::ConfigurationPart, GetObject{manifestPath()}, fetchTimeout, out, {}, {});
}

void requestParts(ProxyState &state, const ConfigurationFetch &fetch, Effects &out)
{
    std::vector<std::string> hashes;
    for (const std::string &hash : fetch.missing_) {
        if (hashes.size() == maxPartsPerRequest) {
            break;
        }
        hashes.push_back(hash);
    }
    if (fetch.source_) {
        sendPeer(state, *fetch.source_, PartsRequest{std::move(hashes)}, out);
        return;
    }
    for (const std::string &hash : hashes) {
        callPlatform(state, PlatformRequester::ConfigurationPart, GetObject{partPath(hash)}, fetchTimeout, out, {}, hash);
    }
}

void startAttempt(ProxyState &state, Time now, Effects &out)
{
    ConfigurationFetch &fetch = *state.sync_.fetch_;
    fetch.attemptKey_ = allocateId(state);
    fetch.attemptStartedAt_ = now;
    const Duration timeout = std::min(maxAttemptTimeout, minAttemptTimeout * (1U << std::min(fetch.failedAttempts_, 4U)));
    state.timers_.arm(now + jittered(state, timeout), {TimerTopic::Configuration, {}, fetch.attemptKey_});
    if (fetch.manifest_) {
        requestParts(state, fetch, out);
    } else {
        requestManifest(state, fetch, out);
    }
}

void chooseNextSource(ProxyState &state, ConfigurationFetch &fetch)
{
    if (fetch.failedAttempts_ % platformAttemptInterval == 0) {
        fetch.source_.reset();
        return;
    }
    if (!fetch.alternatives_.empty()) {
        fetch.source_ = fetch.alternatives_.back();
        fetch.alternatives_.pop_back();
        return;
    }
    const std::vector<VmInfo> targets = gossipTargets(state, 2);
    fetch.source_ = targets.empty() ? std::nullopt : std::optional(targets.back());
}

const std::string *findText(const ConfigurationSyncState &sync, const std::string &hash)
{
    const auto active = sync.parts_.find(hash);
    if (active != sync.parts_.end()) {
        return &active->second;
    }
    const auto fetched = sync.fetch_->parts_.find(hash);
    return fetched == sync.fetch_->parts_.end() ? nullptr : &fetched->second;
}

/** Returns the first few problems as text that is short enough for a log line and the status report. */
std::string describe(const std::vector<TextProblem> &problems)
{
    std::string text;
    for (std::size_t i = 0; i < std::min(problems.size(), maxReportedProblems); ++i) {
        text += (i == 0 ? "" : "; ") + problems[i].pointer_ + ": " + problems[i].detail_;
    }
    return text;
}

/** Refuses the configuration as a whole: applying only part of it would activate a configuration that no operator wrote. */
void refuseConfiguration(ProxyState &state, ConfigVersion version, std::string reason, Effects &out)
{
    state.sync_.refusedVersion_ = version;
    state.sync_.refusal_ = std::move(reason);
    state.sync_.fetch_.reset();
    out.push_back(WriteLog{LogNumber::ConfigurationRefused, {{"version", std::to_string(version.value())}, {"reason", state.sync_.refusal_}}});
}

void storeManifest(ConfigurationSyncState &sync, Manifest manifest, std::map<std::string, std::string> parts)
{
    if (sync.manifest_.version_ != ConfigVersion()) {
        sync.previousManifests_.push_front(std::move(sync.manifest_));
        sync.previousManifests_.resize(std::min(sync.previousManifests_.size(), maxPreviousManifests));
    }
    sync.manifest_ = std::move(manifest);
    sync.parts_ = std::move(parts);
    sync.fetch_.reset();
}

/** Checks and activates the fetched version; all its parts must be available. */
void activateFetched(ProxyState &state, Time now, Effects &out)
{
    const Manifest manifest = *state.sync_.fetch_->manifest_;
    std::vector<ConfigurationPart> parts;
    std::map<std::string, std::string> texts;
    for (const ManifestPart &part : manifest.parts_) {
        const std::string *text = findText(state.sync_, part.hash_);
        parts.push_back({part.name_, *text});
        texts[part.hash_] = *text;
    }
    CheckedConfiguration checked = checkConfiguration(joinConfiguration(parts));
    if (!checked.configuration_) {
        refuseConfiguration(state, manifest.version_, describe(checked.problems_), out);
        return;
    }
    checked.configuration_->version_ = manifest.version_;
    storeManifest(state.sync_, manifest, std::move(texts));
    activateConfiguration(state, std::move(*checked.configuration_), now, out);
}

void addAlternative(ConfigurationFetch &fetch, const std::optional<VmInfo> &source)
{
    if (!source || fetch.alternatives_.size() >= maxAlternatives) {
        return;
    }
    const bool known = std::ranges::find(fetch.alternatives_, source->id_, &VmInfo::id_) != fetch.alternatives_.end();
    const bool asked = fetch.source_ && fetch.source_->id_ == source->id_;
    if (!known && !asked) {
        fetch.alternatives_.push_back(*source);
    }
}

/**
 * Retries an unanswered fetch at once when a peer reports the version. Such a fetch waits longer and longer between attempts, in the end several seconds, but
 * a peer that has just sent a message is reachable. Without this, a zone that was cut off would get the version only seconds after connectivity returns.
 */
void retryWithReachablePeer(ProxyState &state, ConfigVersion version, const std::optional<VmInfo> &source, Time now, Effects &out)
{
    ConfigurationFetch &fetch = *state.sync_.fetch_;
    const bool unanswered = fetch.failedAttempts_ > 0 && now >= fetch.attemptStartedAt_ + minAttemptTimeout;
    if (unanswered && source && version == fetch.version_) {
        fetch.source_ = source;
        startAttempt(state, now, out);
    }
}

bool isNewer(const ProxyState &state, ConfigVersion version)
{
    return version > state.configuration_.version_ && version > state.sync_.refusedVersion_;
}

/** Returns the current fetch, or starts a new one that keeps the parts already fetched for an earlier version. */
ConfigurationFetch &ensureFetch(ConfigurationSyncState &sync, ConfigVersion version, const std::optional<VmInfo> &source)
{
    if (!sync.fetch_ || sync.fetch_->version_ < version) {
        std::map<std::string, std::string> parts;
        if (sync.fetch_) {
            parts = std::move(sync.fetch_->parts_);
        }
        sync.fetch_ = ConfigurationFetch{.version_ = version, .source_ = source, .parts_ = std::move(parts)};
    }
    return *sync.fetch_;
}

} // namespace

void fetchIfNewer(ProxyState &state, ConfigVersion version, const std::optional<VmInfo> &source, Time now, Effects &out)
{
    if (!isNewer(state, version)) {
        return;
    }
    if (state.sync_.fetch_ && state.sync_.fetch_->version_ >= version) {
        addAlternative(*state.sync_.fetch_, source);
        retryWithReachablePeer(state, version, source, now, out);
        return;
    }
    ensureFetch(state.sync_, version, source);
    startAttempt(state, now, out);
}

void onManifestFetched(ProxyState &state, const Manifest &manifest, const std::optional<VmInfo> &source, Time now, Effects &out)
{
    const bool outdated = state.sync_.fetch_ && manifest.version_ < state.sync_.fetch_->version_;
    if (!isNewer(state, manifest.version_) || outdated) {
        return;
    }
    ConfigurationFetch &fetch = ensureFetch(state.sync_, manifest.version_, source);
    if (fetch.manifest_) {
        addAlternative(fetch, source);
        return;
    }
    fetch.source_ = source;
    fetch.manifest_ = manifest;
    for (const ManifestPart &part : manifest.parts_) {
        if (findText(state.sync_, part.hash_) == nullptr) {
            fetch.missing_.insert(part.hash_);
        }
    }
    if (fetch.missing_.empty()) {
        activateFetched(state, now, out);
        return;
    }
    fetch.failedAttempts_ = 0;
    startAttempt(state, now, out);
}

bool onPartFetched(ProxyState &state, const std::string &text, Time now, Effects &out)
{
    if (!state.sync_.fetch_) {
        return false;
    }
    ConfigurationFetch &fetch = *state.sync_.fetch_;
    std::string hash = contentHash(text);
    if (fetch.missing_.erase(hash) == 0) {
        return false;
    }
    fetch.parts_.emplace(std::move(hash), text);
    fetch.failedAttempts_ = 0;
    if (fetch.missing_.empty()) {
        activateFetched(state, now, out);
    }
    return true;
}

void continueFetch(ProxyState &state, Time now, Effects &out)
{
    if (state.sync_.fetch_ && state.sync_.fetch_->manifest_) {
        startAttempt(state, now, out);
    }
}

void retryFetch(ProxyState &state, std::uint64_t key, Time now, Effects &out)
{
    if (!state.sync_.fetch_ || state.sync_.fetch_->attemptKey_ != key) {
        return;
    }
    ConfigurationFetch &fetch = *state.sync_.fetch_;
    if (++fetch.failedAttempts_ > maxFailedAttempts) {
        // The fetch is given up. A peer that has the version reports it again in its next message, which starts a new fetch.
        state.sync_.fetch_.reset();
        return;
    }
    chooseNextSource(state, fetch);
    startAttempt(state, now, out);
}

} // namespace Figward
