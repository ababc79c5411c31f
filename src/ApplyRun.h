/** \file
 * Defines the execution of an apply: it makes the platform calls of a ConfigurationApply one by one until there is a result.
 */
#pragma once

#include "ConfigurationApply.h"
#include "PlatformCaller.h"

namespace Figward {

/** Applies \p text, which checkConfiguration() must have accepted, and waits for the result. This takes seconds if the platform is unreachable. */
ApplyResult runApply(PlatformCaller &platform, std::string_view text, std::optional<ConfigVersion> expected);

} // namespace Figward
