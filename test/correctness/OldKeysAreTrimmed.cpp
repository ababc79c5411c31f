#include "support/ScriptedProxy.h"

#include <gtest/gtest.h>

using namespace Figward;
using Figward::Testing::ScriptedProxy;

namespace {

constexpr std::uint64_t wallClock = 2'000'000'000;
constexpr std::uint64_t secondsPerDay = 86400;
constexpr std::uint64_t secondsPerTrimRound = 660;
constexpr std::uint64_t twoHours = 7200;

/** Returns the TrimKeys calls sent so far. */
std::vector<TrimKeys> trims(const ScriptedProxy &proxy)
{
    std::vector<TrimKeys> found;
    for (const Effect &effect : proxy.effects_) {
        const auto *control = std::get_if<SendControl>(&effect);
        if (control != nullptr && std::holds_alternative<TrimKeys>(control->call_.body_)) {
            found.push_back(std::get<TrimKeys>(control->call_.body_));
        }
    }
    return found;
}

} // namespace

TEST(OldKeysAreTrimmed, onlySessionsBeyondTheRetention)
{
    ScriptedProxy proxy;
    proxy.state_.wallClock_ = {proxy.now_, wallClock};
    proxy.pass(std::chrono::minutes(11));
    ASSERT_FALSE(trims(proxy).empty());
    const std::uint64_t dayAgo = wallClock - secondsPerDay;
    EXPECT_GE(trims(proxy).front().sessionsBefore_, dayAgo);
    EXPECT_LE(trims(proxy).front().sessionsBefore_, dayAgo + secondsPerTrimRound);
    EXPECT_EQ(trims(proxy).front().requiredTerm_, Term(1));
}

TEST(OldKeysAreTrimmed, trimmedKeyIsUnknownNotRunAgain)
{
    ScriptedProxy proxy;
    const RequestId id = proxy.ask(ScriptedProxy::write(1, "put k v"));
    proxy.answer(proxy.takeStatement(), UpstreamResult::Trimmed);
    ASSERT_EQ(proxy.answersTo(id).size(), 1U);
    EXPECT_EQ(proxy.answersTo(id).front().outcome_, Outcome::Unknown);
    EXPECT_EQ(proxy.answersTo(id).front().error_, ErrorKind::KeyTrimmed);
}

TEST(OldKeysAreTrimmed, sessionFromTheFutureIsRefused)
{
    ScriptedProxy proxy;
    proxy.state_.wallClock_ = {proxy.now_, wallClock};
    Request write = ScriptedProxy::write(1, "put k v");
    write.key_->session_.startedSeconds_ = wallClock + twoHours;
    const RequestId id = proxy.ask(write);
    ASSERT_EQ(proxy.answersTo(id).size(), 1U);
    EXPECT_EQ(proxy.answersTo(id).front().error_, ErrorKind::BadRequest);
}
