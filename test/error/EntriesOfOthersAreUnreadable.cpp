#include "ObjectFormat.h"
#include "StoreClient.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <boost/asio/io_context.hpp>
#include <boost/json/parse.hpp>
#include <gmock/gmock.h>

using namespace Figward;
using namespace Figward::Platform;
using namespace testing;

namespace {

class NoLog : public LogPort
{
public:
    void write(LogNumber number, const std::vector<LogField> & /*fields*/) override
    {
        numbers_.push_back(number);
    }

    std::vector<LogNumber> numbers_;
};

class Answers : public EventSink
{
public:
    explicit Answers(boost::asio::io_context &context)
        : context_(context)
    {
    }

    void post(EventBody event) override
    {
        if (const auto *answered = std::get_if<StoreAnswered>(&std::get<SessionEvent>(event))) {
            answer_ = *answered;
            context_.stop();
        }
    }

    std::optional<StoreAnswered> answer_;

private:
    boost::asio::io_context &context_;
};

std::string repeated(const std::string &text, std::size_t count)
{
    std::string all;
    for (std::size_t number = 0; number < count; ++number) {
        all += text;
    }
    return all;
}

/** Values that another writer may leave in a field. */
std::vector<std::string> oddValues()
{
    constexpr std::size_t deep = 100'000;
    return {R"("\ud83d")",
            "\"\xff\xfe\x80\"",
            "\"\xc3\"",
            "\"\x01\"",
            R"("\u12")",
            R"("\q")",
            "1e999",
            "-1e999",
            "1" + std::string(400, '0'),
            "99999999999999999999999",
            "18446744073709551615",
            "0.1e-999999999999999999999",
            repeated("[", 40) + repeated("]", 40),
            repeated("[", deep) + repeated("]", deep),
            repeated(R"({"a":)", deep) + "1" + repeated("}", deep),
            R"("10.0.0.1:70000")",
            R"("10.0.0.1:0")",
            R"("10.0.0.1:-1")",
            R"("10.0.0.1:99999999999999999999")",
            R"("[:80")",
            "nul",
            "+1",
            "\xff"};
}

/** The object of a member; \p odd is the value of the field named \p field, if it has one. */
std::string member(const std::string &name, const std::string &field = {}, const std::string &odd = {})
{
    std::vector<std::pair<std::string, std::string>> fields{{"service", R"("s")"},
                                                            {"address", R"("10.0.0.1:80")"},
                                                            {"zone", R"("a")"},
                                                            {"state", R"("ready")"},
                                                            {"db_role", R"("replica")"},
                                                            {"seq", "4"},
                                                            {"unknown", "1"}};
    const auto format = [&](std::string *out, const std::pair<std::string, std::string> &entry) {
        absl::StrAppend(out, "\"", entry.first, "\":", entry.first == field ? odd : entry.second);
    };
    return absl::StrCat(R"({"meta":{"name":")", name, R"(","revision":7},"spec":{)", absl::StrJoin(fields, ",", format), "}}");
}

std::string page(const std::vector<std::string> &items, bool more = false)
{
    return absl::StrCat(R"({"items":[)", absl::StrJoin(items, ","), R"(],"has_more":)", more ? "true" : "false", R"(,"store_revision":9})");
}

std::vector<std::string> namesOf(const std::optional<ObjectList> &list)
{
    std::vector<std::string> names;
    for (const StoreObject &object : list ? list->objects_ : std::vector<StoreObject>()) {
        if (readMember(object)) {
            names.push_back(object.name_);
        }
    }
    return names;
}

/** Reads the members from a store that answers with \p pages, each found by the name after which it begins. */
std::optional<StoreAnswered> readMembers(const std::map<std::string, std::string> &pages, std::vector<LogNumber> *logged = nullptr)
{
    boost::asio::io_context context;
    HttpListener store(context, [&](const HttpServerRequest &request, const HttpListener::Respond &respond) {
        const std::size_t after = request.target_.find("after=");
        const auto found = pages.find(after == std::string::npos ? std::string() : request.target_.substr(after + std::string("after=").size()));
        respond(found == pages.end() ? HttpServerResponse{404, {}} : HttpServerResponse{200, found->second});
    });
    EXPECT_TRUE(store.open("127.0.0.1:0").ok());
    Answers answers(context);
    NoLog log;
    StoreClient client(context, answers, log, store.address());
    client.call(StoreCall{.id_ = CallId(1), .timeout_ = std::chrono::seconds(2), .request_ = ReadMembers{}});
    context.run_for(std::chrono::seconds(5));
    if (logged != nullptr) {
        *logged = log.numbers_;
    }
    return answers.answer_;
}

std::vector<std::string> membersIn(const std::optional<StoreAnswered> &answer)
{
    std::vector<std::string> names;
    if (answer && answer->result_ == StoreResult::Done) {
        for (const DirectoryEntry &entry : std::get<MemberDirectory>(answer->content_).entries_) {
            names.push_back(entry.id_.value());
        }
    }
    return names;
}

} // namespace

// Guards against an entry that hides the members beside it, so that none that leaves is noticed and no VM that starts gets ready.
TEST(EntriesOfOthersAreUnreadable, andTheMembersBesideThemAreRead)
{
    for (const std::string &odd : oddValues()) {
        for (const char *field : {"service", "address", "zone", "state", "db_role", "seq", "unknown"}) {
            const std::vector<std::string> names = namesOf(readList(page({member("i-a"), member("i-x", field, odd), member("i-b")})));
            EXPECT_THAT(names, IsSupersetOf({"i-a", "i-b"})) << field << ": " << odd.substr(0, 50);
        }
        EXPECT_THAT(namesOf(readList(page({odd, member("i-a"), member("i-b"), odd}))), ElementsAre("i-a", "i-b")) << odd.substr(0, 50);
    }
}

// Guards against an entry that names a member at a port to which nothing can connect.
TEST(EntriesOfOthersAreUnreadable, ifTheirPortIsOutOfRange)
{
    for (const char *address : {"10.0.0.1:70000", "10.0.0.1:65536", "10.0.0.1:0", "10.0.0.1:-1", "10.0.0.1:", "10.0.0.1:99999999999999999999"}) {
        EXPECT_THAT(namesOf(readList(page({member("i-a"), member("i-x", "address", absl::StrCat("\"", address, "\""))}))), ElementsAre("i-a")) << address;
    }
}

// Guards against the same in the events of a watch and in the lists of VMs and of claims.
TEST(EntriesOfOthersAreUnreadable, inEventsAndOtherListsAsWell)
{
    const std::string vm = R"({"meta":{"name":"vm-1","revision":7},"spec":{"incarnation":5,"peer_address":"10.0.0.1:80","availability_zone":"a"}})";
    for (const std::string &odd : oddValues()) {
        const std::string object = absl::StrCat(R"({"meta":{"name":"x","revision":7},"spec":)", odd, "}");
        const auto event = [](const std::string &of) { return absl::StrCat(R"({"deleted":false,"object":)", of, "}"); };
        const auto events = readEvents(absl::StrCat(R"({"events":[)", event(member("i-a")), ",", event(object), ",", odd, R"(],"store_revision":9})"));
        ASSERT_TRUE(events.has_value()) << odd.substr(0, 50);
        EXPECT_THAT(namesOf(events), Contains("i-a")) << odd.substr(0, 50);
        EXPECT_EQ(events->objects_.size() + events->unreadable_, 3U) << "an event that can't be read is not passed over: " << odd.substr(0, 50);
        const auto list = readList(page({object, vm}));
        ASSERT_TRUE(list.has_value()) << odd.substr(0, 50);
        EXPECT_TRUE(readVm(list->objects_.back()).has_value()) << odd.substr(0, 50);
    }
}

// Guards against a list that counts as complete after a page whose entries, or the last of them, can't be read.
TEST(EntriesOfOthersAreUnreadable, atTheEndOfAPage)
{
    const std::string odd = member("i-b", "zone", "\"\xff\"");
    const std::string oddToo = member("i-c", "zone", repeated("[", 1000) + repeated("]", 1000));
    const std::map<std::string, std::string> pages{{"", page({member("i-a"), odd}, true)}, {"i-b", page({oddToo}, true)}, {"i-c", page({member("i-d")})}};
    EXPECT_THAT(membersIn(readMembers(pages)), ElementsAre("i-a", "i-d"));
}

// Guards against members that are taken for gone because the rest of the list can't be asked for.
TEST(EntriesOfOthersAreUnreadable, andLeaveNoNameToContinueFrom)
{
    std::vector<LogNumber> logged;
    const std::optional<StoreAnswered> answer = readMembers({{"", page({member("i-a")}, true)}, {"i-a", page({"\"\xff\""}, true)}}, &logged);
    ASSERT_TRUE(answer.has_value());
    EXPECT_EQ(answer->result_, StoreResult::Unreadable);
    EXPECT_THAT(logged, Contains(LogNumber::StoreObjectUnreadable));
}

// Guards against a request that the store can't parse, since the name from which the list continues has a blank or a byte that is not ASCII.
TEST(EntriesOfOthersAreUnreadable, underNamesThatNoUrlContains)
{
    const std::map<std::string, std::string> pages{{"", page({member("i-a"), member("i b&c\xc3\xa9")}, true)}, {"i%20b%26c%C3%A9", page({member("i-d")})}};
    EXPECT_THAT(membersIn(readMembers(pages)), ElementsAre("i-a", "i b&c\xc3\xa9", "i-d"));
}

// Guards against a claim of another writer whose count can't be counted up: the next generation would be lower than all before.
TEST(EntriesOfOthersAreUnreadable, ifTheirCountsAreTooLarge)
{
    const auto claim = [](const std::string &generation) {
        const std::optional<StoreObject> object =
            readObject(absl::StrCat(R"({"meta":{"name":"s","revision":7},"spec":{"leader":"vm-1","incarnation":5,"generation":)",
                                    generation,
                                    R"(,"renewals":1,"epoch":1,"phase":"steady","primary_member":"i-a","primary_term":1}})"));
        return object ? readClaim(*object) : std::nullopt;
    };
    EXPECT_TRUE(claim("7").has_value());
    EXPECT_FALSE(claim("18446744073709551615").has_value());
    EXPECT_FALSE(claim("99999999999999999999999").has_value());
    EXPECT_FALSE(claim("-1").has_value());
}

// Guards against a time that is negative because the number does not fit.
TEST(EntriesOfOthersAreUnreadable, orTheirTimesAreLimited)
{
    const absl::StatusOr<SessionConfiguration> configuration = readConfiguration(boost::json::parse(
        R"({"version":7,"routes":[{"name":"r","host":"db","type":"primary","timeout_ms":18446744073709551615,"service":"s"}],"services":[]})"));
    ASSERT_TRUE(configuration.ok());
    EXPECT_GT(configuration->databases_.at("db").statementTimeout_, Duration(std::chrono::hours(24)));
}
