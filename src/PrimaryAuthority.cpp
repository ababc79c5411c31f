#include "PrimaryAuthority.h"

#include <algorithm>

namespace Figward {

void renewAuthority(PrimaryAuthority &authority, std::uint64_t epoch, const MemberId &primary, Term term, Time askedAt)
{
    if (epoch < authority.epoch_ || primary == MemberId() || term < authority.seen_) {
        return;
    }
    if (epoch > authority.epoch_ || authority.primary_ != primary) {
        authority = PrimaryAuthority{.epoch_ = epoch, .primary_ = primary, .term_ = term, .validUntil_ = {}, .seen_ = authority.seen_};
    }
    authority.term_ = std::max(authority.term_, term);
    authority.validUntil_ = std::max(authority.validUntil_, askedAt + authorityTime);
}

void revokeAuthority(PrimaryAuthority &authority, std::uint64_t epoch)
{
    if (epoch > authority.epoch_) {
        authority = PrimaryAuthority{.epoch_ = epoch, .primary_ = {}, .term_ = authority.term_, .validUntil_ = {}, .seen_ = authority.seen_};
    }
}

void noteTerm(PrimaryAuthority &authority, Term term)
{
    authority.seen_ = std::max(authority.seen_, term);
    if (authority.term_ < authority.seen_) {
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
