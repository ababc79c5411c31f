#include "PlatformClient.h"

#include "ProxyState.h"

namespace Figward {

CallId callPlatform(ProxyState &state, PlatformRequester requester, PlatformBody body, Duration timeout, Effects &out, GroupId group, std::string detail)
{
    const CallId id(state.platform_.nextCall_++);
    state.platform_.outstanding_[id] = {requester, std::move(group), std::move(detail)};
    out.push_back(CallPlatform{{id, timeout, std::move(body)}});
    return id;
}

void onPlatformAnswered(ProxyState &state, const PlatformAnswer &answer, Time now, Effects &out)
{
    const auto found = state.platform_.outstanding_.find(answer.id_);
    if (found == state.platform_.outstanding_.end()) {
        return;
    }
    const OutstandingCall call = std::move(found->second);
    state.platform_.outstanding_.erase(found);
    switch (call.requester_) {
    case PlatformRequester::Membership:
        onVmListAnswer(state, answer, now, out);
        return;
    case PlatformRequester::ConfigurationWatch:
    case PlatformRequester::ConfigurationPart:
        onConfigurationAnswer(state, call, answer, now, out);
        return;
    case PlatformRequester::GroupRecord:
        onGroupRecordAnswer(state, call, answer, now, out);
        return;
    case PlatformRequester::Status:
        onStatusAnswer(state, answer, now, out);
        return;
    }
}

} // namespace Figward
