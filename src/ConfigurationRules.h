/** \file
 * Defines the rules of a configuration that look at more than one field: unique names and addresses, dependencies, members of a group.
 */
#pragma once

#include "JsonDocument.h"
#include "TextProblem.h"

namespace Figward {

/** Checks the services of \p root. Copes with fields that are missing or of the wrong type: those are named elsewhere. */
void checkConfigurationRules(const JsonNode &root, TextProblems &problems);

} // namespace Figward
