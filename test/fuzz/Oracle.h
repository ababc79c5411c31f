/** \file
 * Defines the oracle, which records only the callers' requests and the answers they received, and compares these with the groups' logs.
 *
 * Each write appends a unique tag, "KEY.NUMBER;", so that a value shows which writes it contains, and in which order.
 */
#pragma once

#include "GroupModel.h"
#include "Request.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Figward::Testing {

/** Number of a write or transaction that a caller has requested. */
using WriteNumber = std::size_t;

/** A write, or a transaction as a whole. */
struct RequestedWrite
{
    GroupId group_;
    std::optional<IdempotencyKey> key_; ///< Empty until the commit of a transaction is requested.
    std::vector<std::string> bodies_; ///< Statements that took effect if the write ran.
    bool done_ = false;
    bool notRun_ = false;
    LogPoint point_; ///< Log point of the group in the token of the answer; the write is at or before it.
};

/** A read and its answer. */
struct CheckedRead
{
    GroupId group_;
    std::string key_; ///< Name of the value read.
    std::string body_;
    std::set<std::string> mustContain_; ///< Tags of writes acknowledged to the session, or old enough to be visible to the read.
    std::optional<WriteNumber> transaction_; ///< Transaction that the read is part of.
    bool fromReplica_ = false;
};

/** Counts of the operations and outcomes in a run. */
struct FuzzCounts
{
    std::uint64_t trials_ = 0;
    std::uint64_t done_ = 0; ///< Completed writes and commits.
    std::uint64_t notRun_ = 0;
    std::uint64_t unknown_ = 0;
    std::uint64_t reads_ = 0;
    std::uint64_t replicaReads_ = 0;
    std::uint64_t promotions_ = 0;
};

/** Checks answers to callers against the guarantees. */
class Oracle
{
public:
    /** Returns a tag that no other write has. */
    std::string newTag(const std::string &key, WriteNumber write);
    WriteNumber ask(RequestedWrite write);
    [[nodiscard]] RequestedWrite &write(WriteNumber number);
    /** Records the outcome of a write as its caller received it; no answer if the proxy died. */
    void recordAnswer(WriteNumber number, const std::optional<Answer> &answer);
    void check(const CheckedRead &read);
    /** Compares all answers to callers with the final log of \p group. */
    void checkLog(const GroupId &group, const Standin::GroupLog &log);
    void violate(std::string what);
    FuzzCounts counts_;
    /** Violations of guarantees so far. */
    [[nodiscard]] const std::vector<std::string> &violations() const;

private:
    void checkAnswerBelongs(const RequestedWrite &write, const Answer &answer);

    std::vector<RequestedWrite> writes_;
    std::map<std::string, WriteNumber> tags_;
    std::uint64_t nextTag_ = 1;
    std::vector<std::string> violations_;
};

} // namespace Figward::Testing
