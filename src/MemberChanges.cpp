#include "MemberChanges.h"

#include <algorithm>

namespace Figward {

namespace {

/** Members of \p group that \p other lacks. A member at another address is another database. */
std::ptrdiff_t countMissing(const GroupConfig &group, const GroupConfig &other)
{
    const auto missing = [&](const MemberConfig &member) {
        return std::ranges::none_of(other.members_, [&](const MemberConfig &m) { return m.id_ == member.id_ && m.address_ == member.address_; });
    };
    return std::ranges::count_if(group.members_, missing);
}

} // namespace

std::vector<GroupId> unsafeMemberChanges(const Configuration &former, const Configuration &next)
{
    std::vector<GroupId> unsafe;
    for (const auto &[id, group] : next.groups_) {
        const auto before = former.groups_.find(id);
        if (before != former.groups_.end() && countMissing(group, before->second) + countMissing(before->second, group) > 1) {
            unsafe.push_back(id);
        }
    }
    return unsafe;
}

} // namespace Figward
