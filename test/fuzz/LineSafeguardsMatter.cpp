// Each test disables one safeguard of database sessions by altering a proxy's state from outside, and the trials must detect a violated guarantee.
// If the absence of a safeguard is not detected, no trial covers that safeguard.
#include "fuzz/LineTrial.h"

#include <gmock/gmock.h>
#include <iostream>

using namespace Figward;
using namespace Figward::Testing;
using namespace testing;

namespace {

constexpr std::uint64_t seedsTried = 400;
constexpr Duration longAgo = std::chrono::seconds(10);

/** Runs trials from seed \p first until a guarantee is violated, and prints the first violation. Starting near a seed known to fail saves time. */
void expectFinding(std::uint64_t first, const SessionWorld::BeforeEvent &beforeEvent)
{
    for (std::uint64_t seed = first; seed < first + seedsTried; ++seed) {
        const std::vector<std::string> violations = playLineTrial(seed, {.beforeEvent_ = beforeEvent});
        if (!violations.empty()) {
            std::cout << "seed " << seed << ": " << violations.front() << "\n";
            return;
        }
    }
    ADD_FAILURE() << "no violation detected in " << seedsTried << " seeds";
}

void forGroups(ProxyState &state, const std::function<void(SessionGroup &)> &action)
{
    for (auto &[id, group] : state.sessions_->groups_) {
        action(group);
    }
}

void forSessions(ProxyState &state, const std::function<void(ClientSession &)> &action)
{
    for (auto &[key, session] : state.sessions_->sessions_) {
        action(session);
    }
}

} // namespace

// Without the expiry of authority, a VM that is cut off or frozen keeps using the last known primary and acknowledges writes that the replacement lacks.
TEST(LineSafeguards, authorityEnds)
{
    expectFinding(104, [](ProxyState &state, EventBody & /*event*/, Time now) {
        forGroups(state, [&](SessionGroup &group) {
            if (group.authority_.primary_ != MemberId()) {
                group.authority_.validUntil_ = now + longAgo;
            }
        });
    });
}

// The leader promotes a replacement without waiting until the other VMs have stopped using the previous primary.
TEST(LineSafeguards, theLeaderWaitsForTheOtherVms)
{
    expectFinding(42, [](ProxyState &state, EventBody & /*event*/, Time now) {
        forGroups(state, [&](SessionGroup &group) {
            if (group.leader_ && group.leader_->step_ == ReplacementStep::Revoking) {
                group.leader_->revokeStored_ = now - longAgo;
            }
        });
    });
}

// The leader forgets a promotion request that has not been answered: it takes effect late, in addition to another promotion.
TEST(LineSafeguards, aPromotionUnderWayIsRemembered)
{
    expectFinding(1030, [](ProxyState &state, EventBody & /*event*/, Time /*now*/) {
        forGroups(state, [](SessionGroup &group) {
            if (group.leader_) {
                group.leader_->promotionIssued_ = false;
            }
        });
    });
}

// Reads at replicas do not state the log position that they require.
TEST(LineSafeguards, readsNameAPosition)
{
    expectFinding(1, [](ProxyState &state, EventBody & /*event*/, Time /*now*/) {
        forGroups(state, [](SessionGroup &group) {
            for (PositionSample &sample : group.samples_.samples_) {
                sample.position_.position_ = Position(0);
            }
        });
    });
}

// A session's reads require only the position that follows from the route's maximum age, not the position of the session's own writes.
TEST(LineSafeguards, sessionsRememberTheirCommits)
{
    expectFinding(
        1, [](ProxyState &state, EventBody & /*event*/, Time /*now*/) { forSessions(state, [](ClientSession &session) { session.lastCommit_.reset(); }); });
}

// The connection of a write is reset before the write runs, while it runs, or while its answer is in flight. The client is told that the write is in doubt, and
// the write runs at most once. If the proxy treats it as never sent, it runs again on another connection.
TEST(LineSafeguards, whatWasSentIsNotSentAgain)
{
    const auto violationsWith = [](const SessionWorld::BeforeEvent &beforeEvent) {
        std::vector<std::string> violations;
        constexpr Duration step = std::chrono::microseconds(250);
        constexpr Duration roundTrip = std::chrono::milliseconds(16); // Round trip of a write.
        for (Duration reset{}; reset < roundTrip; reset += step) {
            SessionWorld world;
            world.setBeforeEvent(beforeEvent);
            world.run(std::chrono::seconds(3));
            const std::size_t client = world.open(3, "ledger");
            EXPECT_EQ(world.ask(client, StatementKind::Write, "WRITE a 1").code_, ReplyCode::None);
            world.send(client, StatementKind::Write, "WRITE a 2");
            world.run(reset);
            world.cutVmFromMember(3, 0, true); // Messages in flight are lost with the connection.
            world.resetConnections(0);
            world.run(std::chrono::milliseconds(3));
            world.cutVmFromMember(3, 0, false);
            world.run(std::chrono::seconds(1));
            world.checkLogs();
            violations.insert(violations.end(), world.violations().begin(), world.violations().end());
        }
        return violations;
    };
    EXPECT_THAT(violationsWith(nullptr), IsEmpty());
    EXPECT_THAT(violationsWith([](ProxyState &state, EventBody &event, Time /*now*/) {
                    if (std::holds_alternative<ConnectionLost>(event)) {
                        forSessions(state, [](ClientSession &session) {
                            if (session.run_) {
                                session.run_->sent_ = false;
                            }
                        });
                    }
                }),
                Contains(HasSubstr("ran twice")));
}

// A VM freezes after the primary has run a write and before the VM processes the answer. The replicas have not received the write, the primary crashes, and a
// replacement without the write is promoted. When the VM resumes, the answer is waiting: without the check against the VM's authority, the client is told that
// the write succeeded.
TEST(LineSafeguards, answersAreHeldAgainstTheAuthority)
{
    const auto violationsWith = [](const SessionWorld::BeforeEvent &beforeEvent) {
        SessionWorld world;
        world.setBeforeEvent(beforeEvent);
        world.run(std::chrono::seconds(3));
        const std::size_t client = world.open(3, "ledger");
        EXPECT_EQ(world.ask(client, StatementKind::Write, "WRITE a 1").code_, ReplyCode::None);
        for (const unsigned replica : {1U, 2U}) {
            world.group().member(SessionWorld::memberId(replica)).lag_ = std::chrono::seconds(20);
        }
        world.send(client, StatementKind::Write, "WRITE a 2");
        world.run(std::chrono::milliseconds(8));
        world.freezeVm(3, true);
        world.run(std::chrono::milliseconds(20));
        world.crashMember(0);
        world.run(std::chrono::seconds(5));
        world.freezeVm(3, false);
        world.run(std::chrono::seconds(1));
        EXPECT_EQ(world.promotions(), 1U);
        return world.violations();
    };
    EXPECT_THAT(violationsWith(nullptr), IsEmpty());
    EXPECT_THAT(violationsWith([](ProxyState &state, EventBody &event, Time /*now*/) {
                    const auto *session = std::get_if<SessionEvent>(&event);
                    if (session != nullptr && std::holds_alternative<MemberReplyArrived>(*session)) {
                        forSessions(state, [](ClientSession &open) {
                            if (open.run_) {
                                open.run_->usesPrimary_ = false;
                            }
                        });
                    }
                }),
                Contains(HasSubstr("acknowledged by the replaced primary")));
}
