/** \file
 * Defines which member changes of a group are safe between two consecutive configurations.
 */
#pragma once

#include "Configuration.h"

#include <vector>

namespace Figward {

/**
 * Returns the groups that lose or gain more than one member in total from \p previous to \p next. Groups that are added or removed as a whole are not included.
 *
 * A write is acknowledged once a majority of the members holds it, and a new primary is chosen by a majority. If one member is added or removed, a majority
 * before the change and one after it always share a member. With two changes they need not: if members a, b, c become a, b, d, a write may be held by a and c
 * only, and the new primary be chosen by b and d, which do not have it.
 */
std::vector<GroupId> unsafeMemberChanges(const Configuration &previous, const Configuration &next);

} // namespace Figward
