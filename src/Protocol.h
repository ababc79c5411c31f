/** \file
 * Defines v1 as the short name of the messages and services that are generated from proto/.
 */
#pragma once

// NOLINTNEXTLINE(readability-identifier-naming): protobuf packages are lower case.
namespace figward::v1 {
}

namespace Figward {
namespace v1 = ::figward::v1;
}
