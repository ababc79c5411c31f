/** \file
 * Defines a stand-in for a group of the platform's database members: a primary and replicas that follow it, as seen through their line protocol.
 *
 * Members have neither leases nor fencing: a replaced primary continues to accept writes until it is told to step down or finds the new one. A replica
 * receives commits after a delay. A promoted member continues from the log that it has received; replicas that were ahead of it are truncated.
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
    std::vector<std::string> statements_; ///< Ids of the writes in this commit.
    Time committedAt_;
};

/** One member of the group. */
struct LineMember
{
    MemberId id_;
    bool up_ = true;
    bool primary_ = false;
    bool sendsLog_ = false; ///< Replicas receive its log. True for the primary, also after it has stepped down, until another member is promoted.
    bool receivesNothing_ = false; ///< Receives no commits from the primary.
    Duration lag_ = std::chrono::milliseconds(8);
    Term term_{1};
    std::vector<LineCommit> log_; ///< Commits that the member has made or received.
};

/** State of a connection at a member. */
struct LineSession
{
    MemberId member_;
    bool inTransaction_ = false;
    bool readOnly_ = false;
    bool failed_ = false;
    std::vector<std::string> writes_; ///< Ids of the writes of the open transaction.
    std::map<std::string, std::string> values_;
    std::map<std::string, bool> prepared_; ///< Prepared shapes by name; true if the shape is a write.
};

/** Answer of a member, with the replication report if the request was STATUS or STEPDOWN. */
struct LineAnswer
{
    SessionReply reply_;
    std::optional<ReplicationReport> report_;
};

/** A group of members. The times passed to it must not decrease. */
class LineGroupModel
{
public:
    /** Creates a group of \p members, the first of which is the primary. */
    explicit LineGroupModel(const std::vector<MemberId> &members);

    LineMember &member(const MemberId &id);
    [[nodiscard]] const LineMember &member(const MemberId &id) const;
    [[nodiscard]] const std::map<MemberId, LineMember> &members() const;
    /** The primary of the highest term; the first member by id if there is no primary. */
    [[nodiscard]] const LineMember &leader() const;
    /** Opens \p connection to \p member, which must be up. */
    void connect(ConnectionId connection, const MemberId &member);
    /** Number of connections of all clients to \p member. */
    [[nodiscard]] unsigned connections(const MemberId &member) const;
    /** Ends a connection; an open transaction is rolled back. */
    void disconnect(ConnectionId connection);
    /** Runs a request; returns nullopt if the member is down or the connection is unknown. */
    std::optional<LineAnswer> run(ConnectionId connection, const MemberRequest &request, Time now);
    /** Number of running members other than \p primary that have received \p point. */
    [[nodiscard]] unsigned replicasHolding(const MemberId &primary, const LogPoint &point) const;
    /** Copies to the replicas the commits that are due at \p now. */
    void replicate(Time now);
    /** Makes \p id the primary of the next term at once; false if it is not running. */
    bool promote(const MemberId &id, Time now);
    /** Ends a member's process; its log is kept for restart(). */
    void crash(const MemberId &id);
    void restart(const MemberId &id);
    /** Starts a crashed member again without its log, in the role that it had. */
    void restartEmpty(const MemberId &id);
    /** Lets the previous primary \p id find the new one and follow it. */
    void findNewPrimary(const MemberId &id);

private:
    SessionReply runStatement(LineSession &session, LineMember &member, const MemberRequest &request, Time now);
    SessionReply begin(LineSession &session, const LineMember &member, const MemberRequest &request) const;
    SessionReply runQuery(LineSession &session, LineMember &member, const MemberRequest &request, bool writes, Time now);
    SessionReply commit(LineSession &session, LineMember &member, const MemberRequest &request, Time now);
    void append(LineMember &member, std::vector<std::string> statements, Time now);

    std::map<MemberId, LineMember> members_;
    std::map<ConnectionId, LineSession> sessions_;
};

/** Whether \p log contains \p point. Every log contains position 0. */
bool holds(const std::vector<LineCommit> &log, const LogPoint &point);
/** The last point of the log of \p member. */
LogPoint endOf(const LineMember &member);

} // namespace Figward::Standin
