#include "Quota.h"

#include "ProxyState.h"

namespace Figward {

namespace {

/** The part of \p total that falls to \p rank among \p count owners; the first ranks take what does not divide. */
std::uint32_t partOf(std::uint32_t total, unsigned rank, unsigned count)
{
    const std::uint32_t extra = rank < total % count ? 1 : 0;
    return total / count + extra;
}

} // namespace

Quota usableQuota(const GroupOwner &owner, Time /*now*/)
{
    return owner.quota_.own_;
}

void resetQuota(GroupOwner &owner, unsigned ownerCount)
{
    owner.quota_.own_.connections_ = ConnectionCount(partOf(owner.config_.connectionLimit_.value(), owner.rank_, ownerCount));
    owner.quota_.own_.slots_ = SlotCount(partOf(owner.config_.slots_.value(), owner.rank_, ownerCount));
}

void onQuotaShort(ProxyState & /*state*/, GroupOwner & /*owner*/, Time /*now*/, Effects & /*out*/)
{
}

void onQuotaRequest(ProxyState & /*state*/, const PeerMessage & /*message*/, const QuotaRequest & /*request*/, Time /*now*/, Effects & /*out*/)
{
}

void onQuotaLoan(ProxyState & /*state*/, const PeerMessage & /*message*/, const QuotaLoan & /*loan*/, Time /*now*/, Effects & /*out*/)
{
}

void onQuotaReturn(ProxyState & /*state*/, const PeerMessage & /*message*/, const QuotaReturn & /*returned*/, Time /*now*/, Effects & /*out*/)
{
}

void onQuotaTimer(ProxyState & /*state*/, const TimerTag & /*tag*/, Time /*now*/, Effects & /*out*/)
{
}

} // namespace Figward
