/** \file
 * Defines how the operators' text (JSON with comments) becomes a Configuration, with every mistake in it named.
 */
#pragma once

#include "Configuration.h"

#include <absl/types/span.h>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Figward {

/** What is wrong at one place of a text. */
enum class TextProblemKind {
    Syntax,
    UnknownField,
    MissingField,
    WrongType,
    OutOfRange,
    Duplicate,
    UnknownName, ///< Refers to a service that the text does not define.
    Cycle, ///< Services depend on each other in a circle.
};

/** One mistake in a text, placed. */
struct TextProblem
{
    TextProblemKind kind_ = TextProblemKind::Syntax;
    unsigned line_ = 0; ///< From 1.
    unsigned column_ = 0; ///< From 1, in bytes.
    std::string pointer_; ///< JSON pointer of the place.
    std::string detail_;
};

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
