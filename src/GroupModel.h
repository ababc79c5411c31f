/** \file
 * Defines a model of one database group that obeys Upstream.h: members that replicate from one primary, with their faults.
 *
 * The model is a deterministic state machine: every call passes the current time, nothing happens between calls, and equal calls give equal
 * runs. The results of a call are queued as replies, each with the time at which it is ready; the user of the model collects them with
 * takeReplies() and delivers them.
 */
#pragma once

#include "Event.h"
#include "GroupLog.h"
#include "Upstream.h"

#include <random>
#include <set>
#include <variant>

namespace Figward::Standin {

/** Index of a member within its group. */
using MemberIndex = std::size_t;
/** Number that the group gives to a connection; unique among all clients. */
using LinkId = StrongValue<struct LinkIdTag, std::uint64_t>;
/** Number that the user of the model chooses for a connect or a control call; returned with its reply. */
using ReplyTag = StrongValue<struct ReplyTagTag, std::uint64_t>;

/** Members, limits and timing of a group. */
struct GroupModelConfig
{
    std::vector<MemberId> members_; ///< The first is primary of term 1 at the start.
    ConnectionCount connectionLimit_{35};
    SlotCount slots_{5};
    Duration connectTime_ = std::chrono::milliseconds(10);
    Duration statementTime_ = std::chrono::microseconds(500);
    Duration statementJitter_{}; ///< Upper limit of the random time that is added to each statement's time.
    Duration replicationDelay_ = std::chrono::milliseconds(5); ///< Initial delay of each link between members; see setDelay().
};

/** A connection attempt was completed or refused. */
struct ConnectReply
{
    ReplyTag tag_;
    LinkId link_; ///< Valid when not refused.
    bool refused_ = false; ///< The group is at its connection limit.
};
/** A statement was answered. */
struct StatementReply
{
    LinkId link_;
    UpstreamAnswer answer_;
};
/** A control call was answered. */
struct ControlReply
{
    ReplyTag tag_;
    ControlAnswer answer_;
};
/** The member ended a connection. */
struct LinkClosed
{
    LinkId link_;
};

/** A reply of the group, to be delivered no earlier than at_. */
struct GroupReply
{
    using Body = std::variant<ConnectReply, StatementReply, ControlReply, LinkClosed>;
    Time at_;
    Body body_;
};

/**
 * A database group. GroupModel.cpp implements time, connections and faults; GroupModelStatements.cpp and GroupModelControl.cpp implement how members
 * run statements and control calls.
 */
class GroupModel
{
public:
    GroupModel(GroupModelConfig config, std::uint64_t seed, Time now);

    /** Requests a connection to \p member. A dead member does not reply; a paused one replies after resume(). */
    void connect(MemberIndex member, ReplyTag tag, Time now);
    /** Sends a statement. There is no reply if the connection is closed. */
    void send(LinkId link, const UpstreamStatement &statement, Time now);
    /** Closes a connection on behalf of its client; its open transaction is rolled back. Statements that a paused member has received still run. */
    void close(LinkId link, Time now);
    /** Makes a control call. */
    void control(MemberIndex member, ReplyTag tag, const ControlCall &call, Time now);
    /** Returns and removes all replies queued since the last call, in the order in which they were queued. */
    std::vector<GroupReply> takeReplies();

    /** Kills a member; its log is kept. Clients see their connections close only if \p closesLinks (the process died, but its host did not). */
    void kill(MemberIndex member, bool closesLinks, Time now);
    /** Restarts a member, dead or running: its connections and transactions are lost. */
    void restart(MemberIndex member, Time now);
    /** Pauses a member: from now on it receives requests without processing them. */
    void pause(MemberIndex member, Time now);
    /** Ends a pause: the member processes the requests that it has received since pause(), in order. */
    void resume(MemberIndex member, Time now);
    /** Cuts or restores replication between two members, in both directions. */
    void setCut(MemberIndex a, MemberIndex b, bool cut, Time now);
    /** Sets the delay of replication from \p from to \p to. */
    void setDelay(MemberIndex from, MemberIndex to, Duration delay, Time now);

