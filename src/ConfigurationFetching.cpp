#include "ConfigurationFetching.h"

#include "ConfigurationText.h"
#include "Gossip.h"
#include "ProxyState.h"

#include <algorithm>

namespace Figward {

namespace {

constexpr Duration fetchTimeout = std::chrono::seconds(1);
constexpr Duration firstPatience = std::chrono::milliseconds(250);
constexpr Duration longestPatience = std::chrono::seconds(4);
constexpr unsigned maxTries = 16;
constexpr unsigned platformEvery = 3; // Each third try goes to the platform: peers come first, and the platform may be away.
constexpr std::size_t maxAlternatives = 4;
constexpr std::size_t partsAtOnce = 32; // A proxy that starts needs all parts; it takes them in portions that fit one message.
constexpr std::size_t keptManifests = 8;
constexpr std::size_t shownProblems = 3;

void askForManifest(ProxyState &state, const ConfigurationFetch &fetch, Effects &out)
{
    if (fetch.source_) {
        sendPeer(state, *fetch.source_, ManifestRequest{}, out);
        return;
    }
    callPlatform(state, PlatformUser::ConfigurationPart, GetObject{manifestPath()}, fetchTimeout, out, {}, {});
}

void askForParts(ProxyState &state, const ConfigurationFetch &fetch, Effects &out)
{
    std::vector<std::string> hashes;
    for (const std::string &hash : fetch.missing_) {
        if (hashes.size() == partsAtOnce) {
            break;
        }
        hashes.push_back(hash);
    }
    if (fetch.source_) {
        sendPeer(state, *fetch.source_, PartsRequest{std::move(hashes)}, out);
        return;
    }
    for (const std::string &hash : hashes) {
        callPlatform(state, PlatformUser::ConfigurationPart, GetObject{partPath(hash)}, fetchTimeout, out, {}, hash);
    }
}

void ask(ProxyState &state, Time now, Effects &out)
{
    ConfigurationFetch &fetch = *state.sync_.fetch_;
    fetch.key_ = takeId(state);
    fetch.askedAt_ = now;
    const Duration patience = std::min(longestPatience, firstPatience * (1U << std::min(fetch.tries_, 4U)));
    state.timers_.arm(now + jittered(state, patience), {TimerTopic::Configuration, {}, fetch.key_});
    if (fetch.manifest_) {
        askForParts(state, fetch, out);
    } else {
        askForManifest(state, fetch, out);
    }
}

void chooseOtherSource(ProxyState &state, ConfigurationFetch &fetch)
{
    if (fetch.tries_ % platformEvery == 0) {
        fetch.source_.reset();
        return;
    }
    if (!fetch.others_.empty()) {
        fetch.source_ = fetch.others_.back();
        fetch.others_.pop_back();
        return;
    }
    const std::vector<VmInfo> targets = gossipTargets(state, 2);
    fetch.source_ = targets.empty() ? std::nullopt : std::optional(targets.back());
}

const std::string *findText(const ConfigurationSyncState &sync, const std::string &hash)
{
    const auto inForce = sync.parts_.find(hash);
    if (inForce != sync.parts_.end()) {
        return &inForce->second;
    }
    const auto fetched = sync.fetch_->parts_.find(hash);
    return fetched == sync.fetch_->parts_.end() ? nullptr : &fetched->second;
}

/** The first few problems: enough to see what is wrong, short enough for a log line and the status. */
std::string describe(const std::vector<TextProblem> &problems)
{
    std::string text;
    for (std::size_t i = 0; i < std::min(problems.size(), shownProblems); ++i) {
        text += (i == 0 ? "" : "; ") + problems[i].pointer_ + ": " + problems[i].detail_;
    }
    return text;
}

/** The configuration is refused as a whole: half of a configuration would be one that no operator wrote. */
void refuseConfiguration(ProxyState &state, ConfigVersion version, std::string reason, Effects &out)
{
    state.sync_.refused_ = version;
    state.sync_.refusal_ = std::move(reason);
    state.sync_.fetch_.reset();
    out.push_back(WriteLog{LogNumber::ConfigurationRefused, {{"version", std::to_string(version.value())}, {"reason", state.sync_.refusal_}}});
}

void keepManifest(ConfigurationSyncState &sync, Manifest manifest, std::map<std::string, std::string> parts)
{
    if (sync.manifest_.version_ != ConfigVersion()) {
        sync.earlier_.push_front(std::move(sync.manifest_));
        sync.earlier_.resize(std::min(sync.earlier_.size(), keptManifests));
    }
    sync.manifest_ = std::move(manifest);
    sync.parts_ = std::move(parts);
    sync.fetch_.reset();
}

/** All parts are here: checks the whole and takes it into force. */
void takeIntoForce(ProxyState &state, Time now, Effects &out)
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
    keepManifest(state.sync_, manifest, std::move(texts));
    adoptConfiguration(state, std::move(*checked.configuration_), now, out);
}

void noteAlternative(ConfigurationFetch &fetch, const std::optional<VmInfo> &source)
{
    if (!source || fetch.others_.size() >= maxAlternatives) {
        return;
    }
    const bool known = std::ranges::find(fetch.others_, source->id_, &VmInfo::id_) != fetch.others_.end();
    const bool asked = fetch.source_ && fetch.source_->id_ == source->id_;
    if (!known && !asked) {
        fetch.others_.push_back(*source);
    }
}

/**
 * A fetch that was left without answers pauses between its tries, seconds in the end. A peer that is heard to have the version can be reached: it is asked at
 * once, or a zone that was cut off would come to the version seconds after the cut has healed.
 */
void hurryFetch(ProxyState &state, ConfigVersion version, const std::optional<VmInfo> &source, Time now, Effects &out)
{
    ConfigurationFetch &fetch = *state.sync_.fetch_;
    const bool struggling = fetch.tries_ > 0 && now >= fetch.askedAt_ + firstPatience;
    if (struggling && source && version == fetch.version_) {
        fetch.source_ = source;
        ask(state, now, out);
    }
}

bool isNews(const ProxyState &state, ConfigVersion version)
{
    return version > state.configuration_.version_ && version > state.sync_.refused_;
}

/** The present fetch, or a new one that keeps the parts fetched for an earlier version. */
ConfigurationFetch &fetchFor(ConfigurationSyncState &sync, ConfigVersion version, const std::optional<VmInfo> &source)
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

void learnVersion(ProxyState &state, ConfigVersion version, const std::optional<VmInfo> &source, Time now, Effects &out)
{
    if (!isNews(state, version)) {
        return;
    }
    if (state.sync_.fetch_ && state.sync_.fetch_->version_ >= version) {
        noteAlternative(*state.sync_.fetch_, source);
        hurryFetch(state, version, source, now, out);
        return;
    }
    fetchFor(state.sync_, version, source);
    ask(state, now, out);
}

void takeManifest(ProxyState &state, const Manifest &manifest, const std::optional<VmInfo> &source, Time now, Effects &out)
{
    const bool older = state.sync_.fetch_ && manifest.version_ < state.sync_.fetch_->version_;
    if (!isNews(state, manifest.version_) || older) {
        return;
    }
    ConfigurationFetch &fetch = fetchFor(state.sync_, manifest.version_, source);
    if (fetch.manifest_) {
        noteAlternative(fetch, source);
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
        takeIntoForce(state, now, out);
        return;
    }
    fetch.tries_ = 0;
    ask(state, now, out);
}

bool takePart(ProxyState &state, const std::string &text, Time now, Effects &out)
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
    fetch.tries_ = 0;
    if (fetch.missing_.empty()) {
        takeIntoForce(state, now, out);
    }
    return true;
}

void continueFetch(ProxyState &state, Time now, Effects &out)
{
    if (state.sync_.fetch_ && state.sync_.fetch_->manifest_) {
        ask(state, now, out);
    }
}

void retryFetch(ProxyState &state, std::uint64_t key, Time now, Effects &out)
{
    if (!state.sync_.fetch_ || state.sync_.fetch_->key_ != key) {
        return;
    }
    ConfigurationFetch &fetch = *state.sync_.fetch_;
    if (++fetch.tries_ > maxTries) {
        // Whoever has the version names it again in its next message.
        state.sync_.fetch_.reset();
        return;
    }
    chooseOtherSource(state, fetch);
    ask(state, now, out);
}

} // namespace Figward
