#include "Status.h"

#include "ProxyState.h"

namespace Figward {

void startStatus(ProxyState & /*state*/, Time /*now*/, Effects & /*out*/)
{
}

void onStatusTimer(ProxyState & /*state*/, const TimerTag & /*tag*/, Time /*now*/, Effects & /*out*/)
{
}

void onStatusNews(ProxyState & /*state*/, const PeerMessage & /*message*/, const StatusNews & /*news*/, Time /*now*/, Effects & /*out*/)
{
}

void onStatusAnswer(ProxyState & /*state*/, const PlatformAnswer & /*answer*/, Time /*now*/, Effects & /*out*/)
{
}

} // namespace Figward