    /** Advances replication to \p now. Implied by every other call that passes the time. */
    void advance(Time now);
    [[nodiscard]] const GroupLog &log(MemberIndex member) const;
    [[nodiscard]] MemberStatus status(MemberIndex member) const;
    [[nodiscard]] bool isUp(MemberIndex member) const;
    [[nodiscard]] bool isOpen(LinkId link) const;
    [[nodiscard]] MemberIndex memberOf(LinkId link) const;
    [[nodiscard]] std::size_t links() const;
    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] const GroupModelConfig &config() const;
    /** The member called \p id; size() if there is none. */
    [[nodiscard]] MemberIndex indexOf(const MemberId &id) const;

private:
    struct PendingConnect
    {
        ReplyTag tag_;
    };
    struct PendingStatement
    {
        LinkId link_;
        UpstreamStatement statement_;
    };
    struct PendingControl
    {
        ReplyTag tag_;
        ControlCall call_;
    };
    using Pending = std::variant<PendingConnect, PendingStatement, PendingControl>;

    struct Member
    {
        GroupLog log_;
        Term fenced_;
        bool primary_ = false;
        bool alive_ = true;
        bool paused_ = false;
        std::optional<MemberIndex> follows_;
        bool logCheckPending_ = false; ///< The log may end in entries that its primary lacks; the member serves nothing until it has compared them.
        std::vector<Pending> pending_; ///< Received during a pause.
    };
    struct Transaction
    {
        std::vector<Operation> operations_;
    };
    struct Link
    {
        MemberIndex member_ = 0;
        std::optional<Transaction> transaction_;
        bool closing_ = false; ///< Closed by the client while the member is paused and has unprocessed statements of this connection.
    };

    void receive(MemberIndex member, Pending pending, Time now);
    void run(MemberIndex member, const PendingConnect &pending, Time now);
    void run(MemberIndex member, const PendingStatement &pending, Time now);
    void run(MemberIndex member, const PendingControl &pending, Time now);
    UpstreamAnswer execute(Link &link, const UpstreamStatement &statement, Time now);
    UpstreamAnswer runStatement(Link &link, const UpstreamStatement &statement, Time now);
    UpstreamAnswer runRead(const Link &link, const UpstreamStatement &statement) const;
    UpstreamAnswer runStep(Link &link, const UpstreamStatement &statement) const;
    UpstreamAnswer runKeyed(Member &member, const UpstreamStatement &statement, LogEntry entry, Time now);
    UpstreamAnswer runCommit(Link &link, const UpstreamStatement &statement, Time now);
    UpstreamAnswer runWrite(Link &link, const UpstreamStatement &statement, Time now);
    ControlResult runControl(MemberIndex index, const ControlBody &body, Time now);
    ControlResult fence(MemberIndex index, Term term);
    ControlResult promote(Member &member, Term term, Time now);
    ControlResult follow(MemberIndex index, const Follow &call, Time now);
    void replicate(MemberIndex index, Time now);
    void reply(Time at, GroupReply::Body body);
    void rollBackAll(MemberIndex index);
    void dropLinks(MemberIndex index, bool notifyClients, Time now);
    [[nodiscard]] bool slotsLeft(Time now);
    Duration statementTime();

    GroupModelConfig config_;
    std::mt19937_64 random_;
    std::vector<Member> members_;
    std::map<LinkId, Link> links_;
    std::map<std::pair<MemberIndex, MemberIndex>, Duration> delays_;
    std::set<std::pair<MemberIndex, MemberIndex>> cuts_;
    std::multiset<Time> running_; ///< When each statement that holds a slot ends.
    std::vector<GroupReply> replies_;
    std::uint64_t nextLink_ = 1;
};

} // namespace Figward::Standin
