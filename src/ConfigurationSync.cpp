#include "ConfigurationSync.h"

#include "ProxyState.h"

namespace Figward {

void startConfigurationSync(ProxyState & /*state*/, Time /*now*/, Effects & /*out*/)
{
}

void onConfigurationTimer(ProxyState & /*state*/, const TimerTag & /*tag*/, Time /*now*/, Effects & /*out*/)
{
}

void onConfigurationAnswer(ProxyState & /*state*/, const OutstandingCall & /*call*/, const PlatformAnswer & /*answer*/, Time /*now*/, Effects & /*out*/)
{
}

void onPeerVersion(ProxyState & /*state*/, const PeerMessage & /*message*/, Time /*now*/, Effects & /*out*/)
{
}

void onManifestRequest(ProxyState & /*state*/, const PeerMessage & /*message*/, Time /*now*/, Effects & /*out*/)
{
}

void onManifestNews(ProxyState & /*state*/, const PeerMessage & /*message*/, const ManifestNews & /*news*/, Time /*now*/, Effects & /*out*/)
{
}

void onPartsRequest(ProxyState & /*state*/, const PeerMessage & /*message*/, const PartsRequest & /*request*/, Time /*now*/, Effects & /*out*/)
{
}

void onPartsNews(ProxyState & /*state*/, const PeerMessage & /*message*/, const PartsNews & /*news*/, Time /*now*/, Effects & /*out*/)
{
}

void adoptConfiguration(ProxyState &state, Configuration configuration, Time now, Effects &out)
{
    if (configuration.version_ <= state.configuration_.version_) {
        return;
    }
    state.configuration_ = std::move(configuration);
    out.push_back(WriteLog{LogNumber::ConfigurationInForce, {{"version", std::to_string(state.configuration_.version_.value())}}});
    refreshOwnership(state, now, out);
}

} // namespace Figward
