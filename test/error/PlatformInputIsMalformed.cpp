#include "ClientListener.h"
#include "LineProtocol.h"
#include "ObjectFormat.h"
#include "WireHeartbeat.h"

#include <atomic>
#include <boost/asio.hpp>
#include <boost/json/parse.hpp>
#include <gmock/gmock.h>
#include <random>
#include <thread>

using namespace Figward;
using namespace Figward::Platform;
using namespace testing;

namespace {

const std::string goodMember = R"({"meta":{"name":"i-1","revision":7},"spec":{"service":"s","address":"10.0.0.1:80","zone":"a","version":"v1","slots":5,)"
                               R"("state":"ready","cold_remaining_ms":0,"db_role":"replica","seq":4}})";
const std::string goodConfiguration =
    R"({"meta":{"name":"main","revision":9},"spec":{"version":7,"routes":[{"name":"r","host":"db","type":"primary","timeout_ms":1000,)"
    R"("service":"s"}],"services":[{"name":"s","max_conns":34,"sync_replicas":0}],"limits":{"tx_idle_ms":3000}}})";

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

std::optional<DirectoryEntry> memberOf(const std::string &body)
{
    const std::optional<StoreObject> object = readObject(body);
    return object ? readMember(*object) : std::nullopt;
}

/** Changes, drops or adds a few bytes. */
std::string mutate(std::string text, std::mt19937_64 &random)
{
    for (unsigned change = random() % 4 + 1; change > 0 && !text.empty(); --change) {
        const std::size_t place = random() % text.size();
        switch (random() % 3) {
        case 0:
            text[place] = static_cast<char>(random() % 256);
            break;
        case 1:
            text.erase(place, random() % 5 + 1);
            break;
        default:
            text.insert(place, 1, static_cast<char>(random() % 256));
        }
    }
    return text;
}

/** A listener on a thread of its own, which counts the sessions that it reports. */
class ListenerBesideClient : public EventSink
{
public:
    ListenerBesideClient()
        : listener_(context_, *this)
        , work_(context_.get_executor())
    {
        EXPECT_TRUE(listener_.open("127.0.0.1:0").ok());
        thread_ = std::thread([this] { context_.run(); });
    }

    ~ListenerBesideClient() override
    {
        context_.stop();
        thread_.join();
    }

    void post(EventBody event) override
    {
        const auto &body = std::get<SessionEvent>(event);
        opened_ += std::holds_alternative<SessionOpened>(body) ? 1 : 0;
        statements_ += std::holds_alternative<StatementArrived>(body) ? 1 : 0;
        closed_ += std::holds_alternative<SessionClosed>(body) ? 1 : 0;
        if (refuse_ && std::holds_alternative<SessionOpened>(body)) {
            listener_.refuse({std::get<SessionOpened>(body).session_, ReplyCode::NoDatabase, "no such database"});
        }
    }

    /** Sends \p text, and returns all that is answered until the connection ends; what ended it goes to \p end. */
    std::string exchange(const std::string &text, boost::system::error_code &end)
    {
        boost::asio::io_context context;
        boost::asio::ip::tcp::socket client(context);
        client.connect({boost::asio::ip::make_address("127.0.0.1"), listener_.port()});
        std::thread writer([&] {
            boost::system::error_code ignored; // The listener may have closed; the answer tells.
            boost::asio::write(client, boost::asio::buffer(text), ignored);
        });
        std::string answer;
        boost::asio::read(client, boost::asio::dynamic_buffer(answer), end);
        writer.join();
        return answer;
    }

    std::atomic<unsigned> opened_ = 0;
    std::atomic<unsigned> statements_ = 0;
    std::atomic<unsigned> closed_ = 0;
    bool refuse_ = false; ///< Every database is unknown.

private:
    boost::asio::io_context context_;
    ClientListener listener_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    std::thread thread_;
};

const std::string tooLong = "ERROR MALFORMED a line is longer than 1048576 bytes\r\n";

} // namespace

// A client, or whoever reached the port, sends lines that are none of the protocol's. Each is told apart with a reason; a control character inside a line
// must not reach a member, where it would end the line and begin another statement that no client sent.
TEST(PlatformInputIsMalformed, linesOfClients)
{
    for (const char *line : {"", "GET / HTTP/1.1", "QUERY", "QUERY - READ a", "QUERY 1 READ a\nQUERY 2 WRITE b", "START", "QUERY 1 READ a\rb"}) {
        const ClientLine parsed = parseClientLine(line);
        ASSERT_TRUE(std::holds_alternative<UnknownLine>(parsed)) << line;
        EXPECT_THAT(std::get<UnknownLine>(parsed).reason_, Not(IsEmpty()));
    }
    for (const char *line : {"QUERY 1 ", "QUERY 1 DROP a", "QUERY 1 PREPARE s q2c", "QUERY 1 SET name", "QUERY 1 EXECUTE s", "QUERY 1 READ"}) {
        const ClientLine parsed = parseClientLine(line);
        ASSERT_TRUE(std::holds_alternative<QueryLine>(parsed)) << line;
        EXPECT_EQ(std::get<QueryLine>(parsed).statement_.kind_, StatementKind::Malformed) << line;
    }
}

// Another writer than the member left its entry: a field is missing or of another type, or holds a word that is not known. It names no member.
TEST(PlatformInputIsMalformed, entriesOfMembers)
{
    ASSERT_TRUE(memberOf(goodMember).has_value());
    for (const auto &[from, to] : std::vector<std::pair<std::string, std::string>>{{R"("service":"s",)", ""},
                                                                                   {R"("address":"10.0.0.1:80")", R"("address":"nowhere")"},
                                                                                   {R"("state":"ready")", R"("state":"sleeping")"},
                                                                                   {R"("db_role":"replica")", R"("db_role":7)"},
                                                                                   {R"("seq":4)", R"("seq":"4")"},
                                                                                   {R"("seq":4)", R"("seq":4,"born":"then")"}}) {
        EXPECT_FALSE(memberOf(replaced(goodMember, from, to)).has_value()) << to;
    }
    EXPECT_EQ(memberOf(replaced(goodMember, R"("seq":4)", R"("seq":4,"born":1700000000000)"))->bornMillis_, 1700000000000);
}

