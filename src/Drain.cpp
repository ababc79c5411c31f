#include "Drain.h"

#include "ProxyState.h"

#include <algorithm>

namespace Figward {

namespace {

bool ownsWork(const ProxyState &state)
{
    const auto busy = [](const auto &entry) { return !entry.second.requests_.byTicket_.empty() || !entry.second.requests_.transactions_.empty(); };
    return std::ranges::any_of(state.owners_, busy);
}

} // namespace

void onDrainAsked(ProxyState &state, Time now, Effects &out)
{
    if (state.drain_.draining_) {
        return;
    }
    state.drain_.draining_ = true;
    state.timers_.arm(now + state.configuration_.policy_.drainTimeout_, {TimerTopic::Drain, {}, 0});
    reviewDrain(state, now, out);
}

void reviewDrain(ProxyState &state, Time /*now*/, Effects &out)
{
    const bool busy = !state.entry_.requests_.empty() || !state.entry_.transactions_.empty() || ownsWork(state);
    if (busy || state.drain_.exited_) {
        return;
    }
    state.drain_.exited_ = true;
    out.push_back(ExitProcess{});
}

void onDrainTimer(ProxyState & /*state*/, const TimerTag & /*tag*/, Time /*now*/, Effects & /*out*/)
{
}

} // namespace Figward
