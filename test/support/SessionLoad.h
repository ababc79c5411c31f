/** \file
 * Defines a load of clients on a SessionWorld: operations that come at random, at any VM, each a statement or a transaction, asked again when it was refused.
 */
#pragma once

#include "support/SessionWorld.h"

#include <random>

namespace Figward::Testing {

/** Operations of one kind. */
struct LoadRoute
{
    std::string database_;
    double perSecond_ = 0;
    Duration work_{}; ///< Mean time that a member works on a statement.
    double writes_ = 0; ///< Share of the operations that write.
    double transactions_ = 0; ///< Share that are transactions of a few statements.
    Duration aim_{}; ///< From the first attempt to the last answer, without the client's own pauses.
    Duration budget_{}; ///< After which the client gives up.
};

/** What became of the operations of one route. */
struct LoadCount
{
    unsigned asked_ = 0;
    unsigned inAim_ = 0;
    unsigned late_ = 0;
    /** Share of those asked that were served in their aim. */
    [[nodiscard]] double shareInAim() const;
};

/** Clients of all VMs of a world, which must outlive the load. */
class SessionLoad
{
public:
    SessionLoad(SessionWorld &world, std::vector<LoadRoute> routes, unsigned vms, std::uint64_t seed);
    /** Lets operations come for \p duration, and then time pass until all have ended. Those that come to a VM that does not run ask another. */
    void run(Duration duration);
    [[nodiscard]] const LoadCount &count(const std::string &database) const;

private:
    struct Operation
    {
        std::size_t route_ = 0;
        bool writes_ = false;
        std::vector<StatementKind> statements_;
        std::size_t next_ = 0; ///< Of statements_.
        unsigned attempts_ = 1;
        Time began_;
        Duration pauses_{}; ///< Of the client, which do not count.
        std::string waitsFor_; ///< Id of the statement that is not answered yet.
    };

    double uniform();
    Duration exponential(double mean);
    Duration workOf(const LoadRoute &route);
    void arrive(std::size_t route, Time end);
    std::size_t someSession(const std::string &database);
    void begin(Operation operation);
    void sendNext(std::size_t client);
    void onAnswer(std::size_t client, const ClientAnswer &answer);
    void fail(std::size_t client, ReplyCode code);

    SessionWorld &world_;
    std::vector<LoadRoute> routes_;
    unsigned vms_;
    std::mt19937_64 random_;
    std::map<std::size_t, Operation> underWay_; ///< By client.
    std::map<std::pair<unsigned, std::string>, std::vector<std::size_t>> free_; ///< Sessions without an operation, by VM and database.
    std::map<std::string, LoadCount> counts_;
};

/** The load of a ledger at \p scale of its usual rates for \p group: records with many writes, histories, checks before departure. */
std::vector<LoadRoute> ledgerLoad(double scale = 1.0, unsigned group = 0);

} // namespace Figward::Testing
