#include "fuzz/LineTrial.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <cstdlib>
#include <iostream>

namespace Figward::Testing {

namespace {

constexpr unsigned vms = 5;
constexpr unsigned members = 3;

/** A client that runs random operations one after another. */
class RandomClient
{
public:
    RandomClient(SessionWorld &world, std::mt19937_64 &random)
        : world_(world)
        , random_(random)
    {
    }

    void step()
    {
        if (!session_ || world_.client(*session_).closed_) {
            const unsigned vm = random_() % vms;
            const std::string database = std::vector<std::string>{"ledger", "history", "dispatch"}[random_() % 3];
            session_ = world_.runs(vm) ? std::optional(world_.open(vm, database)) : std::nullopt;
            id_.clear();
            inTransaction_ = false;
            return;
        }
        const SessionReply *reply = id_.empty() ? nullptr : world_.answerTo(*session_, id_);
        if (!id_.empty() && reply == nullptr) {
            return;
        }
        inTransaction_ = reply != nullptr && reply->state_ != TransactionState::None;
        next(reply != nullptr && reply->state_ == TransactionState::Failed);
    }

private:
    void next(bool failed)
    {
        const unsigned choice = random_() % 10;
        if (failed) {
            id_ = world_.send(*session_, StatementKind::Rollback);
        } else if (inTransaction_ && choice < 3) {
            id_ = world_.send(*session_, choice == 0 ? StatementKind::Rollback : StatementKind::Commit);
        } else if (choice == 9 && random_() % 4 == 0) {
            world_.close(*session_);
        } else if (!inTransaction_ && choice == 3) {
            id_ = world_.send(*session_, random_() % 2 == 0 ? StatementKind::Begin : StatementKind::BeginRead);
        } else if (choice < 6 && world_.client(*session_).database_ != "history") {
            id_ = world_.send(*session_, StatementKind::Write, "WRITE a 1");
        } else {
            id_ = world_.send(*session_, StatementKind::Read, "READ a");
        }
    }

    SessionWorld &world_;
    std::mt19937_64 &random_;
    std::optional<std::size_t> session_;
    std::string id_;
    bool inTransaction_ = false;
};

/** Starts one fault and schedules its end. */
void injectFault(SessionWorld &world, std::mt19937_64 &random)
{
    const Duration faultDuration = std::chrono::milliseconds(300 + random() % 6000);
    const unsigned vm = random() % vms;
    const unsigned member = random() % members;
    const unsigned kind = random() % 10;
    world.note(absl::StrCat("fault ", kind, " vm ", vm, " member ", member, " for ", toMillis(faultDuration), " ms"));
    switch (kind) {
    case 0:
        world.crashMember(member);
        world.after(faultDuration, [&world, member] { world.restartMember(member); });
        break;
    case 1:
        world.killVm(vm);
        world.after(faultDuration / 4, [&world, vm] { world.startVm(vm); });
        break;
    case 2:
        world.freezeVm(vm, true);
        world.after(faultDuration, [&world, vm] { world.freezeVm(vm, false); });
        break;
    case 3:
        world.storeDown(true);
        world.after(faultDuration, [&world] { world.storeDown(false); });
        break;
    case 4:
        world.storeLosesAnswers(true);
        world.after(faultDuration, [&world] { world.storeLosesAnswers(false); });
        break;
    case 5:
        world.cutVmFromMember(vm, member, true);
        world.after(faultDuration, [&world, vm, member] { world.cutVmFromMember(vm, member, false); });
        break;
    case 6:
        world.cutVmFromStore(vm, true);
        world.after(faultDuration, [&world, vm] { world.cutVmFromStore(vm, false); });
        break;
    case 7: // One VM can reach only one member.
        for (unsigned other = 0; other < vms; ++other) {
            if (other != vm) {
                world.cutVms(vm, other, true);
                world.cutVmFromMember(other, member, true);
            }
        }
        world.after(faultDuration, [&world, vm, member] {
            for (unsigned other = 0; other < vms; ++other) {
                world.cutVms(vm, other, false);
                world.cutVmFromMember(other, member, false);
            }
        });
        break;
    case 8:
        world.group().member(SessionWorld::memberId(member)).lag_ = std::chrono::milliseconds(8 + random() % 2000);
        world.after(faultDuration, [&world, member] { world.group().member(SessionWorld::memberId(member)).lag_ = std::chrono::milliseconds(8); });
        break;
    default:
        world.promotionsDown(true);
        world.after(faultDuration, [&world] { world.promotionsDown(false); });
        break;
    }
}

} // namespace

std::vector<std::string> playLineTrial(std::uint64_t seed, const LineTrialOptions &options)
{
    SessionWorldConfig config;
    config.vms_ = vms;
    config.members_ = members;
    config.seed_ = seed;
    SessionWorld world(config);
    world.setBeforeEvent(options.beforeEvent_);
    std::mt19937_64 random(seed);
    std::mt19937_64 resetRandom(~seed); // A separate generator, so that a seed's other faults are the same with and without resets.
    world.run(std::chrono::seconds(3));
    std::vector<RandomClient> clients(8, RandomClient(world, random));
    constexpr int steps = 2000;
    for (int step = 0; step < steps; ++step) {
        for (RandomClient &client : clients) {
            client.step();
        }
        if (random() % 120 == 0) {
            injectFault(world, random);
        }
        constexpr unsigned stepsBetweenResets = 50;
        if (options.resets_ && resetRandom() % stepsBetweenResets == 0) {
            world.resetConnections(resetRandom() % members);
        }
        world.run(std::chrono::milliseconds(10));
    }
    world.checkLogs();
    if (std::getenv("FIGWARD_FUZZ_STORY") != nullptr) {
        std::cout << absl::StrJoin(world.story(), "\n") << '\n';
    }
    return world.violations();
}

} // namespace Figward::Testing
