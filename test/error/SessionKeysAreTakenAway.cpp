#include "support/SessionWorld.h"

#include <gmock/gmock.h>

using namespace Figward;
using namespace Figward::Testing;
using namespace testing;

namespace {

constexpr Duration startTime = std::chrono::seconds(3);
/** Time within which a configuration is active on all VMs. */
constexpr Duration spreadTime = std::chrono::seconds(2);

SessionWorldConfig threeOrganisations()
{
    SessionWorldConfig config;
    config.organisations_ = 3;
    return config;
}

void revokeKey(SessionWorld &world, unsigned organisation)
{
    world.newConfiguration(
        [=](SessionConfiguration &configuration) { configuration.organisations_->keys_.erase(digestOf(SessionWorld::keyOf(organisation))); });
}

} // namespace

// Guards against sessions that stay open after their key was revoked.
TEST(SessionKeysAreTakenAway, anOpenSessionIsClosedAndItsClientRefused)
{
    SessionWorld world(threeOrganisations());
    world.run(startTime);
    const std::size_t client = world.open(0, "ledger", SessionWorld::keyOf(1));
    const std::size_t other = world.open(0, "ledger", SessionWorld::keyOf(2));
    EXPECT_EQ(world.ask(client, StatementKind::Write, "WRITE a 1").code_, ReplyCode::None);
    revokeKey(world, 1);
    world.run(spreadTime);
    EXPECT_TRUE(world.client(client).closed_);
    const std::size_t again = world.open(1, "ledger", SessionWorld::keyOf(1));
    world.run(spreadTime);
    EXPECT_TRUE(world.client(again).refused_);
    EXPECT_EQ(world.ask(other, StatementKind::Write, "WRITE a 2").code_, ReplyCode::None);
    EXPECT_THAT(world.violations(), IsEmpty());
}

// Guards against a transaction that continues after its key was revoked, and against one that is reported as aborted but was committed.
TEST(SessionKeysAreTakenAway, anOpenTransactionIsAborted)
{
    SessionWorld world(threeOrganisations());
    world.run(startTime);
    const std::size_t client = world.open(0, "ledger", SessionWorld::keyOf(1));
    EXPECT_EQ(world.ask(client, StatementKind::Begin).code_, ReplyCode::None);
    EXPECT_EQ(world.ask(client, StatementKind::Write, "WRITE a 1").code_, ReplyCode::None);
    revokeKey(world, 1);
    world.run(spreadTime);
    EXPECT_EQ(world.ask(client, StatementKind::Commit).code_, ReplyCode::Aborted);
    world.run(spreadTime);
    EXPECT_TRUE(world.client(client).closed_);
    world.checkLogs();
    EXPECT_THAT(world.violations(), IsEmpty());
}

// Guards against statements that run for the previous organisation of a key.
TEST(SessionKeysAreTakenAway, aKeyThatMovesServesItsNewHolderOnly)
{
    SessionWorld world(threeOrganisations());
    world.run(startTime);
    const std::size_t client = world.open(0, "ledger", SessionWorld::keyOf(1));
    EXPECT_EQ(world.ask(client, StatementKind::Write, "WRITE a 1").code_, ReplyCode::None);
    world.newConfiguration(
        [](SessionConfiguration &configuration) { configuration.organisations_->keys_[digestOf(SessionWorld::keyOf(1))] = SessionWorld::organisationId(2); });
    world.run(spreadTime);
    const std::string id = world.send(client, StatementKind::Write, "WRITE a 2");
    world.run(std::chrono::milliseconds(200));
    ASSERT_NE(world.answerTo(client, id), nullptr);
    EXPECT_EQ(world.answerTo(client, id)->code_, ReplyCode::None);
    EXPECT_THAT(world.violations(), ElementsAre(HasSubstr("ran for org-2"))); // The simulation attributes a key to its first holder.
}

// Guards against refusing a client whose key was just added, while the VM knows of a newer configuration that it has not received yet.
TEST(SessionKeysAreTakenAway, aKeyThatIsNewerThanTheConfigurationWaitsForIt)
{
    SessionWorld world(threeOrganisations());
    world.run(startTime);
    world.configurationTakes(std::chrono::milliseconds(500));
    world.newConfiguration(
        [](SessionConfiguration &configuration) { configuration.organisations_->keys_[digestOf("key-new")] = SessionWorld::organisationId(0); });
    world.vm(0).sessions_->newestReported_ = ConfigVersion(world.vm(0).sessions_->configuration_->version_.value() + 1);
    const std::size_t client = world.open(0, "ledger", "key-new");
    world.run(std::chrono::milliseconds(20));
    EXPECT_FALSE(world.client(client).refused_);
    world.run(spreadTime);
    EXPECT_TRUE(world.client(client).open_);
}

// Guards against a VM without access to the store that still accepts a key which the other VMs no longer accept.
TEST(SessionKeysAreTakenAway, aVmWithoutTheStoreLearnsItFromTheOthers)
{
    SessionWorld world(threeOrganisations());
    world.run(startTime);
    world.cutVmFromStore(0, true);
    world.run(std::chrono::seconds(2));
    const std::size_t client = world.open(0, "ledger", SessionWorld::keyOf(1));
    EXPECT_EQ(world.ask(client, StatementKind::Write, "WRITE a 1").code_, ReplyCode::None);
    revokeKey(world, 1);
    world.run(std::chrono::seconds(3));
    EXPECT_TRUE(world.client(client).closed_);
}

// Guards against log lines that contain a key or its digest.
TEST(SessionKeysAreTakenAway, noLogLineShowsAKey)
{
    SessionWorld world(threeOrganisations());
    world.run(startTime);
    const std::size_t client = world.open(0, "ledger", SessionWorld::keyOf(1));
    world.open(0, "ledger", "key-of-nobody");
    EXPECT_EQ(world.ask(client, StatementKind::Write, "WRITE a 1").code_, ReplyCode::None);
    revokeKey(world, 1);
    world.run(spreadTime);
    EXPECT_THAT(world.logText(), Not(HasSubstr(SessionWorld::keyOf(1))));
    EXPECT_THAT(world.logText(), Not(HasSubstr("key-of-nobody")));
    EXPECT_THAT(world.logText(), Not(HasSubstr(toHex(digestOf(SessionWorld::keyOf(1))))));
}
