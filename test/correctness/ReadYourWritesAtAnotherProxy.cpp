// A session writes through one proxy and reads through another before any replica has the write. The read carries the token of the write's answer, so the
// member that serves it must have the write.
#include "support/World.h"

#include <gtest/gtest.h>

using namespace Figward;
using namespace Figward::Testing;

namespace {

constexpr Duration second = std::chrono::seconds(1);

Request request(RequestKind kind, const std::string &body, Sequence sequence)
{
    Request made{.kind_ = kind, .service_ = ServiceId("ledger"), .group_ = World::groupId(0), .body_ = body, .timeout_ = second};
    made.class_ = ClassId("fitment");
    if (kind == RequestKind::Write) {
        made.key_ = {{100, 1}, sequence};
    }
    return made;
}

} // namespace

TEST(ReadYourWrites, holdsAtAnotherProxyWhileReplicasLag)
{
    World world({.seed_ = 1, .group_ = {.replicationDelay_ = std::chrono::milliseconds(50)}});
    world.run(second);
    const std::optional<Answer> written = world.askAndWait(0, request(RequestKind::Write, "put tyre mounted", Sequence(1)));
    ASSERT_TRUE(written.has_value());
    ASSERT_EQ(written->outcome_, Outcome::Done);
    for (ProxyIndex proxy = 0; proxy < world.proxies(); ++proxy) {
        Request read = request(RequestKind::Read, "get tyre", {});
        read.token_ = written->token_;
        const std::optional<Answer> answer = world.askAndWait(proxy, read);
        ASSERT_TRUE(answer.has_value());
        EXPECT_EQ(answer->outcome_, Outcome::Done);
        EXPECT_EQ(answer->body_, "mounted");
    }
}

TEST(ReadYourWrites, twoRunsOfOneSeedAreEqual)
{
    const auto run = [] {
        std::vector<std::string> lines;
        World world({.seed_ = 7});
        world.setTrace(&lines);
        world.run(second);
        world.askAndWait(1, request(RequestKind::Write, "add n 1", Sequence(1)));
        return lines;
    };
    const std::vector<std::string> first = run();
    EXPECT_FALSE(first.empty());
    EXPECT_EQ(first, run());
}
