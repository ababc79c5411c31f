/** \file
 * Defines the conversion of the operators' text (JSON with comments) into a Configuration, with a report of all errors in it.
 */
#pragma once

#include "Configuration.h"
#include "TextProblem.h"

#include <absl/types/span.h>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Figward {

/** Result of checkConfiguration(). It contains a configuration if and only if there are no problems. */
struct CheckedConfiguration
{
    std::optional<Configuration> configuration_; ///< Its version is zero; the platform assigns one.
    std::vector<TextProblem> problems_; ///< In the order of the text.
};

/** Validates all of \p text and reports all errors in one pass. */
CheckedConfiguration checkConfiguration(std::string_view text);

/** One part of a configuration. Only changed parts are transferred to the proxies. */
struct ConfigurationPart
{
    std::string name_; ///< "policy", or "service/" and the service's name.
    std::string text_; ///< Canonical JSON without comments.
};

/** Splits a text that checkConfiguration() accepts into one part for the policy and one for each service, sorted by name. */
std::vector<ConfigurationPart> splitConfiguration(std::string_view text);
/** Inverse of splitConfiguration(): returns a text that would be split into \p parts. */
std::string joinConfiguration(absl::Span<const ConfigurationPart> parts);

} // namespace Figward
