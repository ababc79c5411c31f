// One run of the validation must report all errors of a text with their locations, so that an operator can fix them at once. A text with any error must yield
// no configuration, so that no part of it can become active.

#include "ConfigurationText.h"

#include <absl/strings/str_cat.h>
#include <gmock/gmock.h>

using namespace Figward;
using namespace testing;

namespace {

/** Returns "LINE:COLUMN kind pointer" for each error in \p text. */
std::vector<std::string> mistakes(std::string_view text)
{
    const CheckedConfiguration checked = checkConfiguration(text);
    EXPECT_EQ(checked.configuration_.has_value(), checked.problems_.empty());
    std::vector<std::string> lines;
    for (const TextProblem &problem : checked.problems_) {
        EXPECT_FALSE(problem.detail_.empty());
        lines.push_back(absl::StrCat(problem.line_, ":", problem.column_, " ", std::string(toString(problem.kind_)), " ", problem.pointer_));
    }
    return lines;
}

/** Returns a text whose only group has \p members, which begin in line 2, column 1. */
std::string withMembers(const std::string &members)
{
    return R"({"services": [{"name": "s", "groups": [{"name": "g", "connection_limit": 9, "slots": 5, "members":)"
           "\n"
           + members + "}]}]}";
}

const std::string a = R"({"name": "a", "zone": "z", "address": "127.0.0.1:1"})";
const std::string b = R"({"name": "b", "zone": "z", "address": "127.0.0.1:2"})";
const std::string c = R"({"name": "c", "zone": "z", "address": "127.0.0.1:3"})";

/** Returns a text with two services, each with a group, whose dependencies are \p first and \p second. */
std::string withDependencies(const std::string &first, const std::string &second)
{
    const auto service = [](const std::string &name, const std::string &port, const std::string &dependsOn) {
        const auto member = [&](const std::string &id) {
            return R"({"name": ")" + name + id + R"(", "zone": "z", "address": "127.0.0.1:)" + port + id + R"("})";
        };
        return R"({"name": ")" + name + R"(", "depends_on":)" + dependsOn + R"(, "groups": [{"name": ")" + name
               + R"(", "connection_limit": 9, "slots": 5, "members": [)" + member("1") + "," + member("2") + "," + member("3") + "]}]}";
    };
    return "{\"services\": [\n" + service("x", "1", first) + ",\n" + service("y", "2", second) + "]}";
}

} // namespace

TEST(ConfigurationMistakesAreAllNamed, fieldsOfEveryKindInOneRun)
{
    const std::string text = R"({
  // comments and trailing commas are allowed
  "policy": { "missed_probes": 0, "probe_interval": 5, "queue_limit": "many" },
  "services": [
    { "name": "s t",
      "groups": [ { "name": "g", "slots": 1.5, "members": [ 7, { "name": "m", "zone": "z", "address": "db1:5432" } ] } ],
    },
  ],
  "extra": null,
})";
    EXPECT_THAT(mistakes(text),
                ElementsAre("3:32 out-of-range /policy/missed_probes",
                            "3:35 unknown-field /policy/probe_interval",
                            "3:71 wrong-type /policy/queue_limit",
                            "5:15 invalid-value /services/0/name",
                            "6:19 missing-field /services/0/groups/0/connection_limit",
                            "6:43 wrong-type /services/0/groups/0/slots",
                            "6:59 out-of-range /services/0/groups/0/members",
                            "6:59 invalid-value /services/0/groups/0/members",
                            "6:61 wrong-type /services/0/groups/0/members/0",
                            "6:103 invalid-value /services/0/groups/0/members/1/address",
                            "9:3 unknown-field /extra"));
}

TEST(ConfigurationMistakesAreAllNamed, doubledKeysNamesAndAddresses)
{
    const std::string doubled = R"({"name": "a", "zone": "z", "zone": "y", "address": "127.0.0.1:2"})";
    EXPECT_THAT(mistakes(withMembers("[" + a + ",\n" + doubled + ",\n" + b + "]")),
                ElementsAre("3:10 duplicate /services/0/groups/0/members/1/name",
                            "3:28 duplicate /services/0/groups/0/members/1/zone",
                            "4:39 duplicate /services/0/groups/0/members/2/address"));
}

