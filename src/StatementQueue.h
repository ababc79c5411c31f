/** \file
 * Defines the order in which the statements that wait at this VM for the members of one group are started.
 *
 * It is designed for many organisations that compete for few slots. Statements are ordered by priority; within a priority by weighted start-time fair queueing
 * over the organisations, so that an organisation that asks for more than its share does not delay the others; and within an organisation by deadline. Where
 * the configuration has no organisations, all statements belong to one and the order is by priority and deadline. Ties are in the order of arrival.
 *
 * Each organisation has a start tag, in seconds of slot time per unit of weight: the organisation with the lowest tag is next, and each of its statements that
 * starts raises the tag by the statement's cost divided by the organisation's weight. The virtual time of a priority is the tag of the statement started
 * last. No tag is below it, so an organisation saves up no claim while it has nothing to run or while its statements cannot run.
 */
#pragma once

#include "SessionTypes.h"
#include "Units.h"

#include <absl/container/flat_hash_map.h>
#include <compare>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Figward {

/** A statement to be queued. */
struct QueuedStatement
{
    SessionKey key_;
    unsigned priority_ = 0; ///< 0 is the most urgent.
    Time deadline_;
    OrganisationId organisation_; ///< Empty: all such statements share one place among the organisations.
    double weight_ = 1; ///< Weight of the organisation, greater than zero.
    Duration cost_{}; ///< Expected slot time.
};

/** Place of a statement within its organisation and priority. */
struct OrganisationPlace
{
    Time deadline_;
    std::uint64_t number_ = 0; ///< Arrival number, unique in the queue.
    SessionKey key_;
    Duration cost_{};
    auto operator<=>(const OrganisationPlace &) const = default;
};

/** Statements of one organisation and priority. */
struct OrganisationShare
{
    double weight_ = 1;
    double startTag_ = 0;
    std::set<OrganisationPlace> waiting_;
};

/** Statements of one priority. */
struct PriorityShares
{
    double virtualTime_ = 0;
    std::size_t waiting_ = 0; ///< Number of statements of all organisations.
    /** Organisations with waiting statements, and those whose tag is still above the virtual time. */
    std::map<OrganisationId, OrganisationShare> organisations_;
    std::set<std::pair<double, OrganisationId>> inactive_; ///< Start tags of the organisations without waiting statements.
};

/** Key to a waiting statement. */
struct QueueEntry
{
    unsigned priority_ = 0;
    OrganisationId organisation_;
    OrganisationPlace place_;
};

/** The statements that wait for the members of a group. */
struct StatementQueue
{
    std::map<unsigned, PriorityShares> priorities_; ///< Only those with waiting statements.
    absl::flat_hash_map<SessionKey, QueueEntry> entries_;
    std::uint64_t arrivals_ = 0; ///< Number of statements queued so far.
};

/** Adds a statement; replaces the one that the session may have in the queue. */
void addStatement(StatementQueue &queue, const QueuedStatement &statement);
/** Removes the session's statement, if any, without charging its organisation. */
void removeStatement(StatementQueue &queue, SessionKey key);
/** Removes the session's statement because it starts at a member, and charges its cost to its organisation. */
void takeStatement(StatementQueue &queue, SessionKey key);
/** Charges the organisation for a statement that starts without having been queued, if statements of the same priority wait. */
void chargeStatement(StatementQueue &queue, const QueuedStatement &statement);
/** Number of waiting statements. */
std::size_t countWaiting(const StatementQueue &queue);
/** All waiting statements in the order in which they are to be started. */
std::vector<SessionKey> startOrder(const StatementQueue &queue);

/** Slot time of the statements of each database of a group, as exponentially decaying averages. */
struct StatementCosts
{
    std::map<std::string, Duration> work_; ///< By database.
};

/** Records the time that a statement of \p database took at a member. */
void recordWork(StatementCosts &costs, const std::string &database, Duration time);
/** Expected slot time of a statement of \p database, including the opening of a connection if \p opens. */
Duration expectedCost(const StatementCosts &costs, const std::string &database, bool opens);

} // namespace Figward
