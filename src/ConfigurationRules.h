/** \file
 * Defines the validation rules of a configuration that involve more than one field: unique names and addresses, dependencies, members of a group.
 */
#pragma once

#include "JsonDocument.h"
#include "TextProblem.h"

namespace Figward {

/** Checks the services of \p root. Tolerates missing fields and fields of a wrong type; checkObject() reports those. */
void checkConfigurationRules(const JsonNode &root, TextProblems &problems);

} // namespace Figward
