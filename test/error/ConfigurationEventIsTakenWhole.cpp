#include "StoreLink.h"

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

// Guards against an event whose object cannot be read: the watch went on behind it, and the change was never read.
TEST(ConfigurationEventIsTakenWhole, orNotAtAll)
{
    boost::asio::io_context context;
    HttpListener store(context, [](const HttpCall & /*call*/, const HttpListener::Respond &respond) {
        respond({200, R"({"events":[{"deleted":false,"object":{"meta":{"name":"main"},"spec":{}}}],"store_revision":13})"});
    });
    ASSERT_TRUE(store.open("127.0.0.1:0").ok());
    NiceMock<MockEvents> events;
    NoLog log;
    Platform::StoreLink link(context, events, log, store.address());
    std::optional<StoreResult> result;
    ON_CALL(events, post).WillByDefault([&](const EventBody &event) {
        if (const auto *answer = std::get_if<StoreAnswered>(&std::get<SessionEvent>(event))) {
            result = answer->result_;
            context.stop();
        }
    });
    link.call(StoreCall{.id_ = CallId(1), .timeout_ = std::chrono::seconds(2), .request_ = WatchConfiguration{10, std::chrono::seconds(1)}});
    context.run_for(std::chrono::seconds(5));
    EXPECT_EQ(result, StoreResult::Unreadable);
}

// A VM with a small link watches the configuration, which takes it a second to receive. Two changes come at once, and the watch answers with both, each whole. The VM once
// read the object again after that, and had the change in force only when it had received it twice, while statements waited behind it.
TEST(ConfigurationEventIsTakenWhole, withoutAReadOfTheSame)
{
    boost::asio::io_context context;
    std::vector<std::string> asked;
    HttpListener store(context, [&](const HttpCall &call, const HttpListener::Respond &respond) {
        asked.push_back(call.target_);
        const auto event = [](const std::string &whole) { return R"({"deleted":false,"object":)" + whole + "}"; };
        const std::string events = event(object("main", 11, 4)) + "," + event(object("main", 12, 6)) + "," + event(object("other", 13, 1));
        respond({200, R"({"events":[)" + events + R"(],"store_revision":13})"});
    });
    ASSERT_TRUE(store.open("127.0.0.1:0").ok());
    MockEvents events;
    NoLog log;
    Platform::StoreLink link(context, events, log, store.address());
    std::optional<ConfigurationRead> read;
    InSequence inOrder;
    EXPECT_CALL(events, post).WillOnce([](const EventBody &event) { EXPECT_EQ(std::get<StoreAnswerBegan>(std::get<SessionEvent>(event)).id_, CallId(1)); });
    EXPECT_CALL(events, post).WillOnce([&](const EventBody &event) {
        const auto &answer = std::get<StoreAnswered>(std::get<SessionEvent>(event));
        EXPECT_EQ(answer.result_, StoreResult::Done);
        read = std::get<ConfigurationRead>(answer.content_);
        context.stop();
    });
    link.call(StoreCall{.id_ = CallId(1), .timeout_ = std::chrono::seconds(2), .request_ = WatchConfiguration{10, std::chrono::seconds(1)}});
    context.run_for(std::chrono::seconds(5));

    ASSERT_TRUE(read && read->configuration_);
    EXPECT_EQ(read->configuration_->version_, ConfigVersion(6));
    EXPECT_EQ(read->revision_, 12U);
    EXPECT_THAT(asked, ElementsAre("/-/objects/config?watch=10&wait_ms=1000"));
    const HttpAnswer mirrored = link.mirror("/-/objects/config/main");
    ASSERT_EQ(mirrored.status_, 200U);
    EXPECT_EQ(Platform::readObject(mirrored.body_)->revision_, 12U) << "other VMs read it here while the store is away";
}
