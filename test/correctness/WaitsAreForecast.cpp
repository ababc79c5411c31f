#include "WaitForecast.h"

#include <gmock/gmock.h>

#include <random>

using namespace Figward;
using std::chrono::milliseconds;

TEST(WaitsAreForecast, byTheLongestOfTheLastOutages)
{
    OutageHistory history;
    EXPECT_LT(remainingOutage(history, Duration(0)).remaining_, milliseconds(700))
        << "the default before the first outage must be too short to refuse statements";
    recordOutage(history, milliseconds(1200));
    recordOutage(history, milliseconds(2100));
    recordOutage(history, milliseconds(20));
    EXPECT_EQ(remainingOutage(history, milliseconds(600)).remaining_, milliseconds(1500)) << "a delayed heartbeat must not count as an outage";
    for (int i = 0; i < 4; ++i) {
        recordOutage(history, milliseconds(1300));
    }
    EXPECT_EQ(remainingOutage(history, milliseconds(600)).remaining_, milliseconds(700));
}

// An unreachable store makes a primary unavailable for longer than any recorded replacement. Statements that arrive when the outage begins wait for their whole
// timeout, since it may end at any moment; those that arrive after it has lasted longer than their timeout are refused at once.
TEST(WaitsAreForecast, asUnknownOnceAnOutageIsLongerThanAnyBefore)
{
    OutageHistory history;
    recordOutage(history, milliseconds(1200));
    const Time now(std::chrono::seconds(100));
    const WaitForecast early = remainingOutage(history, milliseconds(1300));
    const WaitForecast late = remainingOutage(history, milliseconds(4000));
    EXPECT_TRUE(shouldWait(early, now + milliseconds(300), milliseconds(2000), now));
    EXPECT_FALSE(shouldWait(late, now + milliseconds(1900), milliseconds(2000), now));
}

// Statements with a timeout of 780 ms arrive throughout outages of 1.8 to 2.2 s. Mainly those that could not be served in time should be refused at once: of
// those that could be served, less than a fifth may be refused, and of those that could not, less than a tenth may be held.
TEST(WaitsAreForecast, wellEnoughThatFewAreRefusedWhoCouldBeServed)
{
    std::mt19937_64 random(1);
    std::uniform_int_distribution<int> length(1800, 2200);
    OutageHistory history;
    recordOutage(history, milliseconds(2000));
    int servable = 0;
    int wronglyRefused = 0;
    int unservable = 0;
    int wronglyHeld = 0;
    for (int outage = 0; outage < 200; ++outage) {
        const milliseconds duration(length(random));
        const Time start(std::chrono::seconds(10 * (outage + 1)));
        for (milliseconds arrival(0); arrival < duration; arrival += milliseconds(10)) {
            const bool canBeServed = duration - arrival < milliseconds(780);
            const Time now = start + arrival;
            const bool waits = shouldWait(remainingOutage(history, arrival), now + milliseconds(780), milliseconds(780), now);
            servable += canBeServed ? 1 : 0;
            unservable += canBeServed ? 0 : 1;
            wronglyRefused += canBeServed && !waits ? 1 : 0;
            wronglyHeld += !canBeServed && waits ? 1 : 0;
        }
        recordOutage(history, duration);
    }
    EXPECT_LT(wronglyRefused, servable / 5);
    EXPECT_LT(wronglyHeld, unservable / 10);
}

// In a queue with a throughput of 40 statements a second, the 20th statement waits half a second and the 200th five seconds.
TEST(WaitsAreForecast, byThePaceOfTheQueue)
{
    QueueHistory history;
    Time now(std::chrono::seconds(10));
    recordWaiting(history, true, now);
    for (int i = 0; i < 80; ++i) {
        now += milliseconds(25);
        recordStart(history, now);
        recordWaiting(history, true, now);
    }
    EXPECT_NEAR(static_cast<double>(toMillis(remainingQueueTime(history, 19, now)->remaining_)), 500, 30);
    EXPECT_NEAR(static_cast<double>(toMillis(remainingQueueTime(history, 199, now)->remaining_)), 5000, 200);
    const std::optional<WaitForecast> stalled = remainingQueueTime(history, 5, now + std::chrono::seconds(2));
    EXPECT_FALSE(stalled->known_);
    EXPECT_EQ(stalled->remaining_, std::chrono::seconds(2));
}

// Statements are started every 200 ms, and another one then waits briefly. A short wait must not be taken for a queue, since the rate of starts is only the
// rate of arrivals.
TEST(WaitsAreForecast, notByThePaceOfArrivals)
{
    QueueHistory history;
    Time now(std::chrono::seconds(10));
    for (int i = 0; i < 6; ++i) {
        now += milliseconds(200);
        recordStart(history, now);
        recordWaiting(history, false, now);
    }
    recordWaiting(history, true, now);
    EXPECT_EQ(remainingQueueTime(history, 0, now + milliseconds(100)), std::nullopt);
}
