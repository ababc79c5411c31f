#include "ClientListener.h"
#include "LineProtocol.h"
#include "ObjectFormat.h"
#include "WireHeartbeat.h"

#include <algorithm>
#include <atomic>
#include <boost/asio.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <gmock/gmock.h>
#include <random>
#include <rapidcheck/gtest.h>
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

std::optional<DirectoryEntry> parseMember(const std::string &body)
{
    const std::optional<StoreObject> object = readObject(body);
    return object ? readMember(*object) : std::nullopt;
}

/** Changes, removes or inserts a few bytes. */
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

/** Runs a listener on its own thread and counts the session events that it posts. */
class ListenerOnThread : public EventSink
{
public:
    ListenerOnThread()
        : listener_(context_, *this)
        , work_(context_.get_executor())
    {
        EXPECT_TRUE(listener_.open("127.0.0.1:0").ok());
        thread_ = std::thread([this] { context_.run(); });
    }

    ~ListenerOnThread() override
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

    /** Sends \p text and returns everything received until the connection ends; \p end is set to the error that ended it. */
    std::string exchange(const std::string &text, boost::system::error_code &end)
    {
        boost::asio::io_context context;
        boost::asio::ip::tcp::socket client(context);
        client.connect({boost::asio::ip::make_address("127.0.0.1"), listener_.port()});
        std::thread writer([&] {
            boost::system::error_code ignored; // The listener may have closed the connection; the answer shows why.
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
    bool refuse_ = false; ///< Refuse every session because its database is unknown.

private:
    boost::asio::io_context context_;
    ClientListener listener_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    std::thread thread_;
};

const std::string tooLong = "ERROR MALFORMED a line is longer than 1048576 bytes\r\n";

} // namespace

// Lines that the protocol does not allow must be rejected with a reason. A control character inside a line must not reach a member, where it would end the
// line and start another statement that no client sent.
TEST(PlatformInputIsMalformed, linesOfClients)
{
    for (const char *line : {"", "GET / HTTP/1.1", "QUERY", "QUERY - READ a", "QUERY 1 READ a\nQUERY 2 WRITE b", "START", "QUERY 1 READ a\rb"}) {
        const ClientLine parsed = parseClientLine(line);
        ASSERT_TRUE(std::holds_alternative<InvalidLine>(parsed)) << line;
        EXPECT_THAT(std::get<InvalidLine>(parsed).reason_, Not(IsEmpty()));
    }
    for (const char *line : {"QUERY 1 ", "QUERY 1 DROP a", "QUERY 1 PREPARE s q2c", "QUERY 1 SET name", "QUERY 1 EXECUTE s", "QUERY 1 READ"}) {
        const ClientLine parsed = parseClientLine(line);
        ASSERT_TRUE(std::holds_alternative<QueryLine>(parsed)) << line;
        EXPECT_EQ(std::get<QueryLine>(parsed).statement_.kind_, StatementKind::Malformed) << line;
    }
}

// A member's object with a missing field, a field of the wrong type or an unknown value must be rejected.
TEST(PlatformInputIsMalformed, entriesOfMembers)
{
    ASSERT_TRUE(parseMember(goodMember).has_value());
    for (const auto &[from, to] : std::vector<std::pair<std::string, std::string>>{{R"("service":"s",)", ""},
                                                                                   {R"("address":"10.0.0.1:80")", R"("address":"nowhere")"},
                                                                                   {R"("state":"ready")", R"("state":"sleeping")"},
                                                                                   {R"("db_role":"replica")", R"("db_role":7)"},
                                                                                   {R"("seq":4)", R"("seq":"4")"},
                                                                                   {R"("seq":4)", R"("seq":4,"born":"then")"}}) {
        EXPECT_FALSE(parseMember(replaced(goodMember, from, to)).has_value()) << to;
    }
    EXPECT_EQ(parseMember(replaced(goodMember, R"("seq":4)", R"("seq":4,"born":1700000000000)"))->started_, MemberStart(1700000000000));
}

// Guards against entries of another writer that hide those of members. Fields are missing, have another type or a value that is not known; whichever they are
// and wherever they stand, the entries beside them name the same members.
RC_GTEST_PROP(PlatformInputIsMalformed, entriesOfAnotherWriterLeaveTheOthers, ())
{
    const std::vector<std::string> fields{"service", "address", "zone", "state", "db_role", "seq"};
    const std::vector<std::string> values{"null", "7", "-1", "true", "{}", "[1]", R"("unknown")", R"("")", R"("\u0000")"};
    const auto entries = *rc::gen::container<std::vector<bool>>(rc::gen::arbitrary<bool>());
    std::string items;
    std::vector<MemberId> good;
    for (std::size_t place = 0; place < entries.size(); ++place) {
        const std::string name = "i-" + std::to_string(place);
        boost::json::value entry = boost::json::parse(replaced(goodMember, "i-1", name));
        boost::json::object &spec = entry.at("spec").as_object();
        if (entries[place]) {
            good.emplace_back(name);
        } else if (*rc::gen::arbitrary<bool>()) {
            spec.erase(*rc::gen::elementOf(fields));
        } else {
            spec[*rc::gen::elementOf(std::vector<std::string>{"address", "state", "db_role", "seq"})] = boost::json::parse(*rc::gen::elementOf(values));
        }
        items += (items.empty() ? "" : ",") + boost::json::serialize(entry);
    }
    const std::optional<ObjectList> list = readList(R"({"items":[)" + items + R"(],"has_more":false,"store_revision":9})");
    RC_ASSERT(list.has_value());
    std::vector<MemberId> read;
    for (const StoreObject &object : list->objects_) {
        if (const std::optional<DirectoryEntry> member = readMember(object); member && std::ranges::find(good, member->id_) != good.end()) {
            RC_ASSERT(member->address_ == "10.0.0.1:80");
            read.push_back(member->id_);
        }
    }
    RC_ASSERT(read == good);
}

// The parsers must accept or reject arbitrary bytes without crashing the process.
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
        ReplyParser parser;
        bool wellFormed = true;
        parser.addLine(mutate("COMPLETE 7.1f3", random), wellFormed);
        parser.addLine(mutate("READY I 3.1209", random), wellFormed);
        parseReport(mutate("replica 3 3.1209 0 12 2 17", random));
        parseMember(mutate(goodMember, random));
        const std::optional<StoreObject> object = readObject(mutate(goodConfiguration, random));
        configurations += object && readConfiguration(object->spec_).ok() ? 1 : 0;
        readList(mutate(R"({"items":[],"has_more":false,"store_revision":530})", random));
        readEvents(mutate(R"({"events":[{"deleted":false,"object":{}}],"store_revision":533})", random));
        Wire::decodeDatagram(mutate(datagram, random));
    }
    EXPECT_GT(configurations, 0U) << "some mutations leave the configuration valid";
    EXPECT_LT(configurations, 20000U);
}

