#include "PrimaryAuthority.h"

#include <algorithm>

namespace Figward {

void renewAuthority(PrimaryAuthority &authority, std::uint64_t epoch, const MemberId &primary, Term term, Time askedAt)
{
    if (epoch < authority.epoch_ || primary == MemberId() || term < authority.highestTerm_) {
        return;
    }
    if (epoch > authority.epoch_ || authority.primary_ != primary) {
        authority = PrimaryAuthority{.epoch_ = epoch, .primary_ = primary, .term_ = term, .validUntil_ = {}, .highestTerm_ = authority.highestTerm_};
    }
    authority.term_ = std::max(authority.term_, term);
    authority.validUntil_ = std::max(authority.validUntil_, askedAt + authorityDuration);
}

void revokeAuthority(PrimaryAuthority &authority, std::uint64_t epoch)
{
    if (epoch > authority.epoch_) {
        authority = PrimaryAuthority{.epoch_ = epoch, .primary_ = {}, .term_ = authority.term_, .validUntil_ = {}, .highestTerm_ = authority.highestTerm_};
    }
}

void observeTerm(PrimaryAuthority &authority, Term term)
{
    authority.highestTerm_ = std::max(authority.highestTerm_, term);
    if (authority.term_ < authority.highestTerm_) {
        authority.validUntil_ = {};
    }
}

bool holdsAuthority(const PrimaryAuthority &authority, const MemberId &member, Time now)
{
    return authority.primary_ == member && holdsAuthority(authority, now);
}

bool holdsAuthority(const PrimaryAuthority &authority, Time now)
{
    return authority.primary_ != MemberId() && now < authority.validUntil_;
}

} // namespace Figward
