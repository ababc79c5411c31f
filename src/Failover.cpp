#include "Failover.h"

#include "ProxyState.h"

namespace Figward {

void startFailover(ProxyState & /*state*/, GroupOwner & /*owner*/, Time /*now*/, Effects & /*out*/)
{
}

void reviewPrimary(ProxyState & /*state*/, GroupOwner & /*owner*/, Time /*now*/, Effects & /*out*/)
{
}

void onFailoverTimer(ProxyState & /*state*/, const TimerTag & /*tag*/, Time /*now*/, Effects & /*out*/)
{
}

void onGroupRecordAnswer(ProxyState & /*state*/, const OutstandingCall & /*call*/, const PlatformAnswer & /*answer*/, Time /*now*/, Effects & /*out*/)
{
}

void onSuspicionQuery(ProxyState & /*state*/, const PeerMessage & /*message*/, const SuspicionQuery & /*query*/, Time /*now*/, Effects & /*out*/)
{
}

void onSuspicionAnswer(ProxyState & /*state*/, const PeerMessage & /*message*/, const SuspicionAnswer & /*answer*/, Time /*now*/, Effects & /*out*/)
{
}

void onPrimaryNews(ProxyState & /*state*/, const PeerMessage & /*message*/, const PrimaryNews & /*news*/, Time /*now*/, Effects & /*out*/)
{
}

void onTermHandover(ProxyState & /*state*/, const PeerMessage & /*message*/, const TermHandover & /*handover*/, Time /*now*/, Effects & /*out*/)
{
}

} // namespace Figward
