#include "SettingsReload.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

namespace Figward {

namespace {

/** Returns the names of changed settings that take effect only at the next start, since their addresses and files are open or known to other processes. */
std::vector<std::string> changesForNextStart(const Settings &current, const Settings &updated)
{
    std::vector<std::string> names;
    const auto compare = [&](const char *name, const auto &currentValue, const auto &updatedValue) {
        if (!(currentValue == updatedValue)) {
            names.emplace_back(name);
        }
    };
    compare("name", current.name_, updated.name_);
    compare("availability_zone", current.zone_, updated.zone_);
    compare("caller_address", current.callerAddress_, updated.callerAddress_);
    compare("peer_address", current.peerAddress_, updated.peerAddress_);
    compare("advertised_address", current.advertisedAddress_, updated.advertisedAddress_);
    compare("platform_address", current.platformAddress_, updated.platformAddress_);
    compare("metrics_address", current.metricsAddress_, updated.metricsAddress_);
    compare("seeds", current.seeds_, updated.seeds_);
    compare("log_file", current.logFile_, updated.logFile_);
    compare("caller_tls", current.callerTls_, updated.callerTls_);
    compare("peer_tls", current.peerTls_, updated.peerTls_);
    compare("sessions", current.sessions_, updated.sessions_);
    return names;
}

} // namespace

SettingsReload reloadSettings(const Settings &current, std::string_view text)
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
    reload.logLevelChanged_ = checked.settings_->logLevel_ != current.logLevel_;
    reload.fields_ = {{"applied", reload.logLevelChanged_ ? "log_level" : "-"},
                      {"at_next_start", absl::StrJoin(changesForNextStart(current, *checked.settings_), ",")}};
    return reload;
}

} // namespace Figward
