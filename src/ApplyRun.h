/** \file
 * Defines how an apply is carried out against the platform, call by call, until it has ended.
 */
#pragma once

#include "ConfigurationApply.h"
#include "PlatformCaller.h"

namespace Figward {

/** Applies \p text, which checkConfiguration() has accepted, and waits for the end; seconds if the platform is away. */
ApplyResult runApply(PlatformCaller &platform, std::string_view text, std::optional<ConfigVersion> expected);

} // namespace Figward
