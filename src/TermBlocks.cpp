#include "TermBlocks.h"

#include <algorithm>

namespace Figward {

namespace {

constexpr std::uint64_t termsPerBlock = 1'000'000; // At two failovers a day, a block lasts longer than any process.

/** Lowest term of \p block above \p above; greater than last_ if the block has none. */
Term lowestAbove(const TermBlock &block, Term above)
{
    if (above < block.first_) {
        return block.first_;
    }
    const std::uint64_t steps = (above.value() - block.first_.value()) / termStride + 1;
    return Term(block.first_.value() + steps * termStride);
}

} // namespace

std::optional<TermBlock> termBlock(std::uint64_t number)
{
    if (number == 0 || number >= termStride) {
        return std::nullopt;
    }
    const std::uint64_t first = number + termStride;
    return TermBlock{Term(first), Term(first + (termsPerBlock - 1) * termStride)};
}

bool hasTermAbove(const TermBlock &block, Term above)
{
    return lowestAbove(block, above) <= block.last_;
}

std::optional<Term> takeTerm(std::vector<TermBlock> &blocks, Term above)
{
    std::erase_if(blocks, [&](const TermBlock &block) { return !hasTermAbove(block, above); });
    if (blocks.empty()) {
        return std::nullopt;
    }
    const auto lowest = std::ranges::min_element(blocks, {}, [&](const TermBlock &block) { return lowestAbove(block, above); });
    const Term taken = lowestAbove(*lowest, above);
    lowest->first_ = Term(taken.value() + termStride);
    return taken;
}

} // namespace Figward