// Bytes of every kind reach the readers: each answers with what it could read or with nothing, and none of them ends the process.
TEST(PlatformInputIsMalformed, mutationsOfEverything)
{
    std::mt19937_64 random(7);
    VmHeartbeat heartbeat;
    heartbeat.name_ = "vm";
    heartbeat.from_ = VmId(5);
    heartbeat.address_ = "10.0.0.1:80";
    heartbeat.groups_.resize(2);
    const std::string datagram = Wire::encodeHeartbeat(heartbeat);
    ASSERT_TRUE(Wire::decodeDatagram(datagram).has_value());
    unsigned configurations = 0;
    for (int round = 0; round < 20000; ++round) {
        parseClientLine(mutate("QUERY 5c0e PREPARE s1 WRITE q2c", random));
        ReplyReader reader;
        bool wellFormed = true;
        reader.take(mutate("COMPLETE 7.1f3", random), wellFormed);
        reader.take(mutate("READY I 3.1209", random), wellFormed);
        parseReport(mutate("replica 3 3.1209 0 12 2 17", random));
        memberOf(mutate(goodMember, random));
        const std::optional<StoreObject> object = readObject(mutate(goodConfiguration, random));
        configurations += object && readConfiguration(object->spec_).ok() ? 1 : 0;
        readList(mutate(R"({"items":[],"has_more":false,"store_revision":530})", random));
        readEvents(mutate(R"({"events":[{"deleted":false,"object":{}}],"store_revision":533})", random));
        Wire::decodeDatagram(mutate(datagram, random));
    }
    EXPECT_GT(configurations, 0U) << "some changes do no harm";
    EXPECT_LT(configurations, 20000U);
}

// A client sends a line without end. It gets one error that names the limit and then the end of its session; the rest of the line is read and dropped
// meanwhile, since a connection that is closed over unread bytes is reset, and the reset takes the error with it.
TEST(PlatformInputIsMalformed, aLineWithoutEnd)
{
    constexpr std::size_t size = std::size_t{3} << 20U;
    ListenerBesideClient listener;
    boost::system::error_code end;
    EXPECT_EQ(listener.exchange("START db\r\nQUERY 1 READ " + std::string(size, 'a'), end), tooLong);
    EXPECT_EQ(end, boost::asio::error::eof);
    EXPECT_EQ(listener.opened_, 1U);
    EXPECT_EQ(listener.closed_, 1U);
}

// A line of just the size that is allowed is taken, one of a byte more is not, whether its end came with it or not.
TEST(PlatformInputIsMalformed, aLineOfTheLongestSize)
{
    const std::string verb = "START ";
    for (const std::size_t size : {lineLimit, lineLimit + 1}) {
        ListenerBesideClient listener;
        boost::system::error_code end;
        const std::string answer = listener.exchange(verb + std::string(size - verb.size(), 'd') + "\r\nNONSENSE\r\n", end);
        EXPECT_EQ(answer, size > lineLimit ? tooLong : "ERROR MALFORMED no message of this protocol\r\n");
        EXPECT_EQ(end, boost::asio::error::eof);
        EXPECT_EQ(listener.opened_, size > lineLimit ? 0U : 1U);
    }
}

// A client does not wait for answers: more lines follow one that is refused, in the same packet. They belong to a session that has ended, and are dropped;
// taken for a session that is no longer known, they would end the process.
TEST(PlatformInputIsMalformed, linesAfterOneThatEndsTheSession)
{
    ListenerBesideClient listener;
    boost::system::error_code end;
    EXPECT_EQ(listener.exchange("START db\r\nNONSENSE\r\nQUERY 1 READ a\r\nNONSENSE\r\n", end), "ERROR MALFORMED no message of this protocol\r\n");
    EXPECT_EQ(end, boost::asio::error::eof);
    EXPECT_EQ(listener.statements_, 0U);
    listener.refuse_ = true;
    EXPECT_EQ(listener.exchange("START unknown\r\nQUERY 1 READ a\r\nQUERY 2 READ a\r\n", end), "ERROR NODB no such database\r\n");
    EXPECT_EQ(end, boost::asio::error::eof);
    EXPECT_EQ(listener.statements_, 0U);
    EXPECT_EQ(listener.exchange("NONSENSE\r\n", end), "ERROR MALFORMED no message of this protocol\r\n") << "the listener still serves";
}

// Guards against a configuration that cannot be read and a line that does not say where; the line shows no key.
TEST(PlatformInputIsMalformed, aConfigurationNamesTheEntryThatCannotBeRead)
{
    const auto reasonOf = [](const char *routes, const char *organisations) {
        const std::string spec = std::string(R"({"version":4,"services":[],"routes":)") + routes + R"(,"tenants":)" + organisations + "}";
        return std::string(readConfiguration(boost::json::parse(spec)).status().message());
    };
    EXPECT_THAT(reasonOf(R"([{"host":"a"}])", "[]"), HasSubstr("routes[0]"));
    EXPECT_THAT(reasonOf("[]", R"([{"name":"acme","api_keys":["secret"]},{"name":"other","api_keys":["secret",7]}])"),
                AllOf(HasSubstr("tenants[1]"), Not(HasSubstr("secret"))));
}
