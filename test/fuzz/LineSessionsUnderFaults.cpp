#include "fuzz/LineTrial.h"

#include <cstdlib>
#include <gmock/gmock.h>

using namespace Figward;
using namespace Figward::Testing;
using namespace testing;

namespace {

unsigned setting(const char *name, unsigned fallback)
{
    const char *value = std::getenv(name);
    return value == nullptr ? fallback : static_cast<unsigned>(std::stoul(value));
}

void playSeeds(unsigned first, unsigned count, const LineTrialOptions &options = {})
{
    for (unsigned seed = first; seed < first + count; ++seed) {
        const std::vector<std::string> violations = playLineTrial(seed, options);
        EXPECT_THAT(violations, IsEmpty()) << "seed " << seed;
    }
}

} // namespace

// Clients send random statements while members crash and lag, VMs die, freeze and are cut off, and the store is unavailable or loses
// answers, several at a time.
// In all cases, no read lacks a write that it must include, no write is acknowledged by a replaced primary, and no refused statement has run.
TEST(LineSessionsUnderFaults, keepTheirPromises)
{
    playSeeds(setting("FIGWARD_FUZZ_FIRST", 1), setting("FIGWARD_FUZZ_SEEDS", 40));
}

// The same test with resets of connections to members: a statement in flight on such a connection may or may not have run.
TEST(LineSessionsUnderFaults, keepTheirPromisesWhileConnectionsAreReset)
{
    playSeeds(setting("FIGWARD_FUZZ_FIRST", 1), setting("FIGWARD_FUZZ_SEEDS", 40), {.resets_ = true});
}

TEST(LongLineSessionsUnderFaults, keepTheirPromises)
{
    playSeeds(setting("FIGWARD_FUZZ_FIRST", 1000), setting("FIGWARD_FUZZ_SEEDS", 2000));
}
