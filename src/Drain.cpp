#include "Drain.h"

#include "EntryAttempts.h"
#include "Gossip.h"
#include "OwnerTransactions.h"
#include "ProxyState.h"

#include <algorithm>

namespace Figward {

namespace {

constexpr std::uint64_t timeoutKey = 0;
constexpr std::uint64_t minDrainTimeKey = 1;
// Minimum time for which the process stays to refuse requests that entries forwarded to it before they learned of the drain; a refusal makes the entry try
// another owner. If the process had exited already, such requests would stay unanswered: their callers would wait and could not be told that nothing ran.
constexpr Duration minDrainTime = std::chrono::seconds(1);

bool hasOwnedWork(const ProxyState &state)
{
    const auto busy = [](const auto &entry) { return !entry.second.requests_.byTicket_.empty() || !entry.second.requests_.transactions_.empty(); };
    return std::ranges::any_of(state.owners_, busy);
}

/** Hands the unused terms of each owned group to the first remaining owner, so that it can replace a primary without a call to the platform. */
void handOverTerms(ProxyState &state, Effects &out)
{
    for (auto &[group, owner] : state.owners_) {
        const std::vector<VmInfo> remainingOwners = ownersOf(state, group);
        if (remainingOwners.empty()) {
            continue;
        }
        for (const TermBlock &block : owner.failover_.blocks_) {
            sendPeer(state, remainingOwners.front(), TermHandover{group, block.first_, block.last_}, out);
        }
        owner.failover_.blocks_.clear();
    }
}

/** Rolls back the owner's open transactions that have no step in progress; a step in progress is answered first. */
void rollBackOwnedTransactions(ProxyState &state, GroupOwner &owner, Effects &out)
{
    std::vector<TransactionKey> open;
    for (const auto &[key, transaction] : owner.requests_.transactions_) {
        if (!transaction.busy_) {
            open.push_back(key);
        }
    }
    for (const TransactionKey &key : open) {
        abortTransaction(state, owner, key, out);
    }
}

void rollBackOpenTransactions(ProxyState &state, Effects &out)
{
    std::vector<TransactionId> open;
    for (const auto &[id, transaction] : state.entry_.transactions_) {
        if (!transaction.busy_) {
            open.push_back(id);
        }
    }
    for (const TransactionId id : open) {
        endEntryTransaction(state, id, true, out);
    }
    for (auto &[group, owner] : state.owners_) {
        rollBackOwnedTransactions(state, owner, out);
    }
}

} // namespace

void onDrainAsked(ProxyState &state, Time now, Effects &out)
{
    if (state.drain_.draining_) {
        return;
    }
    state.drain_.draining_ = true;
    state.drain_.earliestExitAt_ = now + minDrainTime;
    out.push_back(WriteLog{LogNumber::DrainStarted, {}});
    state.timers_.arm(now + minDrainTime, {TimerTopic::Drain, {}, minDrainTimeKey});
    state.timers_.arm(now + state.configuration_.policy_.drainTimeout_, {TimerTopic::Drain, {}, timeoutKey});
    announceLeaving(state, now, out);
    handOverTerms(state, out);
    continueDrain(state, now, out);
}

void continueDrain(ProxyState &state, Time now, Effects &out)
{
    if (state.drain_.rollingBack_) {
        rollBackOpenTransactions(state, out);
        if (!state.localMessages_.empty()) {
            // The messages of this proxy to itself are processed only with the next event; this timer makes one occur at once.
            state.timers_.arm(now, {TimerTopic::Drain, {}, minDrainTimeKey});
        }
    }
    const bool busy = !state.entry_.requests_.empty() || !state.entry_.transactions_.empty() || hasOwnedWork(state) || !state.localMessages_.empty();
    if (busy || now < state.drain_.earliestExitAt_ || state.drain_.exited_) {
        return;
    }
    state.drain_.exited_ = true;
    out.push_back(WriteLog{LogNumber::ProcessStopped, {}});
    out.push_back(ExitProcess{});
}

void onDrainTimer(ProxyState &state, const TimerTag &tag, Time /*now*/, Effects &out)
{
    const bool expired = tag.key_ == timeoutKey && !state.drain_.exited_;
    if (!expired) {
        return; // continueDrain() runs after each event and checks whether the process may exit.
    }
    // The next step of each open transaction is answered with the outcome that nothing of the transaction ran, since no commit was sent.
    state.drain_.rollingBack_ = true;
    out.push_back(WriteLog{LogNumber::DrainCutTransactions, {{"transactions", std::to_string(state.entry_.transactions_.size())}}});
}

} // namespace Figward