TEST(ConfigurationMistakesAreAllNamed, groupsThatCannotKeepAMajority)
{
    const std::string leaving = R"(, "leaving": true})";
    const auto leave = [&](const std::string &member) { return member.substr(0, member.size() - 1) + leaving; };
    const std::string d = R"({"name": "d", "zone": "z", "address": "127.0.0.1:4"})";
    EXPECT_THAT(mistakes(withMembers("[" + a + "," + b + "," + c + "," + d + "]")), ElementsAre("2:1 invalid-value /services/0/groups/0/members"));
    EXPECT_THAT(mistakes(withMembers("[" + a + "," + leave(b) + "," + leave(c) + "]")), ElementsAre("2:1 invalid-value /services/0/groups/0/members"));
    EXPECT_THAT(mistakes(withMembers("[" + a + "," + b + "," + leave(c) + "]")), IsEmpty());
}

TEST(ConfigurationMistakesAreAllNamed, dependencies)
{
    EXPECT_THAT(mistakes(withDependencies(R"(["z"])", "[]")), ElementsAre("2:29 unknown-name /services/0/depends_on/0"));
    EXPECT_THAT(mistakes(withDependencies(R"(["y", "y"])", "[]")), ElementsAre("2:34 duplicate /services/0/depends_on/1"));
    EXPECT_THAT(mistakes(withDependencies(R"(["y"])", R"(["x"])")), ElementsAre("3:29 cycle /services/1/depends_on/0"));
    EXPECT_THAT(mistakes(withDependencies(R"(["x"])", "[]")), ElementsAre("2:29 cycle /services/0/depends_on/0"));
}

TEST(ConfigurationMistakesAreAllNamed, textsThatAreNoJson)
{
    EXPECT_THAT(mistakes(""), ElementsAre("1:1 syntax "));
    EXPECT_THAT(mistakes(" \n"), ElementsAre("1:1 syntax "));
    EXPECT_THAT(mistakes("\xEF\xBB\xBF{}"), ElementsAre("1:1 syntax "));
    EXPECT_THAT(mistakes(std::string_view("{\0}", 3)), ElementsAre("1:2 syntax "));
    EXPECT_THAT(mistakes("{\n  \"policy\": \"\xC3(\"}"), ElementsAre("2:14 syntax "));
    EXPECT_THAT(mistakes("{\"policy\": {"), ElementsAre("1:12 syntax /policy"));
    EXPECT_THAT(mistakes("{} {}"), ElementsAre("1:4 syntax "));
    EXPECT_THAT(mistakes(std::string(100'000, '[')), ElementsAre(StartsWith("1:33 syntax ")));
    EXPECT_THAT(mistakes("[]"), ElementsAre("1:1 wrong-type "));
    EXPECT_THAT(mistakes("null // nothing"), ElementsAre("1:1 wrong-type "));
}

TEST(ConfigurationMistakesAreAllNamed, hugeNumbers)
{
    const auto withLimit = [](const std::string &limit) { return mistakes("{\"policy\": {\"queue_limit\": " + limit + "}, \"services\": []}"); };
    EXPECT_THAT(withLimit("18446744073709551615"), Contains("1:28 wrong-type /policy/queue_limit"));
    EXPECT_THAT(withLimit("9223372036854775807"), Contains("1:28 out-of-range /policy/queue_limit"));
    EXPECT_THAT(withLimit("-1"), Contains("1:28 out-of-range /policy/queue_limit"));
    EXPECT_THAT(withLimit("1e999"), Not(IsEmpty()));
    EXPECT_THAT(withLimit(std::string(5000, '9')), Not(IsEmpty()));
}

TEST(ConfigurationMistakesAreAllNamed, escapedQuotesDoNotMisplaceAValue)
{
    EXPECT_THAT(mistakes(R"({"a/~\"b\\": /* " */ "\\\"x" , "services": 1})"), ElementsAre("1:2 unknown-field /a~1~0\"b\\", "1:44 wrong-type /services"));
}
