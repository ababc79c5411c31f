#include "ConfigurationDelay.h"

#include "SessionHeartbeats.h"
#include "SessionState.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <algorithm>
#include <vector>

namespace Figward {

namespace {

/** A newer configuration usually arrives within about ten milliseconds after it became known, and a large one on a small link within a second. */
constexpr Duration maxTimeBehind = std::chrono::milliseconds(1000);
/** Some VM compares the configuration with the store's about every 1.2 s. */
constexpr Duration maxTimeUnchecked = std::chrono::milliseconds(3000);

ConfigVersion versionOf(const SessionServiceState &sessions)
{
    return sessions.configuration_ ? sessions.configuration_->version_ : ConfigVersion(0);
}

/** Sources that the configuration is being read from: "store" or addresses of VMs. */
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

void logBehind(SessionServiceState &sessions, Time now, Effects &out)
{
    const std::optional<Duration> behind = timeBehind(sessions, now);
    if (!behind || *behind < maxTimeBehind || sessions.delay_.behindLogged_) {
        return;
    }
    sessions.delay_.behindLogged_ = true;
    const auto hasIt = [&](const auto &entry) { return wasHeardRecently(entry.second, now) && entry.second.configuration_ == sessions.newestReported_; };
    out.emplace_back(WriteLog{LogNumber::ConfigurationBehind,
                              {{"version", absl::StrCat(sessions.newestReported_.value())},
                               {"mine", absl::StrCat(versionOf(sessions).value())},
                               {"ms", absl::StrCat(toMillis(*behind))},
                               {"vms", absl::StrCat(std::ranges::count_if(sessions.peers_, hasIt))},
                               {"asked", askedSources(sessions)},
                               {"check_ms", checkAge(sessions, now)}}});
}

void logUnchecked(SessionServiceState &sessions, Time now, Effects &out)
{
    const Time checked = sessions.schedule_.configurationCheck_.askedAt_.value_or(sessions.startedAt_);
    const bool unchecked = now - checked > maxTimeUnchecked;
    if (unchecked && !sessions.delay_.uncheckedLogged_) {
        out.emplace_back(
            WriteLog{LogNumber::ConfigurationUnchecked,
                     {{"mine", absl::StrCat(versionOf(sessions).value())}, {"check_ms", checkAge(sessions, now)}, {"asked", askedSources(sessions)}}});
    }
    sessions.delay_.uncheckedLogged_ = unchecked;
}

} // namespace

std::optional<Duration> timeBehind(const SessionServiceState &sessions, Time now)
{
    return sessions.delay_.behindSince_ ? std::optional(now - *sessions.delay_.behindSince_) : std::nullopt;
}

void recordBehind(SessionServiceState &sessions, Time now)
{
    if (!sessions.delay_.behindSince_) {
        sessions.delay_.behindSince_ = now;
    }
}

void recordActiveVersion(SessionServiceState &sessions, Time now)
{
    sessions.delay_.behindLogged_ = false;
    sessions.delay_.behindSince_ = versionOf(sessions) < sessions.newestReported_ ? std::optional(now) : std::nullopt;
}

void logConfigurationDelay(SessionServiceState &sessions, Time now, Effects &out)
{
    logBehind(sessions, now, out);
    logUnchecked(sessions, now, out);
}

} // namespace Figward
