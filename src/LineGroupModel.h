/** \file
 * Defines a stand-in for a group of the platform's database members: a primary and replicas that follow it, as their line protocol shows them.
 *
 * A member knows neither leases nor fences: a primary that was replaced goes on until it is told to step down or finds the new one. A replica receives
 * commits some time after they were made. A promotion leads with what the member had received; replicas that were ahead are cut back.
 */
#pragma once

#include "SessionTypes.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Figward::Standin {

/** One commit in a log. */
struct LineCommit
{
    LogPoint point_;
    std::vector<std::string> statements_; ///< Ids of the writes that it holds.
    Time made_;
};

/** One member of the group. */
struct LineMember
{
    MemberId id_;
    bool up_ = true;
    bool primary_ = false;
    bool sends_ = false; ///< Replicas receive its log: the primary, also after it stepped down, until another leads.
    bool deaf_ = false; ///< Receives nothing from the primary.
    Duration lag_ = std::chrono::milliseconds(8);
    Term term_{1};
    std::vector<LineCommit> log_; ///< What it has received.
};

/** What a connection holds at a member. */
struct LineSession
{
    MemberId member_;
    bool inTransaction_ = false;
    bool readOnly_ = false;
    bool failed_ = false;
    std::vector<std::string> writes_; ///< Of the open transaction.
    std::map<std::string, std::string> values_;
    std::map<std::string, bool> prepared_; ///< Whether the shape writes, by name.
};

/** How a member answered, with the report that STATUS and STEPDOWN carry. */
struct LineAnswer
{
    SessionReply reply_;
    std::optional<ReplicationReport> report_;
};

/** A group of members. Times must not decrease. */
class LineGroupModel
{
public:
    /** \p members of which the first is the primary. */
    explicit LineGroupModel(const std::vector<MemberId> &members);

    LineMember &member(const MemberId &id);
    [[nodiscard]] const LineMember &member(const MemberId &id) const;
    [[nodiscard]] const std::map<MemberId, LineMember> &members() const;
    /** The member that leads the highest term. */
    [[nodiscard]] const LineMember &leader() const;
    /** A member that is up and takes a connection. */
    void connect(ConnectionId connection, const MemberId &member);
    /** Connections of all callers to \p member. */
    [[nodiscard]] unsigned connections(const MemberId &member) const;
    /** Ends a connection; an open transaction is rolled back. */
    void disconnect(ConnectionId connection);
    /** Runs a request; nothing if the member is down or the connection unknown. */
    std::optional<LineAnswer> run(ConnectionId connection, const MemberRequest &request, Time now);
    /** Moves commits to the replicas that are due at \p now. */
    void replicate(Time now);
    /** Makes \p id the primary of the next term at once; false if it is not running. */
    bool promote(const MemberId &id, Time now);
    /** Ends a member's process: it keeps its log and comes back with it. */
    void crash(const MemberId &id);
    void restart(const MemberId &id);
    /** The old primary has found the new one and follows it. */
    void findNewPrimary(const MemberId &id);

private:
    SessionReply runStatement(LineSession &session, LineMember &member, const MemberRequest &request, Time now);
    SessionReply begin(LineSession &session, const LineMember &member, const MemberRequest &request) const;
    SessionReply work(LineSession &session, LineMember &member, const MemberRequest &request, bool writes, Time now);
    SessionReply commit(LineSession &session, LineMember &member, const MemberRequest &request, Time now);
    void append(LineMember &member, std::vector<std::string> statements, Time now);

    std::map<MemberId, LineMember> members_;
    std::map<ConnectionId, LineSession> sessions_;
};

/** Whether \p log holds \p point, or what came to stand in its place: a point of a later term. */
bool holds(const std::vector<LineCommit> &log, const LogPoint &point);
/** The last point of \p log. */
LogPoint endOf(const LineMember &member);

} // namespace Figward::Standin
