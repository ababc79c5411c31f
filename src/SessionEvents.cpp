#include "SessionEvents.h"

namespace Figward {

std::string_view toString(StoreResult result)
{
    switch (result) {
    case StoreResult::Done:
        return "done";
    case StoreResult::NotFound:
        return "not-found";
    case StoreResult::Conflict:
        return "conflict";
    case StoreResult::HistoryGone:
        return "history-gone";
    case StoreResult::Refused:
        return "refused";
    case StoreResult::Unreadable:
        return "unreadable";
    case StoreResult::Unknown:
        break;
    }
    return "unknown";
}

} // namespace Figward
