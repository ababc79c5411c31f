#include "ConfigurationFields.h"
#include "LogEvents.h"
#include "LogLine.h"
#include "Metrics.h"
#include "ProxyState.h"
#include "Settings.h"
#include "support/TestFiles.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <gmock/gmock.h>
#include <regex>
#include <set>

using namespace Figward;
using namespace testing;

namespace {

using Lines = std::vector<std::string>;

/** Returns the table rows of \p document that begin with a cell in backquotes or a number: those under the heading "## TITLE", or all if \p title is empty. */
Lines rowsUnder(const std::string &document, const std::string &title)
{
    Lines rows;
    bool inSection = title.empty();
    const std::string text = Figward::Testing::readRepositoryFile(document);
    for (const absl::string_view piece : absl::StrSplit(text, '\n')) {
        const std::string line(piece);
        if (line.starts_with("## ")) {
            inSection = title.empty() || line == "## " + title;
        }
        if (inSection && (line.starts_with("| `") || (line.size() > 2 && line.starts_with("| ") && line[2] >= '0' && line[2] <= '9'))) {
            rows.push_back(line);
        }
    }
    return rows;
}

std::string rangeOf(const FieldInfo &field)
{
    std::string bounds = absl::StrCat(field.minimum_, " to ", field.maximum_);
    switch (field.type_) {
    case FieldType::Integer:
        return bounds;
    case FieldType::Text:
        return bounds + " bytes";
    case FieldType::Names:
    case FieldType::Addresses:
    case FieldType::Objects:
        return bounds + " items";
    case FieldType::Choice:
        return std::string(field.choices_);
    default:
        return "";
    }
}

std::string rowOf(const FieldInfo &field)
{
    const std::string defaultValue = field.required_ ? "required" : (field.default_.empty() ? "absent" : absl::StrCat("`", std::string(field.default_), "`"));
    return absl::StrCat("| `",
                        std::string(field.name_),
                        "` | ",
                        std::string(toString(field.type_)),
                        " | ",
                        std::string(field.unit_),
                        " | ",
                        defaultValue,
                        " | ",
                        rangeOf(field),
                        " | ",
                        std::string(field.meaning_),
                        " |");
}

void expectDocumented(const ObjectInfo &info)
{
    Lines expected;
    for (const FieldInfo &field : info.fields_) {
        expected.push_back(rowOf(field));
    }
    EXPECT_THAT(rowsUnder("docs/CONFIGURATION.md", std::string(info.title_)), ElementsAreArray(expected)) << info.title_ << "\n"
                                                                                                          << absl::StrJoin(expected, "\n");
}

} // namespace

TEST(DocumentsMatchTheCode, everyFieldOfAConfiguration)
{
    for (const ObjectInfo *info : {&configurationObject, &policyObject, &serviceObject, &classObject, &groupObject, &memberObject}) {
        expectDocumented(*info);
    }
}

TEST(DocumentsMatchTheCode, everyFieldOfSettings)
{
    for (const ObjectInfo *info : {&settingsObject, &callerTlsObject, &peerTlsObject, &sessionsObject}) {
        expectDocumented(*info);
    }
}

TEST(DocumentsMatchTheCode, everyLogEvent)
{
    Lines expected;
    int last = 0;
    for (const LogEventInfo &event : logEventCatalogue()) {
        const int number = static_cast<int>(event.number_);
        EXPECT_GT(number, last) << "event numbers must be unique and ascending";
        last = number;
        expected.push_back(
            absl::StrCat("| ", number, " | ", std::string(toString(event.level_)), " | ", std::string(event.name_), " | ", std::string(event.meaning_), " |"));
    }
    EXPECT_THAT(rowsUnder("docs/EVENTS.md", ""), ElementsAreArray(expected)) << absl::StrJoin(expected, "\n");
}

// Every metric that a process serves must be documented, and every documented metric must be served.
TEST(DocumentsMatchTheCode, everyMetric)
{
    Metrics metrics;
    ProxyState state = makeProxyState({}, 1);
    SessionServiceState &sessions = state.sessions_.emplace();
    sessions.members_[MemberId("m")].entry_.service_ = ServiceId("g");
    sessions.groups_[ServiceId("g")].id_ = ServiceId("g");
    metrics.observe(state, Time());
    metrics.observe(Effect(SessionEffect(StatementEnded{.atMember_ = Duration(1)})));
    metrics.observe(Effect(SessionEffect(CallStore{StoreCall{.request_ = ReadMembers{}}})));
    metrics.observe(Event{Time(), SessionEvent(StoreAnswered{})});
    metrics.observe(Event{Time(), SessionEvent(PromotionAnswered{})});
    std::set<std::string> served;
    for (const prometheus::MetricFamily &family : metrics.registry().Collect()) {
        served.insert(family.name);
    }
    const std::string page = Figward::Testing::readRepositoryFile("docs/OPERATIONS.md");
    std::set<std::string> named;
    const std::regex name("`(figward_[a-z_]+)");
    for (std::sregex_iterator found(page.begin(), page.end(), name), end; found != end; ++found) {
        named.insert((*found)[1]);
    }
    EXPECT_THAT(named, ElementsAreArray(served));
}
