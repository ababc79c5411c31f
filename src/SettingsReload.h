/** \file
 * Defines the reload of settings while the process runs.
 */
#pragma once

#include "LogEvents.h"
#include "Settings.h"

namespace Figward {

/** Result of reloadSettings(). */
struct SettingsReload
{
    std::optional<Settings> settings_; ///< Empty if the text has errors; the current settings stay active.
    bool logLevelChanged_ = false; ///< The log level takes effect at once; other settings need a restart.
    LogNumber number_ = LogNumber::SettingsRead; ///< The event to log.
    std::vector<LogField> fields_;
};

/** Validates \p text and compares it with the \p current settings of the process. */
SettingsReload reloadSettings(const Settings &current, std::string_view text);

} // namespace Figward
