// Three proxies serve callers; one crashes while requests are in flight through it. Callers of the others may receive 'not run' or wait for a retry, but
// each request gets one answer, and no acknowledged write is lost or applied twice: the idempotency key shows whether the crashed owner had already run
// a write.
#include "support/LoopbackFleet.h"

#include <gmock/gmock.h>
#include <thread>

namespace Figward::Testing {

namespace {

constexpr int sessions = 4;

/** Repeatedly adds one to the caller's own counter through one proxy, retrying each write until it is done or its key is cancelled. */
void keepCounting(const std::string &address, const std::string &counter, const std::atomic<bool> &stop, std::atomic<int> &count)
{
    CallerClient client(address);
    CallerSession session = LoopbackFleet::session();
    while (!stop) {
        const Request write = session.keyed(RequestKind::Write, LoopbackFleet::groupId(), "add " + counter + " 1");
        // A write whose key was cancelled did not run and never will: the next iteration uses a new key.
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
    std::array<int, sessions> countsAtCrash{};
    std::ranges::transform(counts, countsAtCrash.begin(), [](const auto &c) { return c.load(); });
    EXPECT_TRUE(eventually([&] { return std::ranges::equal(counts, countsAtCrash, [](const auto &now, int before) { return now >= before + 10; }); }));
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
