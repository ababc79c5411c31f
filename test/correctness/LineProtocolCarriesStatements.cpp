#include "LineProtocol.h"

#include <gmock/gmock.h>

using namespace Figward;
using namespace Figward::Platform;
using namespace testing;

namespace {

ClientStatement statementOf(const std::string &line)
{
    const ClientLine parsed = parseClientLine(line);
    const auto *query = std::get_if<QueryLine>(&parsed);
    return query == nullptr ? ClientStatement{} : query->statement_;
}

std::optional<SessionReply> replyOf(const std::vector<std::string> &lines)
{
    ReplyParser parser;
    std::optional<SessionReply> reply;
    bool wellFormed = true;
    for (const std::string &line : lines) {
        reply = parser.addLine(line, wellFormed);
    }
    return wellFormed ? reply : std::nullopt;
}

} // namespace

TEST(LineProtocolCarriesStatements, ofClients)
{
    const ClientLine start = parseClientLine("START lepu270 u3f1");
    ASSERT_TRUE(std::holds_alternative<StartLine>(start));
    EXPECT_EQ(std::get<StartLine>(start).database_, "lepu270");
    const ClientStatement write = statementOf("QUERY 5c0e WRITE 1a4 some data");
    EXPECT_EQ(write.kind_, StatementKind::Write);
    EXPECT_EQ(write.id_, "5c0e");
    EXPECT_EQ(write.text_, "WRITE 1a4 some data");
    const ClientStatement prepare = statementOf("QUERY 5c0e PREPARE s1 WRITE q2c");
    EXPECT_EQ(prepare.kind_, StatementKind::Prepare);
    EXPECT_TRUE(prepare.writes_);
    EXPECT_EQ(prepare.value_, "q2c");
    const ClientStatement execute = statementOf("QUERY 5c0e EXECUTE s1 1a4 xkq pwn");
    EXPECT_EQ(execute.name_, "s1");
    EXPECT_EQ(execute.value_, "1a4 xkq pwn");
    EXPECT_EQ(statementOf("QUERY 1 BEGIN READ").kind_, StatementKind::BeginRead);
}

TEST(LineProtocolCarriesStatements, toMembersUnchanged)
{
    MemberRequest read{.verb_ = MemberVerb::Forward, .id_ = "5c0e"};
    read.after_ = LogPoint{Term(3), Position(1207)};
    read.text_ = "READ 1a4";
    EXPECT_EQ(formatMemberRequest(read), "QUERY 5c0e AFTER 3.1207 READ 1a4\r\n");
    EXPECT_EQ(formatMemberRequest({.verb_ = MemberVerb::Status}), "QUERY - STATUS\r\n");
    EXPECT_EQ(formatMemberStart(ServiceId("huvo11a"), OrganisationId(), MemberId("i-7f")), "START huvo11a figward i-7f\r\n");
    EXPECT_EQ(formatMemberStart(ServiceId("huvo11a"), OrganisationId("miny420"), MemberId("i-7f")), "START huvo11a miny420 i-7f\r\n");
}

TEST(LineProtocolCarriesStatements, andTheirReplies)
{
    const std::optional<SessionReply> reply = replyOf({"DATAROW qhzk wm", "COMPLETE 7.1f3", "READY I 3.1209"});
    ASSERT_TRUE(reply.has_value());
    EXPECT_THAT(reply->rows_, ElementsAre("qhzk wm"));
    EXPECT_EQ(reply->receipt_, "7.1f3");
    EXPECT_EQ(reply->position_, (LogPoint{Term(3), Position(1209)}));
    EXPECT_EQ(formatReply(*reply), "DATAROW qhzk wm\r\nCOMPLETE 7.1f3\r\nREADY I -\r\n");
    const std::optional<SessionReply> refused = replyOf({"ERROR READONLY i-7f", "READY E 3.1209"});
    ASSERT_TRUE(refused.has_value());
    EXPECT_EQ(refused->code_, ReplyCode::ReadOnly);
    EXPECT_EQ(refused->state_, TransactionState::Failed);
    const std::optional<SessionReply> unknown = replyOf({"ERROR NOVEL some text", "READY I -"});
    ASSERT_TRUE(unknown.has_value());
    EXPECT_EQ(formatReply(*unknown), "ERROR NOVEL some text\r\nREADY I -\r\n");
}

TEST(LineProtocolCarriesStatements, andReportsOfMembers)
{
    const std::optional<ReplicationReport> report = parseReport("replica 3 3.1209 0 12 2 17");
    ASSERT_TRUE(report.has_value());
    EXPECT_FALSE(report->primary_);
    EXPECT_EQ(report->term_, Term(3));
    EXPECT_EQ(report->received_, (LogPoint{Term(3), Position(1209)}));
    EXPECT_FALSE(parseReport("replica three 3.1209").has_value());
    EXPECT_FALSE(parseReport("").has_value());
}
