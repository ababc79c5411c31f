#include "SessionLookup.h"

#include "ProxyState.h"

namespace Figward {

namespace {

template<typename Map, typename Key>
auto *findIn(Map &map, const Key &key)
{
    const auto found = map.find(key);
    return found == map.end() ? nullptr : &found->second;
}

} // namespace

SessionGroup *findGroup(ProxyState &state, const ServiceId &group)
{
    return findIn(state.sessions_->groups_, group);
}

MemberState *findMember(ProxyState &state, const MemberId &member)
{
    return findIn(state.sessions_->members_, member);
}

MemberConnection *findConnection(ProxyState &state, ConnectionId connection)
{
    return findIn(state.sessions_->connections_, connection);
}

ClientSession *findSession(ProxyState &state, SessionKey key)
{
    if (ClientSession *session = findIn(state.sessions_->sessions_, key)) {
        return session;
    }
    ReceivedRead *read = findIn(state.sessions_->forwarding_.received_, key);
    return read == nullptr ? nullptr : &read->session_;
}

} // namespace Figward
