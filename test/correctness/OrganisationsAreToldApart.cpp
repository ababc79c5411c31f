#include "support/SessionWorld.h"

#include "LineProtocol.h"
#include "ObjectFormat.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <gmock/gmock.h>

using namespace Figward;
using namespace Figward::Testing;
using namespace testing;

namespace {

SessionWorldConfig twoOrganisations()
{
    SessionWorldConfig config;
    config.organisations_ = 2;
    return config;
}

const std::string privateConfiguration = R"({"version":7,"routes":[{"name":"r","host":"ledger","type":"primary","timeout_ms":800,"service":"s","public":false}],
    "services":[{"name":"s","max_conns":42}],"tenants":[{"name":"acme","api_keys":["first-secret","second-secret"],"rate_per_s":17.5,"burst":20}]})";

} // namespace

TEST(OrganisationsAreToldApart, aStatementRunsOnAConnectionOfItsOrganisation)
{
    SessionWorld world(twoOrganisations());
    world.run(std::chrono::seconds(3));
    for (unsigned round = 0; round < 6; ++round) {
        for (unsigned organisation = 0; organisation < 2; ++organisation) {
            const std::size_t client = world.open(0, "ledger", SessionWorld::keyOf(organisation));
            EXPECT_EQ(world.ask(client, StatementKind::Write, "WRITE a 1").code_, ReplyCode::None);
            EXPECT_EQ(world.ask(client, StatementKind::Read, "READ a").code_, ReplyCode::None);
        }
    }
    EXPECT_EQ(world.operationsOf(SessionWorld::organisationId(0)).size(), 12U);
    EXPECT_EQ(world.operationsOf(SessionWorld::organisationId(1)).size(), 12U);
    EXPECT_THAT(world.violations(), IsEmpty());
}

TEST(OrganisationsAreToldApart, aClientWithoutAKnownKeyIsRefused)
{
    SessionWorld world(twoOrganisations());
    world.run(std::chrono::seconds(3));
    const std::size_t unknown = world.open(0, "ledger", "key-of-nobody");
    const std::size_t none = world.open(0, "ledger");
    world.run(std::chrono::milliseconds(1500));
    EXPECT_TRUE(world.client(unknown).refused_);
    EXPECT_TRUE(world.client(none).refused_);
    EXPECT_THAT(world.logged(LogNumber::KeyRefused), SizeIs(2));
}

TEST(OrganisationsAreToldApart, aPublicDatabaseNeedsNoKey)
{
    SessionWorld world(twoOrganisations());
    world.newConfiguration([](SessionConfiguration &configuration) { configuration.databases_["history"].public_ = true; });
    world.run(std::chrono::seconds(3));
    const std::size_t client = world.open(0, "history");
    EXPECT_EQ(world.ask(client, StatementKind::Read, "READ a").code_, ReplyCode::None);
}

TEST(OrganisationsAreToldApart, withoutOrganisationsNoKeyIsAsked)
{
    SessionWorld world;
    world.run(std::chrono::seconds(3));
    const std::size_t client = world.open(0, "ledger", "any word");
    EXPECT_EQ(world.ask(client, StatementKind::Write, "WRITE a 1").code_, ReplyCode::None);
}

TEST(OrganisationsAreToldApart, aConfigurationNamesThemWithTheirLimits)
{
    const absl::StatusOr<SessionConfiguration> read = Platform::readConfiguration(boost::json::parse(privateConfiguration));
    ASSERT_TRUE(read.ok() && read->organisations_);
    EXPECT_EQ(read->organisations_->limits_.at(OrganisationId("acme")), (OrganisationLimits{17.5, 20}));
    EXPECT_THAT(read->organisations_->keys_, SizeIs(2));
    EXPECT_EQ(*organisationOfKey(*read->organisations_, digestOf("second-secret")), OrganisationId("acme"));
    EXPECT_EQ(organisationOfKey(*read->organisations_, digestOf("third-secret")), nullptr);
}

TEST(OrganisationsAreToldApart, aDigestSurvivesItsText)
{
    const KeyDigest digest = digestOf("first-secret");
    EXPECT_EQ(parseKeyDigest(toHex(digest)), digest);
    EXPECT_EQ(parseKeyDigest("no digest"), std::nullopt);
    EXPECT_NE(digest, digestOf("second-secret"));
}

// Guards against keys that leave the VM: other VMs fetch the configuration from this one.
TEST(OrganisationsAreToldApart, whatVmsPassOnHoldsDigestsInPlaceOfKeys)
{
    boost::json::value configuration = boost::json::parse(privateConfiguration);
    Platform::replaceKeysByDigests(configuration);
    EXPECT_THAT(boost::json::serialize(configuration), Not(HasSubstr("secret")));
    const absl::StatusOr<SessionConfiguration> read = Platform::readConfiguration(configuration);
    ASSERT_TRUE(read.ok() && read->organisations_);
    EXPECT_EQ(*organisationOfKey(*read->organisations_, digestOf("first-secret")), OrganisationId("acme"));
}

// Guards against keys that are sent to a member: it must receive only the organisation's name.
TEST(OrganisationsAreToldApart, aMemberIsToldTheOrganisation)
{
    EXPECT_EQ(Platform::formatMemberStart(ServiceId("s"), OrganisationId("acme"), MemberId("m")), "START s acme m\r\n");
    const auto line = Platform::parseClientLine("START ledger first-secret");
    EXPECT_EQ(std::get<Platform::StartLine>(line).key_, digestOf("first-secret"));
}
