/** \file
 * Defines the oracle: it keeps only what callers asked and were told, and compares that with the groups' logs.
 *
 * Each write appends a tag that is used nowhere else, "KEY.NUMBER;", so that a value shows which writes it contains, and in which order.
 */
#pragma once

#include "GroupModel.h"
#include "Request.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Figward::Testing {

/** Number of a write or transaction that a caller has asked for. */
using WriteNumber = std::size_t;

/** A write, or a transaction as a whole. */
struct AskedWrite
{
    GroupId group_;
    std::optional<IdempotencyKey> key_; ///< Empty while a transaction has not asked to commit.
    std::vector<std::string> bodies_; ///< Statements that took effect if it ran.
    bool done_ = false;
    bool notRun_ = false;
    LogPoint point_; ///< Of the group in the token that came with the answer: not before the write.
};

/** A read and its answer. */
struct CheckedRead
{
    GroupId group_;
    std::string key_; ///< Name of the value that was read.
    std::string body_;
    std::set<std::string> mustContain_; ///< Tags that the session was told are written, or that are old enough.
    std::optional<WriteNumber> transaction_; ///< That the read is part of.
    bool fromReplica_ = false;
};

/** How much a run has shown. */
struct FuzzCounts
{
    std::uint64_t trials_ = 0;
    std::uint64_t done_ = 0; ///< Writes and commits.
    std::uint64_t notRun_ = 0;
    std::uint64_t unknown_ = 0;
    std::uint64_t reads_ = 0;
    std::uint64_t replicaReads_ = 0;
    std::uint64_t promotions_ = 0;
};

/** The oracle. */
class Oracle
{
public:
    /** A tag that no other write has. */
    std::string newTag(const std::string &key, WriteNumber write);
    WriteNumber ask(AskedWrite write);
    [[nodiscard]] AskedWrite &write(WriteNumber number);
    /** A caller was told the fate of a write; nothing if its proxy died. */
    void tell(WriteNumber number, const std::optional<Answer> &answer);
    void check(const CheckedRead &read);
    /** Compares all that was told with the log that \p group ended with. */
    void checkLog(const GroupId &group, const Standin::GroupLog &log);
    void violate(std::string what);
    FuzzCounts counts_;
    /** What was broken so far. */
    [[nodiscard]] const std::vector<std::string> &violations() const;

private:
    void checkAnswerBelongs(const AskedWrite &write, const Answer &answer);

    std::vector<AskedWrite> writes_;
    std::map<std::string, WriteNumber> tags_;
    std::uint64_t nextTag_ = 1;
    std::vector<std::string> violations_;
};

} // namespace Figward::Testing
