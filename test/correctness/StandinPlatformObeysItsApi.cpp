#include "PlatformModel.h"

#include <gtest/gtest.h>

using namespace Figward;
using namespace Figward::Standin;

namespace {

constexpr Duration timeout = std::chrono::seconds(1);

PlatformReply ask(PlatformModel &platform, PlatformBody body, Time now)
{
    platform.call(PlatformTag(1), {CallId(7), timeout, std::move(body)}, now);
    return platform.takeReplies(now).at(0);
}

} // namespace

TEST(StandinPlatform, updatesOnlyTheExpectedVersion)
{
    PlatformModel platform({}, 1);
    EXPECT_EQ(ask(platform, PutObject{"p", ObjectVersion(0), "x"}, {}).answer_.version_, ObjectVersion(1));
    EXPECT_EQ(ask(platform, PutObject{"p", ObjectVersion(0), "y"}, {}).answer_.status_, PlatformStatus::Conflict);
    EXPECT_EQ(ask(platform, GetObject{"p"}, {}).answer_.value_, "x");
    EXPECT_EQ(ask(platform, GetObject{"q"}, {}).answer_.status_, PlatformStatus::NotFound);
}

TEST(StandinPlatform, aWatchWaitsForAChangeOrItsTimeout)
{
    PlatformModel platform({}, 1);
    platform.call(PlatformTag(5), {CallId(1), timeout, WatchObject{"p", ObjectVersion(0)}}, {});
    platform.call(PlatformTag(6), {CallId(2), timeout, WatchObject{"q", ObjectVersion(0)}}, {});
    EXPECT_TRUE(platform.takeReplies({}).empty());
    platform.call(PlatformTag(7), {CallId(3), timeout, PutObject{"p", ObjectVersion(0), "x"}}, {});
    EXPECT_EQ(platform.takeReplies({}).at(0).tag_, PlatformTag(5));
    EXPECT_EQ(platform.nextTimeout(), Time() + timeout);
    EXPECT_EQ(platform.takeReplies(Time() + timeout).at(0).answer_.status_, PlatformStatus::NotFound);
}

TEST(StandinPlatform, anAnswerMayBeLostAfterItsEffect)
{
    PlatformModel platform({}, 1);
    platform.setFaults({.lossPercent_ = 100});
    const PlatformReply reply = ask(platform, PutObject{"p", ObjectVersion(0), "x"}, {});
    EXPECT_EQ(reply.answer_.status_, PlatformStatus::Lost);
    EXPECT_EQ(reply.at_, Time() + timeout);
    EXPECT_EQ(platform.objects().at("p").value_, "x");
}

TEST(StandinPlatform, anOutageChangesNothing)
{
    PlatformModel platform({}, 1);
    platform.setFaults({.down_ = true});
    EXPECT_EQ(ask(platform, PutObject{"p", ObjectVersion(0), "x"}, {}).answer_.status_, PlatformStatus::Unavailable);
    platform.setFaults({.down_ = true, .silent_ = true});
    EXPECT_EQ(ask(platform, PutObject{"p", ObjectVersion(0), "x"}, {}).answer_.status_, PlatformStatus::Lost);
    EXPECT_TRUE(platform.objects().empty());
    EXPECT_EQ(platform.counts().puts_, 0U);
}

TEST(StandinPlatform, theListOfVmsLags)
{
    const PlatformModelConfig config{.listLag_ = std::chrono::seconds(3)};
    PlatformModel platform(config, 1);
    platform.setVms({{VmId(1)}}, {});
    platform.setVms({{VmId(1)}, {VmId(2)}}, Time() + timeout);
    EXPECT_EQ(ask(platform, ListVms{}, Time() + timeout).answer_.vms_.size(), 1U);
    EXPECT_EQ(ask(platform, ListVms{}, Time() + timeout + config.listLag_).answer_.vms_.size(), 2U);
}
