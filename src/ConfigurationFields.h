/** \file
 * Defines the schema of a configuration text. docs/CONFIGURATION.md contains the same table rows, and a test compares the two.
 */
#pragma once

#include "Configuration.h"
#include "FieldTable.h"

namespace Figward {

/** Schema of the root object. */
extern const ObjectInfo configurationObject;
extern const ObjectInfo policyObject;
extern const ObjectInfo serviceObject;
extern const ObjectInfo classObject;
extern const ObjectInfo groupObject;
extern const ObjectInfo memberObject;

/** Reads a policy from \p node; absent fields get their defaults. The node must have passed checkObject(). */
Policy readPolicy(const JsonNode &node);

} // namespace Figward
