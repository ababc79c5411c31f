// Three proxies serve callers; one dies without a word while requests are on their way through it. Callers of the others
// may be told 'not run' or wait for a retry, but each gets one answer, and none of its acknowledged writes is missing or doubled: what the dead
// owner may have run is found by its idempotency key.
#include "support/LoopbackFleet.h"

#include <gmock/gmock.h>
#include <thread>

namespace Figward::Testing {

namespace {

constexpr int sessions = 4;

/** Adds one to a counter of its own again and again, each time until it is done, through one proxy. */
void keepCounting(const std::string &address, const std::string &counter, const std::atomic<bool> &stop, std::atomic<int> &count)
{
    CallerClient client(address);
    CallerSession session = LoopbackFleet::session();
    while (!stop) {
        const Request write = session.keyed(RequestKind::Write, LoopbackFleet::groupId(), "add " + counter + " 1");
        // A key that was cancelled did not run, and never will: the next round asks anew.
        const bool settled = eventually([&] {
            const ClientResult result = client.execute(write);
            const bool done = result.ok() && result->outcome_ == Outcome::Done;
            count += done ? 1 : 0;
            return done || (result.ok() && result->error_ == ErrorKind::KeyCancelled);
        });
        EXPECT_TRUE(settled);
    }
}

TEST(ProxyDiesUnderLoad, CallersOfTheOthersAreAnsweredAndCountedOnce)
{
    LoopbackFleet fleet;
    for (const char *zone : {"z1", "z2", "z3"}) {
        fleet.addProxy(zone);
    }
    std::atomic<bool> stop = false;
    std::array<std::atomic<int>, sessions> counts{};
    std::vector<std::thread> callers;
    for (int i = 0; i < sessions; ++i) {
        const std::string address = fleet.proxy(i % 2).callerAddress();
        callers.emplace_back([&, i, address] { keepCounting(address, "c" + std::to_string(i), stop, counts.at(i)); });
    }
    const auto allReach = [&](int wanted) { return eventually([&] { return std::ranges::all_of(counts, [&](const auto &c) { return c >= wanted; }); }); };
    EXPECT_TRUE(allReach(10));
    fleet.proxy(2).kill();
    std::array<int, sessions> atDeath{};
    std::ranges::transform(counts, atDeath.begin(), [](const auto &c) { return c.load(); });
    EXPECT_TRUE(eventually([&] { return std::ranges::equal(counts, atDeath, [](const auto &now, int before) { return now >= before + 10; }); }));
    stop = true;
    for (std::thread &caller : callers) {
        caller.join();
    }
    CallerClient client(fleet.proxy(0).callerAddress());
    for (int i = 0; i < sessions; ++i) {
        const ClientResult read = client.execute(LoopbackFleet::session().read(LoopbackFleet::groupId(), "get c" + std::to_string(i)));
        ASSERT_TRUE(read.ok());
        EXPECT_EQ(read->body_, std::to_string(counts.at(i)));
    }
}

} // namespace

} // namespace Figward::Testing
