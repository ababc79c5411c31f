/** \file
 * Defines a proxy whose surroundings are played by the test: it owns one group of three members, and the test says what they report and answer.
 */
#pragma once

#include "Reducer.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Figward::Testing {

/** One proxy and one group "g" with members "a", "b", "c" in zones "z1" to "z3"; "a" is primary of term 1 at position 1. */
class ScriptedProxy
{
public:
    /** \p others are further VMs; with \p owns false this proxy owns nothing and only enters requests. */
    explicit ScriptedProxy(std::vector<VmInfo> others = {}, bool owns = true);

    /** Feeds \p body at the present time; probes, connections and platform calls among the effects are answered at once from the knobs below. */
    void feed(EventBody body);
    /** Lets \p span pass, with every wake-up in it. */
    void pass(Duration span);
    /** A caller asks; returns the request's id. */
    RequestId ask(Request request);
    /** The answers given to \p id so far. */
    [[nodiscard]] std::vector<Answer> answersTo(RequestId id) const;
    /** Removes and returns the statements sent to members and not taken yet, oldest first. */
    std::vector<SendStatement> takeStatements();
    /** The only statement sent since the last take; fails the test if there is not exactly one. */
    SendStatement takeStatement();
    /** Removes and returns the forwarded requests sent to other proxies and not taken yet, oldest first. */
    std::vector<PeerMessage> takeForwards();
    /** The only request forwarded since the last take; fails the test if there is not exactly one. */
    PeerMessage takeForward();
    /** The proxy that \p forward went to answers it. */
    void answerForward(const PeerMessage &forward, Answer answer);
    /** The member that \p sent went to answers it. */
    void answer(const SendStatement &sent, UpstreamResult result, LogPoint point = {}, std::string body = {});
    /** Member that a connection leads to. */
    [[nodiscard]] MemberId memberOf(ConnectionId connection) const;
    /** Whether the proxy has closed \p connection. */
    [[nodiscard]] bool isClosed(ConnectionId connection) const;
    /** \p member reports this log position of its present term from now on. */
    void setPosition(const std::string &member, std::uint64_t position);

    static Request write(std::uint64_t sequence, const std::string &body);
    static Request read(const std::string &body);

    ProxyState state_;
    Time now_;
    std::map<MemberId, MemberStatus> reports_; ///< What members report; a member without an entry does not answer.
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

/** A configuration with service "s" that has the group described at ScriptedProxy. */
Configuration smallConfiguration();

} // namespace Figward::Testing
