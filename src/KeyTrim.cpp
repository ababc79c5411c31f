#include "KeyTrim.h"

#include "ProxyState.h"

namespace Figward {

namespace {

constexpr Duration trimInterval = std::chrono::minutes(10); // Short compared to a retention of hours, so that a group keeps few keys longer than necessary.
constexpr Duration trimTimeout = std::chrono::seconds(1);

/**
 * Sends one request to trim keys. If it fails or reaches a replaced primary, the next one makes up for it, as each covers all sessions started before a given
 * time.
 */
void trim(ProxyState &state, const GroupOwner &owner, std::uint64_t before, Effects &out)
{
    const MemberView *primary = primaryOf(owner.view_);
    if (primary == nullptr) {
        return;
    }
    const ControlCall call{ControlId(allocateId(state)), TrimKeys{before, owner.view_.term_}};
    out.push_back(SendControl{primary->config_.id_, primary->config_.address_, trimTimeout, call});
}

} // namespace

std::uint64_t unixSeconds(const ProxyState &state, Time now)
{
    if (state.wallClock_.startedSeconds_ == 0) {
        return 0;
    }
    const auto since = std::chrono::duration_cast<std::chrono::seconds>(now - state.wallClock_.startedAt_);
    return state.wallClock_.startedSeconds_ + static_cast<std::uint64_t>(since.count());
}

void startKeyTrim(ProxyState &state, const Started &started, Time now)
{
    state.wallClock_ = {now, started.unixSeconds_};
    state.timers_.arm(now + trimInterval, {TimerTopic::KeyTrim, {}, 0});
}

void onKeyTrimTimer(ProxyState &state, const TimerTag & /*tag*/, Time now, Effects &out)
{
    state.timers_.arm(now + trimInterval, {TimerTopic::KeyTrim, {}, 0});
    const auto retention = std::chrono::duration_cast<std::chrono::seconds>(state.configuration_.policy_.keyRetention_);
    const std::uint64_t unixNow = unixSeconds(state, now);
    if (unixNow <= static_cast<std::uint64_t>(retention.count())) {
        return;
    }
    for (const auto &[group, owner] : state.owners_) {
        if (owner.rank_ == 0 && !owner.leaving_) {
            trim(state, owner, unixNow - static_cast<std::uint64_t>(retention.count()), out);
        }
    }
}

} // namespace Figward
