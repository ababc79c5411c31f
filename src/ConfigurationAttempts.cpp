#include "ConfigurationAttempts.h"

#include <algorithm>

namespace Figward {

namespace {

/** Timeout for the start of another VM's answer, which takes some milliseconds unless its processor or link is very busy. */
constexpr Duration vmAnswerTimeout = std::chrono::milliseconds(250);
/** Timeout for the start of the store's answer, which takes up to about 400 ms when the store is slow. */
constexpr Duration storeAnswerTimeout = std::chrono::milliseconds(600);
/** Minimum time allowed for an answer that has begun to arrive; it is allowed at least twice the time of the last transfer. */
constexpr Duration minTransferTimeout = std::chrono::milliseconds(1000);
constexpr std::ptrdiff_t maxArriving = 2;
/** Time after which a second attempt at the same VM may be made: a lost packet has been retransmitted by then. */
constexpr Duration secondAttemptDelay = std::chrono::milliseconds(1000);
constexpr std::size_t maxPerVm = 2;

} // namespace

bool isOverdue(const ConfigurationAttempt &attempt, Duration transfer, Time now)
{
    if (attempt.answerBeganAt_) {
        return now - *attempt.answerBeganAt_ >= std::max(minTransferTimeout, 2 * transfer);
    }
    return now - attempt.askedAt_ >= (attempt.peer_.empty() ? storeAnswerTimeout : vmAnswerTimeout);
}

bool mayStartAnother(const ConfigurationAttempts &attempts, Duration transfer, Time now)
{
    const auto arrives = [](const ConfigurationAttempt &attempt) { return attempt.answerBeganAt_.has_value(); };
    return std::ranges::all_of(attempts, [&](const ConfigurationAttempt &attempt) { return isOverdue(attempt, transfer, now); })
           && std::ranges::count_if(attempts, arrives) < maxArriving;
}

std::size_t countAttemptsAt(const ConfigurationAttempts &attempts, const std::string &peer)
{
    return static_cast<std::size_t>(std::ranges::count(attempts, peer, &ConfigurationAttempt::peer_));
}

bool mayReadFrom(const ConfigurationAttempts &attempts, const std::string &peer, Time now)
{
    const auto isRecent = [&](const ConfigurationAttempt &attempt) {
        return attempt.peer_ == peer && (attempt.answerBeganAt_ || now - attempt.askedAt_ < secondAttemptDelay);
    };
    return std::ranges::none_of(attempts, isRecent) && countAttemptsAt(attempts, peer) < maxPerVm;
}

ConfigurationAttempts attemptsAtVms(const ConfigurationAttempts &attempts)
{
    ConfigurationAttempts found;
    std::ranges::copy_if(attempts, std::back_inserter(found), [](const ConfigurationAttempt &attempt) { return !attempt.peer_.empty(); });
    return found;
}

} // namespace Figward
