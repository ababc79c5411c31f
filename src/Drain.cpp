#include "Drain.h"

#include "EntryAttempts.h"
#include "Gossip.h"
#include "OwnerTransactions.h"
#include "ProxyState.h"

#include <algorithm>

namespace Figward {

namespace {

constexpr std::uint64_t cutKey = 0;
constexpr std::uint64_t lingerKey = 1;
// Requests that were forwarded here before the others heard of the drain still get their refusal, which sends them on. A process that were gone by then would
// leave them unanswered: their callers would wait, and could not be told that nothing ran.
constexpr Duration linger = std::chrono::seconds(1);

bool ownsWork(const ProxyState &state)
{
    const auto busy = [](const auto &entry) { return !entry.second.requests_.byTicket_.empty() || !entry.second.requests_.transactions_.empty(); };
    return std::ranges::any_of(state.owners_, busy);
}

/** Gives unused terms of each owned group to the first owner that stays, so that it can replace a primary without asking the platform. */
void handOverTerms(ProxyState &state, Effects &out)
{
    for (auto &[group, owner] : state.owners_) {
        const std::vector<VmInfo> heirs = ownersOf(state, group);
        if (heirs.empty()) {
            continue;
        }
        for (const TermBlock &block : owner.failover_.blocks_) {
            sendPeer(state, heirs.front(), TermHandover{group, block.first_, block.last_}, out);
        }
        owner.failover_.blocks_.clear();
    }
}

/** Rolls back the transactions that are open between two steps; a step under way is answered first. */
void cutOwnedTransactions(ProxyState &state, GroupOwner &owner, Effects &out)
{
    std::vector<TransactionKey> open;
    for (const auto &[key, transaction] : owner.requests_.transactions_) {
        if (!transaction.busy_) {
            open.push_back(key);
        }
    }
    for (const TransactionKey &key : open) {
        loseTransaction(state, owner, key, out);
    }
}

void cutTransactions(ProxyState &state, Effects &out)
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
        cutOwnedTransactions(state, owner, out);
    }
}

} // namespace

void onDrainAsked(ProxyState &state, Time now, Effects &out)
{
    if (state.drain_.draining_) {
        return;
    }
    state.drain_.draining_ = true;
    state.drain_.mayExitAt_ = now + linger;
    out.push_back(WriteLog{LogNumber::DrainStarted, {}});
    state.timers_.arm(now + linger, {TimerTopic::Drain, {}, lingerKey});
    state.timers_.arm(now + state.configuration_.policy_.drainTimeout_, {TimerTopic::Drain, {}, cutKey});
    announceLeaving(state, now, out);
    handOverTerms(state, out);
    reviewDrain(state, now, out);
}

void reviewDrain(ProxyState &state, Time now, Effects &out)
{
    if (state.drain_.cutting_) {
        cutTransactions(state, out);
        if (!state.local_.empty()) {
            state.timers_.arm(now, {TimerTopic::Drain, {}, lingerKey}); // What this proxy has told itself is taken in by the next event.
        }
    }
    const bool busy = !state.entry_.requests_.empty() || !state.entry_.transactions_.empty() || ownsWork(state) || !state.local_.empty();
    if (busy || now < state.drain_.mayExitAt_ || state.drain_.exited_) {
        return;
    }
    state.drain_.exited_ = true;
    out.push_back(WriteLog{LogNumber::ProcessStopped, {}});
    out.push_back(ExitProcess{});
}

void onDrainTimer(ProxyState &state, const TimerTag &tag, Time /*now*/, Effects &out)
{
    const bool timeIsUp = tag.key_ == cutKey && !state.drain_.exited_;
    if (!timeIsUp) {
        return; // The review after each event looks whether the process may end.
    }
    // Callers of open transactions are told with their next step that nothing of them ran: no commit was sent.
    state.drain_.cutting_ = true;
    out.push_back(WriteLog{LogNumber::DrainCutTransactions, {{"transactions", std::to_string(state.entry_.transactions_.size())}}});
}

} // namespace Figward
