/** \file
 * Defines a proxy whose environment is scripted by the test: it owns one group of three members, whose reports and answers the test sets.
 */
#pragma once

#include "Reducer.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Figward::Testing {

/** Proxy with one group "g" with members "a", "b", "c" in zones "z1" to "z3"; "a" is primary of term 1 at position 1. */
class ScriptedProxy
{
public:
    /** \p others are further VMs; with \p owns false this proxy owns no group and is only the entry of requests. */
    explicit ScriptedProxy(std::vector<VmInfo> others = {}, bool owns = true);

    /** Processes \p body at the current time. Probes, connection attempts and platform calls among the effects are answered at once, as reports_ states. */
    void feed(EventBody body);
    /** Advances the time by \p span and delivers every wake-up due in it. */
    void pass(Duration span);
    /** Submits a request as a caller and returns its id. */
    RequestId ask(Request request);
    /** Returns the answers given to \p id so far. */
    [[nodiscard]] std::vector<Answer> answersTo(RequestId id) const;
    /** Removes and returns the statements sent to members since the last call, oldest first. */
    std::vector<SendStatement> takeStatements();
    /** Removes and returns the only statement sent to a member since the last call; fails the test if there is not exactly one. */
    SendStatement takeStatement();
    /** Removes and returns the forwarded requests sent to other proxies since the last call, oldest first. */
    std::vector<PeerMessage> takeForwards();
    /** Removes and returns the only request forwarded since the last call; fails the test if there is not exactly one. */
    PeerMessage takeForward();
    /** Delivers the answer to \p forward from the proxy to which it was sent. */
    void answerForward(const PeerMessage &forward, Answer answer);
    /** Delivers the answer to \p sent from the member to which it was sent. */
    void answer(const SendStatement &sent, UpstreamResult result, LogPoint point = {}, std::string body = {});
    /** Returns the member to which a connection leads. */
    [[nodiscard]] MemberId memberOf(ConnectionId connection) const;
    /** Returns whether the proxy has closed \p connection. */
    [[nodiscard]] bool isClosed(ConnectionId connection) const;
    /** Makes \p member report this log position of its current term from now on. */
    void setPosition(const std::string &member, std::uint64_t position);

    static Request write(std::uint64_t sequence, const std::string &body);
    static Request read(const std::string &body);

    ProxyState state_;
    Time now_;
    std::map<MemberId, MemberStatus> reports_; ///< Status that each member reports; a member without an entry does not answer.
    std::vector<Effect> effects_; ///< All effects, oldest first.

private:
    void perform(const Effect &effect);
    void answerControl(const SendControl &control);
    void answerPlatform(const CallPlatform &call);

    std::map<ConnectionId, MemberId> connections_;
    std::set<ConnectionId> closed_;
    std::vector<SendStatement> statements_;
    std::vector<PeerMessage> forwards_;
    std::vector<VmInfo> vms_;
    std::optional<Time> wakeUp_;
    std::deque<EventBody> pending_;
    bool feeding_ = false;
    std::uint64_t nextRequest_ = 1000;
};

/** Returns a configuration with service "s" that has the group described at ScriptedProxy. */
Configuration smallConfiguration();

} // namespace Figward::Testing
