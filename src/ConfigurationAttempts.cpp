#include "ConfigurationAttempts.h"

#include <algorithm>

namespace Figward {

namespace {

/** Another VM begins to answer within some milliseconds unless its processor or link is very busy. */
constexpr Duration vmPatience = std::chrono::milliseconds(250);
/** The store does so in a slow spell within some 400 ms. */
constexpr Duration storePatience = std::chrono::milliseconds(600);
/** An answer that has begun gets at least this long, and in any case twice what the last one took. */
constexpr Duration leastTransfer = std::chrono::milliseconds(1000);
constexpr std::ptrdiff_t mostArriving = 2;
/** A packet that was lost has been sent again by then. */
constexpr Duration secondCallAfter = std::chrono::milliseconds(1000);
constexpr std::size_t mostAtOneVm = 2;

} // namespace

bool isOverdue(const ConfigurationAttempt &attempt, Duration transfer, Time now)
{
    if (attempt.beganAt_) {
        return now - *attempt.beganAt_ >= std::max(leastTransfer, 2 * transfer);
    }
    return now - attempt.askedAt_ >= (attempt.peer_.empty() ? storePatience : vmPatience);
}

bool mayAskAnother(const ConfigurationAttempts &attempts, Duration transfer, Time now)
{
    const auto arrives = [](const ConfigurationAttempt &attempt) { return attempt.beganAt_.has_value(); };
    return std::ranges::all_of(attempts, [&](const ConfigurationAttempt &attempt) { return isOverdue(attempt, transfer, now); })
           && std::ranges::count_if(attempts, arrives) < mostArriving;
}

std::size_t countAsking(const ConfigurationAttempts &attempts, const std::string &peer)
{
    return static_cast<std::size_t>(std::ranges::count(attempts, peer, &ConfigurationAttempt::peer_));
}

bool mayAsk(const ConfigurationAttempts &attempts, const std::string &peer, Time now)
{
    const auto isRecent = [&](const ConfigurationAttempt &attempt) {
        return attempt.peer_ == peer && (attempt.beganAt_ || now - attempt.askedAt_ < secondCallAfter);
    };
    return std::ranges::none_of(attempts, isRecent) && countAsking(attempts, peer) < mostAtOneVm;
}

ConfigurationAttempts attemptsAtVms(const ConfigurationAttempts &attempts)
{
    ConfigurationAttempts found;
    std::ranges::copy_if(attempts, std::back_inserter(found), [](const ConfigurationAttempt &attempt) { return !attempt.peer_.empty(); });
    return found;
}

} // namespace Figward
