#include "Ids.h"

#include <absl/strings/str_cat.h>

namespace Figward {

std::string toString(const SessionId &session)
{
    return absl::StrCat(session.startedSeconds_, "-", absl::Hex(session.nonce_));
}

std::string toString(const LogPoint &point)
{
    return absl::StrCat(point.term_.value(), "/", point.position_.value());
}

} // namespace Figward
