// All proxies of a fleet are replaced one after another while callers write. A caller that receives 'not run, draining' retries at another proxy, as
// it would behind the platform's load balancer. Guards against a draining proxy that drops requests in flight: a request that a proxy accepted must not
// end with a broken stream or an unknown outcome.
#include "support/LoopbackFleet.h"

#include <gmock/gmock.h>
#include <mutex>
#include <thread>

namespace Figward::Testing {

namespace {

/** The current addresses of the proxies, as a load balancer would know them. */
class Balancer
{
public:
    void set(std::size_t index, const std::string &address)
    {
        const std::scoped_lock lock(mutex_);
        addresses_.resize(std::max(addresses_.size(), index + 1));
        addresses_[index] = address;
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

/** The results that one caller saw. */
struct CallerCounts
{
    std::atomic<int> done_ = 0;
    std::atomic<int> unanswered_ = 0; ///< Requests without an answer, or with an unknown outcome.
};

/** Whether the request was never sent because the proxy chosen by the balancer had already stopped. gRPC reports this only in the message text. */
bool neverSent(const ClientResult &result)
{
    return !result.ok() && result.status().message().find("failed to connect") != absl::string_view::npos;
}

/** Writes repeatedly, using another proxy for each attempt. A write is retried with the same key until it is done or its key is cancelled. */
void keepWriting(Balancer &balancer, const std::string &counter, const std::atomic<bool> &stop, CallerCounts &count)
{
    CallerSession session = LoopbackFleet::session();
    std::size_t attempt = 0;
    while (!stop) {
        const Request write = session.keyed(RequestKind::Write, LoopbackFleet::groupId(), "add " + counter + " 1");
        const bool settled = eventually([&] {
            CallerClient client(balancer.pick(attempt++));
            const ClientResult result = client.execute(write);
            const bool answered = result.ok() && result->outcome_ != Outcome::Unknown;
            const bool done = answered && result->outcome_ == Outcome::Done;
            count.unanswered_ += answered || neverSent(result) ? 0 : 1;
            count.done_ += done ? 1 : 0;
            // A write whose key was cancelled did not run and never will: the next iteration uses a new key.
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
    std::array<CallerCounts, callerCount> counts;
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < callerCount; ++i) {
        callers.emplace_back([&, i] { keepWriting(balancer, "c" + std::to_string(i), stop, counts.at(i)); });
    }
    for (std::size_t i = 0; i < zones.size(); ++i) {
        balancer.set(i, "");
        fleet.replace(i, zones.at(i));
        balancer.set(i, fleet.proxy(i).callerAddress());
        std::array<int, callerCount> before{};
        std::ranges::transform(counts, before.begin(), [](const CallerCounts &count) { return count.done_.load(); });
        EXPECT_TRUE(eventually([&] { return std::ranges::equal(counts, before, [](const CallerCounts &count, int past) { return count.done_ > past; }); }));
    }
    stop = true;
    for (std::thread &caller : callers) {
        caller.join();
    }
    CallerClient client(fleet.proxy(0).callerAddress());
    for (std::size_t i = 0; i < callerCount; ++i) {
        EXPECT_EQ(counts.at(i).unanswered_, 0);
        const ClientResult read = client.execute(LoopbackFleet::session().read(LoopbackFleet::groupId(), "get c" + std::to_string(i)));
        ASSERT_TRUE(read.ok());
        EXPECT_EQ(read->body_, std::to_string(counts.at(i).done_));
    }
}

} // namespace

} // namespace Figward::Testing
