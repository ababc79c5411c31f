/** \file
 * Defines v1 as the short name of the messages and services that are generated from proto/.
 */
#pragma once

namespace figward::v1 {
}

namespace Figward {
namespace v1 = ::figward::v1;
}
