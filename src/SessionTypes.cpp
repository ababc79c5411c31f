#include "SessionTypes.h"

namespace Figward {

std::string toString(ReplyCode code)
{
    switch (code) {
    case ReplyCode::None:
        return "done";
    case ReplyCode::Retry:
        return "retry";
    case ReplyCode::Aborted:
        return "aborted";
    case ReplyCode::Lagging:
        return "lagging";
    case ReplyCode::ReadOnly:
        return "read-only";
    case ReplyCode::Misrouted:
        return "misrouted";
    case ReplyCode::TooMany:
        return "too-many-connections";
    case ReplyCode::NoStatement:
        return "no-such-statement";
    case ReplyCode::Failed:
        return "failed";
    case ReplyCode::Timeout:
        return "timeout";
    case ReplyCode::InDoubt:
        return "in-doubt";
    case ReplyCode::NoDatabase:
        return "no-such-database";
    case ReplyCode::NotAuthenticated:
        return "not-authenticated";
    case ReplyCode::Malformed:
        return "malformed";
    case ReplyCode::Other:
        return "other";
    }
    return "other";
}

} // namespace Figward
