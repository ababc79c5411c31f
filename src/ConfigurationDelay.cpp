#include "ConfigurationDelay.h"

#include "SessionHeartbeats.h"
#include "SessionState.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <algorithm>
#include <vector>

namespace Figward {

namespace {

/** A configuration that is known of is mostly here within some ten milliseconds, a large one on a small link within a second. */
constexpr Duration longBehind = std::chrono::milliseconds(1000);
/** Some VM compares the configuration with the store's every 1.2 s or so. */
constexpr Duration longUnchecked = std::chrono::milliseconds(3000);

ConfigVersion versionOf(const SessionServiceState &sessions)
{
    return sessions.configuration_ ? sessions.configuration_->version_ : ConfigVersion(0);
}

/** Where the configuration is being read, "store" or addresses of VMs. */
std::string askedSources(const SessionServiceState &sessions)
{
    std::vector<std::string> sources;
    for (const auto &[id, call] : sessions.calls_) {
        if (std::holds_alternative<ReadConfiguration>(call.request_)) {
            sources.push_back(call.peer_.empty() ? "store" : call.peer_);
        }
    }
    return sources.empty() ? "-" : absl::StrJoin(sources, ",");
}

std::string checkAge(const SessionServiceState &sessions, Time now)
{
    const std::optional<Time> &askedAt = sessions.schedule_.configurationCheck_.askedAt_;
    return askedAt ? absl::StrCat(toMillis(now - *askedAt)) : "-";
}

void tellBehind(SessionServiceState &sessions, Time now, Effects &out)
{
    const std::optional<Duration> behind = timeBehind(sessions, now);
    if (!behind || *behind < longBehind || sessions.delay_.behindTold_) {
        return;
    }
    sessions.delay_.behindTold_ = true;
    const auto hasIt = [&](const auto &entry) { return isFresh(entry.second, now) && entry.second.configuration_ == sessions.newestHeard_; };
    out.emplace_back(WriteLog{LogNumber::ConfigurationBehind,
                              {{"version", absl::StrCat(sessions.newestHeard_.value())},
                               {"mine", absl::StrCat(versionOf(sessions).value())},
                               {"ms", absl::StrCat(toMillis(*behind))},
                               {"vms", absl::StrCat(std::ranges::count_if(sessions.peers_, hasIt))},
                               {"asked", askedSources(sessions)},
                               {"check_ms", checkAge(sessions, now)}}});
}

void tellUnchecked(SessionServiceState &sessions, Time now, Effects &out)
{
    const Time checked = sessions.schedule_.configurationCheck_.askedAt_.value_or(sessions.startedAt_);
    const bool unchecked = now - checked > longUnchecked;
    if (unchecked && !sessions.delay_.uncheckedTold_) {
        out.emplace_back(
            WriteLog{LogNumber::ConfigurationUnchecked,
                     {{"mine", absl::StrCat(versionOf(sessions).value())}, {"check_ms", checkAge(sessions, now)}, {"asked", askedSources(sessions)}}});
    }
    sessions.delay_.uncheckedTold_ = unchecked;
}

} // namespace

std::optional<Duration> timeBehind(const SessionServiceState &sessions, Time now)
{
    return sessions.delay_.behindSince_ ? std::optional(now - *sessions.delay_.behindSince_) : std::nullopt;
}

void noteBehind(SessionServiceState &sessions, Time now)
{
    if (!sessions.delay_.behindSince_) {
        sessions.delay_.behindSince_ = now;
    }
}

void noteInForce(SessionServiceState &sessions, Time now)
{
    sessions.delay_.behindTold_ = false;
    sessions.delay_.behindSince_ = versionOf(sessions) < sessions.newestHeard_ ? std::optional(now) : std::nullopt;
}

void tellConfigurationDelay(SessionServiceState &sessions, Time now, Effects &out)
{
    tellBehind(sessions, now, out);
    tellUnchecked(sessions, now, out);
}

} // namespace Figward
