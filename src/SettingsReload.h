/** \file
 * Defines what becomes of settings that are read again while the process runs.
 */
#pragma once

#include "LogEvents.h"
#include "Settings.h"

namespace Figward {

/** What a new text of the settings comes to. */
struct SettingsReload
{
    std::optional<Settings> settings_; ///< None: the text has mistakes, and the settings before hold.
    bool logLevelChanged_ = false; ///< Takes effect at once.
    LogNumber number_ = LogNumber::SettingsRead; ///< The event to log.
    std::vector<LogField> fields_;
};

/** Compares \p text with the settings that the process was started with, \p inForce. */
SettingsReload reloadSettings(const Settings &inForce, std::string_view text);

} // namespace Figward