// A client that sends a line without an end must receive one error that states the limit, and then the end of its session. The rest of the line is read and
// discarded, because closing a socket with unread data resets the connection and the client would lose the error.
TEST(PlatformInputIsMalformed, aLineWithoutEnd)
{
    constexpr std::size_t size = std::size_t{3} << 20U;
    ListenerOnThread listener;
    boost::system::error_code end;
    EXPECT_EQ(listener.exchange("START db\r\nQUERY 1 READ " + std::string(size, 'a'), end), tooLong);
    EXPECT_EQ(end, boost::asio::error::eof);
    EXPECT_EQ(listener.opened_, 1U);
    EXPECT_EQ(listener.closed_, 1U);
}

// A line of the maximum size must be accepted, and one that is a byte longer rejected, whether or not its end has been received.
TEST(PlatformInputIsMalformed, aLineOfTheLongestSize)
{
    const std::string verb = "START ";
    for (const std::size_t size : {lineLimit, lineLimit + 1}) {
        ListenerOnThread listener;
        boost::system::error_code end;
        const std::string answer = listener.exchange(verb + std::string(size - verb.size(), 'd') + "\r\nNONSENSE\r\n", end);
        EXPECT_EQ(answer, size > lineLimit ? tooLong : "ERROR MALFORMED no message of this protocol\r\n");
        EXPECT_EQ(end, boost::asio::error::eof);
        EXPECT_EQ(listener.opened_, size > lineLimit ? 0U : 1U);
    }
}

// A client may send more lines in the same packet after one that ends its session. These lines must be discarded; handling them for a session that is no
// longer known would crash the process.
TEST(PlatformInputIsMalformed, linesAfterOneThatEndsTheSession)
{
    ListenerOnThread listener;
    boost::system::error_code end;
    EXPECT_EQ(listener.exchange("START db\r\nNONSENSE\r\nQUERY 1 READ a\r\nNONSENSE\r\n", end), "ERROR MALFORMED no message of this protocol\r\n");
    EXPECT_EQ(end, boost::asio::error::eof);
    EXPECT_EQ(listener.statements_, 0U);
    listener.refuse_ = true;
    EXPECT_EQ(listener.exchange("START unknown\r\nQUERY 1 READ a\r\nQUERY 2 READ a\r\n", end), "ERROR NODB no such database\r\n");
    EXPECT_EQ(end, boost::asio::error::eof);
    EXPECT_EQ(listener.statements_, 0U);
    EXPECT_EQ(listener.exchange("NONSENSE\r\n", end), "ERROR MALFORMED no message of this protocol\r\n") << "the listener still accepts sessions";
}

// The error for an invalid configuration must name the invalid entry and must not contain keys.
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
