#include "ConfigurationText.h"
#include "support/TestFiles.h"

#include <gmock/gmock.h>

using namespace Figward;
using namespace testing;

namespace {

Configuration parseOrFail(const std::string &text)
{
    CheckedConfiguration checked = checkConfiguration(text);
    for (const TextProblem &problem : checked.problems_) {
        ADD_FAILURE() << problem.line_ << ":" << problem.column_ << " " << problem.pointer_ << " " << problem.detail_;
    }
    return checked.configuration_.value_or(Configuration{});
}

constexpr const char *minimalConfiguration = R"({"services": [{"name": "s", "groups": [{"name": "g", "connection_limit": 1, "slots": 1, "members": [
    {"name": "a", "zone": "z", "address": "127.0.0.1:1"},
    {"name": "b", "zone": "z", "address": "127.0.0.1:2"},
    {"name": "c", "zone": "z", "address": "[::1]:65535"}]}]}]})";

} // namespace

TEST(ConfigurationTextAccepted, exampleOfConsorcio)
{
    const Configuration configuration = parseOrFail(Figward::Testing::readRepositoryFile("examples/consorcio.json"));
    ASSERT_EQ(configuration.groups_.size(), 3U);
    const GroupConfig &group = configuration.groups_.at(GroupId("tyres-2"));
    EXPECT_EQ(group.service_, ServiceId("tyre-ledger"));
    EXPECT_EQ(group.connectionLimit_, ConnectionCount(35));
    EXPECT_EQ(group.slots_, SlotCount(5));
    ASSERT_EQ(group.members_.size(), 3U);
    EXPECT_EQ(group.members_[1], (MemberConfig{MemberId("tyres-2b"), ZoneId("norte-b"), "10.1.2.12:5432", false}));
    EXPECT_EQ(configuration.services_.at(ServiceId("tyre-ledger")).classes_.front().id_, ClassId("dispatch"));
    EXPECT_EQ(configuration.policy_.missedProbes_, 2U);
}

TEST(ConfigurationTextAccepted, exampleOfMagnolia)
{
    const Configuration configuration = parseOrFail(Figward::Testing::readRepositoryFile("examples/magnolia.json"));
    ASSERT_EQ(configuration.groups_.size(), 3U);
    EXPECT_EQ(configuration.groups_.at(GroupId("valuation-3")).connectionLimit_, ConnectionCount(55));
}

TEST(ConfigurationTextAccepted, defaultsAreThoseOfTheStructs)
{
    const Configuration configuration = parseOrFail(minimalConfiguration);
    const Policy expected;
    const Policy &policy = configuration.policy_;
    EXPECT_EQ(policy.ownersPerGroup_, expected.ownersPerGroup_);
    EXPECT_EQ(policy.probeInterval_, expected.probeInterval_);
    EXPECT_EQ(policy.slowProbeInterval_, expected.slowProbeInterval_);
    EXPECT_EQ(policy.probeTimeout_, expected.probeTimeout_);
    EXPECT_EQ(policy.missedProbes_, expected.missedProbes_);
    EXPECT_EQ(policy.statementTimeout_, expected.statementTimeout_);
    EXPECT_EQ(policy.idleConnectionLife_, expected.idleConnectionLife_);
    EXPECT_EQ(policy.queueLimit_, expected.queueLimit_);
    EXPECT_EQ(policy.retryBudgetPercent_, expected.retryBudgetPercent_);
    EXPECT_EQ(policy.keyRetention_, expected.keyRetention_);
    EXPECT_EQ(policy.drainTimeout_, expected.drainTimeout_);
    EXPECT_EQ(configuration.services_.at(ServiceId("s")).classes_.size(), 1U);
}

TEST(ConfigurationTextAccepted, memberCanBeReplacedThroughAGroupOfFour)
{
    const Configuration configuration = parseOrFail(R"({"services": [{"name": "s", "groups": [{"name": "g", "connection_limit": 1, "slots": 1, "members": [
        {"name": "a", "zone": "z", "address": "127.0.0.1:1"},
        {"name": "b", "zone": "z", "address": "127.0.0.1:2", "leaving": true},
        {"name": "c", "zone": "z", "address": "127.0.0.1:3"},
        {"name": "d", "zone": "z", "address": "127.0.0.1:4"}]}]}]})");
    EXPECT_TRUE(configuration.groups_.at(GroupId("g")).members_[1].leaving_);
}

TEST(ConfigurationTextAccepted, partsFollowServicesAndJoinAgain)
{
    const std::string text = Figward::Testing::readRepositoryFile("examples/consorcio.json");
    const std::vector<ConfigurationPart> parts = splitConfiguration(text);
    EXPECT_THAT(parts, ElementsAre(Field(&ConfigurationPart::name_, "policy"), Field(&ConfigurationPart::name_, "service/tyre-ledger")));
    EXPECT_EQ(parts[0].text_, R"({"missed_probes":2})");
    const std::string joined = joinConfiguration(parts);
    EXPECT_EQ(parseOrFail(joined).groups_.size(), 3U);
    const std::vector<ConfigurationPart> again = splitConfiguration(joined);
    ASSERT_EQ(again.size(), parts.size());
    EXPECT_EQ(again[1].text_, parts[1].text_);
}
