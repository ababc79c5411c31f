/** \file
 * Defines v1 as the short name of the messages and services that are generated from proto/.
 */
#pragma once

// NOLINTNEXTLINE(readability-identifier-naming): a package of protobuf, whose style is lower case.
namespace figward::v1 {
}

namespace Figward {
namespace v1 = ::figward::v1;
}
