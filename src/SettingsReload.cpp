#include "SettingsReload.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

namespace Figward {

namespace {

/** Names of settings that differ and hold from the next start: what they name is open or known to other processes already. */
std::vector<std::string> changedForNextStart(const Settings &before, const Settings &after)
{
    std::vector<std::string> names;
    const auto compare = [&](const char *name, const auto &one, const auto &other) {
        if (!(one == other)) {
            names.emplace_back(name);
        }
    };
    compare("name", before.name_, after.name_);
    compare("availability_zone", before.zone_, after.zone_);
    compare("caller_address", before.callerAddress_, after.callerAddress_);
    compare("peer_address", before.peerAddress_, after.peerAddress_);
    compare("advertised_address", before.advertisedAddress_, after.advertisedAddress_);
    compare("platform_address", before.platformAddress_, after.platformAddress_);
    compare("metrics_address", before.metricsAddress_, after.metricsAddress_);
    compare("seeds", before.seeds_, after.seeds_);
    compare("log_file", before.logFile_, after.logFile_);
    compare("caller_tls", before.callerTls_, after.callerTls_);
    compare("peer_tls", before.peerTls_, after.peerTls_);
    compare("sessions", before.sessions_, after.sessions_);
    return names;
}

} // namespace

SettingsReload reloadSettings(const Settings &inForce, std::string_view text)
{
    const CheckedSettings checked = checkSettings(text);
    SettingsReload reload;
    if (!checked.settings_) {
        const TextProblem &first = checked.problems_.front();
        reload.number_ = LogNumber::SettingsRefused;
        reload.fields_ = {{"problems", absl::StrCat(checked.problems_.size())},
                          {"line", absl::StrCat(first.line_)},
                          {"pointer", first.pointer_},
                          {"reason", absl::StrCat(std::string(toString(first.kind_)), ": ", first.detail_)}};
        return reload;
    }
    reload.settings_ = checked.settings_;
    reload.logLevelChanged_ = checked.settings_->logLevel_ != inForce.logLevel_;
    reload.fields_ = {{"applied", reload.logLevelChanged_ ? "log_level" : "-"},
                      {"at_next_start", absl::StrJoin(changedForNextStart(inForce, *checked.settings_), ",")}};
    return reload;
}

} // namespace Figward
