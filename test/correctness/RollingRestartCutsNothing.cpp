// All proxies of a fleet are replaced one after another while callers write. A caller that is told 'not run, draining' asks
// another proxy, as behind the platform's balancer. No request that a proxy took may end without its answer: a stream that breaks, or an outcome that
// stays unknown, would be a request cut in flight.
#include "support/LoopbackFleet.h"

#include <gmock/gmock.h>
#include <mutex>
#include <thread>

namespace Figward::Testing {

namespace {

/** Where callers find the proxies at present, as a balancer knows it. */
class Balancer
{
public:
    void set(std::size_t place, const std::string &address)
    {
        const std::scoped_lock lock(mutex_);
        addresses_.resize(std::max(addresses_.size(), place + 1));
        addresses_[place] = address;
    }

    std::string pick(std::size_t number)
    {
        const std::scoped_lock lock(mutex_);
        std::string address = addresses_[number % addresses_.size()];
        return address.empty() ? addresses_[(number + 1) % addresses_.size()] : address;
    }

private:
    std::mutex mutex_;
    std::vector<std::string> addresses_;
};

/** What one caller met. */
struct Tally
{
    std::atomic<int> done_ = 0;
    std::atomic<int> cut_ = 0; ///< Requests without an answer, or with an unknown outcome.
};

/** Whether the request never left its sender: the proxy that the balancer named had ended by then. gRPC says so in words only. */
bool neverSent(const ClientResult &result)
{
    return !result.ok() && result.status().message().find("failed to connect") != absl::string_view::npos;
}

/** Writes, each time through another proxy; a write is asked again with the same key until it is done. */
void keepWriting(Balancer &balancer, const std::string &counter, const std::atomic<bool> &stop, Tally &tally)
{
    CallerSession session = LoopbackFleet::session();
    std::size_t turn = 0;
    while (!stop) {
        const Request write = session.keyed(RequestKind::Write, LoopbackFleet::groupId(), "add " + counter + " 1");
        const bool settled = eventually([&] {
            CallerClient client(balancer.pick(turn++));
            const ClientResult result = client.execute(write);
            const bool answered = result.ok() && result->outcome_ != Outcome::Unknown;
            const bool done = answered && result->outcome_ == Outcome::Done;
            tally.cut_ += answered || neverSent(result) ? 0 : 1;
            tally.done_ += done ? 1 : 0;
            // A key that was cancelled did not run, and never will: the next round asks anew.
            return done || (answered && result->error_ == ErrorKind::KeyCancelled);
        });
        EXPECT_TRUE(settled);
    }
}

TEST(RollingRestartCutsNothing, WritesThroughChangingProxies)
{
    LoopbackFleet fleet;
    Balancer balancer;
    const std::array<const char *, 3> zones{"z1", "z2", "z3"};
    for (std::size_t i = 0; i < zones.size(); ++i) {
        balancer.set(i, fleet.addProxy(zones.at(i)).callerAddress());
    }
    constexpr std::size_t callerCount = 4;
    std::atomic<bool> stop = false;
    std::array<Tally, callerCount> tallies;
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < callerCount; ++i) {
        callers.emplace_back([&, i] { keepWriting(balancer, "c" + std::to_string(i), stop, tallies.at(i)); });
    }
    for (std::size_t i = 0; i < zones.size(); ++i) {
        balancer.set(i, "");
        fleet.replace(i, zones.at(i));
        balancer.set(i, fleet.proxy(i).callerAddress());
        std::array<int, callerCount> before{};
        std::ranges::transform(tallies, before.begin(), [](const Tally &tally) { return tally.done_.load(); });
        EXPECT_TRUE(eventually([&] { return std::ranges::equal(tallies, before, [](const Tally &tally, int past) { return tally.done_ > past; }); }));
    }
    stop = true;
    for (std::thread &caller : callers) {
        caller.join();
    }
    CallerClient client(fleet.proxy(0).callerAddress());
    for (std::size_t i = 0; i < callerCount; ++i) {
        EXPECT_EQ(tallies.at(i).cut_, 0);
        const ClientResult read = client.execute(LoopbackFleet::session().read(LoopbackFleet::groupId(), "get c" + std::to_string(i)));
        ASSERT_TRUE(read.ok());
        EXPECT_EQ(read->body_, std::to_string(tallies.at(i).done_));
    }
}

} // namespace

} // namespace Figward::Testing
