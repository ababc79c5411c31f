/** \file
 * Defines the fields of a configuration text; docs/CONFIGURATION.md shows the same rows and a test compares the two.
 */
#pragma once

#include "Configuration.h"
#include "FieldTable.h"

namespace Figward {

/** The whole text. */
extern const ObjectInfo configurationObject;
extern const ObjectInfo policyObject;
extern const ObjectInfo serviceObject;
extern const ObjectInfo classObject;
extern const ObjectInfo groupObject;
extern const ObjectInfo memberObject;

/** The policy that \p node describes; fields that are left out have their defaults. The node has passed checkObject(). */
Policy readPolicy(const JsonNode &node);

} // namespace Figward
