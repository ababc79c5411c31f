/** \file
 * Defines which changes of a group's members are safe between one configuration and the next.
 */
#pragma once

#include "Configuration.h"

#include <vector>

namespace Figward {

/**
 * The groups that lose or gain more than one member from \p former to \p next. Groups that are new or gone as a whole are not among them.
 *
 * A write is acknowledged once a majority of the members holds it, and a new primary is chosen by a majority. With one member more or less any two such
 * majorities share a member; with two changes they need not: of a, b, c the write is on a and c, and of a, b, d the new primary is chosen by b and d, which
 * never saw it.
 */
std::vector<GroupId> unsafeMemberChanges(const Configuration &former, const Configuration &next);

} // namespace Figward
