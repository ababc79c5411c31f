/** \file
 * Defines how the operators' text (JSON with comments) becomes a Configuration, with every mistake in it named.
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

/** A text that was checked: the configuration if and only if there are no problems. */
struct CheckedConfiguration
{
    std::optional<Configuration> configuration_; ///< Its version is zero: the platform gives it one.
    std::vector<TextProblem> problems_; ///< In the order of the text.
};

/** Checks \p text in full and names all its mistakes in one run. */
CheckedConfiguration checkConfiguration(std::string_view text);

/** One part of a configuration; changes travel by part. */
struct ConfigurationPart
{
    std::string name_; ///< "policy", or "service/" and the service's name.
    std::string text_; ///< Canonical JSON without comments.
};

/** Splits a text that checkConfiguration() accepts into its policy and one part for each service, ordered by name. */
std::vector<ConfigurationPart> splitConfiguration(std::string_view text);
/** The text that splitConfiguration() would split into \p parts. */
std::string joinConfiguration(absl::Span<const ConfigurationPart> parts);

} // namespace Figward
