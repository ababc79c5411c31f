/** \file
 * Defines a generator of client load for a SessionWorld: operations arrive at random times and VMs, each is one statement or transaction, and refused ones
 * are retried.
 */
#pragma once

#include "support/SessionWorld.h"

#include <random>

namespace Figward::Testing {

/** Rate, work and time limits of the operations on one database. */
struct LoadRoute
{
    std::string database_;
    double perSecond_ = 0;
    Duration work_{}; ///< Mean execution time of a statement at a member.
    double writes_ = 0; ///< Share of the operations that write.
    double transactions_ = 0; ///< Share of the operations that are transactions of a few statements.
    Duration aim_{}; ///< Target latency from the first attempt to the last answer, without the client's own pauses.
    Duration budget_{}; ///< Time after which the client gives up.
    std::string key_{}; ///< API key that the clients give; empty: none.
};

/** Number of operations of one route by result. */
struct LoadCount
{
    unsigned asked_ = 0;
    unsigned inAim_ = 0;
    unsigned late_ = 0;
    /** Returns the share of the requested operations that were completed within the target latency. */
    [[nodiscard]] double shareInAim() const;
};

/** Clients of all VMs of a simulated deployment, which must outlive this object. */
class SessionLoad
{
public:
    SessionLoad(SessionWorld &world, std::vector<LoadRoute> routes, unsigned vms, std::uint64_t seed);
    /**
     * Generates operations for \p duration and then advances the time until all have ended. An operation that arrives at a stopped VM is sent to a running one.
     */
    void run(Duration duration);
    /** Sets the rate of new operations on \p database from now on. */
    void setRate(const std::string &database, double perSecond);
    [[nodiscard]] const LoadCount &count(const std::string &database) const;
    /** Returns the operations of the clients with this key on all databases. */
    [[nodiscard]] LoadCount countOfKey(const std::string &key) const;

private:
    struct Operation
    {
        std::size_t route_ = 0;
        bool writes_ = false;
        std::vector<StatementKind> statements_;
        std::size_t nextStatement_ = 0; ///< Index in statements_ of the next statement.
        unsigned attempts_ = 1;
        Time began_;
        Duration pauses_{}; ///< Total pauses of the client, which do not count towards the latency.
        std::string pendingStatement_; ///< Id of the statement that is not answered yet.
    };

    double uniform();
    Duration exponential(double mean);
    Duration workOf(const LoadRoute &route);
    void scheduleArrival(std::size_t route, Time end);
    std::size_t sessionAtRandomVm(const LoadRoute &route);
    void begin(Operation operation);
    void sendNext(std::size_t client);
    void onAnswer(std::size_t client, const ClientAnswer &answer);
    void fail(std::size_t client, ReplyCode code);

    SessionWorld &world_;
    std::vector<LoadRoute> routes_;
    unsigned vms_;
    std::mt19937_64 random_;
    std::map<std::size_t, Operation> inProgress_; ///< Keyed by client.
    /** Sessions without an operation, keyed by VM, database and key. */
    std::map<std::tuple<unsigned, std::string, std::string>, std::vector<std::size_t>> idleSessions_;
    std::map<std::string, LoadCount> counts_;
    std::map<std::string, LoadCount> countsByKey_;
};

/**
 * Returns the load on the databases of \p group at \p scale times the usual rates: "ledger" records with many writes, "history" is only read, "dispatch"
 * checks before departure most often.
 */
std::vector<LoadRoute> ledgerLoad(double scale = 1.0, unsigned group = 0);

} // namespace Figward::Testing
