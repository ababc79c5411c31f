#include "StoreClient.h"

#include <boost/asio/io_context.hpp>
#include <gmock/gmock.h>

using namespace Figward;
using namespace testing;

namespace {

class MockEvents : public EventSink
{
public:
    MOCK_METHOD(void, post, (EventBody event), (override));
};

class NoLog : public LogPort
{
public:
    void write(LogNumber /*number*/, const std::vector<LogField> & /*fields*/) override
    {
    }
};

std::string object(const std::string &name, unsigned revision, unsigned version)
{
    return R"({"meta":{"name":")" + name + R"(","revision":)" + std::to_string(revision) + R"(},"spec":{"version":)" + std::to_string(version)
           + R"(,"routes":[],"services":[],"limits":{}}})";
}

} // namespace

// Guards against skipping an event whose object cannot be parsed: the next watch would start after it, and the change would never be read.
TEST(ConfigurationEventIsTakenWhole, orNotAtAll)
{
    boost::asio::io_context context;
    HttpListener store(context, [](const HttpServerRequest & /*request*/, const HttpListener::Respond &respond) {
        respond({200, R"({"events":[{"deleted":false,"object":{"meta":{"name":"main"},"spec":{}}}],"store_revision":13})"});
    });
    ASSERT_TRUE(store.open("127.0.0.1:0").ok());
    NiceMock<MockEvents> events;
    NoLog log;
    Platform::StoreClient client(context, events, log, store.address());
    std::optional<StoreResult> result;
    ON_CALL(events, post).WillByDefault([&](const EventBody &event) {
        if (const auto *answer = std::get_if<StoreAnswered>(&std::get<SessionEvent>(event))) {
            result = answer->result_;
            context.stop();
        }
    });
    client.call(StoreCall{.id_ = CallId(1), .timeout_ = std::chrono::seconds(2), .request_ = WatchConfiguration{10, std::chrono::seconds(1)}});
    context.run_for(std::chrono::seconds(5));
    EXPECT_EQ(result, StoreResult::Unreadable);
}

// Guards against reading the configuration again after a watch has already returned the whole object. On a slow link, where one transfer takes a second, the
// second transfer would delay the activation of the change and the statements queued behind it. Here the watch returns two changes at once.
TEST(ConfigurationEventIsTakenWhole, withoutAReadOfTheSame)
{
    boost::asio::io_context context;
    std::vector<std::string> requestedTargets;
    HttpListener store(context, [&](const HttpServerRequest &request, const HttpListener::Respond &respond) {
        requestedTargets.push_back(request.target_);
        const auto event = [](const std::string &whole) { return R"({"deleted":false,"object":)" + whole + "}"; };
        const std::string events = event(object("main", 11, 4)) + "," + event(object("main", 12, 6)) + "," + event(object("other", 13, 1));
        respond({200, R"({"events":[)" + events + R"(],"store_revision":13})"});
    });
    ASSERT_TRUE(store.open("127.0.0.1:0").ok());
    MockEvents events;
    NoLog log;
    Platform::StoreClient client(context, events, log, store.address());
    std::optional<ConfigurationRead> read;
    InSequence inOrder;
    EXPECT_CALL(events, post).WillOnce([](const EventBody &event) { EXPECT_EQ(std::get<StoreAnswerBegan>(std::get<SessionEvent>(event)).id_, CallId(1)); });
    EXPECT_CALL(events, post).WillOnce([&](const EventBody &event) {
        const auto &answer = std::get<StoreAnswered>(std::get<SessionEvent>(event));
        EXPECT_EQ(answer.result_, StoreResult::Done);
        read = std::get<ConfigurationRead>(answer.content_);
        context.stop();
    });
    client.call(StoreCall{.id_ = CallId(1), .timeout_ = std::chrono::seconds(2), .request_ = WatchConfiguration{10, std::chrono::seconds(1)}});
    context.run_for(std::chrono::seconds(5));

    ASSERT_TRUE(read && read->configuration_);
    EXPECT_EQ(read->configuration_->version_, ConfigVersion(6));
    EXPECT_EQ(read->revision_, 12U);
    EXPECT_THAT(requestedTargets, ElementsAre("/-/objects/config?watch=10&wait_ms=1000"));
    const HttpServerResponse mirrored = client.mirror("/-/objects/config/main");
    ASSERT_EQ(mirrored.status_, 200U);
    EXPECT_EQ(Platform::readObject(mirrored.body_)->revision_, 12U) << "other VMs read the mirrored configuration while the store is unavailable";
}
