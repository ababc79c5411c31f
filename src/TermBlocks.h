/** \file
 * Defines the blocks of terms that owners are granted in advance, so that a failover needs no call to the platform.
 *
 * A block belongs to one incarnation of a proxy, is never granted twice and does not expire. The blocks of a group interleave: block b holds the terms b +
 * stride, b + 2 stride, and so on. With contiguous ranges (1 to 64, 65 to 128, ...), a failover by the owner of the highest range would leave the other owners
 * only terms that are too low, and the next failover would need the platform. With interleaved blocks, every owner always has a term above any other. Example:
 * owner 1 promotes in term 1000001, owner 3 then in 1000003, owner 1 again in 2000001. The last six digits of a term identify the grant.
 */
#pragma once

#include "Ids.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace Figward {

/** Distance between two terms of a block. Block numbers are lower, which limits the number of blocks that a group can grant. */
constexpr std::uint64_t termStride = 1'000'000;

/** The terms first_, first_ + termStride, ... up to last_. Only one incarnation may use them, for one group, and each for one attempt only. */
struct TermBlock
{
    Term first_;
    Term last_;
    bool operator==(const TermBlock &) const = default;
};

/** Returns block number \p number of a group, counted from 1; empty if the number is out of range. */
std::optional<TermBlock> termBlock(std::uint64_t number);
/** Whether \p block has a term above \p above. */
bool hasTermAbove(const TermBlock &block, Term above);
/**
 * Takes the lowest term above \p above from \p blocks; empty if there is none. Drops all lower terms of its block, and every block that has no term above
 * \p above.
 */
std::optional<Term> takeTerm(std::vector<TermBlock> &blocks, Term above);

} // namespace Figward
