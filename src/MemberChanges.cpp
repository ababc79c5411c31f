#include "MemberChanges.h"

#include <algorithm>

namespace Figward {

namespace {

/** Returns the number of members of \p group that are not in \p other. A member whose address differs is a different database. */
std::ptrdiff_t countMissing(const GroupConfig &group, const GroupConfig &other)
{
    const auto missing = [&](const MemberConfig &member) {
        return std::ranges::none_of(other.members_, [&](const MemberConfig &m) { return m.id_ == member.id_ && m.address_ == member.address_; });
    };
    return std::ranges::count_if(group.members_, missing);
}

} // namespace

std::vector<GroupId> unsafeMemberChanges(const Configuration &previous, const Configuration &next)
{
    std::vector<GroupId> unsafe;
    for (const auto &[id, group] : next.groups_) {
        const auto before = previous.groups_.find(id);
        if (before != previous.groups_.end() && countMissing(group, before->second) + countMissing(before->second, group) > 1) {
            unsafe.push_back(id);
        }
    }
    return unsafe;
}

} // namespace Figward
