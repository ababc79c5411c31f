#include "LineClient.h"
#include "StandinPlatform.h"
#include "support/ServeProcess.h"

#include <gmock/gmock.h>
#include <thread>

using namespace Figward;
using namespace Figward::Platform;
using namespace Figward::Testing;
using namespace testing;

namespace {

using std::chrono::milliseconds;

constexpr milliseconds drainTime(2000);
constexpr milliseconds startupLimit(8000);
constexpr milliseconds clientTimeout(4000);

/** One VM as a process of its own, with the platform that it uses. */
class ServeProcessEnds : public Test
{
protected:
    void SetUp() override
    {
        ASSERT_TRUE(platform_.start().ok());
        ServeOptions options;
        options.name_ = "vm-0";
        options.zone_ = "zone-0";
        options.clientAddress_ = freeLoopbackAddress();
        options.peerAddress_ = freeLoopbackAddress();
        options.readyAddress_ = freeLoopbackAddress();
        options.storeAddress_ = platform_.storeAddress();
        options.promotionAddress_ = platform_.promotionAddress();
        options.drainTime_ = drainTime;
        process_ = std::make_unique<ServeProcess>(options);
        process_->start();
        ASSERT_TRUE(awaitService()) << process_->log();
    }

    std::unique_ptr<LineClient> open(const std::string &database)
    {
        auto client = std::make_unique<LineClient>(clientTimeout);
        return client->open(process_->options().clientAddress_, database) ? std::move(client) : nullptr;
    }

    /** Waits until a write succeeds, which takes an authority over the primary. */
    bool awaitService()
    {
        constexpr milliseconds step(50);
        for (const auto end = std::chrono::steady_clock::now() + startupLimit; std::chrono::steady_clock::now() < end; std::this_thread::sleep_for(step)) {
            const std::unique_ptr<LineClient> client = open("ledger");
            const std::optional<SessionReply> reply = client ? client->execute("first", "WRITE a 1") : std::nullopt;
            if (reply && reply->code_ == ReplyCode::None) {
                return true;
            }
        }
        return false;
    }

    StandinPlatform platform_;
    std::unique_ptr<ServeProcess> process_;
};

} // namespace

// Guards against a second SIGTERM that ends the process at once, with the statements in progress.
TEST_F(ServeProcessEnds, aSecondSigtermCutsNothing)
{
    const std::unique_ptr<LineClient> client = open("ledger");
    ASSERT_NE(client, nullptr);
    platform_.setStatementDuration(milliseconds(300));
    ASSERT_TRUE(client->send("long", "WRITE a 2"));
    std::this_thread::sleep_for(milliseconds(50));
    process_->signal(SIGTERM);
    std::this_thread::sleep_for(milliseconds(50));
    process_->signal(SIGTERM);
    const std::optional<SessionReply> reply = client->receive();
    ASSERT_TRUE(reply.has_value()) << "the connection was closed without an answer";
    EXPECT_EQ(reply->code_, ReplyCode::None);
    EXPECT_EQ(process_->awaitEnd(drainTime), 0);
}

// Guards against connections that are closed without an answer because a member has not answered by the end of the process.
TEST_F(ServeProcessEnds, afterItHasAnsweredWhatItsMembersHaveNot)
{
    const std::unique_ptr<LineClient> reader = open("history");
    const std::unique_ptr<LineClient> writer = open("ledger");
    ASSERT_NE(reader, nullptr);
    ASSERT_NE(writer, nullptr);
    process_->signal(SIGTERM);
    std::this_thread::sleep_for(milliseconds(750));
    platform_.setStatementDuration(milliseconds(1500));
    ASSERT_TRUE(reader->send("read", "READ a"));
    ASSERT_TRUE(writer->send("write", "WRITE a 2"));
    const std::optional<SessionReply> read = reader->receive();
    const std::optional<SessionReply> written = writer->receive();
    ASSERT_TRUE(read && written) << "a connection was closed without an answer";
    EXPECT_EQ(read->code_, ReplyCode::Retry) << "a read can be repeated at another VM";
    EXPECT_EQ(written->code_, ReplyCode::InDoubt) << "the write may have run";
    EXPECT_EQ(process_->awaitEnd(drainTime), 0);
    EXPECT_THAT(process_->log(), HasSubstr("drain-unfinished"));
}
