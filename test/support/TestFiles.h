/** \file
 * Defines access of tests to the files of the repository.
 */
#pragma once

#include <fstream>
#include <iterator>
#include <stdexcept>
#include <string>

namespace Figward::Testing {

/** Returns the contents of the file at \p path, relative to the root of the repository. */
inline std::string readRepositoryFile(const std::string &path)
{
    std::ifstream in(std::string(FIGWARD_SOURCE_DIR) + "/" + path, std::ios::binary);
    if (!in) {
        throw std::runtime_error("cannot read " + path);
    }
    return {std::istreambuf_iterator<char>(in), {}};
}

} // namespace Figward::Testing
