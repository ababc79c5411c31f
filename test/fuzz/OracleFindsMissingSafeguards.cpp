// Checks the oracle: each test disables one safeguard by altering a proxy's state or effects from outside, and fuzzing must detect a violated guarantee.
// If the absence of a safeguard is not detected, no other fuzz test covers that safeguard.
#include "fuzz/Actions.h"

#include <gtest/gtest.h>
#include <iostream>

using namespace Figward;
using namespace Figward::Testing;

namespace {

constexpr std::uint64_t seedsTried = 200;

/** Fuzzes with hooks made by \p hooksOf and expects a finding; prints the seed and the violated guarantee. */
void expectFinding(const std::function<WorldHooks(World &)> &hooksOf)
{
    FuzzCounts counts;
    const FuzzRun run{.firstSeed_ = 1, .seeds_ = seedsTried, .maxActions_ = 200, .shrink_ = false};
    const std::optional<FuzzFinding> finding = fuzz(run, counts, [&](Trial &trial) { trial.world().hooks_ = hooksOf(trial.world()); });
    ASSERT_TRUE(finding.has_value()) << "no violation detected in " << seedsTried << " seeds";
    const std::size_t mark = finding->report_.find("trial.trace())\n\n");
    const std::size_t from = mark == std::string::npos ? 0 : finding->report_.find_first_not_of('\n', mark + 14);
    std::cout << "seed " << finding->seed_ << ": " << finding->report_.substr(from, finding->report_.find('\n', from) - from) << "\n";
}

/** Calls \p action for each group that the proxy owns. */
void forOwners(ProxyState &state, const std::function<void(GroupOwner &)> &action)
{
    for (auto &[group, owner] : state.owners_) {
        action(owner);
    }
}

} // namespace

TEST(OracleFinds, acknowledgementOnThePrimaryAlone)
{
    expectFinding([](World &) {
        WorldHooks hooks;
        hooks.beforeEvent_ = [](ProxyIndex, ProxyState &state, EventBody &body) {
            const auto *answered = std::get_if<UpstreamAnswered>(&body);
            if (answered == nullptr || !state.connections_.contains(answered->connection_)) {
                return;
            }
            for (MemberView &member : state.owners_.at(state.connections_.at(answered->connection_)).view_.members_) {
                member.status_ = answered->answer_.status_;
            }
        };
        return hooks;
    });
}

TEST(OracleFinds, fencesCountedThatNobodyAnswered)
{
    expectFinding([](World &) {
        WorldHooks hooks;
        hooks.beforeEvent_ = [](ProxyIndex, ProxyState &state, EventBody &) {
            forOwners(state, [](GroupOwner &owner) {
                for (const MemberView &member : owner.view_.members_) {
                    if (owner.failover_.attempt_ && member.status_) {
                        owner.failover_.attempt_->fenced_.emplace(member.config_.id_, member.status_->log_);
                    }
                }
            });
        };
        return hooks;
    });
}

TEST(OracleFinds, successorChosenWithoutComparingLogs)
{
    expectFinding([](World &) {
        WorldHooks hooks;
        hooks.beforeEvent_ = [](ProxyIndex, ProxyState &state, EventBody &) {
            forOwners(state, [](GroupOwner &owner) {
                if (owner.failover_.attempt_) {
                    for (auto &[member, point] : owner.failover_.attempt_->fenced_) {
                        point = {};
                    }
                }
            });
        };
        return hooks;
    });
}

TEST(OracleFinds, tokenIgnoredByReplicas)
{
    expectFinding([](World &) {
        WorldHooks hooks;
        hooks.beforeEvent_ = [](ProxyIndex, ProxyState &, EventBody &body) {
            auto *asked = std::get_if<CallerAsked>(&body);
            if (asked != nullptr && asked->request_.kind_ == RequestKind::Read) {
                for (auto &[group, point] : asked->request_.token_.points_) {
                    point = {};
                }
            }
        };
        return hooks;
    });
}

TEST(OracleFinds, everyReplicaTakenForFresh)
{
    expectFinding([](World &) {
        WorldHooks hooks;
        hooks.beforeEvent_ = [](ProxyIndex, ProxyState &state, EventBody &) {
            forOwners(state, [](GroupOwner &owner) { owner.ages_.samples_ = {{Time(Duration::max() / 2), LogPoint{}}}; });
        };
        return hooks;
    });
}

TEST(OracleFinds, aRepeatedWriteUnderANewKey)
{
    expectFinding([](World &) {
        const auto sent = std::make_shared<std::map<IdempotencyKey, std::uint64_t>>();
        WorldHooks hooks;
        hooks.afterEvent_ = [sent](ProxyIndex, ProxyState &, Effects &effects) {
            for (Effect &effect : effects) {
                auto *send = std::get_if<SendStatement>(&effect);
                if (send != nullptr && send->statement_.kind_ == RequestKind::Write && send->statement_.key_) {
                    const std::uint64_t times = (*sent)[*send->statement_.key_]++;
                    send->statement_.key_->session_.nonce_ += times << 32U;
                }
            }
        };
        return hooks;
    });
}

TEST(OracleFinds, notRunToldWithoutProof)
{
    expectFinding([](World &) {
        WorldHooks hooks;
        hooks.afterEvent_ = [](ProxyIndex, ProxyState &, Effects &effects) {
            for (Effect &effect : effects) {
                auto *answer = std::get_if<AnswerCaller>(&effect);
                if (answer != nullptr && answer->answer_.outcome_ == Outcome::Unknown) {
                    answer->answer_.outcome_ = Outcome::NotRun;
                }
            }
        };
        return hooks;
    });
}

TEST(OracleFinds, aConnectionSharedWithAnOpenTransaction)
{
    expectFinding([](World &) {
        WorldHooks hooks;
        hooks.afterEvent_ = [](ProxyIndex, ProxyState &state, Effects &) {
            forOwners(state, [](GroupOwner &owner) {
                for (auto &[id, connection] : owner.pool_.connections_) {
                    if (connection.use_ == ConnectionUse::Pinned) {
                        connection.use_ = ConnectionUse::Idle;
                    }
                }
            });
        };
        return hooks;
    });
}

TEST(OracleFinds, anAnswerTakenForAnotherRequests)
{
    expectFinding([](World &) {
        const auto previousBody = std::make_shared<std::string>();
        WorldHooks hooks;
        hooks.beforeEvent_ = [previousBody](ProxyIndex, ProxyState &, EventBody &body) {
            if (auto *answered = std::get_if<UpstreamAnswered>(&body)) {
                std::swap(*previousBody, answered->answer_.body_);
            }
        };
        return hooks;
    });
}
